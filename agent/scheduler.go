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
	kept      keptAnswers
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
		kept:      keptAnswers{limit: max(cfg.KeptAnswerBytes, 1)},
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
	return outcome.Refuse(outcome.ReasonShed, "the queue became shorter").WithRetryAfter(s.queue.RetryAfter(r))
}

func classesOf(view *manifest.View) []admission.Class {
	classes := make([]admission.Class, len(view.Manifest.Classes))
	for i, c := range view.Manifest.Classes {
		classes[i] = admission.Class{Name: c.Name, Tier: c.Tier, Floor: c.Floor}
	}
	return classes
}

// observe feeds the estimates with a run that completed.
func (s *scheduler) observe(now time.Time, r *run) {
	firstAt, events := r.answer.pace()
	if firstAt.IsZero() {
		firstAt = now
	}
	s.estimates.Observe(now, r.args.Class, r.args.Model, firstAt.Sub(r.started), now.Sub(r.started), events)
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
		s.refuse(now, late.Value.(*run), refusal.WithRetryAfter(s.queue.RetryAfter(late)))
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
	r.args.Body = nil
	if !r.keyed {
		s.ended = append(s.ended, r)
		return
	}
	s.meters.discarded.Inc(int64(s.kept.add(r)))
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
	if s.state == agentapi.StateDraining {
		s.idle.Store(status.Running == 0 && status.Queued == 0 && s.delivered(now))
	}
	s.meters.load(status)
}
