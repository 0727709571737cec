package gateway

import (
	"net/http"

	"github.com/sesameswitch/sesameswitch/routes"
)

// NoAnswer is why a request ended without a complete successful response of a backend
// server. Each such request has one reason, which is counted and is in its last log line.
type NoAnswer string

// Reasons for requests that got no answer.
const (
	// NoAnswerDeadlineBeforeServer: the deadline passed before a backend server may have
	// run the request.
	NoAnswerDeadlineBeforeServer NoAnswer = "deadline_before_server"
	// NoAnswerDeadlineAtServer: the deadline passed after a backend server may have run
	// the request.
	NoAnswerDeadlineAtServer NoAnswer = "deadline_at_server"
	// NoAnswerFailureResponse: a failure response of a backend server was forwarded.
	NoAnswerFailureResponse NoAnswer = "failure_response"
	// NoAnswerAttemptsUsed: the request has used its runs or attempts, and the last one
	// failed.
	NoAnswerAttemptsUsed NoAnswer = "attempts_used"
	// NoAnswerNotResumable: a stream broke or failed that must not be continued.
	NoAnswerNotResumable NoAnswer = "not_resumable"
	// NoAnswerOutcomeUnknown: an attempt failed that may have run, and the request must
	// not run again.
	NoAnswerOutcomeUnknown NoAnswer = "outcome_unknown"
	// NoAnswerRetryBudget: the retry budget did not allow another attempt.
	NoAnswerRetryBudget NoAnswer = "retry_budget"
	// NoAnswerNoOtherServer: an attempt failed, and no other backend server could be used.
	NoAnswerNoOtherServer NoAnswer = "no_other_server"
	// NoAnswerQuarantined: an attempt failed, and the request was not sent again because
	// requests like it crash backend servers.
	NoAnswerQuarantined NoAnswer = "quarantined"
	// NoAnswerRefused: the gateway refused the request, which did not run.
	NoAnswerRefused NoAnswer = "refused"
	// NoAnswerCallerLeft: the caller disconnected first. It does not count as unanswered;
	// sesame_gateway_callers_gone_total counts it.
	NoAnswerCallerLeft NoAnswer = "caller_left"
)

// unansweredReasons are the reasons that count as unanswered.
var unansweredReasons = []NoAnswer{
	NoAnswerDeadlineBeforeServer, NoAnswerDeadlineAtServer, NoAnswerFailureResponse, NoAnswerAttemptsUsed, NoAnswerNotResumable,
	NoAnswerOutcomeUnknown, NoAnswerRetryBudget, NoAnswerNoOtherServer, NoAnswerQuarantined, NoAnswerRefused,
}

// Reasons why a request ends without another attempt.
const (
	reasonDeadline         = "deadline"
	reasonOutcomeUnknown   = "outcome_unknown"
	reasonNotResumable     = "not_resumable"
	reasonAttemptsUsed     = "attempts_used"
	reasonRefusedByServers = "refused_by_servers"
	reasonNoOtherServer    = "no_other_server"
	reasonRetryBudget      = "retry_budget"
)

// requestEnd describes how a request ended without a complete successful response.
type requestEnd struct {
	// reason is why there was no further attempt; empty if the first one decided.
	reason string
	// kind is the kind of the request's route.
	kind routes.Kind
	// failureForwarded reports whether the caller got a failure response of a backend server.
	failureForwarded bool
	// mayHaveRun reports whether a backend server may have run the request, or the caller
	// got a part of a response.
	mayHaveRun bool
}

// noAnswerOf returns the reason of a request that ended without a complete successful
// response, other than by its caller's leaving. What the caller got decides first; then why
// there was no other attempt.
func noAnswerOf(end requestEnd) NoAnswer {
	switch {
	case end.failureForwarded:
		return NoAnswerFailureResponse
	case end.reason == reasonDeadline && !end.mayHaveRun:
		return NoAnswerDeadlineBeforeServer
	case end.reason == reasonDeadline:
		return NoAnswerDeadlineAtServer
	case end.reason == reasonRetryBudget:
		return NoAnswerRetryBudget
	case end.reason == reasonNoOtherServer:
		return NoAnswerNoOtherServer
	case end.reason == reasonNotResumable, end.reason == reasonOutcomeUnknown && end.kind == routes.Stream:
		return NoAnswerNotResumable
	case end.reason == reasonOutcomeUnknown:
		return NoAnswerOutcomeUnknown
	case !end.mayHaveRun:
		return NoAnswerRefused
	case end.reason == reasonQuarantined:
		return NoAnswerQuarantined
	case end.reason == reasonAttemptsUsed, end.reason == reasonRefusedByServers:
		return NoAnswerAttemptsUsed
	default:
		// No server could be chosen for a further attempt, or none was reached.
		return NoAnswerNoOtherServer
	}
}

// recordNoAnswer counts the reason of a request that ended without a complete successful
// response, and returns it for the last log line of the request. A caller that has left
// meanwhile gets no response, whatever the gateway decided.
func (s *Server) recordNoAnswer(req *request, reason string, failureForwarded bool) NoAnswer {
	if req.out.CallerLeft() {
		s.metrics.callersDisconnected.Inc(1)
		return NoAnswerCallerLeft
	}
	end := requestEnd{reason: reason, failureForwarded: failureForwarded, mayHaveRun: req.runs > 0 || req.out.Started()}
	if req.route != nil {
		end.kind = req.route.Kind
	}
	n := noAnswerOf(end)
	s.metrics.unanswered(n)
	return n
}

// refuseUnreadable refuses a request whose metadata cannot be decoded.
func (s *Server) refuseUnreadable(req *request, err error) {
	n := s.recordNoAnswer(req, "bad_request", false)
	req.log.WithError(err).WithField("event", "request_refused").WithField("status", http.StatusBadRequest).WithField("no_answer", n).Info("request refused: invalid request metadata")
	s.metrics.refused("", "bad_request")
	req.out.WriteResponse(http.StatusBadRequest, s.deps.Codec.RefusalHeader(&RequestInfo{}, 0), []byte(err.Error()+"\n"))
}
