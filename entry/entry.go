// Package entry implements the process that receives the requests of callers.
// It authenticates and classifies each request, chooses an agent, makes one or
// more attempts and returns the response.
//
// An entry keeps only soft state. Its information about agents may be out of
// date, so each agent checks for itself every condition on which correctness
// depends. Callers may assume that a response with outcome not_run means that
// the request did not run, and that a truncated response never looks complete.
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
	"github.com/sesameswitch/sesameswitch/membudget"
	"github.com/sesameswitch/sesameswitch/provider"
	"github.com/sesameswitch/sesameswitch/retry"
	"github.com/sesameswitch/sesameswitch/routing"
	"github.com/sesameswitch/sesameswitch/telemetry"
	"github.com/sesameswitch/sesameswitch/timeline"
)

// Timeouts, intervals and limits of an entry.
const (
	// heartbeatInterval is how long a known agent may send no status before the
	// entry sends it a heartbeat.
	heartbeatInterval = 1500 * time.Millisecond
	// heartbeatTimeout bounds one heartbeat.
	heartbeatTimeout = time.Second
	// cancelTimeout bounds the call that cancels a run.
	cancelTimeout = 2 * time.Second
	// readWait is the maximum time that one read waits at the agent for data.
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
	// stallTimeout is how long a response may make no progress after its first
	// byte. It also bounds the wait for the first byte of a stream when its
	// class has no latency target. At-most-once requests have keyedStallTimeout
	// instead.
	stallTimeout = 10 * time.Second
	// bufferedFirstByteTimeout bounds the wait for the first byte of a response
	// that is not a stream when its class has no latency target.
	bufferedFirstByteTimeout = 2 * time.Minute
	// maxAttempts bounds the attempts of one request, not counting those that
	// did not run.
	maxAttempts = 3
	// maxRefusals bounds the attempts of one request that did not run, because
	// the agent refused the request or could not be reached.
	maxRefusals = 3
	// maxTopTierRefusals is maxRefusals for the top tier, over all rounds (see
	// attemptsPerRound).
	maxTopTierRefusals = 24
	// maxBufferedBytes bounds a response that is not a stream, in bytes.
	maxBufferedBytes = 16 << 20
	// minRetriesPerSecond is the rate of retries that the retry budget always
	// allows, so that an entry with little traffic can retry.
	minRetriesPerSecond = 10
	// defaultRetryAfter is the retry delay of a refusal that specifies none.
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
	// SubsetSize is the number of agents that the entry sends heartbeats to and
	// may choose, apart from those that it discovers beyond the subset.
	SubsetSize int
	// Seed initialises the random numbers of the router.
	Seed uint64
	// MemoryBytes is the memory of the process, from which the limits of what callers may hold
	// are derived; zero means no limits.
	MemoryBytes int64
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
	// memory is what requests may hold together; nil means no limit.
	memory *membudget.Budget
	// hijackedStreams counts the open streams on hijacked connections.
	hijackedStreams atomic.Int64
}

// New returns an entry. Run runs its background tasks; Handler serves callers.
func New(cfg Config, deps Dependencies) *Entry {
	rng := rand.New(rand.NewPCG(cfg.Seed, 2))
	router := routing.New(routing.Config{Policy: cfg.Policy, DataCentre: cfg.VM.DataCentre}, rng)
	e := &Entry{
		cfg:         cfg,
		deps:        deps,
		agents:      newAgentTable(cfg, deps, router),
		retryBudget: retry.NewBudget(manifest.DefaultRetryBudget, minRetriesPerSecond),
		disconnects: newDisconnectMonitor(),
		limiter:     newAccountLimiter(limit.New(limit.Config{})),
		metrics:     newEntryMetrics(deps.Metrics),
	}
	if cfg.MemoryBytes > 0 {
		e.memory = membudget.New(int64(requestMemoryShare*float64(cfg.MemoryBytes)), deps.Clock)
	}
	return e
}

const (
	// requestMemoryShare is the share of the memory of the process that requests may hold.
	requestMemoryShare = 0.25
	// connectionMemoryShare is the share that connections of callers may use, connectionBytes
	// what one of them takes: buffers, stack, bookkeeping.
	connectionMemoryShare = 0.2
	connectionBytes       = 24 << 10
)

// maxConnections returns how many connections of callers may be open; zero means no limit.
func (c *Config) maxConnections() int {
	return int(connectionMemoryShare * float64(c.MemoryBytes) / connectionBytes)
}

// Run runs the entry's background tasks until the context ends.
func (e *Entry) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return e.agents.watchMembership(ctx) })
	group.Go(func() error { return e.agents.runHeartbeats(ctx) })
	group.Go(func() error { return e.disconnects.run(ctx) })
	return group.Wait()
}

// Ready reports whether the entry has a configuration and knows an agent that
// serves.
func (e *Entry) Ready() bool {
	return e.deps.Configuration.Current() != nil && e.agents.anyServing()
}

// activeConfig confirms the configuration and returns the active one. Without
// the confirmation, a process that was paused would serve requests with an old
// version.
func (e *Entry) activeConfig(ctx context.Context) *manifest.View {
	if e.deps.Confirm != nil {
		e.deps.Confirm(ctx)
	}
	return e.deps.Configuration.Current()
}
