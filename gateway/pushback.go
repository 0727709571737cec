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

// paused reports whether a backend server asked for a pause that has not ended.
func (s *Server) paused(b *directory.BackendServer) bool {
	_, paused := s.pushback.Until(s.deps.Clock.Now(), incarnationOf(b))
	return paused
}

// excluded returns the IDs of the servers that must not be chosen for the request: those
// that were tried, and those that asked for a pause.
func (s *Server) excluded(req *request, usable []*directory.BackendServer) map[string]bool {
	if !s.pushback.Any(s.deps.Clock.Now()) {
		return req.excluded
	}
	excluded := maps.Clone(req.excluded)
	for _, b := range usable {
		if s.paused(b) {
			excluded[b.ID] = true
		}
	}
	return excluded
}

// reasonWithoutServer returns why no server can be chosen for a request.
func (s *Server) reasonWithoutServer(req *request) string {
	for _, b := range s.deps.Directory.Usable(req.service.Name) {
		if !req.excluded[b.ID] && s.paused(b) {
			return "servers_paused"
		}
	}
	return "no_backend_server"
}

// pauseDelay returns when the caller of a refused request should retry if all servers
// of its service asked for a pause: when the first one returns, and after the callers
// that were refused before, as fast as that server is expected to serve them.
func (s *Server) pauseDelay(req *request) (delay time.Duration, paused bool) {
	now := s.deps.Clock.Now()
	usable := s.deps.Directory.Usable(req.service.Name)
	var opensAt time.Time
	slots := 1
	for _, b := range usable {
		until, paused := s.pushback.Until(now, incarnationOf(b))
		if !paused {
			return 0, false
		}
		if opensAt.IsZero() || until.Before(opensAt) {
			opensAt, slots = until, max(1, b.Slots)
		}
	}
	if len(usable) == 0 {
		return 0, false
	}
	interval := req.route.LatencyTarget / time.Duration(slots)
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
