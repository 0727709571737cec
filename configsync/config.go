package configsync

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sesameswitch/sesameswitch/clock"
	"github.com/sesameswitch/sesameswitch/provider"
)

// PeerCaller makes net/rpc calls to the process at an address. A call ends with the
// context; a later reply is discarded.
type PeerCaller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Members lists the VMs of the deployment. Self is the VM of this process.
type Members interface {
	Self() provider.VM
	VMs() []provider.VM
}

// Timing holds the intervals and timeouts of a Syncer.
type Timing struct {
	// AntiEntropyInterval is the mean time between two anti-entropy exchanges.
	AntiEntropyInterval time.Duration
	// CallTimeout is the timeout of a call that carries an advert.
	CallTimeout time.Duration
	// PullTimeout is the timeout of a pull of a document from a peer.
	PullTimeout time.Duration
	// MinWatchTimeout is the shortest timeout of a watch of the configuration
	// service.
	MinWatchTimeout time.Duration
	// MaxWatchTimeout is the longest timeout of a watch of the configuration
	// service.
	MaxWatchTimeout time.Duration
	// MinBackoff and MaxBackoff are the limits of the mean wait between two
	// calls of a watcher to the configuration service.
	MinBackoff, MaxBackoff time.Duration
	// ElectionPeriod is how long an elected process remains a watcher.
	ElectionPeriod time.Duration
	// ElectionCheckInterval is the mean time after which a process that is not a
	// watcher checks again whether it is elected.
	ElectionCheckInterval time.Duration
	// NeighbourPeriod is how long a process keeps the same neighbours.
	NeighbourPeriod time.Duration
	// ConfirmTimeout is the timeout of Confirm.
	ConfirmTimeout time.Duration
	// FirstConfirmationTimeout is how long a started process waits for its first
	// confirmation before it may watch the configuration service.
	FirstConfirmationTimeout time.Duration
	// ConfirmationTTL is how long the active version counts as confirmed after a
	// response of a peer or of the configuration service.
	ConfirmationTTL time.Duration
}

// DefaultTiming returns the timing of the daemons.
func DefaultTiming() Timing {
	return Timing{
		AntiEntropyInterval:      time.Second,
		CallTimeout:              time.Second,
		PullTimeout:              3 * time.Second,
		MinWatchTimeout:          2 * time.Second,
		MaxWatchTimeout:          10 * time.Second,
		MinBackoff:               250 * time.Millisecond,
		MaxBackoff:               10 * time.Second,
		ElectionPeriod:           time.Minute,
		ElectionCheckInterval:    time.Second,
		NeighbourPeriod:          10 * time.Minute,
		ConfirmTimeout:           1500 * time.Millisecond,
		FirstConfirmationTimeout: 5 * time.Second,
		ConfirmationTTL:          5 * time.Second,
	}
}

// Numbers of processes that take part in propagating versions.
const (
	// WatchersPerDataCentre is how many processes of a data centre are elected
	// to watch the configuration service.
	WatchersPerDataCentre = 2
	// A process announces versions to its successor on the ring of all processes,
	// to LocalNeighbours processes of its own data centre, and to RemoteNeighbours
	// processes of other data centres.
	LocalNeighbours  = 3
	RemoteNeighbours = 1
	// confirmPeers is how many random peers Confirm queries.
	confirmPeers = 5
	// hintQueueSize is the maximum number of version hints that wait for a pull.
	hintQueueSize = 16
)

// SyncerConfig holds the dependencies and settings of a Syncer.
type SyncerConfig struct {
	Store *Store
	// Source is the configuration service, or nil without one.
	Source  provider.ConfigSource
	Members Members
	Peers   PeerCaller
	Clock   clock.Clock
	// Rand supplies jitter and random peers. Only the Syncer may use it.
	Rand   *rand.Rand
	Timing Timing
}
