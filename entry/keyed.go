package entry

import (
	"context"
	"time"

	"github.com/sesameswitch/sesameswitch/clock"

	"github.com/sesameswitch/sesameswitch/agentapi"
	"github.com/sesameswitch/sesameswitch/outcome"
	"github.com/sesameswitch/sesameswitch/routing"
	"github.com/sesameswitch/sesameswitch/timeline"
)

// keyedStallTimeout is how long the response to an at-most-once request may
// make no progress before the caller gets the outcome unknown. The run
// continues, and a request with the same key joins it.
const keyedStallTimeout = 30 * time.Second

// serveKeyed sends an at-most-once request to the agent incarnation that its key
// names; no other may run it. Repeated submission is safe, since the agent joins
// all requests with the same key to one run. If the agent cannot report the
// outcome, the outcome is unknown.
func (e *Entry) serveKeyed(ctx context.Context, req *request, out sink) *outcome.Refusal {
	vm, ok := e.deps.Members.Get(req.key.VM)
	if !ok {
		return outcome.NewUnknown(outcome.ReasonNoBackendServer, "the agent that the key names is not known here").WithRetryAfter(time.Second)
	}
	chosen := chosenAgent{vm: vm, incarnation: agentapi.Incarnation(req.key.Incarnation)}
	args := req.args
	args.ID = req.keyText
	args.Incarnation = chosen.incarnation
	args.Refuse = req.refuseReason
	f := &responseForwarder{
		entry: e, req: req, chosen: chosen, id: args.ID,
		progress: &progress{}, out: out, sentAt: e.deps.Clock.Now(),
	}
	e.agents.startAttempt(chosen, f.observationNow(routing.KindSent))
	first, refusal := e.submitKeyed(ctx, req, f, &args)
	if refusal == nil {
		refusal = f.run(ctx, first)
	}
	e.agents.endAttempt(chosen, f.finalObservation(refusal))
	return refusal
}

// submitKeyed submits the request until the agent replies or the reconnect
// window ends.
func (e *Entry) submitKeyed(ctx context.Context, req *request, f *responseForwarder, args *agentapi.SubmitArgs) (*agentapi.ReadReply, *outcome.Refusal) {
	startedAt := e.deps.Clock.Now()
	for {
		args.TargetLeft = req.targetRemaining(e.deps.Clock.Now())
		e.deps.Timeline.RecordWith(timeline.AttemptSent, req.id, "", timeline.Attributes{Peer: f.chosen.vm.Name})
		first, refusal := e.submit(ctx, f, args)
		if first != nil {
			return first, nil
		}
		if refusal == nil {
			refusal = outcome.NewUnknown(outcome.ReasonConnectionLost, "the connection to the agent was lost")
		}
		if refusal.Reason != outcome.ReasonConnectionLost && refusal.Reason != outcome.ReasonTimeout {
			return nil, refusal
		}
		if ctx.Err() != nil || e.since(startedAt) > reconnectWindow {
			return nil, outcome.NewUnknown(refusal.Reason, refusal.Detail).WithRetryAfter(refusal.RetryAfter)
		}
		clock.Sleep(ctx, reconnectInterval)
	}
}
