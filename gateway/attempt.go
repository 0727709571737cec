package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sesameswitch/sesameswitch/admission"
	"github.com/sesameswitch/sesameswitch/clock"
	"github.com/sesameswitch/sesameswitch/directory"
	"github.com/sesameswitch/sesameswitch/routing"
	"github.com/sesameswitch/sesameswitch/upstream"
)

// maxAttempts limits the attempts of a request that reach a backend server,
// including those that the server did not run. After an attempt that reached no
// server, there is no further one if more than maxAttempts servers were tried.
const maxAttempts = 4

// hostName returns the host without its port.
func hostName(host string) string {
	name, _, err := net.SplitHostPort(host)
	if err != nil {
		return host
	}
	return name
}

// attemptResult is the result of one attempt.
type attemptResult int

const (
	// resultDelivered: the complete response of the backend server, which may be
	// a failure response, was written to the caller's connection as the final
	// one.
	resultDelivered attemptResult = iota
	// resultNotSent: no byte reached the backend server, or the server was no
	// longer usable.
	resultNotSent
	// resultConnectionLimit: all connections that this gateway may open to the
	// backend server are in use.
	resultConnectionLimit
	// resultWithheld: the request was not sent because the backend server would not take
	// it now.
	resultWithheld
	// resultNotRun: the backend server stated that it did not run the request.
	resultNotRun
	// resultMayHaveRun: the attempt failed and the request may have run.
	resultMayHaveRun
	// resultStalled: the attempt was ended because it made no progress; a retry is reserved.
	resultStalled
	// resultCallerDisconnected: the caller disconnected.
	resultCallerDisconnected
	// resultDeadlineExceeded: the deadline of the final response has passed.
	resultDeadlineExceeded
)

var resultNames = map[attemptResult]string{
	resultDelivered: "delivered", resultNotSent: "unsent", resultConnectionLimit: "full", resultWithheld: "withheld", resultNotRun: "not_run", resultMayHaveRun: "may_have_run", resultStalled: "stalled", resultCallerDisconnected: "hung_up", resultDeadlineExceeded: "timed_out",
}

// unsent reports whether no byte of the request was sent.
func (r attemptResult) unsent() bool { return r == resultNotSent || r == resultWithheld }

// chosenServer is the backend server chosen for an attempt.
type chosenServer struct {
	server *directory.BackendServer
	choice routing.Choice
	// transferSource is the address of the server whose KV cache is copied;
	// empty if none is.
	transferSource string
	// awaitsToken reports whether all servers are cold and there is no token for any.
	awaitsToken bool
}

// serve makes attempts, one at a time, until the final response is sent or the
// caller disconnects.
func (s *Server) serve(ctx context.Context, req *request) {
	defer req.releaseRetry()
	s.recordRequest(req.service.Name)
	fwd := newResponseForwarder(s, req)
	for {
		if d := s.decideQuarantine(req); d.Blocked {
			s.finishQuarantined(req, fwd, d)
			return
		}
		chosen, ok := s.chooseServer(req)
		if !ok {
			s.finishUnsuccessful(req, fwd, s.reasonWithoutServer(req))
			return
		}
		d := s.gate(req, fwd, chosen)
		if chosen.awaitsToken {
			d = s.holdForToken(req, fwd, chosen)
		}
		switch d.Action {
		case admission.GateHold:
			if clock.Sleep(ctx, d.Delay) {
				continue
			}
			// The context has ended: the attempt fails immediately, and its result shows
			// whether the caller disconnected or the deadline passed.
		case admission.GateRefuse:
			if chosen.awaitsToken {
				s.finishUnsuccessful(req, fwd, "servers_cold")
				return
			}
			s.refuseForCapacity(req, chosen, d.Delay)
			return
		case admission.GateSend:
		}
		result := s.attempt(ctx, req, fwd, chosen)
		if result == resultDelivered {
			return
		}
		if result == resultCallerDisconnected {
			s.metrics.callersDisconnected.Inc(1)
			req.log.WithFields(logrus.Fields{"event": "caller_gone", "no_answer": NoAnswerCallerLeft, "after_ms": s.sinceReceived(req).Milliseconds(), "sends": req.attempts}).Info("caller disconnected before the response was complete")
			return
		}
		if result == resultDeadlineExceeded {
			s.finishUnsuccessful(req, fwd, reasonDeadline)
			return
		}
		if s.mayChooseAgain(req, result, chosen.server) {
			continue
		}
		req.excluded[chosen.server.ID] = true
		if result == resultStalled {
			req.moved = true
			s.metrics.retries.Inc(1)
			continue
		}
		if reason := s.refuseRetry(req, fwd, result); reason != "" {
			s.finishUnsuccessful(req, fwd, reason)
			return
		}
	}
}

// gate decides whether the request is sent to the chosen server now, held or
// refused. A request that may already have run at a backend server is always
// sent.
func (s *Server) gate(req *request, fwd *responseForwarder, chosen chosenServer) admission.GateDecision {
	return admission.Gate{}.Decide(admission.GateRequest{
		Full: chosen.choice.Full, MayHaveRun: fwd.started || req.runs > 0, Waited: s.sinceReceived(req), Remaining: req.deadline.Sub(s.deps.Clock.Now()),
		LatencyTarget: req.route.LatencyTarget, ExpectedWait: time.Duration(chosen.choice.Wait * float64(time.Millisecond)),
		Peers: chosen.choice.Peers, Random: s.random(),
		ServiceTime: time.Duration(chosen.choice.ServiceTime * float64(time.Millisecond)),
		FleetWait:   time.Duration(chosen.choice.FleetWait * float64(time.Millisecond)),
	})
}

// refuseForCapacity refuses a request for which no engine has capacity.
func (s *Server) refuseForCapacity(req *request, chosen chosenServer, retryAfter time.Duration) {
	s.metrics.noCapacity.Inc(1)
	req.log.WithFields(logrus.Fields{
		"event": "request_turned_away", "server": chosen.server.ID, "wait_ms": int(chosen.choice.Wait), "rank": req.job.Rank,
	}).Info("no engine has capacity for the request")
	s.refuse(req, newRefusal(http.StatusServiceUnavailable, "engines_full").withRetryAfter(retryAfter+s.jitter()))
}

// random returns a random number from 0 to 1.
func (s *Server) random() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64()
}

// jitter returns a random delay below minRetryAfter. It prevents refused callers
// from retrying at the same time.
func (s *Server) jitter() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.rng.Int64N(int64(minRetryAfter)))
}

// attempt sends the request to one backend server and forwards the response.
func (s *Server) attempt(ctx context.Context, req *request, fwd *responseForwarder, chosen chosenServer) attemptResult {
	sentAt := s.deps.Clock.Now()
	remaining := req.deadline.Sub(sentAt)
	if remaining <= 0 {
		return resultDeadlineExceeded
	}
	if !s.deps.Directory.IsUsable(chosen.server) || s.paused(chosen.server) {
		return resultNotSent
	}
	account := ""
	if req.account != nil {
		account = req.account.Name
	}
	info := &AttemptInfo{ServerID: chosen.server.ID, Account: account, TimeRemaining: remaining, Rank: req.rank(), ResumeAfter: fwd.resumeAfter(), TransferSource: chosen.transferSource}
	req.log.WithFields(logrus.Fields{
		"event": "attempt_sent", "server": chosen.server.ID, "address": chosen.server.Address, "data_centre": chosen.server.DataCentre, "service": req.service.Name, "route": req.route.Name,
		"version": req.table.Version, "view_age_ms": s.deps.View.Age().Milliseconds(), "left_ms": remaining.Milliseconds(), "urgency": info.Rank,
		"cost_ms": int(chosen.choice.Cost), "read_ms": int(chosen.choice.ServiceTime), "wait_ms": int(chosen.choice.Wait), "penalty_ms": int(chosen.choice.Penalty),
		"prompt_tokens": req.job.PromptTokens, "output_tokens": req.job.OutputTokens, "uncached_tokens": chosen.choice.UncachedTokens,
		"resume_after": info.ResumeAfter, "resumes": req.Resumes, "software_version": chosen.server.SoftwareVersion, "started_at_ms": chosen.server.StartedAtMs, "fetch_from": chosen.choice.TransferSource, "sends": req.attempts, "segments": segmentList(req.Segments),
		"account": account, "content": req.content,
	}).Info("attempt sent to backend server")
	tracker := s.deps.Scheduler.StartAttempt(sentAt, &req.job, chosen.server.ID, chosen.choice)
	active := &activeAttempt{chosenServer: chosen, info: info, tracker: tracker}
	fwd.beginAttempt()
	result, cause := s.exchange(ctx, req, fwd, active)
	tracker.Ended(s.deps.Clock.Now(), schedulerResult(result, fwd))
	if !active.writtenAt.IsZero() {
		req.trialOf = ""
	}
	if active.broken && result == resultMayHaveRun {
		s.suspectCrash(req, fwd, active)
	}
	fields := logrus.Fields{
		"event": "attempt_ended", "server": chosen.server.ID, "result": resultNames[result], "status": fwd.status,
		"took_ms": s.deps.Clock.Now().Sub(sentAt).Milliseconds(), "events": fwd.events(), "attempt_events": fwd.attemptEvents(), "first_ms": fwd.firstByteAfter.Milliseconds(),
	}
	if !active.writtenAt.IsZero() {
		fields["written_ms"] = active.writtenAt.Sub(sentAt).Milliseconds()
	}
	req.withheld = active.withheld
	if active.withheld != "" {
		fields["reason"] = active.withheld
	}
	if active.unidentified {
		fields["unidentified"] = true
	}
	if active.askedPause > 0 {
		fields["asked_pause_ms"] = active.askedPause.Milliseconds()
	}
	if cause != "" {
		fields["cause"] = cause
	}
	req.log.WithFields(fields).Info("attempt ended")
	return result
}

// maxLoggedSegments limits the segments of a prompt in a log line.
const maxLoggedSegments = 8

// segmentList returns the IDs of the first segments, separated by commas.
func segmentList(segments []routing.Segment) string {
	var list strings.Builder
	for i, segment := range segments[:min(len(segments), maxLoggedSegments)] {
		if i > 0 {
			list.WriteByte(',')
		}
		list.WriteString(segment.ID)
	}
	return list.String()
}

// schedulerResult returns the result of an attempt as the scheduler records it.
func schedulerResult(result attemptResult, fwd *responseForwarder) routing.Result {
	switch result {
	case resultDelivered:
		if fwd.failureForwarded {
			return routing.Failed
		}
		return routing.Succeeded
	case resultConnectionLimit:
		return routing.ConnectionLimit
	case resultWithheld:
		return routing.Withheld
	case resultNotSent:
		return routing.NotSent
	case resultNotRun:
		return routing.Refused
	case resultMayHaveRun, resultStalled:
		return routing.Failed
	default:
		return routing.Cancelled
	}
}

// activeAttempt is an attempt in flight.
type activeAttempt struct {
	chosenServer
	info    *AttemptInfo
	tracker *routing.Attempt
	watch   *stallWatch
	// writtenAt is when the request began to be written; zero if it was not.
	writtenAt time.Time
	// withheld is why the request was not sent; empty if it was.
	withheld string
	// broken reports whether the connection broke before the response was complete.
	broken bool
	// askedPause is the pause that the response asked for; zero if it asked for none.
	askedPause time.Duration
	// unidentified reports whether the response did not name its request.
	unidentified bool
}

// exchange sends the request of an attempt and forwards its response, and moves the attempt
// if it makes no progress. It also returns the cause of a failure.
func (s *Server) exchange(ctx context.Context, req *request, fwd *responseForwarder, active *activeAttempt) (attemptResult, string) {
	attemptCtx, abandon := context.WithCancelCause(ctx)
	defer abandon(nil)
	active.watch = s.newStallWatch(req, fwd, active, abandon)
	result, err := s.exchangeWatched(attemptCtx, req, fwd, active)
	moved, cause := active.watch.end(), ""
	if err != nil {
		cause = err.Error()
	}
	if err != nil && result == resultMayHaveRun {
		result, cause = s.failureResult(ctx, req, err)
	}
	switch {
	case moved && err != nil && result == resultMayHaveRun:
		active.broken = false // by this gateway
		return resultStalled, cause
	case moved:
		req.releaseRetry() // the attempt ended by itself at the same time
	}
	return result, cause
}

// errNotRun means that the backend server stated that it did not run the request.
var errNotRun = errors.New("the server did not run it")

// exchangeWatched is exchange without the watch for progress. The cause of a failure with
// resultMayHaveRun decides its result.
func (s *Server) exchangeWatched(ctx context.Context, req *request, fwd *responseForwarder, active *activeAttempt) (attemptResult, error) {
	requestInfo := req.RequestInfo // a pooled connection keeps MatchesRequest, but not the request
	ex, err := s.deps.Pool.Do(ctx, &upstream.Request{
		Address: active.server.Address, Method: req.in.Method,
		Head: s.deps.Codec.EncodeHead(req.in, req.RequestInfo, active.server.Address, active.info), Body: req.in.Body,
		MaxConnections: s.connectionLimit(req),
		MatchesRequest: func(h http.Header) bool { return s.deps.Codec.Matches(requestInfo, h) },
		Identified:     s.deps.Codec.Identified,
		Admit: func() bool {
			admitted := s.admitSend(req, active)
			if admitted {
				active.watch.written(active.writtenAt)
			}
			return admitted
		},
		OnLateResponse: func(status int, h http.Header) { s.applyLateResponse(requestInfo.ID, active, status, h) },
	})
	active.watch.responded(s.deps.Clock.Now())
	if err != nil {
		if !upstream.NotSent(err) {
			req.attempts++
			req.runs++
			active.broken = true
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			s.doubt(serverIDOf(active.server), s.deps.Clock.Now(), "")
		}
		return resultMayHaveRun, err
	}
	req.attempts++
	fwd.status, active.unidentified = ex.Response.StatusCode, ex.Unidentified()
	info := s.deps.Codec.DecodeResponse(ex.Response.StatusCode, ex.Response.Header)
	if info.LoadKnown {
		s.deps.Scheduler.ReportLoad(s.deps.Clock.Now(), active.server.ID, info.Running, info.Waiting)
	}
	if info.Slowness > 0 {
		s.deps.Scheduler.ReportSlowness(s.deps.Clock.Now(), active.server.ID, info.Slowness)
	}
	s.applyStatements(active, info)
	if info.NotRun {
		s.drainBody(ex)
		return resultNotRun, errNotRun
	}
	req.runs++
	result, err := fwd.forward(ctx, ex, info, active)
	if err != nil {
		ex.Abort()
		active.broken = true
		return result, err
	}
	ex.Release()
	if !fwd.progressRecorded {
		s.recordSound(req)
	}
	return result, nil
}

// connectionLimit returns the number of connections that this gateway may open
// to one backend server of the request's service; zero means no limit.
func (s *Server) connectionLimit(req *request) int {
	if req.service.MaxConnections == 0 {
		return 0
	}
	gateways, _ := s.deps.Gateways.Sharing()
	share := maxConnectionUse * float64(req.service.MaxConnections) / float64(gateways)
	return max(minConnections, int(min(maxConnectionSkew*share, maxConnectionUse*float64(req.service.MaxConnections))))
}

const (
	// maxConnectionUse is the fraction of a backend server's connection limit
	// that gateways use: the server accepts fewer connections while its queue is
	// long.
	maxConnectionUse = 0.8
	// maxConnectionSkew is how many times its equal share of the connections a
	// gateway may use: callers and routes are spread unevenly over gateways. The
	// slots of a backend server limit the connections in use in total.
	maxConnectionSkew = 3.0
	// minConnections is the number of connections that each gateway may always
	// open, however small its share.
	minConnections = 2
)

// failureResult returns the result of an attempt that failed with an error, and
// the error as the cause.
func (s *Server) failureResult(ctx context.Context, req *request, err error) (attemptResult, string) {
	switch {
	case !s.deps.Clock.Now().Before(req.deadline), errors.Is(ctx.Err(), context.DeadlineExceeded):
		return resultDeadlineExceeded, err.Error()
	case ctx.Err() != nil:
		return resultCallerDisconnected, err.Error()
	case errors.Is(err, upstream.ErrConnectionLimit):
		return resultConnectionLimit, err.Error()
	case errors.Is(err, upstream.ErrNotAdmitted):
		return resultWithheld, err.Error()
	case upstream.NotSent(err):
		return resultNotSent, err.Error()
	default:
		return resultMayHaveRun, err.Error()
	}
}

// maxDrainBytes limits how much is read of a body that is not forwarded.
const maxDrainBytes = 16 << 10

// drainBody reads a small body to its end so that the connection can be reused.
func (s *Server) drainBody(ex *upstream.Exchange) {
	buf := make([]byte, maxDrainBytes)
	for total := 0; total < maxDrainBytes; {
		n, err := ex.Read(buf)
		total += n
		if err != nil {
			break
		}
	}
	ex.Release()
}

// finishUnsuccessful ends a request without a complete response from any attempt.
// A response that was started stays truncated. Otherwise the caller gets the last
// failure response of a backend server or, if there is none, a refusal.
func (s *Server) finishUnsuccessful(req *request, fwd *responseForwarder, reason string) {
	if fwd.started {
		s.metrics.truncatedResponses.Inc(1)
		req.log.WithFields(logrus.Fields{"event": "answer_cut", "reason": reason, "no_answer": s.recordNoAnswer(req, reason, false), "events": fwd.events(), "after_ms": s.sinceReceived(req).Milliseconds(), "sends": req.attempts, "runs": req.runs}).Info("response truncated")
		return // ingress closes the connection of a response without an end
	}
	if fwd.failure != nil {
		fwd.forwardFailure(reason)
		return
	}
	switch {
	case req.runs == 0:
		delay, unavailable := s.availabilityDelay(req)
		if !unavailable {
			delay = s.retryDelay(req)
		}
		s.refuse(req, newRefusal(http.StatusServiceUnavailable, reason).withRetryAfter(delay))
	case reason == reasonDeadline:
		s.refuse(req, newRefusal(http.StatusGatewayTimeout, reason))
	default:
		s.refuse(req, newRefusal(http.StatusBadGateway, reason))
	}
}

// retryDelay returns the time after which the caller of a refused request should
// retry. It grows with the latency target, up to a target of 4 s.
func (s *Server) retryDelay(req *request) time.Duration {
	return minRetryAfter + s.jitter() + min(req.route.LatencyTarget/4, time.Second)
}
