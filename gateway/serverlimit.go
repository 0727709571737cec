package gateway

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sesameswitch/sesameswitch/directory"
	"github.com/sesameswitch/sesameswitch/limit"
)

// limitShare returns this gateway's share of the limit of a backend server.
func (s *Server) limitShare(b *directory.BackendServer) limit.Share {
	position, gateways := s.deps.Gateways.Position(b.ID)
	return limit.Share{Gateways: gateways, Position: position}
}

// allowance returns when this gateway may send the next request to a backend server.
func (s *Server) allowance(now time.Time, b *directory.BackendServer) limit.Allowance {
	if !s.limits.Any() {
		return limit.Allowance{}
	}
	return s.limits.Next(now, incarnationOf(b), s.limitShare(b))
}

// admitSend decides whether a request that is about to be written is sent. The server
// may have stated a limit, or other requests may have reached it, since the choice.
func (s *Server) admitSend(req *request, active *activeAttempt) bool {
	now := s.deps.Clock.Now()
	if s.limits.Any() && !s.limits.Take(now, incarnationOf(active.server), s.limitShare(active.server)) {
		s.metrics.withheld.Inc(1)
		return false
	}
	active.writtenAt = now
	s.useRetry(req)
	return true
}

// recordLimit records whether the response to an attempt states a limit of the backend
// server. A response of unknown origin, or with an invalid limit, says nothing.
func (s *Server) recordLimit(active *activeAttempt, info ResponseInfo) {
	server := active.server
	switch {
	case info.LimitStated:
		if rate, changed := s.limits.Stated(s.deps.Clock.Now(), incarnationOf(server), info.Limit); changed {
			s.metrics.limitChanges.Inc(1)
			s.deps.Log.WithFields(logrus.Fields{
				"event": "backend_limited", "server": server.ID, "service": server.Service, "address": server.Address, "stated_per_s": info.Limit, "limit_per_s": rate,
			}).Info("backend server states a limit on the rate of requests")
		}
	case !info.LimitInvalid && (info.Authentic || info.NotRun):
		if s.limits.NotStated(active.writtenAt, incarnationOf(server)) {
			s.metrics.limitChanges.Inc(1)
			s.deps.Log.WithFields(logrus.Fields{
				"event": "backend_unlimited", "server": server.ID, "service": server.Service, "address": server.Address,
			}).Info("backend server states no limit any more")
		}
	}
}
