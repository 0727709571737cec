package entry

import (
	"context"
	"time"

	"github.com/sesameswitch/sesameswitch/clock"

	"github.com/sesameswitch/sesameswitch/agentapi"
	"github.com/sesameswitch/sesameswitch/outcome"
	"github.com/sesameswitch/sesameswitch/peer"
	"github.com/sesameswitch/sesameswitch/routing"
	"github.com/sesameswitch/sesameswitch/timeline"
)

// sink receives the response for the caller.
type sink interface {
	// head sets status and headers before the first write. For a response that
	// is not a stream, a further call discards what was written and restarts the
	// response.
	head(code int, header map[string]string)
	// write passes bytes to the caller. An error means that the caller has
	// disconnected, or that the response is too long to buffer; both are
	// reported as a disconnect.
	write(data []byte) error
}

// progress is how much of the response was passed to the sink. For a stream, it
// covers all attempts.
type progress struct {
	headSent bool
	tokens   int
	// eventsHaveIDs is true once an event with an id was seen; only events with
	// an id then count as tokens.
	eventsHaveIDs bool
}

// serveIdempotent makes attempts until one completes, no agent is eligible, the
// caller disconnects, or the limit of attempts or refusals or the retry budget
// is reached. An attempt that did not run takes nothing from the retry budget.
func (e *Entry) serveIdempotent(ctx context.Context, req *request, out sink) *outcome.Refusal {
	var received progress
	var last *outcome.Refusal
	mayHaveRun := false
	retry := false // whether the next attempt takes a retry from the budget
	refusals, attempts := 0, 0
	req.routing.Excluded = map[string]bool{}
	for refusals < req.refusalLimit() && attempts < maxAttempts {
		chosen, ok := e.pick(ctx, req)
		if !ok {
			break
		}
		if retry && !e.retryBudget.TryRetry(e.deps.Clock.Now()) {
			break
		}
		if retry {
			e.metrics.retries.Inc(1)
			retry = false
		}
		refusal := e.attempt(ctx, req, chosen, &received, out)
		if refusal == nil {
			return nil
		}
		last = preferredRefusal(last, refusal)
		req.routing.Excluded[chosen.vm.Name] = true
		if refusal.Outcome == outcome.NotRun {
			refusals++
			continue
		}
		mayHaveRun = true
		attempts++
		if ctx.Err() != nil || refusal.Reason == outcome.ReasonMemory { // another run would need the same memory
			break
		}
		retry = true
	}
	return finalRefusal(last, mayHaveRun)
}

const (
	// attemptsPerRound is the number of unsuccessful attempts after which a
	// top-tier request pauses and starts a new round, in which it may be sent to
	// any agent again.
	attemptsPerRound = 3
	// roundPauseDivisor determines the pause before a new round: the remaining
	// time of the latency target divided by roundPauseDivisor.
	roundPauseDivisor = 4
	// maxRoundPause is the maximum pause before a new round.
	maxRoundPause = 40 * time.Millisecond
)

// pick chooses an agent to which the request was not sent in this round. For a
// top-tier request that has time remaining until its latency target and does not
// resume a broken stream, it pauses and starts a new round when the round has
// reached attemptsPerRound or no other agent is eligible.
func (e *Entry) pick(ctx context.Context, req *request) (chosenAgent, bool) {
	excluded := len(req.routing.Excluded)
	if excluded < attemptsPerRound {
		if chosen, ok := e.agents.pick(&req.routing); ok || excluded == 0 {
			return chosen, ok
		}
	}
	remaining := req.targetRemaining(e.deps.Clock.Now())
	if req.maxQueueTime(remaining) == 0 {
		return e.agents.pick(&req.routing)
	}
	if remaining < minQueueTime {
		return chosenAgent{}, false
	}
	clock.Sleep(ctx, min(remaining/roundPauseDivisor, maxRoundPause))
	clear(req.routing.Excluded)
	return e.agents.pick(&req.routing)
}

// preferredRefusal chooses the refusal to report. An unknown outcome precedes
// not_run; of two refusals with the same outcome, the one with the shorter retry
// delay is chosen, and one without a retry delay only if neither has one.
func preferredRefusal(last, next *outcome.Refusal) *outcome.Refusal {
	if last == nil {
		return next
	}
	if last.Outcome != next.Outcome {
		if next.Outcome == outcome.Unknown {
			return next
		}
		return last
	}
	if last.RetryAfter > 0 && (next.RetryAfter == 0 || last.RetryAfter < next.RetryAfter) {
		return last
	}
	return next
}

// finalRefusal returns the refusal that an idempotent request ends with.
func finalRefusal(last *outcome.Refusal, mayHaveRun bool) *outcome.Refusal {
	if last == nil {
		return outcome.Refuse(outcome.ReasonNoBackendServer, "no backend server for it is reachable").WithRetryAfter(defaultRetryAfter)
	}
	if mayHaveRun && last.Outcome == outcome.NotRun {
		return outcome.NewUnknown(last.Reason, last.Detail).WithRetryAfter(last.RetryAfter)
	}
	if last.Outcome == outcome.NotRun && last.RetryAfter == 0 {
		return last.WithRetryAfter(defaultRetryAfter)
	}
	return last
}

// attempt sends a request to one agent and forwards the response. If the run may
// continue after a failure, it is cancelled in the background.
func (e *Entry) attempt(ctx context.Context, req *request, chosen chosenAgent, received *progress, out sink) *outcome.Refusal {
	sentAt := e.deps.Clock.Now()
	args := req.args
	args.ID = newID()
	args.ResumeAfter = received.tokens
	if !args.Stream {
		received.headSent = false // the sink restarts the buffered response
	}
	args.Incarnation = chosen.incarnation
	args.TargetLeft = req.targetRemaining(sentAt)
	args.QueueFor = req.maxQueueTime(args.TargetLeft)
	e.deps.Timeline.RecordWith(timeline.AttemptSent, req.id, "", timeline.Attributes{Peer: chosen.vm.Name})
	f := &responseForwarder{entry: e, req: req, chosen: chosen, id: args.ID, progress: received, tokensBefore: received.tokens, out: out, sentAt: sentAt}
	e.agents.observe(chosen, f.observationNow(routing.KindSent))
	first, refusal := e.submit(ctx, f, &args)
	if refusal == nil {
		refusal = f.run(ctx, first)
	}
	if refusal != nil && refusal.Outcome == outcome.Unknown {
		go e.cancel(chosen, &args, refusal.Reason)
	}
	e.agents.endAttempt(chosen, f.finalObservation(refusal))
	req.resuming = args.Stream && received.headSent
	if req.resuming && !req.routing.Begun {
		req.routing.Begun, req.routing.SoftwareVersion = true, chosen.softwareVersion
	}
	return refusal
}

func (e *Entry) since(t time.Time) time.Duration {
	return e.deps.Clock.Now().Sub(t)
}

// observationKind returns the kind of observation that a refusal is for the
// agent. An agent that could not be reached has failed, although the request did
// not run.
func observationKind(refusal *outcome.Refusal) routing.ObservationKind {
	if refusal.Reason == outcome.ReasonMemory && refusal.Outcome == outcome.Unknown {
		return routing.KindCancelled // the response was not read; the agent refused nothing
	}
	switch refusal.Reason {
	case outcome.ReasonCancelled:
		return routing.KindCancelled
	case outcome.ReasonConnectionLost, outcome.ReasonTimeout, outcome.ReasonBackendServerFailed:
		return routing.KindFailed
	default:
		return routing.KindRefused
	}
}

// submit sends the request to the agent and returns the first chunk of the
// response. When the connection is lost before the reply, it returns neither a
// chunk nor a refusal: the agent may have accepted the request, which a read or
// a repeated submission shows.
func (e *Entry) submit(ctx context.Context, f *responseForwarder, args *agentapi.SubmitArgs) (*agentapi.ReadReply, *outcome.Refusal) {
	args.Read = f.readArgs(e.deps.Clock.Now())
	ctx, cancel := context.WithTimeout(ctx, args.Read.Wait+rpcMargin)
	defer cancel()
	var reply agentapi.SubmitReply
	err := e.deps.Peers.Call(ctx, f.chosen.vm.Address, agentapi.MethodSubmit, *args, &reply)
	switch {
	case err == nil:
	case peer.NotSent(err) || ctx.Err() != nil:
		return nil, callFailure(err)
	default:
		return nil, nil
	}
	e.agents.recordStatus(f.chosen.vm, &reply.Status)
	if !reply.Accepted {
		return nil, reply.Refusal
	}
	e.deps.Timeline.RecordWith(timeline.AttemptAccepted, args.RequestID, "", timeline.Attributes{Peer: f.chosen.vm.Name})
	return &reply.First, nil
}

// cancel cancels a run whose response is no longer needed.
func (e *Entry) cancel(chosen chosenAgent, args *agentapi.SubmitArgs, reason outcome.Reason) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	cancelArgs := agentapi.CancelArgs{ID: args.ID, Account: args.Account, Reason: reason}
	var reply agentapi.CancelReply
	if err := e.deps.Peers.Call(ctx, chosen.vm.Address, agentapi.MethodCancel, cancelArgs, &reply); err != nil {
		e.metrics.failedCancels.Inc(1)
	}
}
