package configsync

import (
	"flag"
	"testing"

	"pgregory.net/rapid"
)

// Property tests use a fixed random seed, so that every run has the same cases.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "60"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// convergenceRounds is the maximum number of anti-entropy intervals until all nodes
// have the newest version, counted from the end of all partitions.
const convergenceRounds = 4

// faultDriver applies random faults to a cluster and checks that the active
// versions never decrease.
type faultDriver struct {
	cluster      *cluster
	published    uint64
	lastVersions []uint64
}

// publish publishes the next version at the service replica of one node; the
// other replicas stay stale.
func (f *faultDriver) publish(t *rapid.T) {
	f.published++
	source := f.cluster.sources[f.pickNode(t)]
	source.publish(f.published)
	source.err = nil
}

// publishOld makes one service replica return a version that was published before.
func (f *faultDriver) publishOld(t *rapid.T) {
	if f.published == 0 {
		return
	}
	source := f.cluster.sources[f.pickNode(t)]
	source.publish(rapid.Uint64Range(1, f.published).Draw(t, "version"))
	source.err = nil
}

func (f *faultDriver) failService(t *rapid.T) { f.cluster.sources[f.pickNode(t)].err = errUnavailable }

func (f *faultDriver) partition(t *rapid.T) {
	mask := rapid.Uint64().Draw(t, "sides")
	f.cluster.isolate(func(i int) bool { return mask>>i&1 == 1 })
}

func (f *faultDriver) partitionOneWay(t *rapid.T) {
	f.cluster.network.Partition(f.cluster.vms[f.pickNode(t)].Address, f.cluster.vms[f.pickNode(t)].Address)
}

func (f *faultDriver) heal(*rapid.T) { f.cluster.network.Heal() }

func (f *faultDriver) step(t *rapid.T) {
	f.cluster.clock.Advance(DefaultTiming().AntiEntropyInterval)
	f.cluster.nodes[f.pickNode(t)].syncer.step(f.cluster.tb.Context())
}

// restart restarts a node. When the node reaches all peers, its confirmed version
// must not be lower than the lowest version of the peers.
func (f *faultDriver) restart(t *rapid.T) {
	i := f.pickNode(t)
	n := f.cluster.restart(i)
	lowest := f.lowestPeerVersion(i)
	confirmed := n.syncer.Confirm(f.cluster.tb.Context())
	if confirmed.Version < lowest {
		t.Fatalf("node %d started with version %d, want at least %d, which every peer has", i, confirmed.Version, lowest)
	}
	f.lastVersions[i] = 0
}

// lowestPeerVersion returns the lowest version among the peers of a node, or 0 when
// one of them is unreachable.
func (f *faultDriver) lowestPeerVersion(self int) uint64 {
	lowest := f.published
	for i, n := range f.cluster.nodes {
		if i == self {
			continue
		}
		var reply VersionAdvert
		peerCaller := f.cluster.network.From(f.cluster.vms[self].Address)
		if err := peerCaller.Call(f.cluster.tb.Context(), n.vm.Address, MethodVersion, VersionAdvert{}, &reply); err != nil {
			return 0
		}
		lowest = min(lowest, n.store.Version())
	}
	return lowest
}

func (f *faultDriver) pickNode(t *rapid.T) int {
	return rapid.IntRange(0, len(f.cluster.nodes)-1).Draw(t, "node")
}

// checkVersions runs after each action and checks that no active version
// decreased.
func (f *faultDriver) checkVersions(t *rapid.T) {
	for i, version := range f.cluster.versions() {
		if version < f.lastVersions[i] {
			t.Fatalf("active version of node %d decreased from %d to %d", i, f.lastVersions[i], version)
		}
		f.lastVersions[i] = version
	}
	for i, n := range f.cluster.nodes {
		for k := 1; k < len(n.versions); k++ {
			if n.versions[k] <= n.versions[k-1] {
				t.Fatalf("node %d activated versions in the order %v, want increasing versions", i, n.versions)
			}
		}
	}
}

func TestVersionsNeverDecreaseAndConverge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		size := rapid.IntRange(2, 9).Draw(rt, "size")
		f := &faultDriver{cluster: newCluster(t, size), lastVersions: make([]uint64, size)}
		rt.Repeat(map[string]func(*rapid.T){
			"publish":      f.publish,
			"stale":        f.publishOld,
			"service down": f.failService,
			"partition":    f.partition,
			"one way":      f.partitionOneWay,
			"heal":         f.heal,
			"step":         f.step,
			"restart":      f.restart,
			"":             f.checkVersions,
		})
		f.cluster.network.Heal()
		f.publish(rt)
		for range convergenceRounds {
			f.cluster.stepAll()
			f.checkVersions(rt)
		}
		if !f.cluster.allAt(f.published) {
			rt.Fatalf("got versions %v, %d rounds after version %d was published; want that version at all nodes", f.cluster.versions(), convergenceRounds, f.published)
		}
	})
}
