package routing

import "time"

// Hint is what one gateway holds at one server. Gateways tell each other, as
// each sees its own requests only.
type Hint struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // it tells the codec to leave names out
	Server   string
	// InFlight and Held are its requests and their tokens that are not shared.
	InFlight int
	UnsharedTokens int
	// PendingPrefill are the prompt tokens without a first event.
	PendingPrefill int
	// LatencySensitive are its streams with the shortest pauses.
	LatencySensitive int
	// Segments were sent there since the last hint.
	Segments []Segment
	// KVCacheTokens is how many tokens the server holds in all.
	KVCacheTokens int
	// ResidualTokens are the tokens that ended requests left there since the last hint.
	ResidualTokens int
}

// hinted is a hint with the time until which it counts.
type hinted struct {
	Hint
	until time.Time
}

// maxHintParts bounds the parts of one hint.
const maxHintParts = 16

// Hints returns what this gateway holds at each server, and the parts that it
// sent there since the last call. Servers that it stopped using are told once
// more.
func (p *Scheduler) CollectHints(_ time.Time) []Hint {
	p.mu.Lock()
	defer p.mu.Unlock()
	var hints []Hint
	for id, m := range p.servers {
		if m.open == 0 && len(m.fresh) == 0 && m.left == 0 && !m.told {
			continue
		}
		m.told = m.open > 0
		if len(m.fresh) > maxHintParts {
			m.fresh = m.fresh[len(m.fresh)-maxHintParts:]
		}
		hints = append(hints, Hint{Server: id, InFlight: m.open, UnsharedTokens: m.held, PendingPrefill: m.unread, LatencySensitive: m.tight, Segments: m.fresh, KVCacheTokens: m.memory, ResidualTokens: m.left})
		m.left = 0
		m.fresh = nil
	}
	return hints
}

// ApplyHints takes in what another gateway holds, to count until a time.
func (p *Scheduler) ApplyHints(now, until time.Time, from string, hints []Hint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peers[from] = until
	for _, h := range hints {
		m := p.servers[h.Server]
		if m == nil {
			m = p.model(h.Server)
		}
		m.others[from] = hinted{Hint: h, until: until}
		m.remember(now, h.Segments, h.KVCacheTokens)
		if m.memory == 0 {
			m.memory = h.KVCacheTokens
		}
		m.leave(now, h.ResidualTokens)
	}
}

// hintLag is the half-life of what a gateway sent as a sign of what the others
// send meanwhile: by then most of their hints tell it.
const hintLag = 100 * time.Millisecond

// sentLately returns how many prompt tokens this gateway sent to the server
// within the time that hints take. Gateways that wait for the same server see
// it free at the same moment: each must leave as much room as it takes for each
// of the others until their hints tell what they sent.
func (m *serverModel) sentLately(now time.Time) float64 {
	return m.sent * halfLife(now.Sub(m.sentAt), hintLag)
}

// livePeers is how many other gateways' hints count now. The others are
// forgotten.
func (p *Scheduler) livePeers(now time.Time) int {
	live := 0
	for from, until := range p.peers {
		if now.Before(until) {
			live++
		} else {
			delete(p.peers, from)
		}
	}
	return live
}
