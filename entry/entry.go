// Package entry is the process that receives the requests of callers. It
// authenticates and classifies each request, chooses an agent, makes one or
// more attempts and returns the response.
//
// An entry keeps soft state only. What it knows of agents may be out of date,
// so the agent checks everything again that must hold. Callers may assume that
// a response with outcome not_run means that the request did not run, and that
// a truncated response never looks complete.
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

// Timeouts, intervals and limits of an entry.
const (
	// heartbeatInterval is the time after an agent's last status when it is
	// sent a heartbeat.
	heartbeatInterval = 1500 * time.Millisecond
	// heartbeatTimeout bounds one heartbeat.
	heartbeatTimeout = time.Second
	// cancelTimeout bounds the call that cancels a run.
	cancelTimeout = 2 * time.Second
	// readWait is how long one read may wait at the agent for data.
	readWait = 10 * time.Second
	// rpcMargin is added to the wait at the agent for the transmission of a
	// call and its reply.
	rpcMargin = 2 * time.Second
	// maxReadBytes bounds the data of one read, in bytes.
	maxReadBytes = 64 << 10
	// reconnectWindow is how long an entry tries to reconnect to the agent that
	// has the response of an at-most-once request.
	reconnectWindow = 5 * time.Second
	// failoverWindow is how long an entry tries to reconnect to the agent that
	// has the response of an idempotent request. It is shorter, since another
	// agent can run the request instead.
	failoverWindow = 300 * time.Millisecond
	// reconnectInterval is the time between two attempts to reconnect.
	reconnectInterval = 100 * time.Millisecond
	// resumeWindow is the target time for a broken stream to resume at another
	// agent.
	resumeWindow = 8 * time.Second
	// stallTimeout ends an attempt whose response makes no progress after its
	// first byte.
	stallTimeout = 10 * time.Second
	// bufferedResponseTimeout bounds the wait for the first byte of a response
	// that is not a stream when its class has no latency target.
	bufferedResponseTimeout = 2 * time.Minute
	// maxAttempts bounds the attempts of one request, not counting those that
	// an agent refused.
	maxAttempts = 3
	// maxRefusals bounds the agents that may refuse one request.
	maxRefusals = 3
	// maxTopTierRefusals is maxRefusals for the top tier, over all rounds.
	maxTopTierRefusals = 24
	// maxBufferedBytes bounds a response that is not a stream, in bytes.
	maxBufferedBytes = 16 << 20
	// minRetriesPerSecond is the minimum retry budget, for an entry with little
	// traffic.
	minRetriesPerSecond = 10
	// defaultRetryAfter is the retry delay of a refusal that names none.
	defaultRetryAfter = time.Second
)

// PeerCaller sends remote procedure calls to other processes of the system.
type PeerCaller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Config holds the identity and the parameters of an entry.
type Config struct {
	VM     provider.VM
	Policy routing.Policy
	// SubsetSize is the number of agents that the entry sends heartbeats to,
	// apart from those found by a search.
	SubsetSize int
	Seed       uint64
}

// Dependencies are the components that an entry uses.
type Dependencies struct {
	Peers         PeerCaller
	Configuration *configsync.Store
	// Confirm updates the configuration unless it was confirmed recently. It
	// returns within a bounded time, whether it succeeds or not; nil does
	// nothing.
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

// Entry serves the requests of callers.
type Entry struct {
	cfg         Config
	deps        Dependencies
	agents      *agentTable
	retryBudget *retry.Budget
	limiter     *accountLimiter
	metrics     *entryMetrics
	disconnects *disconnectMonitor
	// hijackedStreams counts the open streams on hijacked connections.
	hijackedStreams atomic.Int64
}

// New returns an entry. Run runs its background tasks; Handler serves callers.
func New(cfg Config, deps Dependencies) *Entry {
	rng := rand.New(rand.NewPCG(cfg.Seed, 2))
	router := routing.New(routing.Config{Policy: cfg.Policy, DataCentre: cfg.VM.DataCentre}, rng)
	return &Entry{
		cfg:         cfg,
		deps:        deps,
		agents:      newAgentTable(cfg, deps, router),
		retryBudget: retry.NewBudget(manifest.DefaultRetryBudget, minRetriesPerSecond),
		disconnects: newDisconnectMonitor(),
		limiter:     newAccountLimiter(limit.New(limit.Config{})),
		metrics:     newEntryMetrics(deps.Metrics),
	}
}

// Run runs the entry's background tasks until the context ends.
func (e *Entry) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return e.agents.watchMembership(ctx) })
	group.Go(func() error { return e.agents.runHeartbeats(ctx) })
	group.Go(func() error { return e.disconnects.run(ctx) })
	return group.Wait()
}

// Ready reports whether the entry has a configuration and an agent that serves.
func (e *Entry) Ready() bool {
	return e.deps.Configuration.Current() != nil && e.agents.anyServing()
}

// activeConfig returns the active configuration. It has the configuration
// confirmed first, so that a process that was paused does not serve a request
// with an old version.
func (e *Entry) activeConfig(ctx context.Context) *manifest.View {
	if e.deps.Confirm != nil {
		e.deps.Confirm(ctx)
	}
	return e.deps.Configuration.Current()
}
