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

// maxConcurrentHeartbeats bounds the heartbeats in progress.
const maxConcurrentHeartbeats = 16

// agentTable holds the state of the agents as last observed by the entry. It is
// safe for concurrent use.
type agentTable struct {
	cfg  Config
	deps Dependencies
	// chart defines the states and events of an agent's lifecycle.
	chart *statechart.Chart

	mu     sync.Mutex
	router *routing.Router
	// agents are the known agents by VM name: those in the subset and those
	// that were discovered beyond it. known lists the same agents.
	agents map[string]*agentState
	known  []*agentState
	// beyondSubset lists the other agents, in the order in which a search probes
	// them. probed counts those that the current search has probed; the next
	// search starts at nextSearchAt or later.
	beyondSubset []provider.VM
	probed       int
	nextSearchAt time.Time
	// candidates and candidateAgents are buffers that pick reuses.
	candidates      []routing.Candidate
	candidateAgents []*agentState
}

// agentState is the state of one agent as last observed by the entry.
type agentState struct {
	vm     provider.VM
	status agentapi.Status
	// lastSeenAt is when the agent last sent a status.
	lastSeenAt time.Time
	// inFlight counts the attempts in flight.
	inFlight int
	// discovered is true for an agent beyond the subset that a search found.
	discovered bool
	breaker    *retry.Breaker
	lifecycle  *statechart.Machine
}

// chosenAgent is the agent chosen for an attempt.
type chosenAgent struct {
	vm          provider.VM
	incarnation agentapi.Incarnation
	// softwareVersion is that of its backend server.
	softwareVersion string
}

func newAgentTable(cfg Config, deps Dependencies, router *routing.Router) *agentTable {
	return &agentTable{
		cfg:    cfg,
		deps:   deps,
		chart:  statechart.MustLoad("backend_server"),
		router: router,
		agents: map[string]*agentState{},
	}
}

// watchMembership applies changes of the membership until the context ends.
func (t *agentTable) watchMembership(ctx context.Context) error {
	for {
		changed := t.deps.Members.Changed()
		t.applyMembership(t.deps.Members.Agents())
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// applyMembership recomputes the known agents: the first SubsetSize agents in
// the entry's own order (see routing.Subset), and discovered agents beyond them.
func (t *agentTable) applyMembership(vms []provider.VM) {
	subsetCandidates := make([]routing.SubsetCandidate, len(vms))
	for i, vm := range vms {
		subsetCandidates[i] = routing.SubsetCandidate{VM: vm.Name, DataCentre: vm.DataCentre}
	}
	order := routing.Subset(t.cfg.VM.Name, t.cfg.VM.DataCentre, subsetCandidates, len(subsetCandidates))
	t.mu.Lock()
	defer t.mu.Unlock()
	agents := make(map[string]*agentState, t.cfg.SubsetSize)
	knownAgents := make([]*agentState, 0, t.cfg.SubsetSize)
	t.beyondSubset = t.beyondSubset[:0]
	for rank, i := range order {
		previous := t.agents[vms[i].Name]
		if rank >= t.cfg.SubsetSize && (previous == nil || !previous.discovered) {
			t.beyondSubset = append(t.beyondSubset, vms[i])
			continue
		}
		agent := t.stateOf(vms[i])
		agents[vms[i].Name] = agent
		knownAgents = append(knownAgents, agent)
	}
	t.agents, t.known = agents, knownAgents
	t.probed, t.nextSearchAt = 0, time.Time{}
}

// stateOf returns the existing state of an agent, or a new one when the agent is
// unknown or its address changed.
func (t *agentTable) stateOf(vm provider.VM) *agentState {
	agent, ok := t.agents[vm.Name]
	if !ok || agent.vm.Address != vm.Address {
		agent = &agentState{vm: vm, lifecycle: t.chart.New(), breaker: retry.NewBreaker(retry.BreakerConfig{})}
	}
	agent.vm = vm
	if vm.State == provider.VMLeaving && agent.lifecycle.State() != "leaving" {
		t.fire(agent, "leave")
	}
	return agent
}

// fire applies an event to an agent's lifecycle and records a change of state.
// It ignores an event that is not allowed in the current state.
func (t *agentTable) fire(agent *agentState, event string) {
	before := agent.lifecycle.State()
	after, err := agent.lifecycle.Fire(event)
	if err != nil || after == before {
		return
	}
	t.deps.Timeline.RecordWith(timeline.VMState, "", after, timeline.Attributes{Peer: agent.vm.Name})
	t.deps.Log.WithField("vm", agent.vm.Name).WithField("state", after).Info("agent state changed")
}

// recordStatus applies a status that an agent sent. A status without an
// incarnation comes from a reply that contains none, and is ignored.
func (t *agentTable) recordStatus(vm provider.VM, status *agentapi.Status) {
	if status.Incarnation == "" {
		return
	}
	now := t.deps.Clock.Now()
	t.mu.Lock()
	if agent, ok := t.agents[vm.Name]; ok && agent.vm.Address == vm.Address {
		t.applyStatus(now, agent, status)
	}
	t.mu.Unlock()
	if t.deps.ObserveVersion != nil {
		t.deps.ObserveVersion(status.ConfigVersion, vm.Address)
	}
}

// applyStatus stores a status and applies it to the lifecycle. A new
// incarnation starts with a new lifecycle and circuit breaker.
func (t *agentTable) applyStatus(now time.Time, agent *agentState, status *agentapi.Status) {
	if agent.status.Incarnation != status.Incarnation {
		agent.lifecycle = t.chart.New()
		agent.breaker = retry.NewBreaker(retry.BreakerConfig{})
	}
	agent.status = *status
	agent.lastSeenAt = now
	switch status.State {
	case agentapi.StateServing:
		t.fire(agent, "heartbeat")
	case agentapi.StateDraining:
		t.fire(agent, "leave")
	}
}

// recordMissedHeartbeat records that an agent did not reply to a heartbeat.
func (t *agentTable) recordMissedHeartbeat(vm provider.VM) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if agent, ok := t.agents[vm.Name]; ok {
		t.fire(agent, "silence")
	}
}

// anyServing reports whether any known agent serves.
func (t *agentTable) anyServing() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, agent := range t.known {
		if agent.lifecycle.State() == "serving" {
			return true
		}
	}
	return false
}

// pick chooses a serving agent for an attempt and counts the attempt as
// in flight.
func (t *agentTable) pick(req *routing.Request) (chosenAgent, bool) {
	now := t.deps.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.candidates, t.candidateAgents = t.candidates[:0], t.candidateAgents[:0]
	for _, agent := range t.known {
		if agent.lifecycle.State() != "serving" || !agent.status.Serves(req.Model, req.Service) {
			continue
		}
		t.candidates = append(t.candidates, agent.candidate(now))
		t.candidateAgents = append(t.candidateAgents, agent)
	}
	if len(t.candidates) == 0 {
		return chosenAgent{}, false
	}
	index, ok := t.router.Pick(now, req, t.candidates)
	if !ok {
		return chosenAgent{}, false
	}
	agent := t.candidateAgents[index]
	agent.breaker.Allow(now) // the attempt is the trial call of a breaker that is not closed
	agent.inFlight++
	return chosenAgent{vm: agent.vm, incarnation: agent.status.Incarnation, softwareVersion: agent.status.SoftwareVersion}, true
}

func (a *agentState) candidate(now time.Time) routing.Candidate {
	return routing.Candidate{
		VM: a.vm.Name, DataCentre: a.vm.DataCentre, State: a.status.State,
		Slots: a.status.Slots, Running: a.status.Running, Queued: a.status.Queued,
		WaitByTier: a.status.WaitByTier, ReportedAt: a.lastSeenAt,
		InFlight: a.inFlight, Allowed: a.breaker.Ready(now), SoftwareVersion: a.status.SoftwareVersion,
	}
}

// startAttempt counts an attempt at an agent that was named by a key instead of
// chosen by pick.
func (t *agentTable) startAttempt(chosen chosenAgent, o routing.Observation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if agent, ok := t.agents[chosen.vm.Name]; ok {
		agent.inFlight++
	}
	t.router.Observe(t.deps.Clock.Now(), chosen.vm.Name, o)
}

// endAttempt records the result of an attempt, which is then no longer
// in flight. The circuit breaker only gets results of the agent's current
// incarnation.
func (t *agentTable) endAttempt(chosen chosenAgent, o routing.Observation) {
	now := t.deps.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.router.Observe(now, chosen.vm.Name, o)
	agent, ok := t.agents[chosen.vm.Name]
	if !ok {
		return
	}
	agent.inFlight = max(0, agent.inFlight-1)
	if agent.status.Incarnation != chosen.incarnation {
		return
	}
	before := agent.breaker.State()
	switch o.Kind {
	case routing.KindCompleted:
		agent.breaker.RecordSuccess(now)
	case routing.KindFailed:
		agent.breaker.RecordFailure(now)
	}
	if after := agent.breaker.State(); after != before {
		t.deps.Timeline.RecordWith(timeline.BreakerState, "", string(after), timeline.Attributes{Peer: chosen.vm.Name})
	}
}

// releasePick removes a pick that led to no attempt from the attempts in
// flight. If the pick was the trial call of a circuit breaker, the breaker
// permits the next one after its open duration.
func (t *agentTable) releasePick(chosen chosenAgent) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if agent, ok := t.agents[chosen.vm.Name]; ok {
		agent.inFlight = max(0, agent.inFlight-1)
	}
}

// observe passes an observation of an attempt in flight to the router.
func (t *agentTable) observe(chosen chosenAgent, o routing.Observation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.router.Observe(t.deps.Clock.Now(), chosen.vm.Name, o)
}

// runHeartbeats sends the due heartbeats and searches for further agents until
// the context ends. It checks twice per heartbeat interval, which bounds the
// delay of a due heartbeat to about half an interval.
func (t *agentTable) runHeartbeats(ctx context.Context) error {
	clock.Every(ctx, heartbeatInterval/2, func() {
		t.sendHeartbeats(ctx)
		t.discoverAgents(ctx)
	})
	return nil
}

func (t *agentTable) sendHeartbeats(ctx context.Context) {
	var group errgroup.Group
	group.SetLimit(maxConcurrentHeartbeats)
	for _, vm := range t.dueForHeartbeat() {
		group.Go(func() error {
			t.sendHeartbeat(ctx, vm)
			return nil
		})
	}
	_ = group.Wait()
}

// dueForHeartbeat lists the known agents that sent no status within the
// heartbeat interval.
func (t *agentTable) dueForHeartbeat() []provider.VM {
	now := t.deps.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	var vms []provider.VM
	for _, agent := range t.known {
		if now.Sub(agent.lastSeenAt) >= heartbeatInterval {
			vms = append(vms, agent.vm)
		}
	}
	return vms
}

// sendHeartbeat asks a known agent for its status and records the result.
func (t *agentTable) sendHeartbeat(ctx context.Context, vm provider.VM) {
	status, err := t.fetchStatus(ctx, vm)
	if err != nil {
		t.recordMissedHeartbeat(vm)
		return
	}
	t.recordStatus(vm, status)
}

func (t *agentTable) fetchStatus(ctx context.Context, vm provider.VM) (*agentapi.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	args := agentapi.StatusArgs{Entry: t.cfg.VM.Name, ConfigVersion: t.deps.Configuration.Version()}
	var reply agentapi.StatusReply
	err := t.deps.Peers.Call(ctx, vm.Address, agentapi.MethodStatus, args, &reply)
	return &reply.Status, err
}
