package routing

import (
	"slices"
	"time"
)

// placement holds the inputs that the estimates of one job at all servers have in
// common.
type placement struct {
	// source is the transfer source: the ID of the server with the longest
	// prefilled prefix of the prompt, or empty if there is none.
	source           string
	sourceDataCentre string
	// prefilled is the length of that prefix in tokens.
	prefilled int
	// minUncached is the number of uncached prompt tokens at the server with the
	// fewest, which may be the home server.
	minUncached int
	// medianWait is the median over the servers of the time to prefill the pending
	// prompts, in milliseconds.
	medianWait float64
	// peers is the number of peer gateways whose load hints have not expired.
	peers int
}

// findPrefix determines which servers have cached the job's prompt. If no server
// is known to have cached the first segment, home is the index of the segment's
// home server, otherwise -1. The first segment is estimated as cached at its home
// server, so that all gateways send a new segment there.
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
	if home = homeServer(servers, pool, latencySensitive, j.Segments[0].ID); home >= 0 {
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

// transferCost returns the penalty for a KV cache transfer from the transfer
// source, in milliseconds, and the number of tokens that the server need not
// prefill then; 0 means that no transfer is possible or useful. A transfer between
// data centres is assumed to take twice as long.
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
