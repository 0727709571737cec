package gateway

// admitSend decides whether a request that is about to be written is sent. Since the
// choice, it may have waited for a connection, and the server may have asked for a pause,
// stated a limit or left, or other requests may have reached its limit.
func (s *Server) admitSend(req *request, active *activeAttempt) bool {
	now := s.deps.Clock.Now()
	if !s.deps.Directory.IsUsable(active.server) || s.paused(active.server) {
		s.metrics.withheld.Inc(1)
		return false
	}
	if s.limits.Any() && !s.limits.Take(now, incarnationOf(active.server), s.limitShare(active.server)) {
		s.metrics.withheld.Inc(1)
		return false
	}
	active.writtenAt = now
	s.useRetry(req)
	return true
}
