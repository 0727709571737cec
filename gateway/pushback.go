package gateway

import (
	"maps"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sesameswitch/sesameswitch/directory"
	"github.com/sesameswitch/sesameswitch/retry"
)

// incarnationOf identifies the incarnation of a backend server.
func incarnationOf(b *directory.BackendServer) retry.Incarnation {
	return retry.Incarnation{ID: b.ID, StartedAtMs: b.StartedAtMs}
}

// recordPause records that a backend server asked for a pause.
func (s *Server) recordPause(b *directory.BackendServer, pause time.Duration) {
	now := s.deps.Clock.Now()
	until, changed := s.pushback.Ask(now, incarnationOf(b), pause)
	if !changed {
		return
	}
	s.metrics.pushbacks.Inc(1)
	s.deps.Log.WithFields(logrus.Fields{
		"event": "backend_paused", "server": b.ID, "service": b.Service, "address": b.Address, "asked_ms": pause.Milliseconds(), "pause_ms": until.Sub(now).Milliseconds(),
	}).Info("backend server asks for a pause")
}

// replacedHold is how long a backend server at whose address another one has responded gets no
// requests. The lease of its entry expires earlier.
const replacedHold = 4 * time.Second

// recordReplaced records that another server has responded at the address of a backend server,
// which must have ended. The view learns soon which servers there are instead.
func (s *Server) recordReplaced(b *directory.BackendServer) {
	if _, changed := s.pushback.Ask(s.deps.Clock.Now(), incarnationOf(b), replacedHold); !changed {
		return
	}
	s.deps.View.Hasten()
	s.deps.Log.WithFields(logrus.Fields{
		"event": "backend_replaced", "server": b.ID, "service": b.Service, "address": b.Address, "started_at_ms": b.StartedAtMs, "hold_ms": replacedHold.Milliseconds(),
	}).Info("another server responds at the address of the backend server; it gets no requests")
}

// paused reports whether a backend server asked for a pause that has not ended.
func (s *Server) paused(b *directory.BackendServer) bool {
	_, paused := s.pushback.Until(s.deps.Clock.Now(), incarnationOf(b))
	return paused
}

// excluded returns the IDs of the servers that must not be chosen for the request: those
// that were tried, those that asked for a pause, those whose limit allows no request now,
// and those at which its stream may not go on.
func (s *Server) excluded(req *request, usable []*directory.BackendServer) map[string]bool {
	now := s.deps.Clock.Now()
	pauses, limits := s.pushback.Any(now), s.limits.AnyStated()
	if !pauses && !limits && req.continuation == nil {
		return req.excluded
	}
	excluded := maps.Clone(req.excluded)
	for _, b := range usable {
		if !s.mayUse(req, b) || pauses && s.paused(b) || limits && s.reachedStatedLimit(now, b) {
			excluded[b.ID] = true
		}
	}
	return excluded
}

// reasonWithoutServer returns why no server can be chosen for a request.
func (s *Server) reasonWithoutServer(req *request) string {
	now := s.deps.Clock.Now()
	reason := "no_backend_server"
	switch {
	case req.continuation != nil:
		reason = "no_server_of_version"
	case s.deps.Directory.Evacuated(req.service.Name):
		reason = "data_centres_evacuated"
	}
	for _, b := range s.deps.Directory.Usable(req.service.Name) {
		switch {
		case req.excluded[b.ID], !s.mayUse(req, b):
		case s.paused(b):
			return "servers_paused"
		case s.allowance(now, b).At.After(now):
			reason = "servers_limited"
		}
	}
	return reason
}

// availabilityDelay returns when the caller of a refused request should retry if all
// servers of its service asked for a pause or have reached their limit: when the first
// one is available, and after the callers that were refused before, as fast as the
// servers are expected to serve them.
func (s *Server) availabilityDelay(req *request) (delay time.Duration, unavailable bool) {
	now := s.deps.Clock.Now()
	var opensAt time.Time
	slots, perSecond := 1, 0.0
	for _, b := range s.deps.Directory.Usable(req.service.Name) {
		if !s.mayUse(req, b) {
			continue
		}
		until, paused := s.pushback.Until(now, incarnationOf(b))
		allowance := s.allowance(now, b)
		switch {
		case !paused && !allowance.At.After(now):
			return 0, false
		case !paused:
			until = allowance.ReturnAt
		}
		if opensAt.IsZero() || until.Before(opensAt) {
			opensAt, slots = until, max(1, b.Slots)
		}
		if allowance.Limited {
			perSecond += 1 / allowance.Interval.Seconds()
		}
	}
	if opensAt.IsZero() {
		return 0, false
	}
	interval := req.route.LatencyTarget / time.Duration(slots)
	if perSecond > 0 {
		interval = max(interval, time.Duration(float64(time.Second)/perSecond))
	}
	return s.returnsOf(req.service.Name).Next(opensAt, interval).Sub(now) + s.jitter(), true
}

// returnsOf returns the spread of callers that return to a service.
func (s *Server) returnsOf(service string) *retry.Returns {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.returns[service]
	if r == nil {
		r = &retry.Returns{}
		s.returns[service] = r
	}
	return r
}
