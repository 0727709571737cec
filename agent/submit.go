package agent

import (
	"time"

	"github.com/sesameswitch/sesameswitch/admission"
	"github.com/sesameswitch/sesameswitch/agentapi"
	"github.com/sesameswitch/sesameswitch/idempotency"
	"github.com/sesameswitch/sesameswitch/internal/mutation"
	"github.com/sesameswitch/sesameswitch/manifest"
	"github.com/sesameswitch/sesameswitch/outcome"
	"github.com/sesameswitch/sesameswitch/timeline"
)

// submit takes, joins or refuses a request.
func (s *scheduler) submit(now time.Time, args *agentapi.SubmitArgs) agentapi.SubmitReply {
	refusal := s.precheck(args)
	if refusal != nil {
		return s.refused(args, refusal)
	}
	class, ok := s.view.Class(args.Class)
	if !ok {
		return s.refused(args, s.gate(args, outcome.ReasonStaleConfig, "the class is not configured here"))
	}
	keyed := class.Repeatability == manifest.AtMostOnce
	if keyed != args.Keyed {
		return s.refused(args, s.gate(args, outcome.ReasonStaleConfig, "the class changed its repeatability"))
	}
	if keyed {
		return s.submitKeyed(now, args, class)
	}
	if _, ok := s.runs.Load(args.ID); ok {
		return agentapi.SubmitReply{Accepted: true, Joined: true, Status: *s.status.Load()}
	}
	r := newRun(*args, class.Tier, false, now, s.chart, s.deps.Clock)
	return s.offer(now, r, class)
}

// precheck refuses what this incarnation cannot judge or does not serve.
func (s *scheduler) precheck(args *agentapi.SubmitArgs) *outcome.Refusal {
	foreign := args.Incarnation != "" && args.Incarnation != s.cfg.Incarnation
	if foreign && !mutation.Off(idempotency.GuardIncarnation) {
		return s.gate(args, outcome.ReasonWrongIncarnation, "the agent has restarted")
	}
	if s.view == nil {
		return s.gate(args, outcome.ReasonStarting, "the agent has no configuration yet")
	}
	status := s.status.Load()
	if !status.Serves(args.Model, args.Service) {
		return s.gate(args, outcome.ReasonNoBackendServer, "the backend server does not have the model or service")
	}
	return nil
}

// gate refuses a request before its key was looked at. Only a request without
// a key is then known not to have run.
func (s *scheduler) gate(args *agentapi.SubmitArgs, reason outcome.Reason, detail string) *outcome.Refusal {
	if args.Keyed {
		return outcome.NewUnknown(reason, detail)
	}
	return outcome.Refuse(reason, detail)
}

// submitKeyed runs a request at most once in the life of this incarnation.
func (s *scheduler) submitKeyed(now time.Time, args *agentapi.SubmitArgs, class *manifest.Class) agentapi.SubmitReply {
	if args.Refuse != outcome.ReasonNone {
		return s.seal(now, args)
	}
	fresh := func() *run { return newRun(*args, class.Tier, true, now, s.chart, s.deps.Clock) }
	verdict, r, refusal := s.table.Claim(now, args.ID, args.Account, args.BodySum, fresh)
	switch verdict {
	case idempotency.New:
		return s.offer(now, r, class)
	case idempotency.Joined:
		s.meters.joined.Inc(1)
		return agentapi.SubmitReply{Accepted: true, Joined: true, Status: *s.status.Load()}
	default:
		return s.refused(args, refusal)
	}
}

// seal refuses a key for good unless it was accepted before.
func (s *scheduler) seal(now time.Time, args *agentapi.SubmitArgs) agentapi.SubmitReply {
	refusal := outcome.Refuse(args.Refuse, "refused by the entry").WithRetryAfter(time.Second)
	verdict, _, refusal := s.table.Seal(now, args.ID, args.Account, args.BodySum, refusal)
	if verdict == idempotency.Joined {
		return agentapi.SubmitReply{Accepted: true, Joined: true, Status: *s.status.Load()}
	}
	return s.refused(args, refusal)
}

// offer puts a new run into the queue.
func (s *scheduler) offer(now time.Time, r *run, class *manifest.Class) agentapi.SubmitReply {
	if s.state != agentapi.StateServing {
		refusal := outcome.Refuse(outcome.ReasonDraining, "the agent takes no new requests")
		if s.state == agentapi.StateStarting {
			refusal = outcome.Refuse(outcome.ReasonStarting, "the agent is starting")
		}
		s.refuse(now, r, refusal)
		return s.refused(&r.args, refusal)
	}
	evicted, refusal := s.queue.Offer(now, s.queued(now, r, class))
	for _, e := range evicted {
		refusal := outcome.Refuse(outcome.ReasonShed, "a request of a higher tier or of an account with less queued took the place")
		s.refuse(now, e.Value.(*run), refusal.WithRetryAfter(s.queue.RetryAfter(e)))
	}
	if refusal != nil {
		s.refuse(now, r, refusal)
		return s.refused(&r.args, refusal)
	}
	r.fire("queue")
	s.runs.Store(r.args.ID, r)
	s.note(timeline.RunQueued, r, "", timeline.Attributes{})
	return agentapi.SubmitReply{Accepted: true, Status: *s.status.Load()}
}

func (s *scheduler) queued(now time.Time, r *run, class *manifest.Class) *admission.Request {
	weight := 1
	if account, ok := s.view.Account(r.args.Account); ok && account.Weight > 0 {
		weight = account.Weight
	}
	q := &admission.Request{
		ID: r.args.ID, Class: class.Name, Account: r.args.Account, Weight: weight,
		Arrived: now, Value: r,
	}
	typical, known := s.estimates.Quantile(class.Name, r.args.Model, typicalQuantile)
	if known {
		q.Cost = typical.Completion
	}
	if r.args.TargetLeft > 0 && s.deadlines() {
		lead := min(s.leadTime(r, class), r.args.TargetLeft*maxLeadPercent/100)
		margin := r.args.TargetLeft * startMarginPercent / 100
		wait := r.args.TargetLeft - lead - margin
		if r.args.QueueFor > 0 {
			wait = min(wait, r.args.QueueFor)
		}
		q.StartBy = now.Add(wait)
	}
	return q
}

// deadlines reports whether the policy knows deadlines. The baselines run what
// they queued, however late, until its caller gives up.
func (s *scheduler) deadlines() bool {
	return s.cfg.Policy != admission.PolicyFIFO && s.cfg.Policy != admission.PolicyStrict
}

// leadTime is how long after its start a run will have met its target: at
// its first token, or at its end for a target of the whole call.
func (s *scheduler) leadTime(r *run, class *manifest.Class) time.Duration {
	slow, known := s.estimates.Quantile(class.Name, r.args.Model, slowQuantile)
	switch {
	case !known:
		return 0
	case r.args.Stream && class.Targets.FirstToken > 0:
		return slow.FirstToken
	default:
		return slow.Completion
	}
}

// refuse ends a run that has not started and seals its key.
func (s *scheduler) refuse(now time.Time, r *run, refusal *outcome.Refusal) {
	r.refuse(now, refusal)
	s.meters.refused(refusal.Reason)
	s.note(timeline.RunShed, r, refusal.Detail, timeline.Attributes{Reason: string(refusal.Reason)})
	if r.keyed {
		s.table.Withdraw(r.args.ID, refusal)
		return
	}
	if _, ok := s.runs.Load(r.args.ID); ok {
		s.ended = append(s.ended, r)
	}
}

// note records an event of a run with its class, account and entry.
func (s *scheduler) note(kind timeline.Kind, r *run, detail string, more timeline.Attributes) {
	more.Class = r.args.Class
	more.Account = r.args.Account
	more.Peer = r.args.Entry
	s.deps.Timeline.RecordWith(kind, r.args.RequestID, detail, more)
}

func (s *scheduler) refused(args *agentapi.SubmitArgs, refusal *outcome.Refusal) agentapi.SubmitReply {
	s.deps.Timeline.RecordWith(timeline.AttemptRefused, args.RequestID, refusal.Detail, timeline.Attributes{
		Class: args.Class, Account: args.Account, Peer: args.Entry, Reason: string(refusal.Reason), Outcome: string(refusal.Outcome),
	})
	return agentapi.SubmitReply{Refusal: refusal, Status: *s.status.Load()}
}
