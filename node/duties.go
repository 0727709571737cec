package node

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/sesameswitch/sesameswitch/configsync"
	"github.com/sesameswitch/sesameswitch/membership"
	"github.com/sesameswitch/sesameswitch/platform/httpplatform"
)

// startPause is the time between two tries to find a configuration at start.
const startPause = 200 * time.Millisecond

// duties keep the configuration and the membership up to date.
type duties struct {
	syncer  *configsync.Syncer
	watcher *membership.Watcher
	store   *configsync.Store
	// confirmed is true once a configuration was confirmed with whoever
	// answered; a process is not ready before.
	confirmed atomic.Bool
}

func newDuties(n *Node) *duties {
	return &duties{
		store: n.Configuration,
		syncer: configsync.NewSyncer(configsync.SyncerConfig{
			Store:   n.Configuration,
			Source:  httpplatform.NewConfigSource(n.Settings.ConfigURL, n.Settings.ConfigKey),
			Members: n.Members, Caller: n.Peers, Clock: n.Clock,
			Rand: newRand(), Timing: configsync.DefaultTiming(),
		}),
		watcher: membership.NewWatcher(membership.WatcherConfig{
			Table: n.Members, Source: httpplatform.NewVMList(n.Settings.VMListURL),
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
	if err := n.PeerServer.Register("Config", d.syncer.Service()); err != nil {
		return err
	}
	return n.PeerServer.Register("Membership", d.watcher.Service())
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

// start asks for the configuration until there is one.
func (d *duties) start(ctx context.Context) error {
	for {
		if _, known := d.watcher.Age(); known {
			d.syncer.Confirm(ctx)
		}
		if d.store.Current() != nil {
			d.confirmed.Store(true)
			return nil
		}
		timer := time.NewTimer(startPause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		}
	}
}

// confirm brings the configuration up to date unless it was confirmed a
// moment ago.
func (d *duties) confirm(ctx context.Context) {
	if !d.syncer.Fresh() {
		d.syncer.Confirm(ctx)
	}
}
