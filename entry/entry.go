// Package entry is the process that callers talk to. It authenticates and
// classifies requests, chooses an agent, makes one attempt after another and
// gives the answer.
//
// An entry keeps soft state only, and its view of agents is a hint: whatever
// must hold is checked again by the agent. A caller may rely on an answer
// with outcome not_run standing for a request that did not run, and on a
// truncated answer never looking like a whole one.
package entry

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/sesameswitch/sesameswitch/clock"
	"github.com/sesameswitch/sesameswitch/configsync"
	"github.com/sesameswitch/sesameswitch/limit"
	"github.com/sesameswitch/sesameswitch/manifest"
	"github.com/sesameswitch/sesameswitch/membership"
	"github.com/sesameswitch/sesameswitch/provider"
	"github.com/sesameswitch/sesameswitch/retry"
	"github.com/sesameswitch/sesameswitch/routing"
	"github.com/sesameswitch/sesameswitch/telemetry"
	"github.com/sesameswitch/sesameswitch/timeline"
)

// Times and bounds of an entry.
const (
	// heartbeatInterval is how long an agent may be unheard before it is asked.
	heartbeatInterval = 1500 * time.Millisecond
	// heartbeatTimeout bounds one heartbeat.
	heartbeatTimeout = time.Second
	// cancelTimeout bounds the message that a run is given up.
	cancelTimeout = 2 * time.Second
	// readWait is how long one read waits at the agent for data.
	readWait = 10 * time.Second
	// readSlack is added to readWait for the way there and back.
	readSlack = 2 * time.Second
	// readBytes bounds the data of one read.
	readBytes = 64 << 10
	// reconnectWindow is how long an entry tries to reach an agent again that
	// holds the answer of a request that runs at most once.
	reconnectWindow = 5 * time.Second
	// failoverWindow is the same for a repeatable request, which another agent
	// can run instead.
	failoverWindow = 300 * time.Millisecond
	// reconnectPause is the time between two such tries.
	reconnectPause = 100 * time.Millisecond
	// resumeWithin is how long a stream that broke may wait to go on.
	resumeWithin = 8 * time.Second
	// stallTimeout gives up an attempt whose answer stops in the middle.
	stallTimeout = 10 * time.Second
	// wholePatience is how long an answer in one piece may take when its class
	// has no target for the whole call.
	wholePatience = 2 * time.Minute
	// maxAttempts bounds the attempts that may have run.
	maxAttempts = 3
	// maxRefusals bounds the agents asked after one another for room.
	maxRefusals = 3
	// maxTopTierRefusals is maxRefusals for the top tier, over all rounds.
	maxTopTierRefusals = 24
	// maxBufferedAnswer bounds an answer that is given in one piece.
	maxBufferedAnswer = 16 << 20
	// minRetriesPerSecond is the retry budget of an entry with little traffic.
	minRetriesPerSecond = 10
	// defaultRetryAfter is when to come back after a refusal that names no
	// time of its own.
	defaultRetryAfter = time.Second
)

// PeerCaller sends remote procedure calls to other processes of the system.
type PeerCaller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Config holds what an entry needs to know of itself.
type Config struct {
	VM     provider.VM
	Policy routing.Policy
	// SubsetSize is how many agents the entry keeps heartbeats with.
	SubsetSize int
	Seed       uint64
}

// Dependencies are the parts that an entry works with.
type Dependencies struct {
	Peers         PeerCaller
	Configuration *configsync.Store
	// Confirm brings the configuration up to date when it was not confirmed
	// for a while. It returns within a bounded time, confirmed or not.
	Confirm func(ctx context.Context)
	// ObserveVersion records the configuration version that the agent at an
	// address reported; nil records nothing.
	ObserveVersion func(version uint64, address string)
	Members        *membership.Table
	Clock          clock.Clock
	Metrics        *telemetry.Metrics
	Timeline       *timeline.Recorder
	Log            *logrus.Logger
}

// Entry serves callers.
type Entry struct {
	cfg     Config
	deps    Dependencies
	agents  *agentTable
	budget  *retry.Budget
	limiter *limiter
	meters  *meters
	hangUps *hangUps
	// streams counts the streams on connections of their own.
	streams atomic.Int64
}

// New returns an entry. Run makes its duties work; Handler serves callers.
func New(cfg Config, deps Dependencies) *Entry {
	rng := rand.New(rand.NewPCG(cfg.Seed, 2))
	router := routing.New(routing.Config{Policy: cfg.Policy, DataCentre: cfg.VM.DataCentre}, rng)
	return &Entry{
		cfg:     cfg,
		deps:    deps,
		agents:  newAgentTable(cfg, deps, router),
		budget:  retry.NewBudget(manifest.DefaultRetryBudget, minRetriesPerSecond),
		hangUps: newHangUps(),
		limiter: newLimiter(limit.New(limit.Config{})),
		meters:  newMeters(deps.Metrics),
	}
}

// Run carries out the entry's duties until the context ends.
func (e *Entry) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return e.agents.follow(ctx) })
	group.Go(func() error { return e.agents.heartbeats(ctx) })
	group.Go(func() error { return e.hangUps.watch(ctx) })
	return group.Wait()
}

// Ready reports whether the entry has a configuration and has heard an agent.
func (e *Entry) Ready() bool {
	return e.deps.Configuration.Current() != nil && e.agents.heardAny()
}

// view returns the configuration in force. It is confirmed first when that
// was not done for a while, so that a process which was frozen does not serve
// a request with an old version.
func (e *Entry) view(ctx context.Context) *manifest.View {
	if e.deps.Confirm != nil {
		e.deps.Confirm(ctx)
	}
	return e.deps.Configuration.Current()
}
