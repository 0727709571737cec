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
	// minStartPause and maxStartPause bound the mean time between two tries to
	// find a configuration at start; it doubles, so that a whole fleet which
	// starts beside a configuration service that is down does not flood it.
	minStartPause = 200 * time.Millisecond
	maxStartPause = 4 * time.Second
	// startPatience is how long a starting process waits for the list of VMs
	// and for a peer's answer before it takes the configuration service's word
	// alone.
	startPatience = 5 * time.Second
)

// duties keep the configuration and the membership up to date.
type duties struct {
	syncer  *configsync.Syncer
	watcher *membership.Watcher
	store   *configsync.Store
	members *membership.Table
	clock   clock.Clock
	// confirmed is true once a configuration was confirmed with whoever
	// answered; a process is not ready before.
	confirmed atomic.Bool
}

func newDuties(n *Node) *duties {
	return &duties{
		store:   n.Configuration,
		members: n.Members,
		clock:   n.Clock,
		syncer: configsync.NewSyncer(configsync.SyncerConfig{
			Store:   n.Configuration,
			Source:  httpprovider.NewConfigSource(n.Settings.ConfigURL, n.Settings.ConfigKey),
			Members: n.Members, Caller: n.Peers, Clock: n.Clock,
			Rand: newRand(), Timing: configsync.DefaultTiming(),
		}),
		watcher: membership.NewWatcher(membership.WatcherConfig{
			Table: n.Members, Source: httpprovider.NewVMLister(n.Settings.VMListURL),
			Caller: n.Peers, Clock: n.Clock,
			Rand: newRand(), Timing: membership.DefaultTiming(),
		}),
	}
}

func newRand() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// register adds the services that answer peers.
func (d *duties) register(n *Node) error {
	if err := n.PeerServer.Register(configsync.ServiceName, d.syncer.Service()); err != nil {
		return err
	}
	return n.PeerServer.Register(membership.ServiceName, d.watcher.Service())
}

// run learns the members first, then the configuration, and keeps both up to
// date until the context ends.
func (d *duties) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		d.watcher.Run(ctx)
		return nil
	})
	group.Go(func() error {
		d.syncer.Run(ctx)
		return nil
	})
	group.Go(func() error { return d.start(ctx) })
	return group.Wait()
}

// start asks peers and the configuration service until there is a
// configuration that was confirmed. The service may be stale, so a process
// waits for peers before it believes the service alone.
func (d *duties) start(ctx context.Context) error {
	begun := d.clock.Now()
	pause := minStartPause
	for {
		patient := d.clock.Now().Sub(begun) < startPatience
		if d.confirmStart(ctx, patient) {
			d.confirmed.Store(true)
			return nil
		}
		timer := time.NewTimer(pause/2 + rand.N(pause))
		pause = min(2*pause, maxStartPause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		}
	}
}

// confirmStart reports whether there is a configuration that the process may
// serve with. While patient it wants the word of a peer, if the list names
// any.
func (d *duties) confirmStart(ctx context.Context, patient bool) bool {
	_, known := d.watcher.Age()
	if !known && patient {
		return false
	}
	answer := d.syncer.Confirm(ctx)
	if d.store.Current() == nil {
		return false
	}
	return answer.Peers > 0 || d.alone() || !patient
}

// alone reports whether the list names no other process.
func (d *duties) alone() bool {
	for _, vm := range d.members.VMs() {
		if vm.Name != d.members.Self().Name {
			return false
		}
	}
	return true
}

// confirm brings the configuration up to date unless it was confirmed a
// moment ago.
func (d *duties) confirm(ctx context.Context) {
	if !d.syncer.RecentlyConfirmed() {
		d.syncer.Confirm(ctx)
	}
}
