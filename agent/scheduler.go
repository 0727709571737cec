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

// scheduler owns the queue, the table of idempotency keys and the lifecycle of
// each run. All its methods run on one goroutine, except find, which is safe for
// concurrent use.
type scheduler struct {
	cfg      Config
	deps     Dependencies
	commands *ring.Ring[command]
	chart    *statechart.Chart
	metrics  *agentMetrics

	state         agentapi.State
	drainingSince time.Time
	view          *manifest.View // active configuration; nil until there is one
	queue         *admission.Queue
	table         *idempotency.Table[*run]
	estimates     *estimate.Estimator
	running       map[string]*run // by run ID
	ended         []*run          // idempotent runs that have ended and may still be read
	stored        storedResponses
	lastCleanupAt time.Time

	runs    sync.Map // run ID (string) -> *run; also used by readers
	entries *entryActivity
	status  atomic.Pointer[agentapi.Status]
	idle    atomic.Bool
}

func newScheduler(cfg Config, deps Dependencies, commands *ring.Ring[command]) *scheduler {
	s := &scheduler{
		cfg:       cfg,
		deps:      deps,
		commands:  commands,
		chart:     statechart.MustLoad("request"),
		metrics:   newAgentMetrics(deps.Metrics),
		state:     agentapi.StateStarting,
		running:   map[string]*run{},
		stored:    storedResponses{limitBytes: max(cfg.StoredResponseBytes, 1)},
		entries:   newEntryActivity(),
		estimates: estimate.New(estimate.Config{}),
	}
	s.publishStatus(deps.Clock.Now())
	return s
}

// run carries out commands until the context ends. Before each command it applies
// a changed configuration; after it, run starts queued runs and publishes the
// status.
func (s *scheduler) run(ctx context.Context) error {
	for {
		c, ok := s.commands.Pop(ctx)
		if !ok {
			return nil
		}
		now := s.deps.Clock.Now()
		s.applyConfiguration(now)
		c.apply(s, now)
		s.dispatch(ctx, now)
		s.publishStatus(now)
	}
}

// applyConfiguration applies the active configuration to the queue and to the
// table of keys if it has changed.
func (s *scheduler) applyConfiguration(now time.Time) {
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
		s.refuseRun(now, r.Value.(*run), s.removalRefusal(r))
	}
}

// removalRefusal returns the refusal for a queued request that was removed from
// the queue by a change of the configuration.
func (s *scheduler) removalRefusal(r *admission.Request) *outcome.Refusal {
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

// observeCompletion adds a completed run to the estimates.
func (s *scheduler) observeCompletion(now time.Time, r *run) {
	firstBytesAt, events := r.response.progress()
	if firstBytesAt.IsZero() {
		firstBytesAt = now
	}
	s.estimates.Observe(now, r.args.Class, r.args.Model, firstBytesAt.Sub(r.startedAt), now.Sub(r.startedAt), events)
}

// dispatch refuses expired requests and starts queued runs while slots are free.
func (s *scheduler) dispatch(ctx context.Context, now time.Time) {
	if s.queue == nil {
		return
	}
	s.refuseExpired(now)
	for len(s.running) < s.cfg.Slots {
		next, rule := s.queue.Next(now)
		if next == nil {
			return
		}
		s.startRun(ctx, now, next.Value.(*run), string(rule))
	}
}

// refuseExpired refuses queued requests that can no longer start by their
// deadline.
func (s *scheduler) refuseExpired(now time.Time) {
	for _, expired := range s.queue.Expire(now) {
		refusal := outcome.Refuse(outcome.ReasonDeadline, "it can no longer start in time")
		s.refuseRun(now, expired.Value.(*run), refusal.WithRetryAfter(s.queue.RetryAfter(expired)))
	}
}

// startRun starts a run on a goroutine of its own. The rule is the scheduling
// rule that selected the run.
func (s *scheduler) startRun(ctx context.Context, now time.Time, r *run, rule string) {
	r.fire("start")
	r.startedAt = now
	runCtx, cancel := context.WithCancelCause(ctx)
	r.cancel = cancel
	s.running[r.args.ID] = r
	s.metrics.observeStart(r.args.Class, now.Sub(r.arrivedAt))
	s.record(timeline.RunStarted, r, "via "+rule, timeline.Attributes{})
	go func() {
		refusal := execute(runCtx, s.deps.BackendServer, r)
		cancel(nil)
		pushBlocking(s.commands, finishedCommand{run: r, refusal: refusal})
	}()
}

// finishRun frees the slot of a run whose call to the backend server has ended.
// It keeps the response for readers and, with a key, for retries of the key.
func (s *scheduler) finishRun(now time.Time, r *run, refusal *outcome.Refusal) {
	delete(s.running, r.args.ID)
	r.endedAt = now
	s.queue.Finished(now, r.args.Class, now.Sub(r.startedAt))
	switch {
	case refusal == nil:
		r.fire("finish")
		s.observeCompletion(now, r)
	case refusal.Reason == outcome.ReasonCancelled:
		r.fire("cancel")
	default:
		r.fire("fail")
	}
	r.releaseBody()
	r.response.finish(refusal)
	s.metrics.observeEnd(r.args.Class, now.Sub(r.startedAt), refusal)
	s.record(timeline.RunFinished, r, r.machine.State(), timeline.Attributes{})
	if !r.keyed {
		s.ended = append(s.ended, r)
		return
	}
	r.response.store()
	s.metrics.discarded.Inc(int64(s.stored.add(r)))
}

// find returns the run with the ID, or nil when there is none or it belongs to
// another account. It is safe for concurrent use.
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

// publishStatus updates the status, the idle flag and the gauges.
func (s *scheduler) publishStatus(now time.Time) {
	status := &agentapi.Status{
		VM: s.cfg.VM.Name, DataCentre: s.cfg.VM.DataCentre, Incarnation: s.cfg.Incarnation,
		State: s.state, Models: s.cfg.Models, Services: s.cfg.Services, SoftwareVersion: s.cfg.SoftwareVersion,
		Slots: s.cfg.Slots, Running: len(s.running),
	}
	if s.view != nil {
		status.ConfigVersion = s.view.Version()
		status.Queued = s.queue.Len()
		status.WaitByTier = s.queue.WaitByTier(now, len(s.running))
	}
	s.status.Store(status)
	if s.state == agentapi.StateDraining {
		s.idle.Store(status.Running == 0 && status.Queued == 0 && s.allDelivered(now))
	}
	s.metrics.setLoad(status)
}
