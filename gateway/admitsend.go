package gateway

// Reasons why a request that was about to be written is not sent.
const (
	withheldServerGone = "server_unusable"
	withheldPaused     = "server_paused"
	withheldLimited    = "server_limited"
	withheldCold       = "server_cold"
	withheldQuarantine = reasonQuarantined
)

// admitSend decides whether a request that is about to be written is sent. Since the
// choice, it may have waited for a connection, and the server may have asked for a pause,
// stated a limit or left, or other requests may have reached its limit or crashed servers.
func (s *Server) admitSend(req *request, active *activeAttempt) bool {
	now, incarnation := s.deps.Clock.Now(), incarnationOf(active.server)
	s.refreshCold(req.service, s.usable(req))
	switch {
	case s.decideQuarantine(req).Blocked:
		active.withheld = withheldQuarantine
	case !s.deps.Directory.IsUsable(active.server):
		active.withheld = withheldServerGone
	case s.paused(active.server):
		active.withheld = withheldPaused
	case s.limits.Limited(now, incarnation) && !s.takeToken(now, incarnation):
		active.withheld = withheldLimited
		if !s.reachedStatedLimit(now, active.server) {
			active.withheld = withheldCold
		}
	default:
		active.writtenAt = now
		s.useRetry(req)
		return true
	}
	s.metrics.withheld.Inc(1)
	return false
}
