package configsync

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/sesameswitch/sesameswitch/clock"
	"github.com/sesameswitch/sesameswitch/configsync/memnet"
	"github.com/sesameswitch/sesameswitch/membership"
	"github.com/sesameswitch/sesameswitch/provider"
)

// serviceReplica is a stand-in for one replica of the configuration service. Its
// Watch returns at once, also when the document has not changed.
type serviceReplica struct {
	doc provider.Document
	err error
	// hangs makes Read block until its context ends.
	hangs bool
	calls int
}

func (r *serviceReplica) Read(ctx context.Context) (provider.Document, error) {
	r.calls++
	if r.hangs {
		<-ctx.Done()
		return provider.Document{}, ctx.Err()
	}
	return r.doc, r.err
}

func (r *serviceReplica) Watch(ctx context.Context, after uint64) (provider.Document, bool, error) {
	doc, err := r.Read(ctx)
	return doc, err == nil && doc.Revision != after, err
}

// publish replaces the document; the revision is the version.
func (r *serviceReplica) publish(version uint64) {
	r.doc = provider.Document{Revision: version, Body: document(version, "d")}
}

var errUnavailable = errors.New("configuration service unavailable")

// node is one process of a cluster.
type node struct {
	vm     provider.VM
	store  *Store
	syncer *Syncer
	// versions are the versions that became active since the last restart.
	versions []uint64
}

// cluster is a set of processes without background tasks: the test calls step
// instead.
type cluster struct {
	tb      testing.TB
	clock   *clock.Manual
	network *memnet.Network
	vms     []provider.VM
	nodes   []*node
	// sources[i] is the replica that node i reads.
	sources  []*serviceReplica
	restarts uint64
}

func newCluster(tb testing.TB, size int) *cluster {
	c := &cluster{tb: tb, clock: clock.NewManual(testStart), network: memnet.New()}
	for i := range size {
		c.vms = append(c.vms, provider.VM{
			Name:       fmt.Sprintf("vm-%02d", i),
			Address:    fmt.Sprintf("10.0.0.%d:1", i+1),
			DataCentre: fmt.Sprintf("dc-%d", i%3),
			Role:       provider.RoleAgent,
			State:      provider.VMLive,
		})
	}
	for i := range size {
		c.nodes = append(c.nodes, nil)
		c.sources = append(c.sources, &serviceReplica{err: errUnavailable})
		c.restart(i)
	}
	return c
}

// restart replaces node i by a new one without a configuration.
func (c *cluster) restart(i int) *node {
	c.restarts++
	n := &node{vm: c.vms[i]}
	table := membership.NewTable(n.vm, c.clock)
	table.Apply(c.vms)
	n.store = NewStore(c.clock, Hooks{Accepted: func(version uint64, _ Origin) {
		n.versions = append(n.versions, version)
	}})
	n.syncer = NewSyncer(SyncerConfig{
		Store:   n.store,
		Source:  c.sources[i],
		Members: table,
		Peers:   c.network.From(n.vm.Address),
		Clock:   c.clock,
		Rand:    rand.New(rand.NewPCG(c.restarts, 7)),
		Timing:  DefaultTiming(),
	})
	if err := c.network.Listen(n.vm.Address, map[string]any{ServiceName: n.syncer.RPCService()}); err != nil {
		c.tb.Fatal(err)
	}
	c.nodes[i] = n
	return n
}

// stepAll advances the clock by the anti-entropy interval and runs one step of
// every node: a watch, an anti-entropy exchange, and then the pending hints and
// announcements.
func (c *cluster) stepAll() {
	c.clock.Advance(DefaultTiming().AntiEntropyInterval)
	for _, n := range c.nodes {
		n.syncer.step(c.tb.Context())
	}
}

// step runs one step of a process; see stepAll.
func (s *Syncer) step(ctx context.Context) {
	s.watchOnce(ctx)
	s.reconcile(ctx)
	for {
		select {
		case hint := <-s.hints:
			s.followHint(ctx, hint)
		case <-s.announcePending:
			s.announce(ctx)
		default:
			return
		}
	}
}

// versions returns the active version of each node.
func (c *cluster) versions() []uint64 {
	var active []uint64
	for _, n := range c.nodes {
		active = append(active, n.store.Version())
	}
	return active
}

// allAt reports whether the version is active at every node.
func (c *cluster) allAt(version uint64) bool {
	for _, n := range c.nodes {
		if n.store.Version() != version {
			return false
		}
	}
	return true
}

// isolate partitions the nodes for which inside returns true from the others.
func (c *cluster) isolate(inside func(i int) bool) {
	for i, a := range c.vms {
		for j, b := range c.vms {
			if inside(i) != inside(j) {
				c.network.Partition(a.Address, b.Address)
			}
		}
	}
}
