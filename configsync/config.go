package configsync

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sesameswitch/sesameswitch/clock"
	"github.com/sesameswitch/sesameswitch/provider"
)

// Caller carries one net/rpc call to the process at an address. The context
// bounds it; an answer that comes later is dropped.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Members lists the processes of the deployment.
type Members interface {
	Self() provider.VM
	VMs() []provider.VM
}

// Timing holds the intervals and bounds of a Syncer.
type Timing struct {
	// AntiEntropyInterval is the mean time between questions to a random neighbour.
	AntiEntropyInterval time.Duration
	// CallTimeout bounds a call that carries only numbers.
	CallTimeout time.Duration
	// PullTimeout bounds the transfer of a document.
	PullTimeout time.Duration
	// ServiceTimeout bounds a read of the configuration service.
	ServiceTimeout time.Duration
	// WatchTimeout is how long one watch may stay without an answer.
	WatchTimeout time.Duration
	// MinBackoff and MaxBackoff bound the wait between two calls of one process
	// to the configuration service.
	MinBackoff, MaxBackoff time.Duration
	// ElectionPeriod is how long a process stays a watcher.
	ElectionPeriod time.Duration
	// ElectionCheckInterval is how often a process looks whether it is a watcher.
	ElectionCheckInterval time.Duration
	// NeighbourPeriod is how long a process keeps its neighbours.
	NeighbourPeriod time.Duration
	// ConfirmTimeout bounds Confirm.
	ConfirmTimeout time.Duration
	// FirstConfirmationTimeout is how long the watch of the service waits for the first
	// confirmation.
	FirstConfirmationTimeout time.Duration
	// ConfirmationTTL is how long an answer of a peer or of the service counts as a
	// confirmation of the version in force.
	ConfirmationTTL time.Duration
}

// DefaultTiming returns the timing that the daemons use.
func DefaultTiming() Timing {
	return Timing{
		AntiEntropyInterval:      time.Second,
		CallTimeout:              time.Second,
		PullTimeout:              3 * time.Second,
		ServiceTimeout:           2 * time.Second,
		WatchTimeout:             10 * time.Second,
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

// Counts of processes that take part in one duty.
const (
	// WatchersPerDataCentre is how many processes of a data centre watch the
	// configuration service at a time.
	WatchersPerDataCentre = 2
	// LocalNeighbours and RemoteNeighbours are how many processes of its own and
	// of other data centres a process announces versions to, besides its
	// successor on the ring.
	LocalNeighbours  = 3
	RemoteNeighbours = 1
	confirmPeers     = 5
	// hintQueueSize bounds the hints of newer versions waiting for a pull.
	hintQueueSize = 16
)

// SyncerConfig wires a Syncer.
type SyncerConfig struct {
	Store *Store
	// Source is the configuration service; nil means that there is none.
	Source  provider.ConfigSource
	Members Members
	Caller  Caller
	Clock   clock.Clock
	// Rand decides on jitter and on the order of peers. The Syncer owns it.
	Rand   *rand.Rand
	Timing Timing
}
