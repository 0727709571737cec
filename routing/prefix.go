package routing

import (
	"slices"
	"time"
)

// holder is the server that has read most of a prompt.
type holder struct {
	server     string
	dataCentre string
	// tokens is how much of the prompt it has read.
	tokens int
	// least is the least number of tokens that any server must read.
	least int
	// usualWait is the median time that prompts wait at the servers, in
	// milliseconds.
	usualWait float64
	// peers is how many other gateways send to the servers.
	peers int
}

// readings returns the server that is taken to hold the job's first part when
// none is known to, or -1, and the one that holds most of its prompt.
func (p *Scheduler) readings(j *Job, servers []Server, pool []bool, tight bool) (home int, h holder) {
	home, h.least = -1, j.PromptTokens
	if len(j.Segments) == 0 {
		return home, h
	}
	known := false
	for i := range servers {
		m := p.model(servers[i].ID)
		known = known || m.parts[j.Segments[0].ID] != nil
		h.least = min(h.least, m.uncached(j, false))
		if read := m.readTokens(j); read > h.tokens {
			h.server, h.dataCentre, h.tokens = servers[i].ID, servers[i].DataCentre, read
		}
	}
	if known {
		return home, h
	}
	if home = owner(servers, pool, tight, j.Segments[0].ID); home >= 0 {
		h.least = p.model(servers[home].ID).uncached(j, true)
	}
	return home, h
}

// usualWait is the median time over the servers to read what waits there: one
// that is far behind does not count for more.
func (p *Scheduler) usualWait(now time.Time, service *serviceModel, servers []Server) float64 {
	unread := make([]int, len(servers))
	for i := range servers {
		unread[i] = p.model(servers[i].ID).load(now).unread
	}
	slices.Sort(unread)
	return float64(unread[len(unread)/2]) / service.readPace
}

// fetchTime returns what fetching from the holder costs, in milliseconds, and
// how many tokens need not be read then.
func (m *serverModel) fetchTime(j *Job, s *Server, h *holder) (cost float64, saved int) {
	saved = h.tokens - m.readTokens(j)
	if j.TransferRate == 0 || h.server == "" || h.server == s.ID || saved < minFetchTokens {
		return 0, 0
	}
	cost = fetchSetup + float64(saved)/j.TransferRate + fetchCost*float64(saved)*j.TokenBytes/1e9
	if s.DataCentre != h.dataCentre {
		cost += float64(saved) / j.TransferRate
	}
	return cost, saved
}
