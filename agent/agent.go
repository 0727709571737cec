// Package agent implements the process that runs next to a backend server and
// through which all requests to that server pass. It admits, queues and runs
// requests, buffers their responses and keeps the table of idempotency keys that
// enforces at-most-once execution.
//
// An entry may be paused, partitioned or working from stale information, so the
// agent enforces these rules itself: a draining agent accepts no new requests, a
// key runs at most once, higher tiers come first, and the class of a request has
// to agree with the agent's own configuration. Callers may assume that this
// incarnation of the agent never runs a request that it refused with outcome
// not_run.
package agent

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/sesameswitch/sesameswitch/admission"
	"github.com/sesameswitch/sesameswitch/agentapi"
	"github.com/sesameswitch/sesameswitch/clock"
	"github.com/sesameswitch/sesameswitch/configsync"
	"github.com/sesameswitch/sesameswitch/membudget"
	"github.com/sesameswitch/sesameswitch/provider"
	"github.com/sesameswitch/sesameswitch/ring"
	"github.com/sesameswitch/sesameswitch/telemetry"
	"github.com/sesameswitch/sesameswitch/timeline"
)

// Limits and intervals of an agent.
const (
	// commandRingSize bounds the commands that wait for the scheduler.
	commandRingSize = 4096
	// tickInterval is how often the scheduler does its periodic work and, if no
	// other command arrives, refuses expired requests.
	tickInterval = 10 * time.Millisecond
	// readLease is how long an idempotent run continues without a read of its
	// response when its entry is silent, that is, when the agent has received no
	// message from the entry for readLease either. An idempotent run that has
	// ended, but whose response was not delivered, is kept for readLease after the
	// last read.
	readLease = 5 * time.Second
	// slowCallerLease is how long an idempotent run continues without a read of
	// its response while its entry is alive. It is longer than the time after
	// which an entry disconnects a caller that does not read.
	slowCallerLease = 40 * time.Second
	// maxBackendSilence is how long a run continues without data from the backend
	// server. After that the run is cancelled with outcome unknown.
	maxBackendSilence = time.Minute
	// deliveredRetention is how long an idempotent run is kept after its end once
	// its response has been delivered.
	deliveredRetention = time.Second
	// keyedDrainGrace is how long a draining agent still starts queued
	// at-most-once requests. Other queued requests are refused at once.
	keyedDrainGrace = 2 * time.Second
	// maxReadWait bounds the wait of one read.
	maxReadWait = 30 * time.Second
	// maxReadBytes bounds the data returned by one read.
	maxReadBytes = 256 << 10
	// typicalQuantile is the quantile of the service time that is used as the
	// expected cost of a request.
	typicalQuantile = 0.5
	// slowQuantile is the quantile of the time to first token, or of the service
	// time, that is used as the lead time: a run has to start that long before
	// its latency target.
	slowQuantile = 0.9
	// maxLeadPercent bounds the lead time, as a share of the time that remains
	// until the latency target. Without the bound, a slow backend server would
	// get no requests at all.
	maxLeadPercent = 75
	// startMarginPercent is the share of the time that remains until the latency
	// target that is reserved for the return of the response.
	startMarginPercent = 5
	// keyFutureSkew is how far the minting time of a key may be ahead of the
	// clock of this VM.
	keyFutureSkew = 30 * time.Second
)

// Config configures an Agent.
type Config struct {
	VM          provider.VM
	Incarnation agentapi.Incarnation
	Models      []string
	Services    []string
	// SoftwareVersion is the version of the backend server's software; empty means unknown.
	SoftwareVersion string
	// Slots is the number of requests that the backend server runs concurrently.
	Slots  int
	Policy admission.Policy
	// StoredResponseBytes bounds the total size of the responses that are stored
	// for retries of their idempotency keys.
	StoredResponseBytes int64
	// Seed is the seed of the jitter of retry delays.
	Seed uint64
}

// Dependencies are the components that an agent uses.
type Dependencies struct {
	BackendServer provider.BackendServer
	Configuration *configsync.Store
	// ObserveVersion is called with the configuration version in each Submit and
	// Status call of an entry, and the VM name of that entry. It may be nil.
	ObserveVersion func(version uint64, entry string)
	Clock          clock.Clock
	Metrics        *telemetry.Metrics
	Timeline       *timeline.Recorder
	// Memory limits the bodies of requests that are queued or run, and their responses until they
	// are removed or stored; nil means no limit.
	Memory *membudget.Budget
}

// Agent runs the requests of one backend server.
type Agent struct {
	cfg       Config
	deps      Dependencies
	commands  *ring.Ring[command]
	scheduler *scheduler
}

// New returns an agent in the state starting. It processes nothing until Run is
// called.
func New(cfg Config, deps Dependencies) *Agent {
	a := &Agent{cfg: cfg, deps: deps, commands: ring.New[command](commandRingSize)}
	a.scheduler = newScheduler(cfg, deps, a.commands)
	return a
}

// Run runs the scheduler and its timer until the context ends.
func (a *Agent) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return a.scheduler.run(ctx) })
	group.Go(func() error { return a.tick(ctx) })
	return group.Wait()
}

// tick sends a tick command to the scheduler every tickInterval. The command is
// dropped if the command ring is full.
func (a *Agent) tick(ctx context.Context) error {
	clock.Every(ctx, tickInterval, func() {
		a.commands.Push(tickCommand{})
	})
	return nil
}

// Serve makes the agent accept requests. A draining agent keeps draining.
func (a *Agent) Serve() {
	pushBlocking(a.commands, stateCommand{state: agentapi.StateServing})
}

// StartDraining makes the agent refuse new requests. Running requests continue.
func (a *Agent) StartDraining() {
	pushBlocking(a.commands, stateCommand{state: agentapi.StateDraining})
}

// Status returns the agent's status after the last command.
func (a *Agent) Status() agentapi.Status {
	return *a.scheduler.status.Load()
}

// Idle reports whether a draining agent has no queued or running request and no
// response that a reader may still fetch. It is false before draining starts.
func (a *Agent) Idle() bool {
	return a.scheduler.idle.Load()
}

// pushBlocking pushes a command that must not be dropped. It blocks while the
// ring is full.
func pushBlocking(commands *ring.Ring[command], c command) {
	for !commands.Push(c) {
		time.Sleep(time.Millisecond)
	}
}
