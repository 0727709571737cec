package node

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/sesameswitch/sesameswitch/clock"
	"github.com/sesameswitch/sesameswitch/configsync"
	"github.com/sesameswitch/sesameswitch/membership"
	"github.com/sesameswitch/sesameswitch/provider/httpprovider"
)

const (
	// minStartBackoff and maxStartBackoff bound the mean backoff between
	// attempts to confirm a configuration during start. The backoff doubles, so
	// that a deployment that starts while the configuration service is
	// unavailable does not overload it.
	minStartBackoff = 200 * time.Millisecond
	maxStartBackoff = 4 * time.Second
	// maxPeerWait is how long a starting process waits for the list of VMs and
	// for the reply of a peer. After that it accepts a configuration that no
	// peer has confirmed.
	maxPeerWait = 5 * time.Second
)

// backgroundTasks keep the configuration and the membership up to date.
type backgroundTasks struct {
	syncer  *configsync.Syncer
	updater *membership.Updater
	store   *configsync.Store
	members *membership.Table
	clock   clock.Clock
	// confirmed is true once a configuration has been confirmed. The process is
	// not ready before that.
	confirmed atomic.Bool
}

func newBackgroundTasks(n *Node) *backgroundTasks {
	return &backgroundTasks{
		store:   n.Configuration,
		members: n.Members,
		clock:   n.Clock,
		syncer: configsync.NewSyncer(configsync.SyncerConfig{
			Store:   n.Configuration,
			Source:  httpprovider.NewConfigSource(n.Settings.ConfigURL, n.Settings.ConfigKey),
			Members: n.Members, Peers: n.Peers, Clock: n.Clock,
			Rand: newRand(), Timing: configsync.DefaultTiming(),
		}),
		updater: membership.NewUpdater(membership.UpdaterConfig{
			Table: n.Members, Source: n.newVMLister(),
			Peers: n.Peers, Clock: n.Clock,
			Rand: newRand(), Timing: membership.DefaultTiming(),
		}),
	}
}

// newVMLister returns a lister that logs entries which cannot be decoded, each error once.
func (n *Node) newVMLister() *httpprovider.VMLister {
	lister := httpprovider.NewVMLister(n.Settings.VMListURL)
	last := ""
	lister.OnInvalid = func(err error) { // called by the updater only
		if err.Error() != last {
			last = err.Error()
			n.Log.WithError(err).Warn("undecodable entry of the VM list ignored")
		}
	}
	return lister
}

func newRand() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// registerServices registers the RPC services for peers.
func (b *backgroundTasks) registerServices(n *Node) error {
	if err := n.PeerServer.Register(configsync.ServiceName, b.syncer.RPCService()); err != nil {
		return err
	}
	return n.PeerServer.Register(membership.ServiceName, b.updater.RPCService())
}

// run confirms a configuration and keeps the configuration and the membership up
// to date until the context ends.
func (b *backgroundTasks) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		b.updater.Run(ctx)
		return nil
	})
	group.Go(func() error {
		b.syncer.Run(ctx)
		return nil
	})
	group.Go(func() error { return b.confirmAtStart(ctx) })
	return group.Wait()
}

// confirmAtStart queries peers and the configuration service until a
// configuration is confirmed. The service may be stale, so the process waits up
// to maxPeerWait for a peer before it accepts a configuration that no peer has
// confirmed.
func (b *backgroundTasks) confirmAtStart(ctx context.Context) error {
	start := b.clock.Now()
	backoff := minStartBackoff
	for {
		requirePeer := b.clock.Now().Sub(start) < maxPeerWait
		if b.confirmOnce(ctx, requirePeer) {
			b.confirmed.Store(true)
			return nil
		}
		timer := time.NewTimer(backoff/2 + rand.N(backoff))
		backoff = min(2*backoff, maxStartBackoff)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		}
	}
}

// confirmOnce reports whether the process may become ready with the active
// configuration. With requirePeer, it needs the list of VMs and, if the list
// contains other VMs, the reply of a peer.
func (b *backgroundTasks) confirmOnce(ctx context.Context, requirePeer bool) bool {
	_, known := b.updater.Age()
	if !known && requirePeer {
		return false
	}
	confirmation := b.syncer.Confirm(ctx)
	if b.store.Current() == nil {
		return false
	}
	return confirmation.Peers > 0 || b.alone() || !requirePeer
}

// alone reports whether the list of VMs contains no other VM.
func (b *backgroundTasks) alone() bool {
	for _, vm := range b.members.VMs() {
		if vm.Name != b.members.Self().Name {
			return false
		}
	}
	return true
}

// confirm updates the configuration from peers, or from the configuration
// service, unless it was confirmed recently.
func (b *backgroundTasks) confirm(ctx context.Context) {
	if !b.syncer.RecentlyConfirmed() {
		b.syncer.Confirm(ctx)
	}
}
