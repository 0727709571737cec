package agent

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sesameswitch/sesameswitch/admission"
	"github.com/sesameswitch/sesameswitch/agentapi"
	"github.com/sesameswitch/sesameswitch/estimate"
	"github.com/sesameswitch/sesameswitch/idempotency"
	"github.com/sesameswitch/sesameswitch/internal/mutation"
	"github.com/sesameswitch/sesameswitch/manifest"
	"github.com/sesameswitch/sesameswitch/outcome"
	"github.com/sesameswitch/sesameswitch/ring"
	"github.com/sesameswitch/sesameswitch/statechart"
	"github.com/sesameswitch/sesameswitch/timeline"
)

// scheduler owns the queue, the at-most-once table and the life of each run.
// All its methods but find run on one goroutine.
type scheduler struct {
	cfg      Config
	deps     Dependencies
	commands *ring.Ring[command]
	chart    *statechart.Chart
	meters   *meters

	state     agentapi.State
	leavingAt time.Time
	view      *manifest.View
	queue     *admission.Queue
	table     *idempotency.Table[*run]
	estimates *estimate.Estimator
	running   map[string]*run
	ended     []*run // repeatable runs that are over but may still be read
	forgotten time.Time

	runs    sync.Map // string -> *run, for readers
	entries *entryTimes
	status  atomic.Pointer[agentapi.Status]
	idle    atomic.Bool
}

func newScheduler(cfg Config, deps Dependencies, commands *ring.Ring[command]) *scheduler {
	s := &scheduler{
		cfg:       cfg,
		deps:      deps,
		commands:  commands,
		chart:     statechart.MustLoad("request"),
		meters:    newMeters(deps.Metrics),
		state:     agentapi.StateStarting,
		running:   map[string]*run{},
		entries:   newEntryTimes(),
		estimates: estimate.New(estimate.Config{}),
	}
	s.publish(deps.Clock.Now())
	return s
}

// run carries out commands until the context ends.
func (s *scheduler) run(ctx context.Context) error {
	for {
		c, ok := s.commands.Pop(ctx)
		if !ok {
			return nil
		}
		now := s.deps.Clock.Now()
		s.adopt(now)
		c.apply(s, now)
		s.dispatch(ctx, now)
		s.publish(now)
	}
}

// adopt takes up a configuration that came into force.
func (s *scheduler) adopt(now time.Time) {
	view := s.deps.Configuration.Current()
	if view == nil || view == s.view {
		return
	}
	s.view = view
	limits := view.Manifest.Limits
	cfg := admission.Config{
		Policy:   s.cfg.Policy,
		Capacity: limits.QueuePerAgent,
		Slots:    s.cfg.Slots,
		Classes:  classesOf(view),
		Rand:     rand.New(rand.NewPCG(s.cfg.Seed, 1)),
	}
	if s.queue == nil {
		s.queue = admission.New(cfg)
		s.table = idempotency.NewTable[*run](idempotency.Config{
			VM: s.cfg.VM.Name, Incarnation: string(s.cfg.Incarnation),
			Capacity: limits.KeysPerAgent, Validity: limits.KeyValidity, FutureSkew: keyFutureSkew,
		})
		return
	}
	s.table.Configure(limits.KeysPerAgent, limits.KeyValidity)
	for _, r := range s.queue.Reconfigure(cfg) {
		s.refuse(now, r.Value.(*run), s.orphaned(r))
	}
}

// orphaned refuses a queued request that the configuration now in force has
// no place for.
func (s *scheduler) orphaned(r *admission.Request) *outcome.Refusal {
	if _, ok := s.view.Class(r.Class); !ok {
		return outcome.Refuse(outcome.ReasonStaleConfig, "the class is no longer configured")
	}
	return outcome.Refuse(outcome.ReasonShed, "the queue became shorter").After(s.queue.RetryAfter(r))
}

func classesOf(view *manifest.View) []admission.Class {
	classes := make([]admission.Class, len(view.Manifest.Classes))
	for i, c := range view.Manifest.Classes {
		classes[i] = admission.Class{Name: c.Name, Tier: c.Tier, Floor: c.Floor}
	}
	return classes
}

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
		return outcome.Doubt(reason, detail)
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
	refusal := outcome.Refuse(args.Refuse, "refused by the entry").After(time.Second)
	verdict, _, refusal := s.table.Seal(now, args.ID, args.Account, args.BodySum, refusal)
	if verdict == idempotency.Joined {
		return agentapi.SubmitReply{Accepted: true, Joined: true, Status: *s.status.Load()}
	}
	return s.refused(args, refusal)
}

// offer puts a new run into the queue.
func (s *scheduler) offer(now time.Time, r *run, class *manifest.Class) agentapi.SubmitReply {
	if s.state != agentapi.StateServing {
		refusal := outcome.Refuse(outcome.ReasonLeaving, "the agent takes no new requests")
		if s.state == agentapi.StateStarting {
			refusal = outcome.Refuse(outcome.ReasonStarting, "the agent is starting")
		}
		s.refuse(now, r, refusal)
		return s.refused(&r.args, refusal)
	}
	evicted, refusal := s.queue.Offer(now, s.queued(now, r, class))
	for _, e := range evicted {
		refusal := outcome.Refuse(outcome.ReasonShed, "a request of a higher tier or of an account with less queued took the place")
		s.refuse(now, e.Value.(*run), refusal.After(s.queue.RetryAfter(e)))
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
		q.Cost = typical.Whole
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
		return slow.Whole
	}
}

// observe feeds the estimates with a run that completed.
func (s *scheduler) observe(now time.Time, r *run) {
	firstAt, events := r.answer.pace()
	if firstAt.IsZero() {
		firstAt = now
	}
	s.estimates.Observe(now, r.args.Class, r.args.Model, firstAt.Sub(r.started), now.Sub(r.started), events)
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

// dispatch starts queued runs while slots are free.
func (s *scheduler) dispatch(ctx context.Context, now time.Time) {
	if s.queue == nil {
		return
	}
	s.expire(now)
	for len(s.running) < s.cfg.Slots {
		next, via := s.queue.Next(now)
		if next == nil {
			return
		}
		s.start(ctx, now, next.Value.(*run), string(via))
	}
}

func (s *scheduler) expire(now time.Time) {
	for _, late := range s.queue.Expire(now) {
		refusal := outcome.Refuse(outcome.ReasonDeadline, "it can no longer start in time")
		s.refuse(now, late.Value.(*run), refusal.After(s.queue.RetryAfter(late)))
	}
}

func (s *scheduler) start(ctx context.Context, now time.Time, r *run, via string) {
	r.fire("start")
	r.started = now
	runCtx, cancel := context.WithCancelCause(ctx)
	r.cancel = cancel
	s.running[r.args.ID] = r
	s.meters.started(r.args.Class, now.Sub(r.arrived))
	s.note(timeline.RunStarted, r, "via "+via, timeline.Attributes{})
	go func() {
		refusal := execute(runCtx, s.deps.BackendServer, r)
		cancel(nil)
		mustPush(s.commands, finishedCommand{run: r, refusal: refusal})
	}()
}

// finished frees the slot of a run that is over.
func (s *scheduler) finished(now time.Time, r *run, refusal *outcome.Refusal) {
	delete(s.running, r.args.ID)
	r.ended = now
	s.queue.Finished(now, r.args.Class, now.Sub(r.started))
	switch {
	case refusal == nil:
		r.fire("finish")
		s.observe(now, r)
	case refusal.Reason == outcome.ReasonCancelled:
		r.fire("cancel")
	default:
		r.fire("fail")
	}
	r.answer.finish(refusal)
	s.meters.finished(r.args.Class, now.Sub(r.started), refusal)
	s.note(timeline.RunFinished, r, r.life.State(), timeline.Attributes{})
	if !r.keyed {
		s.ended = append(s.ended, r)
	}
}

// cancel gives up a run. It reports whether the run is known.
func (s *scheduler) cancel(now time.Time, args *agentapi.CancelArgs) bool {
	r := s.find(args.ID, args.Account)
	if r == nil {
		return false
	}
	s.giveUp(now, r)
	return true
}

func (s *scheduler) giveUp(now time.Time, r *run) {
	if r.keyed || r.life.Final() {
		return
	}
	if s.queue.Remove(r.args.ID) != nil {
		s.refuse(now, r, outcome.Refuse(outcome.ReasonCancelled, "the caller gave up"))
		return
	}
	s.note(timeline.RunCancelled, r, "", timeline.Attributes{})
	r.cancel(nil)
}

// find returns the run of an account, or nil. It is safe for concurrent use.
func (s *scheduler) find(id, account string) *run {
	value, ok := s.runs.Load(id)
	if !ok {
		return nil
	}
	r := value.(*run)
	if r.args.Account != account {
		return nil
	}
	return r
}

// enter changes the agent's state.
func (s *scheduler) enter(now time.Time, state agentapi.State) {
	if s.state == agentapi.StateLeaving {
		return
	}
	s.state = state
	if state != agentapi.StateLeaving {
		return
	}
	s.leavingAt = now
	if s.queue == nil {
		return
	}
	s.handBack(now, func(r *run) bool { return !r.keyed })
}

// handBack refuses the queued runs that the filter names.
func (s *scheduler) handBack(now time.Time, filter func(*run) bool) {
	s.runs.Range(func(_, value any) bool {
		r := value.(*run)
		if r.life.State() == "queued" && filter(r) {
			s.queue.Remove(r.args.ID)
			s.refuse(now, r, outcome.Refuse(outcome.ReasonLeaving, "the agent is leaving"))
		}
		return true
	})
}

// tick looks after leases, leaving and memory.
func (s *scheduler) tick(now time.Time) {
	if s.state == agentapi.StateLeaving && s.queue != nil && now.Sub(s.leavingAt) > leaveGrace {
		s.handBack(now, func(*run) bool { return true })
	}
	if now.Sub(s.forgotten) < time.Second {
		return
	}
	s.forgotten = now
	s.endLeases(now)
	s.forget(now)
	s.entries.forget(now, slowCallerLease)
}

// endLeases gives up repeatable runs that no entry reads any more, and runs at
// a backend server that fell silent: a run that may not be repeated has no
// other bound, and would hold its slot for ever.
func (s *scheduler) endLeases(now time.Time) {
	s.runs.Range(func(_, value any) bool {
		r := value.(*run)
		if !r.life.Final() && s.abandoned(now, r) {
			s.giveUp(now, r)
		}
		if s.running[r.args.ID] == r && r.silent(now) > backendSilence {
			s.note(timeline.RunCancelled, r, errSilent.Error(), timeline.Attributes{})
			r.cancel(errSilent)
		}
		return true
	})
}

// abandoned reports whether nobody waits for a run any more. An entry that
// lives may be held up by a caller that reads slowly.
func (s *scheduler) abandoned(now time.Time, r *run) bool {
	unread := r.unread(now)
	if s.entries.silence(r.args.Entry, now) > readLease {
		return unread > readLease
	}
	return unread > slowCallerLease
}

// forget drops answers that nobody will read again.
func (s *scheduler) forget(now time.Time) {
	kept := s.ended[:0]
	for _, r := range s.ended {
		if r.over(now) {
			s.runs.CompareAndDelete(r.args.ID, r)
			continue
		}
		kept = append(kept, r)
	}
	clear(s.ended[len(kept):])
	s.ended = kept
	if s.table == nil || s.table.Forget(now) == 0 {
		return
	}
	validity := s.view.Manifest.Limits.KeyValidity
	s.runs.Range(func(id, value any) bool {
		r := value.(*run)
		if r.keyed && r.life.Final() && now.Sub(r.arrived) > validity+keyFutureSkew {
			s.runs.Delete(id)
		}
		return true
	})
}

// publish makes the state visible to readers of the status.
func (s *scheduler) publish(now time.Time) {
	status := &agentapi.Status{
		VM: s.cfg.VM.Name, DataCentre: s.cfg.VM.DataCentre, Incarnation: s.cfg.Incarnation,
		State: s.state, Models: s.cfg.Models, Services: s.cfg.Services,
		Slots: s.cfg.Slots, Running: len(s.running),
	}
	if s.view != nil {
		status.ConfigVersion = s.view.Version()
		status.Queued = s.queue.Len()
		status.WaitByTier = s.queue.WaitByTier(now, len(s.running))
	}
	s.status.Store(status)
	if s.state == agentapi.StateLeaving {
		s.idle.Store(status.Running == 0 && status.Queued == 0 && s.delivered(now))
	}
	s.meters.load(status)
}

// delivered reports whether no answer still waits for its reader.
func (s *scheduler) delivered(now time.Time) bool {
	waiting := false
	s.runs.Range(func(_, value any) bool {
		r := value.(*run)
		waiting = !r.delivered.Load() && r.unread(now) < readLease
		return !waiting
	})
	return !waiting
}
