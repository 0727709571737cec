package routing

import "time"

// Hint is a load hint: what one gateway has in flight at one server. Gateways
// exchange hints because each observes its own requests only.
type Hint struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // makes the codec encode the fields as an array
	Server   string
	// InFlight counts the gateway's requests in flight at the server.
	InFlight int
	// UnsharedTokens counts the tokens of those requests that no other request
	// shares.
	UnsharedTokens int
	// PendingPrefill counts the uncached prompt tokens of those requests that have
	// had no first event yet.
	PendingPrefill int
	// LatencySensitive counts the latency-sensitive streams among them.
	LatencySensitive int
	// Segments are those sent to the server, prefilled by it or retracted since
	// the last hint.
	Segments []Segment
	// KVCacheTokens is the capacity of the server's KV cache in tokens.
	KVCacheTokens int
	// ResidualTokens counts the tokens that requests which ended since the last
	// hint left in the server's KV cache.
	ResidualTokens int
}

// peerHint is a load hint of a peer gateway.
type peerHint struct {
	Hint
	expires time.Time
}

// maxHintSegments bounds the number of segments in one hint; if there are more,
// only the latest are advertised.
const maxHintSegments = 16

// CollectHints returns a hint for each server in use by this gateway, and starts
// to collect the segments and residual tokens of the next hint. A server that is
// no longer in use is included once more, so that peers see its load drop to zero.
func (s *Scheduler) CollectHints(_ time.Time) []Hint {
	s.mu.Lock()
	defer s.mu.Unlock()
	var hints []Hint
	for id, st := range s.servers {
		if st.inFlight == 0 && len(st.unadvertised) == 0 && st.residualTokens == 0 && !st.advertised {
			continue
		}
		st.advertised = st.inFlight > 0
		if len(st.unadvertised) > maxHintSegments {
			st.unadvertised = st.unadvertised[len(st.unadvertised)-maxHintSegments:]
		}
		hints = append(hints, Hint{Server: id, InFlight: st.inFlight, UnsharedTokens: st.unsharedTokens, PendingPrefill: st.pendingPrefill, LatencySensitive: st.latencySensitive, Segments: st.unadvertised, KVCacheTokens: st.kvCacheTokens, ResidualTokens: st.residualTokens})
		st.residualTokens = 0
		st.unadvertised = nil
	}
	return hints
}

// ApplyHints applies the hints of the peer gateway named from. The peer's load is
// taken into account until expires. A call without hints only records that the
// peer is alive.
func (s *Scheduler) ApplyHints(now, expires time.Time, from string, hints []Hint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers[from] = expires
	for _, h := range hints {
		st := s.servers[h.Server]
		if st == nil {
			st = s.state(h.Server)
		}
		st.peerHints[from] = peerHint{Hint: h, expires: expires}
		st.applySegments(now, h.Segments, h.KVCacheTokens)
		if st.kvCacheTokens == 0 {
			st.kvCacheTokens = h.KVCacheTokens
		}
		st.addResidual(now, h.ResidualTokens)
	}
}

// recentTokensHalfLife is the half-life of the number of recently sent tokens;
// most load hints that include those tokens reach the peers within that time.
const recentTokensHalfLife = 100 * time.Millisecond

// recentTokensNow returns how many uncached prompt tokens this gateway recently
// sent to the server, with exponential decay. Gateways that wait for the same
// server see it become free at the same time. Until load hints arrive, each
// therefore assumes that every peer has sent as many tokens as it has itself.
func (st *serverState) recentTokensNow(now time.Time) float64 {
	return st.recentTokens * decayFactor(now.Sub(st.recentTokensAt), recentTokensHalfLife)
}

// livePeers returns the number of peers whose load hints have not expired, and
// removes the other peers.
func (s *Scheduler) livePeers(now time.Time) int {
	live := 0
	for from, expires := range s.peers {
		if now.Before(expires) {
			live++
		} else {
			delete(s.peers, from)
		}
	}
	return live
}
