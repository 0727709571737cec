package gateway

import (
	"github.com/sirupsen/logrus"

	"github.com/sesameswitch/sesameswitch/internal/mutation"
)

// refuseRetry returns why the request must not be retried after an attempt with the
// given result, or an empty string if it may be retried. A permitted retry is
// reserved, unless the attempt did not reach a backend server.
func (s *Server) refuseRetry(req *request, fwd *responseForwarder, last attemptResult) string {
	if last == resultNotSent || last == resultConnectionLimit || last == resultWithheld {
		if len(req.excluded) > maxAttempts {
			return "unreachable"
		}
		return ""
	}
	switch {
	case last == resultMayHaveRun && !req.route.Idempotent() && !mutation.Off(GuardAtMostOnce):
		return reasonOutcomeUnknown
	case fwd.started && !fwd.resumable():
		return reasonNotResumable
	case last == resultMayHaveRun && req.runs >= max(1, req.route.MaxRuns):
		return reasonAttemptsUsed
	case req.attempts >= maxAttempts:
		return reasonRefusedByServers
	case !s.hasOtherServer(req):
		return reasonNoOtherServer
	}
	if !s.takeRetry(req, s.retryReserve(req, fwd)) {
		s.metrics.retriesRefused.Inc(1)
		return reasonRetryBudget
	}
	s.metrics.retries.Inc(1)
	return ""
}

// takeRetry reserves a retry of the budget of the request's service, and logs the
// decision with its inputs. The next attempt that reaches a backend server uses it.
func (s *Server) takeRetry(req *request, reserve float64) bool {
	gateways, known := s.deps.Gateways.Sharing()
	if !known {
		gateways = 0
	}
	budget := s.retryBudget(req.service.Name)
	d := budget.TryRetry(s.deps.Clock.Now(), gateways, reserve)
	if d.Allowed {
		req.reservedRetry = budget
	}
	req.log.WithFields(logrus.Fields{
		"event": "retry_decided", "service": req.service.Name, "allowed": d.Allowed, "sends": req.attempts, "gateways": gateways,
		"window_requests": d.Requests, "window_retries": d.Retries, "reserved": d.Reserved, "share": d.Share, "first_window": d.FirstWindow, "remaining": d.Remaining, "reserve": reserve,
	}).Info("retry decided by the budget")
	return d.Allowed
}

// useRetry counts the reserved retry of a request, if any, as sent now: the budget
// bounds what arrives at backend servers, and a retry may be held for capacity or wait
// for a connection.
func (s *Server) useRetry(req *request) {
	if req.reservedRetry != nil {
		req.reservedRetry.Sent(s.deps.Clock.Now())
		req.reservedRetry = nil
	}
}

// releaseRetry gives back a reserved retry that no attempt has used.
func (req *request) releaseRetry() {
	if req.reservedRetry != nil {
		req.reservedRetry.Release()
		req.reservedRetry = nil
	}
}

// retryReserve returns the number of retries that must remain in the budget after
// a retry of the request. They are reserved for interrupted streams, which
// callers cannot request again; other requests can still be refused.
func (s *Server) retryReserve(_ *request, fwd *responseForwarder) float64 {
	if fwd.started {
		return 0
	}
	return interruptedStreamReserve
}

// interruptedStreamReserve is the number of retries reserved for interrupted
// streams.
const interruptedStreamReserve = 1
