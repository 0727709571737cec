package entry

import (
	"context"
	"sync"
	"time"

	"github.com/sesameswitch/sesameswitch/clock"

	"golang.org/x/sync/errgroup"

	"github.com/sesameswitch/sesameswitch/agentapi"
	"github.com/sesameswitch/sesameswitch/provider"
	"github.com/sesameswitch/sesameswitch/retry"
	"github.com/sesameswitch/sesameswitch/routing"
	"github.com/sesameswitch/sesameswitch/statechart"
	"github.com/sesameswitch/sesameswitch/timeline"
)

// maxHeartbeatsAtOnce bounds the heartbeats under way.
const maxHeartbeatsAtOnce = 16

// agentTable is what the entry believes of the agents. It is safe for
// concurrent use.
type agentTable struct {
	cfg   Config
	deps  Dependencies
	chart *statechart.Chart

	mu     sync.Mutex
	router *routing.Router
	agents map[string]*agentView
	list   []*agentView
	// others are the agents beyond the subset, in the order in which they are
	// asked for models and services that lack agents; asked counts those that
	// were, and no search begins before searchAt.
	others   []provider.VM
	asked    int
	searchAt time.Time
	scratch  []routing.Candidate
	views    []*agentView
}

// agentView is what the entry believes of one agent.
type agentView struct {
	vm          provider.VM
	status      agentapi.Status
	heardAt     time.Time
	outstanding int
	// extra agents are beyond the subset and were found by a search.
	extra   bool
	breaker *retry.Breaker
	life    *statechart.Machine
}

// target is the agent chosen for an attempt.
type target struct {
	vm          provider.VM
	incarnation agentapi.Incarnation
}

func newAgentTable(cfg Config, deps Dependencies, router *routing.Router) *agentTable {
	return &agentTable{
		cfg:    cfg,
		deps:   deps,
		chart:  statechart.MustLoad("backend_server"),
		router: router,
		agents: map[string]*agentView{},
	}
}

// follow takes up changes of the membership until the context ends.
func (t *agentTable) follow(ctx context.Context) error {
	for {
		changed := t.deps.Members.Changed()
		t.update(t.deps.Members.Agents())
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// update keeps the deterministic subset of the agents, and those beyond it
// that were found to be needed.
func (t *agentTable) update(vms []provider.VM) {
	peers := make([]routing.SubsetCandidate, len(vms))
	for i, vm := range vms {
		peers[i] = routing.SubsetCandidate{VM: vm.Name, DataCentre: vm.DataCentre}
	}
	order := routing.Subset(t.cfg.VM.Name, t.cfg.VM.DataCentre, peers, len(peers))
	t.mu.Lock()
	defer t.mu.Unlock()
	agents := make(map[string]*agentView, t.cfg.SubsetSize)
	list := make([]*agentView, 0, t.cfg.SubsetSize)
	t.others = t.others[:0]
	for at, i := range order {
		known := t.agents[vms[i].Name]
		if at >= t.cfg.SubsetSize && (known == nil || !known.extra) {
			t.others = append(t.others, vms[i])
			continue
		}
		view := t.keep(vms[i])
		agents[vms[i].Name] = view
		list = append(list, view)
	}
	t.agents, t.list = agents, list
	t.asked, t.searchAt = 0, time.Time{}
}

func (t *agentTable) keep(vm provider.VM) *agentView {
	view, ok := t.agents[vm.Name]
	if !ok || view.vm.Address != vm.Address {
		view = &agentView{vm: vm, life: t.chart.New(), breaker: retry.NewBreaker(retry.BreakerConfig{})}
	}
	view.vm = vm
	if vm.State == provider.VMLeaving && view.life.State() != "leaving" {
		t.fire(view, "leave")
	}
	return view
}

// fire moves an agent along its chart and notes a change.
func (t *agentTable) fire(view *agentView, event string) {
	before := view.life.State()
	after, err := view.life.Fire(event)
	if err != nil || after == before {
		return
	}
	t.deps.Timeline.RecordWith(timeline.VMState, "", after, timeline.Attributes{Peer: view.vm.Name})
	t.deps.Log.WithField("vm", view.vm.Name).WithField("state", after).Info("agent changed state")
}

// heard takes up an agent's own word.
func (t *agentTable) heard(vm provider.VM, status *agentapi.Status) {
	if status.Incarnation == "" {
		return
	}
	now := t.deps.Clock.Now()
	t.mu.Lock()
	if view, ok := t.agents[vm.Name]; ok && view.vm.Address == vm.Address {
		t.learn(now, view, status)
	}
	t.mu.Unlock()
	if t.deps.ObserveVersion != nil {
		t.deps.ObserveVersion(status.ConfigVersion, vm.Address)
	}
}

func (t *agentTable) learn(now time.Time, view *agentView, status *agentapi.Status) {
	if view.status.Incarnation != status.Incarnation {
		view.life = t.chart.New()
		view.breaker = retry.NewBreaker(retry.BreakerConfig{})
	}
	view.status = *status
	view.heardAt = now
	switch status.State {
	case agentapi.StateServing:
		t.fire(view, "heartbeat")
	case agentapi.StateDraining:
		t.fire(view, "leave")
	}
}

// unheard notes that an agent did not answer a heartbeat.
func (t *agentTable) unheard(vm provider.VM) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if view, ok := t.agents[vm.Name]; ok {
		t.fire(view, "silence")
	}
}

// heardAny reports whether any agent of the subset serves.
func (t *agentTable) heardAny() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, view := range t.list {
		if view.life.State() == "serving" {
			return true
		}
	}
	return false
}

// pick chooses an agent for an attempt and counts the attempt as outstanding.
func (t *agentTable) pick(req *routing.Request) (target, bool) {
	now := t.deps.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.scratch, t.views = t.scratch[:0], t.views[:0]
	for _, view := range t.list {
		if view.life.State() != "serving" || !view.status.Serves(req.Model, req.Service) {
			continue
		}
		t.scratch = append(t.scratch, view.candidate(now))
		t.views = append(t.views, view)
	}
	if len(t.scratch) == 0 {
		return target{}, false
	}
	index, ok := t.router.Pick(now, req, t.scratch)
	if !ok {
		return target{}, false
	}
	view := t.views[index]
	view.breaker.Allow(now)
	view.outstanding++
	return target{vm: view.vm, incarnation: view.status.Incarnation}, true
}

func (v *agentView) candidate(now time.Time) routing.Candidate {
	return routing.Candidate{
		VM: v.vm.Name, DataCentre: v.vm.DataCentre, State: v.status.State,
		Slots: v.status.Slots, Running: v.status.Running, Queued: v.status.Queued,
		WaitByTier: v.status.WaitByTier, ReportedAt: v.heardAt,
		Outstanding: v.outstanding, Allowed: v.breaker.Ready(now),
	}
}

// begin counts an attempt at an agent that was not picked but named by a key.
func (t *agentTable) begin(chosen target, o routing.Observation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if view, ok := t.agents[chosen.vm.Name]; ok {
		view.outstanding++
	}
	t.router.Observe(t.deps.Clock.Now(), chosen.vm.Name, o)
}

// done takes back the count of an attempt and learns from how it went.
func (t *agentTable) done(chosen target, o routing.Observation) {
	now := t.deps.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.router.Observe(now, chosen.vm.Name, o)
	view, ok := t.agents[chosen.vm.Name]
	if !ok {
		return
	}
	view.outstanding = max(0, view.outstanding-1)
	if view.status.Incarnation != chosen.incarnation {
		return
	}
	before := view.breaker.State()
	switch o.Kind {
	case routing.KindCompleted:
		view.breaker.RecordSuccess(now)
	case routing.KindFailed:
		view.breaker.RecordFailure(now)
	}
	if after := view.breaker.State(); after != before {
		t.deps.Timeline.RecordWith(timeline.BreakerState, "", string(after), timeline.Attributes{Peer: chosen.vm.Name})
	}
}

// release takes back the count of a choice that led to no attempt.
func (t *agentTable) release(chosen target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if view, ok := t.agents[chosen.vm.Name]; ok {
		view.outstanding = max(0, view.outstanding-1)
	}
}

// observe learns from something seen during an attempt.
func (t *agentTable) observe(chosen target, o routing.Observation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.router.Observe(t.deps.Clock.Now(), chosen.vm.Name, o)
}

// heartbeats asks the agents that were not heard for a while.
func (t *agentTable) heartbeats(ctx context.Context) error {
	clock.Every(ctx, heartbeatInterval/2, func() {
		t.beat(ctx)
		t.cover(ctx)
	})
	return nil
}

func (t *agentTable) beat(ctx context.Context) {
	var group errgroup.Group
	group.SetLimit(maxHeartbeatsAtOnce)
	for _, vm := range t.quiet() {
		group.Go(func() error {
			t.ask(ctx, vm)
			return nil
		})
	}
	_ = group.Wait()
}

// quiet lists the agents that were not heard within the interval.
func (t *agentTable) quiet() []provider.VM {
	now := t.deps.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	var vms []provider.VM
	for _, view := range t.list {
		if now.Sub(view.heardAt) >= heartbeatInterval {
			vms = append(vms, view.vm)
		}
	}
	return vms
}

// ask asks one of the entry's own agents for its status.
func (t *agentTable) ask(ctx context.Context, vm provider.VM) {
	status, err := t.status(ctx, vm)
	if err != nil {
		t.unheard(vm)
		return
	}
	t.heard(vm, status)
}

func (t *agentTable) status(ctx context.Context, vm provider.VM) (*agentapi.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	args := agentapi.StatusArgs{Entry: t.cfg.VM.Name, ConfigVersion: t.deps.Configuration.Version()}
	var reply agentapi.StatusReply
	err := t.deps.Peers.Call(ctx, vm.Address, agentapi.MethodStatus, args, &reply)
	return &reply.Status, err
}
