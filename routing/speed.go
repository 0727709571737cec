package routing

import (
	"math"
	"time"
)

const (
	// slownessTTL is how long a server's statement about its slowness has an effect. The
	// logarithm of the slowness decreases linearly to 0 within this time: machines that
	// are shared are slow for about 600 ms.
	slownessTTL = 600 * time.Millisecond
	// speedTolerance is the factor up to which a slowness has no effect. Machines
	// of one kind differ by less.
	speedTolerance = 1.2
	// maxSlowness bounds the slowness of a server, stated or learnt.
	maxSlowness = 10.0
	// urgentSlowness is the factor by which a statement must exceed what is known of the
	// server for the peers to be told at once.
	urgentSlowness = 1.5
)

// serverSpeed is what is known about the speed of one server.
type serverSpeed struct {
	// startedAtMs is the incarnation of the server, zero if unknown.
	startedAtMs int64
	// stated is the natural logarithm of the slowness that the server stated at statedAt;
	// zero if that has no effect.
	stated   float64
	statedAt time.Time
	// statedUnsent reports whether the peers have not been told of the statement,
	// statedUrgent whether they must be told at once.
	statedUnsent, statedUrgent bool
}

// logSlowness returns the natural logarithm of a stated slowness, and whether the statement
// is valid. A server that states to be faster than usual counts as usual: a false
// statement would attract the requests of all gateways at once.
func logSlowness(slowness float64) (float64, bool) {
	if !(slowness > 0) || math.IsInf(slowness, 0) {
		return 0, false
	}
	if slowness <= speedTolerance {
		return 0, true
	}
	return math.Log(min(slowness, maxSlowness)), true
}

// statedNow returns the natural logarithm of the stated slowness as it applies now.
func (sp *serverSpeed) statedNow(now time.Time) float64 {
	if sp.stated == 0 {
		return 0
	}
	age := now.Sub(sp.statedAt)
	if age >= slownessTTL {
		return 0
	}
	return sp.stated * (1 - float64(max(0, age))/float64(slownessTTL))
}

// timeFactor returns how many times longer than at a usual server work takes now.
func (sp *serverSpeed) timeFactor(now time.Time) float64 {
	if sp.stated == 0 {
		return 1
	}
	return math.Exp(sp.statedNow(now))
}

// state records a statement of the server about its slowness, or one that a peer received.
// It reports whether it differs much from what was known.
func (sp *serverSpeed) state(now, at time.Time, logSlowness float64) bool {
	known := sp.statedNow(now)
	sp.stated, sp.statedAt = logSlowness, at
	return logSlowness-known > math.Log(urgentSlowness)
}

// reset discards what is known if the server is another incarnation.
func (sp *serverSpeed) reset(startedAtMs int64) {
	if startedAtMs == 0 || startedAtMs == sp.startedAtMs {
		return
	}
	if sp.startedAtMs != 0 {
		*sp = serverSpeed{}
	}
	sp.startedAtMs = startedAtMs
}

// ReportSlowness applies a server's own statement of how many times longer than usual work
// takes on its machine now. 1 means as usual; a value that is not positive and finite is
// ignored, and one above 10 counts as 10.
func (s *Scheduler) ReportSlowness(now time.Time, server string, slowness float64) {
	stated, valid := logSlowness(slowness)
	if !valid {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.state(server)
	if stated == 0 && st.speed.statedNow(now) == 0 {
		st.speed.stated = 0
		return
	}
	st.speed.statedUnsent = true
	if st.speed.state(now, now, stated) {
		st.speed.statedUrgent = true
		s.notifyIfUrgent(st)
	}
}
