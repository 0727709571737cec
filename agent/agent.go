// Package agent is the process beside a backend server and the only way to
// it. It admits, queues and runs requests, buffers their answers and keeps
// the at-most-once table.
//
// An entry may be frozen, stale or cut off and still believe anything, so
// every promise that must hold is checked here: leaving, at most once, tier
// order and the configuration's version. A caller may rely on a request that
// was refused with outcome not_run never being run by this incarnation.
package agent

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/sesameswitch/sesameswitch/admission"
	"github.com/sesameswitch/sesameswitch/agentapi"
	"github.com/sesameswitch/sesameswitch/clock"
	"github.com/sesameswitch/sesameswitch/configsync"
	"github.com/sesameswitch/sesameswitch/provider"
	"github.com/sesameswitch/sesameswitch/ring"
	"github.com/sesameswitch/sesameswitch/telemetry"
	"github.com/sesameswitch/sesameswitch/timeline"
)

// Sizes and times of an agent.
const (
	// commandRingSize bounds the commands that wait for the scheduler.
	commandRingSize = 4096
	// tickInterval is how often the scheduler looks for expired requests.
	tickInterval = 10 * time.Millisecond
	// readLease ends a repeatable run that was not read for so long, when its
	// entry was not heard either.
	readLease = 5 * time.Second
	// slowCallerLease ends a repeatable run that was not read for so long by an
	// entry that lives. An entry gives up a caller that takes nothing earlier.
	slowCallerLease = 40 * time.Second
	// backendSilence ends a run whose backend server sends nothing for so
	// long. The outcome is unknown.
	backendSilence = time.Minute
	// deliveredRetention is how long a delivered repeatable answer is kept.
	deliveredRetention = time.Second
	// leaveGrace is how long a leaving agent still starts queued requests
	// that run at most once; other queued requests are handed back at once.
	leaveGrace = 2 * time.Second
	// maxReadWait bounds the wait of one read.
	maxReadWait = 30 * time.Second
	// maxReadBytes bounds the data of one read.
	maxReadBytes = 256 << 10
	// typicalQuantile of the service time is a request's expected cost.
	typicalQuantile = 0.5
	// slowQuantile of the time to the first token, or of the service time, is
	// what a request needs after its start to meet its target.
	slowQuantile = 0.9
	// maxLeadPercent bounds the part of a target that slowQuantile takes, so
	// that a slow backend server is not left without any requests.
	maxLeadPercent = 75
	// startMarginPercent is the part of a target kept for the way back.
	startMarginPercent = 5
	// keyFutureSkew is how far ahead of this VM's clock a key may be minted.
	keyFutureSkew = 30 * time.Second
)

// Config holds what an agent needs to know of itself.
type Config struct {
	VM          provider.VM
	Incarnation agentapi.Incarnation
	Models      []string
	Services    []string
	// Slots is the number of requests that the backend server runs at once.
	Slots  int
	Policy admission.Policy
	// StoredResponseBytes bounds the answers kept for repeats of their keys.
	StoredResponseBytes int64
	// Seed seeds the jitter of retry times.
	Seed uint64
}

// Dependencies are the parts that an agent works with.
type Dependencies struct {
	BackendServer provider.BackendServer
	Configuration *configsync.Store
	// ObserveVersion is told a version of the configuration that an entry named.
	ObserveVersion func(version uint64, entry string)
	Clock          clock.Clock
	Metrics        *telemetry.Metrics
	Timeline       *timeline.Recorder
}

// Agent runs the requests of one backend server.
type Agent struct {
	cfg      Config
	deps     Dependencies
	commands *ring.Ring[command]
	schedule *scheduler
}

// New returns an agent that is starting; Run makes it work.
func New(cfg Config, deps Dependencies) *Agent {
	a := &Agent{cfg: cfg, deps: deps, commands: ring.New[command](commandRingSize)}
	a.schedule = newScheduler(cfg, deps, a.commands)
	return a
}

// Run carries out the agent's duties until the context ends.
func (a *Agent) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return a.schedule.run(ctx) })
	group.Go(func() error { return a.tick(ctx) })
	return group.Wait()
}

// tick wakes the scheduler for what depends on time.
func (a *Agent) tick(ctx context.Context) error {
	clock.Every(ctx, tickInterval, func() {
		a.commands.Push(tickCommand{})
	})
	return nil
}

// Serve makes the agent accept requests.
func (a *Agent) Serve() {
	mustPush(a.commands, stateCommand{state: agentapi.StateServing})
}

// StartDraining makes the agent refuse new requests. Running requests go on.
func (a *Agent) StartDraining() {
	mustPush(a.commands, stateCommand{state: agentapi.StateDraining})
}

// Status returns the agent's view of itself as of the last change.
func (a *Agent) Status() agentapi.Status {
	return *a.schedule.status.Load()
}

// Idle reports whether no request is queued or running and every answer was
// delivered or given up by its readers.
func (a *Agent) Idle() bool {
	return a.schedule.idle.Load()
}

// mustPush pushes a command that may not be dropped, waiting for room.
func mustPush(commands *ring.Ring[command], c command) {
	for !commands.Push(c) {
		time.Sleep(time.Millisecond)
	}
}
