package routing

import (
	"slices"
	"time"
)

// placement is what the estimates of one job at all servers have in common. The
// source is the server with the longest prefilled prefix of the prompt.
type placement struct {
	source           string
	sourceDataCentre string
	// prefilled is the length of that prefix in tokens.
	prefilled int
	// minUncached is the least number of tokens that any server must prefill.
	minUncached int
	// medianWait is the median time that prompts wait at the servers, in
	// milliseconds.
	medianWait float64
	// peers is the number of other gateways that use the servers.
	peers int
}

// findPrefix determines which servers have cached the job's prompt. home is the
// index of the server that is assumed to cache the first segment although no
// server is known to, or -1.
func (s *Scheduler) findPrefix(j *Job, servers []Server, pool []bool, latencySensitive bool) (home int, p placement) {
	home, p.minUncached = -1, j.PromptTokens
	if len(j.Segments) == 0 {
		return home, p
	}
	known := false
	for i := range servers {
		st := s.state(servers[i].ID)
		known = known || st.segments[j.Segments[0].ID] != nil
		p.minUncached = min(p.minUncached, st.uncachedTokens(j, false))
		if tokens := st.prefilledTokens(j); tokens > p.prefilled {
			p.source, p.sourceDataCentre, p.prefilled = servers[i].ID, servers[i].DataCentre, tokens
		}
	}
	if known {
		return home, p
	}
	if home = owner(servers, pool, latencySensitive, j.Segments[0].ID); home >= 0 {
		p.minUncached = s.state(servers[home].ID).uncachedTokens(j, true)
	}
	return home, p
}

// medianWait returns the median over the servers of the time to prefill the
// pending prompts, in milliseconds. The median ignores a single overloaded
// server.
func (s *Scheduler) medianWait(now time.Time, service *serviceState, servers []Server) float64 {
	pendingPrefill := make([]int, len(servers))
	for i := range servers {
		pendingPrefill[i] = s.state(servers[i].ID).load(now).pendingPrefill
	}
	slices.Sort(pendingPrefill)
	return float64(pendingPrefill[len(pendingPrefill)/2]) / service.prefillRate
}

// transferCost returns the penalty of a KV cache transfer from the source, in
// milliseconds, and the number of tokens that need no prefill after it.
func (st *serverState) transferCost(j *Job, server *Server, p *placement) (cost float64, saved int) {
	saved = p.prefilled - st.prefilledTokens(j)
	if j.TransferRate == 0 || p.source == "" || p.source == server.ID || saved < minTransferTokens {
		return 0, 0
	}
	cost = transferSetup + float64(saved)/j.TransferRate + transferPenaltyPerGB*float64(saved)*j.TokenBytes/1e9
	if server.DataCentre != p.sourceDataCentre {
		cost += float64(saved) / j.TransferRate
	}
	return cost, saved
}
