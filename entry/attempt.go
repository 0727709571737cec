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

// sink takes an answer for the caller.
type sink interface {
	// head sets status and headers before the first write. A further call
	// starts an answer over that is given in one piece.
	head(code int, header map[string]string)
	// write passes bytes on. An error means that the caller is gone.
	write(data []byte) error
}

// progress is what the caller has of the answer, over all attempts.
type progress struct {
	begun    bool
	events   int
	numbered bool
}

// serveRepeatable makes attempts until one completes, the request is refused
// or the retry budget is spent.
func (e *Entry) serveRepeatable(ctx context.Context, req *request, out sink) *outcome.Refusal {
	var got progress
	var last *outcome.Refusal
	mayHaveRun := false
	refusals, attempts := 0, 0
	req.route.Excluded = map[string]bool{}
	for refusals < req.refusals() && attempts < maxAttempts {
		chosen, ok := e.pick(ctx, req)
		if !ok {
			break
		}
		refusal := e.attempt(ctx, req, chosen, &got, out)
		if refusal == nil {
			return nil
		}
		last = worse(last, refusal)
		req.route.Excluded[chosen.vm.Name] = true
		if refusal.Outcome == outcome.NotRun {
			refusals++
			continue
		}
		mayHaveRun = true
		attempts++
		if ctx.Err() != nil || !e.budget.TryRetry(e.deps.Clock.Now()) {
			break
		}
		e.meters.retries.Inc(1)
	}
	return conclude(last, mayHaveRun)
}

const (
	// roundSize is how many agents refuse a request of the top tier before it
	// pauses and asks again, those that refused included.
	roundSize = 3
	// roundShare is the part of what is left of the target that it pauses.
	roundShare = 4
	// maxRoundPause bounds the pause.
	maxRoundPause = 40 * time.Millisecond
)

// pick chooses an agent that the request was not at yet. A request of the top
// tier with time left starts another round when several agents refused it.
func (e *Entry) pick(ctx context.Context, req *request) (target, bool) {
	excluded := len(req.route.Excluded)
	if excluded < roundSize {
		if chosen, ok := e.agents.pick(&req.route); ok || excluded == 0 {
			return chosen, ok
		}
	}
	left := req.targetLeft(e.deps.Clock.Now())
	if req.queueFor(left) == 0 {
		return e.agents.pick(&req.route)
	}
	if left < minQueueFor {
		return target{}, false
	}
	clock.Sleep(ctx, min(left/roundShare, maxRoundPause))
	clear(req.route.Excluded)
	return e.agents.pick(&req.route)
}

// worse keeps the refusal that says more: one that may have run goes before
// one that did not, and of two the shorter time to come back.
func worse(last, next *outcome.Refusal) *outcome.Refusal {
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

// conclude makes the final refusal of a repeatable request.
func conclude(last *outcome.Refusal, mayHaveRun bool) *outcome.Refusal {
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

// attempt sends a request to one agent and passes its answer on.
func (e *Entry) attempt(ctx context.Context, req *request, chosen target, got *progress, out sink) *outcome.Refusal {
	sent := e.deps.Clock.Now()
	args := req.args
	args.ID = newID()
	args.ResumeAfter = got.events
	if !args.Stream {
		got.begun = false
	}
	args.Incarnation = chosen.incarnation
	args.TargetLeft = req.targetLeft(sent)
	args.QueueFor = req.queueFor(args.TargetLeft)
	e.deps.Timeline.RecordWith(timeline.AttemptSent, req.id, "", timeline.Attributes{Peer: chosen.vm.Name})
	d := &delivery{entry: e, req: req, chosen: chosen, id: args.ID, got: got, had: got.events, out: out, sent: sent}
	e.agents.observe(chosen, d.seen(routing.KindSent))
	first, refusal := e.submit(ctx, d, &args)
	if refusal == nil {
		refusal = d.run(ctx, first)
	}
	if refusal != nil && refusal.Outcome == outcome.Unknown {
		go e.cancel(chosen, &args, refusal.Reason)
	}
	e.agents.done(chosen, d.observation(refusal))
	req.resuming = args.Stream && got.begun
	return refusal
}

func (e *Entry) since(t time.Time) time.Duration {
	return e.deps.Clock.Now().Sub(t)
}

// kindOf tells what a refusal says of the agent. One that could not be reached
// has failed, although the request did not run.
func kindOf(refusal *outcome.Refusal) routing.ObservationKind {
	switch refusal.Reason {
	case outcome.ReasonCancelled:
		return routing.KindCancelled
	case outcome.ReasonConnectionLost, outcome.ReasonTimeout, outcome.ReasonBackendServerFailed:
		return routing.KindFailed
	default:
		return routing.KindRefused
	}
}

// submit offers the request to the agent and returns the first part of its
// answer. When the reply is lost the part is nil: the agent may have the run,
// and reading tells.
func (e *Entry) submit(ctx context.Context, d *delivery, args *agentapi.SubmitArgs) (*agentapi.ReadReply, *outcome.Refusal) {
	args.Read = d.readArgs(e.deps.Clock.Now())
	ctx, cancel := context.WithTimeout(ctx, args.Read.Wait+readSlack)
	defer cancel()
	var reply agentapi.SubmitReply
	err := e.deps.Peers.Call(ctx, d.chosen.vm.Address, agentapi.MethodSubmit, *args, &reply)
	switch {
	case err == nil:
	case peer.NotSent(err) || ctx.Err() != nil:
		return nil, callFailure(err)
	default:
		return nil, nil
	}
	e.agents.heard(d.chosen.vm, &reply.Status)
	if !reply.Accepted {
		return nil, reply.Refusal
	}
	e.deps.Timeline.RecordWith(timeline.AttemptAccepted, args.RequestID, "", timeline.Attributes{Peer: d.chosen.vm.Name})
	return &reply.First, nil
}

// cancel tells an agent that nobody waits for the run.
func (e *Entry) cancel(chosen target, args *agentapi.SubmitArgs, reason outcome.Reason) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	message := agentapi.CancelArgs{ID: args.ID, Account: args.Account, Reason: reason}
	var reply agentapi.CancelReply
	if err := e.deps.Peers.Call(ctx, chosen.vm.Address, agentapi.MethodCancel, message, &reply); err != nil {
		e.meters.cancelsLost.Inc(1)
	}
}
