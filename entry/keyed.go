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

// serveKeyed sends an at-most-once request to the one agent that its key names.
// Repeated submission to that agent is safe: it joins a repeated key to the
// first run. If that agent cannot report the outcome, the outcome is unknown.
func (e *Entry) serveKeyed(ctx context.Context, req *request, out sink) *outcome.Refusal {
	vm, ok := e.deps.Members.Get(req.key.VM)
	if !ok {
		return outcome.NewUnknown(outcome.ReasonNoBackendServer, "the agent named by the idempotency key is unknown to this entry").WithRetryAfter(time.Second)
	}
	chosen := chosenAgent{vm: vm, incarnation: agentapi.Incarnation(req.key.Incarnation)}
	args := req.args
	args.ID = req.keyText
	args.Incarnation = chosen.incarnation
	args.Refuse = req.refuseReason
	d := &delivery{
		entry: e, req: req, chosen: chosen, id: args.ID,
		progress: &progress{}, out: out, sentAt: e.deps.Clock.Now(),
	}
	e.agents.startAttempt(chosen, d.observationNow(routing.KindSent))
	first, refusal := e.submitKeyed(ctx, req, d, &args)
	if refusal == nil {
		refusal = d.run(ctx, first)
	}
	e.agents.endAttempt(chosen, d.finalObservation(refusal))
	return refusal
}

// submitKeyed submits the request until the agent replies or the reconnect
// window ends.
func (e *Entry) submitKeyed(ctx context.Context, req *request, d *delivery, args *agentapi.SubmitArgs) (*agentapi.ReadReply, *outcome.Refusal) {
	startedAt := e.deps.Clock.Now()
	for {
		args.TargetLeft = req.targetRemaining(e.deps.Clock.Now())
		e.deps.Timeline.RecordWith(timeline.AttemptSent, req.id, "", timeline.Attributes{Peer: d.chosen.vm.Name})
		first, refusal := e.submit(ctx, d, args)
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
