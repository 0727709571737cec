package agent

import (
	"time"

	"github.com/sesameswitch/sesameswitch/admission"
	"github.com/sesameswitch/sesameswitch/agentapi"
	"github.com/sesameswitch/sesameswitch/idempotency"
	"github.com/sesameswitch/sesameswitch/internal/mutation"
	"github.com/sesameswitch/sesameswitch/manifest"
	"github.com/sesameswitch/sesameswitch/membudget"
	"github.com/sesameswitch/sesameswitch/outcome"
	"github.com/sesameswitch/sesameswitch/timeline"
)

// submit accepts a request, joins it to the existing run with the same ID, or
// refuses it.
func (s *scheduler) submit(now time.Time, args *agentapi.SubmitArgs, memory *membudget.Claim) agentapi.SubmitReply {
	refusal := s.precheck(args)
	if refusal != nil {
		return s.refusalReply(args, refusal)
	}
	class, ok := s.view.Class(args.Class)
	if !ok {
		return s.refusalReply(args, s.refuseUnclaimed(args, outcome.ReasonStaleConfig, "the class is not configured here"))
	}
	keyed := class.Repeatability == manifest.AtMostOnce
	if keyed != args.Keyed {
		return s.refusalReply(args, s.refuseUnclaimed(args, outcome.ReasonStaleConfig, "the class changed its repeatability"))
	}
	if keyed {
		return s.submitKeyed(now, args, memory, class)
	}
	if existing, ok := s.runs.Load(args.ID); ok {
		if existing.(*run).args.Account != args.Account {
			return s.refusalReply(args, outcome.Refuse(outcome.ReasonKeyReused, "the ID is that of a request of another account"))
		}
		return agentapi.SubmitReply{Accepted: true, Joined: true, Status: *s.status.Load()}
	}
	r := s.newRun(*args, memory, class.Tier, false, now)
	return s.enqueue(now, r, class)
}

// precheck refuses requests for another incarnation, requests for a model or
// service that the backend server does not have, and all requests while the agent
// has no configuration.
func (s *scheduler) precheck(args *agentapi.SubmitArgs) *outcome.Refusal {
	otherIncarnation := args.Incarnation != "" && args.Incarnation != s.cfg.Incarnation
	if otherIncarnation && !mutation.Off(idempotency.GuardIncarnation) {
		return s.refuseUnclaimed(args, outcome.ReasonWrongIncarnation, "the agent has restarted")
	}
	if s.view == nil {
		return s.refuseUnclaimed(args, outcome.ReasonStarting, "the agent has no configuration yet")
	}
	status := s.status.Load()
	if !status.Serves(args.Model, args.Service) {
		return s.refuseUnclaimed(args, outcome.ReasonNoBackendServer, "the backend server does not have the model or service")
	}
	return nil
}

// refuseUnclaimed returns the refusal of a request before its key is claimed in
// the table. An earlier attempt with the same key may have run, so the outcome is
// not_run only for a request without a key.
func (s *scheduler) refuseUnclaimed(args *agentapi.SubmitArgs, reason outcome.Reason, detail string) *outcome.Refusal {
	if args.Keyed {
		return outcome.NewUnknown(reason, detail)
	}
	return outcome.Refuse(reason, detail)
}

// submitKeyed claims the key of a request, so that the request runs at most once
// during this incarnation. If the entry refuses the request, its key is sealed
// instead.
func (s *scheduler) submitKeyed(now time.Time, args *agentapi.SubmitArgs, memory *membudget.Claim, class *manifest.Class) agentapi.SubmitReply {
	if args.Refuse != outcome.ReasonNone {
		return s.seal(now, args)
	}
	createRun := func() *run { return s.newRun(*args, memory, class.Tier, true, now) }
	verdict, r, refusal := s.table.Claim(now, args.ID, args.Account, args.BodySum, createRun)
	switch verdict {
	case idempotency.New:
		return s.enqueue(now, r, class)
	case idempotency.Joined:
		s.metrics.joined.Inc(1)
		return agentapi.SubmitReply{Accepted: true, Joined: true, Status: *s.status.Load()}
	default:
		return s.refusalReply(args, refusal)
	}
}

// seal seals the key of a request that the entry refuses, so that the key can never
// run afterwards. If a request with the key was accepted before, the request joins
// that run instead. If the table cannot guarantee that the key never runs, the
// refusal has outcome unknown.
func (s *scheduler) seal(now time.Time, args *agentapi.SubmitArgs) agentapi.SubmitReply {
	refusal := outcome.Refuse(args.Refuse, "refused by the entry").WithRetryAfter(time.Second)
	verdict, _, refusal := s.table.Seal(now, args.ID, args.Account, args.BodySum, refusal)
	if verdict == idempotency.Joined {
		return agentapi.SubmitReply{Accepted: true, Joined: true, Status: *s.status.Load()}
	}
	return s.refusalReply(args, refusal)
}

// enqueue adds a new run to the queue, or refuses it.
func (s *scheduler) enqueue(now time.Time, r *run, class *manifest.Class) agentapi.SubmitReply {
	if s.state != agentapi.StateServing {
		refusal := outcome.Refuse(outcome.ReasonDraining, "the agent takes no new requests")
		if s.state == agentapi.StateStarting {
			refusal = outcome.Refuse(outcome.ReasonStarting, "the agent is starting")
		}
		s.refuseRun(now, r, refusal)
		return s.refusalReply(&r.args, refusal)
	}
	evicted, refusal := s.queue.Offer(now, s.admissionRequest(now, r, class))
	for _, victim := range evicted {
		refusal := outcome.Refuse(outcome.ReasonShed, "a request of a higher tier or of an account with less queued took the place")
		s.refuseRun(now, victim.Value.(*run), refusal.WithRetryAfter(s.queue.RetryAfter(victim)))
	}
	if refusal != nil {
		s.refuseRun(now, r, refusal)
		return s.refusalReply(&r.args, refusal)
	}
	r.fire("queue")
	s.runs.Store(r.args.ID, r)
	s.record(timeline.RunQueued, r, "", timeline.Attributes{})
	return agentapi.SubmitReply{Accepted: true, Status: *s.status.Load()}
}

// admissionRequest returns the queue's request for a run. Its start deadline
// reserves the lead time and the time to return the response before the latency
// target, and is not later than the entry's limit on the time in the queue.
func (s *scheduler) admissionRequest(now time.Time, r *run, class *manifest.Class) *admission.Request {
	weight := 1
	if account, ok := s.view.Account(r.args.Account); ok && account.Weight > 0 {
		weight = account.Weight
	}
	req := &admission.Request{
		ID: r.args.ID, Class: class.Name, Account: r.args.Account, Weight: weight,
		Arrived: now, Value: r,
	}
	typical, known := s.estimates.Quantile(class.Name, r.args.Model, typicalQuantile)
	if known {
		req.Cost = typical.Completion
	}
	if r.args.TargetLeft > 0 && s.usesDeadlines() {
		lead := min(s.leadTime(r, class), r.args.TargetLeft*maxLeadPercent/100)
		margin := r.args.TargetLeft * startMarginPercent / 100
		wait := r.args.TargetLeft - lead - margin
		if r.args.QueueFor > 0 {
			wait = min(wait, r.args.QueueFor)
		}
		req.StartBy = now.Add(wait)
	}
	return req
}

// usesDeadlines reports whether the policy uses start deadlines. The baseline
// policies run queued requests however late they are, unless they are cancelled.
func (s *scheduler) usesDeadlines() bool {
	return s.cfg.Policy != admission.PolicyFIFO && s.cfg.Policy != admission.PolicyStrict
}

// leadTime returns how long before its latency target a run has to start. For a
// stream whose class has a target for the first token, this is a slow time to
// first token; for other runs, a slow service time. Without estimates, leadTime
// returns zero.
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

// refuseRun ends a run that has not started. In the table of keys, the refusal
// replaces an at-most-once run, so that its key can never run.
func (s *scheduler) refuseRun(now time.Time, r *run, refusal *outcome.Refusal) {
	r.refuse(now, refusal)
	s.metrics.countRefusal(refusal.Reason)
	s.record(timeline.RunRefused, r, refusal.Detail, timeline.Attributes{Reason: string(refusal.Reason)})
	if r.keyed {
		s.table.Withdraw(r.args.ID, refusal)
		return
	}
	if _, ok := s.runs.Load(r.args.ID); ok {
		s.ended = append(s.ended, r)
	}
}

// record adds an event of a run to the time line, with its class, account and
// entry.
func (s *scheduler) record(kind timeline.Kind, r *run, detail string, attributes timeline.Attributes) {
	attributes.Class = r.args.Class
	attributes.Account = r.args.Account
	attributes.Peer = r.args.Entry
	s.deps.Timeline.RecordWith(kind, r.args.RequestID, detail, attributes)
}

// refusalReply records the refusal of a request and returns the reply.
func (s *scheduler) refusalReply(args *agentapi.SubmitArgs, refusal *outcome.Refusal) agentapi.SubmitReply {
	s.deps.Timeline.RecordWith(timeline.AttemptRefused, args.RequestID, refusal.Detail, timeline.Attributes{
		Class: args.Class, Account: args.Account, Peer: args.Entry, Reason: string(refusal.Reason), Outcome: string(refusal.Outcome),
	})
	return agentapi.SubmitReply{Refusal: refusal, Status: *s.status.Load()}
}
