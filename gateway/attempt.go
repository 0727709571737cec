package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sesameswitch/sesameswitch/admission"
	"github.com/sesameswitch/sesameswitch/clock"
	"github.com/sesameswitch/sesameswitch/directory"
	"github.com/sesameswitch/sesameswitch/internal/mutation"
	"github.com/sesameswitch/sesameswitch/routing"
	"github.com/sesameswitch/sesameswitch/upstream"
)

// maxSends bounds the backend servers that a request is written to, refusals
// included.
const maxSends = 4

// hostName returns the host without its port.
func hostName(host string) string {
	name, _, err := net.SplitHostPort(host)
	if err != nil {
		return host
	}
	return name
}

// verdict is what became of one send.
type verdict int

const (
	// delivered: the final answer was given, whole or cut.
	delivered verdict = iota
	// unsent: no byte reached the backend server.
	unsent
	// full: this gateway's connections to the backend server are all in use.
	full
	// notRun: the backend server said that it did not run the request.
	notRun
	// mayHaveRun: the request failed and may have run.
	mayHaveRun
	// hungUp: the caller is gone.
	hungUp
	// timedOut: the final answer is due.
	timedOut
)

var verdictNames = map[verdict]string{
	delivered: "delivered", unsent: "unsent", full: "full", notRun: "not_run", mayHaveRun: "may_have_run", hungUp: "hung_up", timedOut: "timed_out",
}

// target is a chosen backend server.
type target struct {
	server *directory.BackendServer
	choice routing.Choice
	// fetchFrom is the address of the server whose memory is copied from.
	fetchFrom string
}

// serve makes one attempt after another until the final answer is given.
func (s *Server) serve(ctx context.Context, req *request) {
	s.budget(req.service.Name).RecordRequest(s.deps.Clock.Now())
	st := newDelivery(s, req)
	for {
		chosen, ok := s.choose(req)
		if !ok {
			s.conclude(req, st, "no_backend_server")
			return
		}
		switch d := s.gate(req, st, chosen); d.Action {
		case admission.GateHold:
			if clock.Sleep(ctx, d.Delay) {
				continue
			}
		case admission.GateRefuse:
			s.turnAway(req, chosen, d.Delay)
			return
		case admission.GateSend:
		}
		result := s.attempt(ctx, req, st, chosen)
		if result == delivered {
			return
		}
		if result == hungUp {
			s.meters.hungUp.Inc(1)
			req.log.WithFields(logrus.Fields{"event": "caller_gone", "after_ms": s.since(req).Milliseconds(), "sends": req.sends}).Info("the caller is gone")
			return
		}
		if result == timedOut {
			s.conclude(req, st, "deadline")
			return
		}
		req.excluded[chosen.server.ID] = true
		if reason := s.mayRepeat(req, st, result); reason != "" {
			s.conclude(req, st, reason)
			return
		}
	}
}

// gate decides whether the request goes to the chosen server now. One that may
// have run somewhere is not held back.
func (s *Server) gate(req *request, st *delivery, chosen target) admission.GateDecision {
	return admission.Gate{}.Decide(admission.GateRequest{
		Full: chosen.choice.Full, ResponseStarted: st.begun || req.runs > 0, Waited: s.since(req), Remaining: req.until.Sub(s.deps.Clock.Now()),
		LatencyTarget: req.route.LatencyTarget, ExpectedWait: time.Duration(chosen.choice.Wait * float64(time.Millisecond)),
	})
}

// turnAway refuses a request for which there is no room.
func (s *Server) turnAway(req *request, chosen target, after time.Duration) {
	s.meters.turnedAway.Inc(1)
	req.log.WithFields(logrus.Fields{
		"event": "request_turned_away", "server": chosen.server.ID, "wait_ms": int(chosen.choice.Wait), "rank": req.job.Rank,
	}).Info("no engine has room for the request")
	s.refuse(req, refuse(http.StatusServiceUnavailable, "engines_full").after(after+s.spread()))
}

// spread is a random time that keeps those who come back apart.
func (s *Server) spread() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.rng.Int64N(int64(minRetryAfter)))
}

// mayRepeat decides whether a request is sent again; the result is the reason
// why not.
func (s *Server) mayRepeat(req *request, st *delivery, last verdict) string {
	if last == unsent || last == full {
		if len(req.excluded) > maxSends {
			return "unreachable"
		}
		return ""
	}
	switch {
	case last == mayHaveRun && !req.route.Idempotent() && !mutation.Off(GuardAtMostOnce):
		return "outcome_unknown"
	case last == mayHaveRun && req.runs >= max(1, req.route.MaxAttempts):
		return "attempts_used"
	case req.sends >= maxSends:
		return "refused_by_servers"
	case len(s.deps.Directory.Usable(req.service.Name)) <= len(req.excluded):
		return "no_other_server"
	}
	if !s.budget(req.service.Name).TryRetry(s.deps.Clock.Now(), s.deps.Gateways.LiveCount(), s.reserve(req, st)) {
		s.meters.budgetEmpty.Inc(1)
		return "retry_budget"
	}
	s.meters.repeats.Inc(1)
	return ""
}

// reserve is what a repeat leaves in the budget for streams that broke in the
// middle, which cannot be asked for again by their callers.
func (s *Server) reserve(_ *request, st *delivery) float64 {
	if st.begun {
		return 0
	}
	return brokenStreamReserve
}

// brokenStreamReserve is how many repeats are kept for streams that broke.
const brokenStreamReserve = 1

// choose returns the backend server for the next send.
func (s *Server) choose(req *request) (target, bool) {
	usable := s.deps.Directory.Usable(req.service.Name)
	if len(usable) == 0 {
		return target{}, false
	}
	candidates := make([]routing.Server, len(usable))
	for i, b := range usable {
		candidates[i] = routing.Server{ID: b.ID, DataCentre: b.DataCentre, Slots: b.Slots}
	}
	choice, ok := s.deps.Scheduler.Choose(s.deps.Clock.Now(), &req.job, candidates, req.excluded)
	if !ok {
		return target{}, false
	}
	chosen := target{server: usable[choice.Index], choice: choice}
	for _, b := range usable {
		if b.ID == choice.TransferSource {
			chosen.fetchFrom = b.Address
		}
	}
	return chosen, true
}

// attempt sends the request to one backend server and passes its answer on.
func (s *Server) attempt(ctx context.Context, req *request, st *delivery, chosen target) verdict {
	sent := s.deps.Clock.Now()
	left := req.until.Sub(sent)
	if left <= 0 {
		return timedOut
	}
	if !s.deps.Directory.IsUsable(chosen.server) {
		return unsent
	}
	account := ""
	if req.account != nil {
		account = req.account.Name
	}
	send := &AttemptInfo{ServerID: chosen.server.ID, Account: account, TimeRemaining: left, Urgency: req.urgency(), ResumeAfter: st.resumeAfter(), FetchFrom: chosen.fetchFrom}
	req.log.WithFields(logrus.Fields{
		"event": "attempt_sent", "server": chosen.server.ID, "address": chosen.server.Address, "route": req.route.Name,
		"version": req.table.Version, "view_age_ms": s.deps.View.Age().Milliseconds(), "left_ms": left.Milliseconds(), "urgency": send.Urgency,
		"cost_ms": int(chosen.choice.Cost), "read_ms": int(chosen.choice.ServiceTime), "wait_ms": int(chosen.choice.Wait), "penalty_ms": int(chosen.choice.Penalty),
		"resume_after": send.ResumeAfter, "fetch_from": chosen.choice.TransferSource, "sends": req.sends,
	}).Info("attempt sent")
	ticket := s.deps.Scheduler.StartAttempt(sent, &req.job, chosen.server.ID, chosen.choice)
	result, cause := s.exchange(ctx, req, st, &outgoing{target: chosen, send: send, ticket: ticket})
	ticket.Ended(s.deps.Clock.Now(), placerResult(result, st))
	fields := logrus.Fields{
		"event": "attempt_ended", "server": chosen.server.ID, "result": verdictNames[result], "status": st.status,
		"took_ms": s.deps.Clock.Now().Sub(sent).Milliseconds(), "events": st.events(), "first_ms": st.firstAt.Milliseconds(),
	}
	if cause != "" {
		fields["cause"] = cause
	}
	req.log.WithFields(fields).Info("attempt ended")
	return result
}

// placerResult tells the placer how a send ended.
func placerResult(result verdict, st *delivery) routing.Result {
	switch result {
	case delivered:
		if st.serverFailed {
			return routing.Failed
		}
		return routing.Succeeded
	case full:
		return routing.LimitReached
	case unsent:
		return routing.Unreachable
	case notRun:
		return routing.Refused
	case mayHaveRun:
		return routing.Failed
	default:
		return routing.Cancelled
	}
}

// outgoing is one send.
type outgoing struct {
	target
	send   *AttemptInfo
	ticket *routing.Attempt
}

// exchange carries one send from its first byte to the end of its answer.
func (s *Server) exchange(ctx context.Context, req *request, st *delivery, o *outgoing) (verdict, string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ex, err := s.deps.Pool.Do(ctx, &upstream.Request{
		Address: o.server.Address, Method: req.in.Method,
		Head: s.deps.Codec.EncodeHead(req.in, req.RequestInfo, o.server.Address, o.send), Body: req.in.Body,
		MaxConnections: s.connectionShare(req),
		MatchesRequest: func(h http.Header) bool { return s.deps.Codec.Matches(req.RequestInfo, h) },
	})
	if err != nil {
		if !upstream.NotSent(err) {
			req.sends++
			req.runs++
		}
		return s.failed(ctx, req, err)
	}
	req.sends++
	st.status = ex.Response.StatusCode
	notes := s.deps.Codec.DecodeResponse(ex.Response.StatusCode, ex.Response.Header)
	if notes.LoadKnown {
		s.deps.Scheduler.ReportLoad(s.deps.Clock.Now(), o.server.ID, notes.Running, notes.Waiting)
	}
	if notes.NotExecuted {
		s.drainBody(ex)
		return notRun, "the server did not run it"
	}
	req.runs++
	result, err := st.pass(ctx, ex, notes, o)
	if err != nil {
		ex.Abort()
		if result == mayHaveRun {
			return s.failed(ctx, req, err)
		}
		return result, err.Error()
	}
	ex.Release()
	return result, ""
}

// connectionShare is how many connections to one backend server this gateway
// may open.
func (s *Server) connectionShare(req *request) int {
	if req.service.MaxConnections == 0 {
		return 0
	}
	share := connectionUse * float64(req.service.MaxConnections) / float64(max(1, s.deps.Gateways.LiveCount()))
	return max(minConnections, int(min(connectionSkew*share, connectionUse*float64(req.service.MaxConnections))))
}

const (
	// connectionUse is the part of the connections that a backend server
	// accepts which gateways use: it accepts fewer while its queue is long.
	connectionUse = 0.8
	// connectionSkew is how many times its even share a gateway may use: callers
	// and kinds of requests are spread unevenly over gateways, and the slots of
	// a backend server bound the sum.
	connectionSkew = 3.0
	// minConnections is what each gateway may open at least.
	minConnections = 2
)

// failed tells why a send failed.
func (s *Server) failed(ctx context.Context, req *request, err error) (verdict, string) {
	switch {
	case !s.deps.Clock.Now().Before(req.until):
		return timedOut, err.Error()
	case ctx.Err() != nil:
		return hungUp, err.Error()
	case errors.Is(err, upstream.ErrConnectionLimit):
		return full, err.Error()
	case upstream.NotSent(err):
		return unsent, err.Error()
	default:
		return mayHaveRun, err.Error()
	}
}

// maxRefusalBody bounds what is read of an answer that is not passed on.
const maxRefusalBody = 16 << 10

// drainBody reads a small body so that the connection can be kept.
func (s *Server) drainBody(ex *upstream.Exchange) {
	buf := make([]byte, maxRefusalBody)
	for total := 0; total < maxRefusalBody; {
		n, err := ex.Read(buf)
		total += n
		if err != nil {
			break
		}
	}
	ex.Release()
}

// conclude gives the final answer to a request that was not completed.
func (s *Server) conclude(req *request, st *delivery, reason string) {
	if st.begun {
		s.meters.cut.Inc(1)
		req.log.WithFields(logrus.Fields{"event": "answer_cut", "reason": reason, "events": st.events(), "after_ms": s.since(req).Milliseconds(), "sends": req.sends, "runs": req.runs}).Info("answer cut")
		return // the connection is closed, as the answer has no end
	}
	if st.failure != nil {
		st.passFailure()
		return
	}
	switch {
	case req.runs == 0:
		s.refuse(req, refuse(http.StatusServiceUnavailable, reason).after(s.comeBack(req)))
	case reason == "deadline":
		s.refuse(req, refuse(http.StatusGatewayTimeout, reason))
	default:
		s.refuse(req, refuse(http.StatusBadGateway, reason))
	}
}

// comeBack is when a refused caller should ask again.
func (s *Server) comeBack(req *request) time.Duration {
	return minRetryAfter + s.spread() + min(req.route.LatencyTarget/4, time.Second)
}
