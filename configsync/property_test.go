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

// fleet drives a cluster through random faults and checks that versions never
// fall.
type fleet struct {
	cluster   *cluster
	published uint64
	last      []uint64
}

// publish makes the next version visible to one node's replica; the others'
// stay stale.
func (f *fleet) publish(t *rapid.T) {
	f.published++
	source := f.cluster.sources[f.pick(t)]
	source.publish(f.published)
	source.err = nil
}

// goBack makes one replica answer with an old version.
func (f *fleet) goBack(t *rapid.T) {
	if f.published == 0 {
		return
	}
	source := f.cluster.sources[f.pick(t)]
	source.publish(rapid.Uint64Range(1, f.published).Draw(t, "version"))
	source.err = nil
}

func (f *fleet) serviceDown(t *rapid.T) { f.cluster.sources[f.pick(t)].err = errDown }

func (f *fleet) partition(t *rapid.T) {
	mask := rapid.Uint64().Draw(t, "sides")
	f.cluster.cutOff(func(i int) bool { return mask>>i&1 == 1 })
}

func (f *fleet) cutOneWay(t *rapid.T) {
	f.cluster.network.Partition(f.cluster.vms[f.pick(t)].Address, f.cluster.vms[f.pick(t)].Address)
}

func (f *fleet) heal(*rapid.T) { f.cluster.network.Heal() }

func (f *fleet) step(t *rapid.T) {
	f.cluster.clock.Advance(DefaultTiming().AntiEntropyInterval)
	f.cluster.nodes[f.pick(t)].syncer.step(f.cluster.tb.Context())
}

// restart starts a node without memory; it must not be below what it could
// confirm.
func (f *fleet) restart(t *rapid.T) {
	i := f.pick(t)
	n := f.cluster.restart(i)
	reachable := f.leastReachable(i)
	confirmed := n.syncer.Confirm(f.cluster.tb.Context())
	if confirmed.Version < reachable {
		t.Fatalf("node %d started with version %d though every peer has %d or more", i, confirmed.Version, reachable)
	}
	f.last[i] = 0
}

// leastReachable returns the lowest version among the peers of a node, or 0
// when one of them may not answer.
func (f *fleet) leastReachable(self int) uint64 {
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

func (f *fleet) pick(t *rapid.T) int {
	return rapid.IntRange(0, len(f.cluster.nodes)-1).Draw(t, "node")
}

// check is called after each action: no version in force ever falls.
func (f *fleet) check(t *rapid.T) {
	for i, version := range f.cluster.versions() {
		if version < f.last[i] {
			t.Fatalf("node %d went from version %d to %d", i, f.last[i], version)
		}
		f.last[i] = version
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
		f := &fleet{cluster: newCluster(t, size), last: make([]uint64, size)}
		rt.Repeat(map[string]func(*rapid.T){
			"publish":      f.publish,
			"stale":        f.goBack,
			"service down": f.serviceDown,
			"partition":    f.partition,
			"one way":      f.cutOneWay,
			"heal":         f.heal,
			"step":         f.step,
			"restart":      f.restart,
			"":             f.check,
		})
		f.cluster.network.Heal()
		f.publish(rt)
		for range convergenceRounds {
			f.cluster.round()
			f.check(rt)
		}
		if !f.cluster.allAt(f.published) {
			rt.Fatalf("versions %v, %d rounds after version %d", f.cluster.versions(), convergenceRounds, f.published)
		}
	})
}
