package gateway

import (
	"github.com/sirupsen/logrus"
)

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
