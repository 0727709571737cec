package configsync

import (
	"flag"
	"testing"

	"pgregory.net/rapid"
)

// The property tests try the same cases on every run.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "60"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// convergenceRounds is how many repair intervals all nodes need at most once
// all links work again.
const convergenceRounds = 4

// faultDriver drives a cluster through random faults and checks that versions never
// fall.
type faultDriver struct {
	cluster      *cluster
	published    uint64
	lastVersions []uint64
}

// publish makes the next version visible to one node's replica; the others'
// stay stale.
func (f *faultDriver) publish(t *rapid.T) {
	f.published++
	source := f.cluster.sources[f.pickNode(t)]
	source.publish(f.published)
	source.err = nil
}

// publishOld makes one replica answer with an old version.
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

// restart starts a node without memory; it must not be below what it could
// confirm.
func (f *faultDriver) restart(t *rapid.T) {
	i := f.pickNode(t)
	n := f.cluster.restart(i)
	reachable := f.lowestReachable(i)
	confirmed := n.syncer.Confirm(f.cluster.tb.Context())
	if confirmed.Version < reachable {
		t.Fatalf("node %d started with version %d though every peer has %d or more", i, confirmed.Version, reachable)
	}
	f.lastVersions[i] = 0
}

// lowestReachable returns the lowest version among the peers of a node, or 0
// when one of them may not answer.
func (f *faultDriver) lowestReachable(self int) uint64 {
	least := f.published
	for i, n := range f.cluster.nodes {
		if i == self {
			continue
		}
		var reply VersionAdvert
		caller := f.cluster.network.From(f.cluster.vms[self].Address)
		if err := caller.Call(f.cluster.tb.Context(), n.vm.Address, MethodVersion, VersionAdvert{}, &reply); err != nil {
			return 0
		}
		least = min(least, n.store.Version())
	}
	return least
}

func (f *faultDriver) pickNode(t *rapid.T) int {
	return rapid.IntRange(0, len(f.cluster.nodes)-1).Draw(t, "node")
}

// checkVersions is called after each action: no version in force ever falls.
func (f *faultDriver) checkVersions(t *rapid.T) {
	for i, version := range f.cluster.versions() {
		if version < f.lastVersions[i] {
			t.Fatalf("node %d went from version %d to %d", i, f.lastVersions[i], version)
		}
		f.lastVersions[i] = version
	}
	for i, n := range f.cluster.nodes {
		for k := 1; k < len(n.versions); k++ {
			if n.versions[k] <= n.versions[k-1] {
				t.Fatalf("node %d put versions in force in the order %v", i, n.versions)
			}
		}
	}
}

func TestVersionsNeverFallAndConverge(t *testing.T) {
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
			rt.Fatalf("versions %v, %d rounds after version %d", f.cluster.versions(), convergenceRounds, f.published)
		}
	})
}
