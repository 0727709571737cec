package routing

import "slices"

// placement holds the inputs that the estimates of one job at all servers have in
// common.
type placement struct {
	// sources holds the transfer source of each software version.
	sources []transferSource
	// minUncached is the number of uncached prompt tokens at the server with the
	// fewest, which may be the home server.
	minUncached int
	// fleet holds the figures over all candidates.
	fleet fleetLoad
	// contenders is the number of peer gateways that are expected to send to a
	// server before their load hints arrive.
	contenders float64
	// usualPause is the usual longest pause of a latency-sensitive stream of the job's route, in
	// milliseconds; zero if unknown or if the job is none.
	usualPause float64
}

// transferSource is the server of one software version with the longest prefilled prefix of
// the prompt.
type transferSource struct {
	// server is nil if none has prefilled a part of the prompt.
	server     *serverState
	dataCentre string
	// prefilled is the length of the prefix in tokens.
	prefilled int
}

// offer replaces the source by a server with a longer prefix, or with the same one and a lower
// index.
func (t *transferSource) offer(st *serverState, dataCentre string) {
	if prefilled := st.match.prefilled; prefilled > t.prefilled || prefilled == t.prefilled && t.server != nil && st.index < t.server.index {
		*t = transferSource{st, dataCentre, prefilled}
	}
}

// segmentIndex holds the servers that are expected to have cached a segment, by the
// ID of the segment.
type segmentIndex map[string][]*serverState

func (x segmentIndex) add(id string, st *serverState) { x[id] = append(x[id], st) }

func (x segmentIndex) remove(id string, st *serverState) {
	holders := x[id]
	i := slices.Index(holders, st)
	if i < 0 {
		return
	}
	holders[i] = holders[len(holders)-1]
	holders[len(holders)-1] = nil
	if holders = holders[:len(holders)-1]; len(holders) == 0 {
		delete(x, id)
		return
	}
	x[id] = holders
}

// prefixMatch is how much of a job's prompt a server has cached. It is valid for
// the choice with the same number only.
type prefixMatch struct {
	choice uint64
	// uncached is the number of tokens to prefill, prefilled the length of the
	// longest prefix that the server has prefilled.
	uncached, prefilled int
}

// findPrefix determines which candidates have cached the job's prompt, and stores
// the matches in their states. If no candidate is known to have cached the first
// segment, home is the index of the segment's home server, otherwise -1. The first
// segment is estimated as cached at its home server, so that all gateways send a new
// segment there.
func (s *Scheduler) findPrefix(j *Job, c *candidates, poolSize int, latencySensitive bool) (home int, p placement) {
	home, p.minUncached = -1, j.PromptTokens
	p.sources = c.sources
	clear(p.sources)
	if len(j.Segments) == 0 {
		return home, p
	}
	known := false
	for _, st := range s.holders[j.Segments[0].ID] {
		if st.candidates != c {
			continue // of another service, or removed
		}
		known = true
		st.match = prefixMatch{choice: s.choices, uncached: st.uncachedTokens(j, false), prefilled: st.prefilledTokens(j)}
		p.minUncached = min(p.minUncached, st.match.uncached)
		if version := c.entries[st.index].version; version != unknownVersion {
			p.sources[version].offer(st, c.servers[st.index].DataCentre)
		}
	}
	if known {
		return home, p
	}
	if home = c.homeServer(poolSize, latencySensitive, j.Segments[0].ID); home >= 0 {
		p.minUncached = c.entries[home].uncachedTokens(j, true)
	}
	return home, p
}

// matchOf returns how much of the job's prompt the server has cached.
func (s *Scheduler) matchOf(st *serverState, j *Job) prefixMatch {
	if st.match.choice == s.choices {
		return st.match
	}
	return prefixMatch{uncached: j.PromptTokens}
}

// transferSource returns the source from which the server can get KV cache: one of its own
// software version, as others may not be able to use it.
func (p *placement) transferSource(st *candidate) transferSource {
	if st.version == unknownVersion {
		return transferSource{}
	}
	return p.sources[st.version]
}

// transferCost returns the penalty for a KV cache transfer from the source, in milliseconds,
// and the number of tokens that the server need not prefill then; 0 means that no transfer is
// possible or useful. A transfer between data centres is assumed to take twice as long.
func (st *serverState) transferCost(j *Job, dataCentre string, prefilled int, source transferSource) (cost float64, saved int) {
	saved = source.prefilled - prefilled
	if j.TransferRate == 0 || source.server == nil || source.server == st || saved < minTransferTokens {
		return 0, 0
	}
	cost = transferSetup + float64(saved)/j.TransferRate + transferPenaltyPerGB*float64(saved)*j.TokenBytes/1e9
	if dataCentre != source.dataCentre {
		cost += float64(saved) / j.TransferRate
	}
	return cost, saved
}
