package gateway

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sesameswitch/sesameswitch/directory"
	"github.com/sesameswitch/sesameswitch/limit"
	"github.com/sesameswitch/sesameswitch/retry"
)

// limitShare returns this gateway's share of the limit of a backend server.
func (s *Server) limitShare(server retry.Incarnation) limit.Share {
	position, gateways := s.deps.Gateways.Position(server.ID)
	return limit.Share{Gateways: gateways, Position: position, Starting: s.deps.Clock.Now().Sub(s.startedAt) < coldStarting}
}

// allowance returns when this gateway may send the next request to a backend server.
func (s *Server) allowance(now time.Time, b *directory.BackendServer) limit.Allowance {
	if incarnation := incarnationOf(b); s.limits.Limited(now, incarnation) {
		return s.limits.Next(now, incarnation, s.limitShare(incarnation))
	}
	return limit.Allowance{}
}

// reachedStatedLimit reports whether the limit that a backend server states allows no request
// of this gateway now.
func (s *Server) reachedStatedLimit(now time.Time, b *directory.BackendServer) bool {
	incarnation := incarnationOf(b)
	return s.limits.NextStated(now, incarnation, s.limitShare(incarnation)).At.After(now)
}

// recordLimit records whether the response to an attempt states a limit of the backend
// server. A response of unknown origin, or with an invalid limit, states nothing.
func (s *Server) recordLimit(active *activeAttempt, info ResponseInfo) {
	now, incarnation := s.deps.Clock.Now(), incarnationOf(active.server)
	switch {
	case info.LimitStated:
		if rate, changed := s.limits.Stated(now, incarnation, info.Limit); changed {
			s.logLimit(incarnation, rate, logrus.Fields{"stated_per_s": info.Limit, "service": active.server.Service, "address": active.server.Address})
		}
	case !info.LimitInvalid && (info.Authentic || info.NotRun):
		if s.limits.NotStated(now, active.writtenAt, incarnation) {
			s.logLimit(incarnation, 0, logrus.Fields{"service": active.server.Service, "address": active.server.Address})
		}
	}
}

// LimitReports implements LimitExchange.
func (s *Server) LimitReports(now time.Time) []limit.Report { return s.limits.Reports(now) }

// ApplyLimitReport implements LimitExchange.
func (s *Server) ApplyLimitReport(now time.Time, from string, r limit.Report) {
	if rate, changed := s.limits.Apply(now, r); changed {
		s.logLimit(r.Server, rate, logrus.Fields{"peer": from, "age_ms": r.Age.Milliseconds()})
	}
}

// logLimit logs and counts that the limit of a backend server has changed; a rate of zero
// means that it has ended.
func (s *Server) logLimit(server retry.Incarnation, rate float64, fields logrus.Fields) {
	s.metrics.limitChanges.Inc(1)
	entry := s.deps.Log.WithFields(fields).WithFields(logrus.Fields{"server": server.ID, "started_at_ms": server.StartedAtMs})
	if rate == 0 {
		entry.WithField("event", "backend_unlimited").Info("backend server states no limit on the rate of requests any more")
		return
	}
	position, gateways := s.deps.Gateways.Position(server.ID)
	entry.WithFields(logrus.Fields{"event": "backend_limited", "limit_per_s": rate, "position": position, "gateways": gateways}).Info("backend server states a limit on the rate of requests")
}
