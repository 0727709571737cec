package routing

import (
	"slices"
	"time"
)

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
	// the last hint, after those of the last hint: each is in two hints, so that the
	// loss of one does not matter.
	Segments []Segment
	// KVCacheTokens is the capacity of the server's KV cache in tokens.
	KVCacheTokens int
	// ResidualTokens counts the tokens that requests which ended since the last
	// hint left in the server's KV cache.
	ResidualTokens int
	// Speed is nil if there is nothing to report. It is not part of the encoding, as gateways of
	// earlier versions cannot decode a hint with more fields.
	Speed *SpeedHint `msgpack:"-"`
}

// peerHint is the load of a peer gateway at a server.
type peerHint struct {
	load
	expires time.Time
}

// setPeerHint replaces the load of the peer gateway named from.
func (st *serverState) setPeerHint(from string, l load, expires time.Time) {
	if previous, ok := st.peerHints[from]; ok {
		st.peerLoad.add(previous.load, -1)
	}
	if l == (load{}) {
		delete(st.peerHints, from)
		return
	}
	st.peerHints[from] = peerHint{load: l, expires: expires}
	st.peerLoad.add(l, 1)
	if len(st.peerHints) == 1 || expires.Before(st.peerHintsExpire) {
		st.peerHintsExpire = expires
	}
}

// expirePeerHints removes the hints that have expired. It looks at them only when
// the first of them may have expired, as each choice reads the load of each server.
func (st *serverState) expirePeerHints(now time.Time) {
	if len(st.peerHints) == 0 || now.Before(st.peerHintsExpire) {
		return
	}
	first := true
	for from, h := range st.peerHints {
		if !now.Before(h.expires) {
			st.peerLoad.add(h.load, -1)
			delete(st.peerHints, from)
			continue
		}
		if first || h.expires.Before(st.peerHintsExpire) {
			st.peerHintsExpire = h.expires
		}
		first = false
	}
}

// idleAdvertisements is how many hints show that a server is no longer in use.
const idleAdvertisements = 2

// maxHintSegments bounds the number of segments in one hint; if there are more,
// only the latest are advertised.
const maxHintSegments = 16

// urgentTokens is the change of the pending prefill at a server from which the peers
// are informed at once. The prefill of that many tokens takes longer than the message.
const urgentTokens = 1500

// Changed returns a channel that gets a value when CollectChangedHints has hints to
// return.
func (s *Scheduler) Changed() <-chan struct{} { return s.changed }

// urgent reports whether the pending prefill differs by urgentTokens from what the
// last hint showed, or the server has stated that it is much slower.
func (st *serverState) urgent() bool {
	if st.speed.statedUrgent {
		return true
	}
	difference := st.pendingPrefill - st.advertisedPrefill
	return difference >= urgentTokens || difference <= -urgentTokens
}

// notifyIfUrgent notifies the sender of hints that the load of a server has changed.
func (s *Scheduler) notifyIfUrgent(st *serverState) {
	if !st.urgent() {
		return
	}
	select {
	case s.changed <- struct{}{}:
	default: // a notification is pending
	}
}

// CollectChangedHints is CollectHints for the servers whose load has changed by
// urgentTokens since the last hint. Between two rounds of hints many gateways would
// otherwise choose the same server, which each believes to be idle.
func (s *Scheduler) CollectChangedHints(now time.Time) []Hint {
	return s.collect(now, (*serverState).urgent)
}

// CollectHints returns a hint for each server in use by this gateway, and starts
// to collect the segments and residual tokens of the next hint. A server that is
// no longer in use is included twice more, so that peers see its load drop to zero.
func (s *Scheduler) CollectHints(now time.Time) []Hint {
	return s.collect(now, func(*serverState) bool { return true })
}

func (s *Scheduler) collect(now time.Time, include func(*serverState) bool) []Hint {
	s.mu.Lock()
	defer s.mu.Unlock()
	var hints []Hint
	for id, st := range s.servers {
		if !include(st) {
			continue
		}
		if st.inFlight > 0 {
			st.advertisements = idleAdvertisements
		}
		if st.inFlight == 0 && len(st.unadvertised)+len(st.advertised) == 0 && st.residualTokens == 0 && st.advertisements == 0 && !st.speed.statedUnsent {
			continue
		}
		if st.inFlight == 0 {
			st.advertisements = max(0, st.advertisements-1)
		}
		segments := slices.Concat(st.advertised, st.unadvertised)
		if len(segments) > maxHintSegments {
			segments = segments[len(segments)-maxHintSegments:]
		}
		hints = append(hints, Hint{Server: id, InFlight: st.inFlight, UnsharedTokens: st.unsharedTokens, PendingPrefill: st.pendingPrefill, LatencySensitive: st.latencySensitive, Segments: segments, KVCacheTokens: st.kvCacheTokens, ResidualTokens: st.residualTokens, Speed: st.speed.collect(now)})
		st.residualTokens = 0
		st.advertisedPrefill = st.pendingPrefill
		st.advertised, st.unadvertised = st.unadvertised, nil
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
		st.setPeerHint(from, load{inFlight: h.InFlight, unsharedTokens: h.UnsharedTokens, pendingPrefill: h.PendingPrefill, latencySensitive: h.LatencySensitive}, expires)
		st.applySegments(now, h.Segments, h.KVCacheTokens)
		if st.kvCacheTokens == 0 {
			st.kvCacheTokens = h.KVCacheTokens
		}
		st.addResidual(now, h.ResidualTokens)
		st.speed.apply(now, h.Speed)
		st.updateSpeedDiffers()
	}
}

// recentTokensHalfLife is the half-life of the number of recently sent tokens;
// most load hints that include those tokens reach the peers within that time.
const recentTokensHalfLife = 100 * time.Millisecond

// recentTokensNow returns how many uncached prompt tokens this gateway recently
// sent to the server, with exponential decay. Gateways that wait for the same
// server see it become free at the same time. Until load hints arrive, each
// therefore assumes that its contenders have each sent as many tokens as it has
// itself.
func (st *serverState) recentTokensNow(now time.Time) float64 {
	if st.recentTokens == 0 {
		return 0
	}
	return st.recentTokens * decayFactor(now.Sub(st.recentTokensAt), recentTokensHalfLife)
}

// contenders returns how many peers are expected to send to the same server as this
// gateway. Peers spread their requests over the open servers: under overload, few
// are open, and all gateways that wait meet there.
func (s *Scheduler) contenders(now time.Time, open int) float64 {
	return float64(s.countLivePeers(now)) / float64(max(1, open))
}

// countLivePeers returns the number of peers whose load hints have not expired, at
// most fleetInterval old, and removes the other peers.
func (s *Scheduler) countLivePeers(now time.Time) int {
	if age := now.Sub(s.livePeersAt); age >= 0 && age < fleetInterval {
		return s.livePeers
	}
	s.livePeers, s.livePeersAt = 0, now
	for from, expires := range s.peers {
		if now.Before(expires) {
			s.livePeers++
		} else {
			delete(s.peers, from)
		}
	}
	return s.livePeers
}
