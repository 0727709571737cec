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

// keyedPatience is how long an answer to a request that runs at most once may
// stand still before the caller is told that its outcome is unknown. The run
// goes on, and a repeat of the key joins it.
const keyedPatience = 30 * time.Second

// serveKeyed brings a request that runs at most once to the one agent that
// its key names. Submitting again is safe there: the agent joins a repeat to
// the first run. What that agent cannot vouch for is unknown.
func (e *Entry) serveKeyed(ctx context.Context, req *request, out sink) *outcome.Refusal {
	vm, ok := e.deps.Members.Get(req.key.VM)
	if !ok {
		return outcome.NewUnknown(outcome.ReasonNoBackendServer, "the agent that the key names is not known here").WithRetryAfter(time.Second)
	}
	chosen := target{vm: vm, incarnation: agentapi.Incarnation(req.key.Incarnation)}
	args := req.args
	args.ID = req.keyText
	args.Incarnation = chosen.incarnation
	args.Refuse = req.refuse
	d := &delivery{
		entry: e, req: req, chosen: chosen, id: args.ID,
		got: &progress{}, out: out, sent: e.deps.Clock.Now(),
	}
	e.agents.begin(chosen, d.seen(routing.KindSent))
	first, refusal := e.submitKeyed(ctx, req, d, &args)
	if refusal == nil {
		refusal = d.run(ctx, first)
	}
	e.agents.done(chosen, d.observation(refusal))
	return refusal
}

// submitKeyed submits until the agent answers or the reconnect window ends.
func (e *Entry) submitKeyed(ctx context.Context, req *request, d *delivery, args *agentapi.SubmitArgs) (*agentapi.ReadReply, *outcome.Refusal) {
	began := e.deps.Clock.Now()
	for {
		args.TargetLeft = req.targetLeft(e.deps.Clock.Now())
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
		if ctx.Err() != nil || e.since(began) > reconnectWindow {
			return nil, outcome.NewUnknown(refusal.Reason, refusal.Detail).WithRetryAfter(refusal.RetryAfter)
		}
		clock.Sleep(ctx, reconnectPause)
	}
}
