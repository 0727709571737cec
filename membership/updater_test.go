package membership

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sesameswitch/sesameswitch/clock"
	"github.com/sesameswitch/sesameswitch/configsync/memnet"
	"github.com/sesameswitch/sesameswitch/provider"
)

// fakePlatform is a stand-in for the platform. It returns a list or an error and
// counts the reads.
type fakePlatform struct {
	vms   []provider.VM
	err   error
	reads int
}

func (p *fakePlatform) List(context.Context) ([]provider.VM, error) {
	p.reads++
	return p.vms, p.err
}

// cluster is a set of processes that share one platform. Each has its own table and
// updater; the test calls Refresh instead of Run.
type cluster struct {
	clock    *clock.Manual
	platform *fakePlatform
	network  *memnet.Network
	updaters []*Updater
}

func newCluster(t *testing.T, vms []provider.VM) *cluster {
	c := &cluster{
		clock:    clock.NewManual(testStart),
		platform: &fakePlatform{vms: vms},
		network:  memnet.New(),
	}
	for i, vm := range vms {
		u := NewUpdater(UpdaterConfig{
			Table:  NewTable(vm, c.clock),
			Source: c.platform,
			Peers:  c.network.From(vm.Address),
			Clock:  c.clock,
			Rand:   rand.New(rand.NewPCG(uint64(i), 3)),
			Timing: DefaultTiming(),
		})
		if err := c.network.Listen(vm.Address, map[string]any{ServiceName: u.RPCService()}); err != nil {
			t.Fatal(err)
		}
		c.updaters = append(c.updaters, u)
	}
	return c
}

// refreshAll advances the clock by the pull interval and refreshes every updater.
func (c *cluster) refreshAll(t *testing.T) {
	c.clock.Advance(DefaultTiming().PullInterval)
	for _, u := range c.updaters {
		u.Refresh(t.Context())
	}
}

// tableSizes returns the lowest and the highest number of VMs in a table.
func (c *cluster) tableSizes() (lowest, highest int) {
	lowest = len(c.updaters[0].cfg.Table.VMs())
	for _, u := range c.updaters {
		n := len(u.cfg.Table.VMs())
		lowest, highest = min(lowest, n), max(highest, n)
	}
	return lowest, highest
}

func TestOnlyReadersReadThePlatform(t *testing.T) {
	c := newCluster(t, fleet(60, 3))
	// In the first round every process reads the platform, since its list is empty.
	c.refreshAll(t)
	c.platform.reads = 0
	const rounds = 30
	for range rounds {
		c.refreshAll(t)
	}
	if want := rounds * 3 * ReadersPerDataCentre; c.platform.reads > want {
		t.Fatalf("%d reads of the platform, want at most %d", c.platform.reads, want)
	}
	if lowest, _ := c.tableSizes(); lowest != 60 {
		t.Fatalf("a process has a list of %d VMs, want 60", lowest)
	}
}

func TestLeavingStatePropagatesToAllProcesses(t *testing.T) {
	c := newCluster(t, fleet(30, 3))
	c.refreshAll(t)
	next := fleet(30, 3)
	next[7].State = provider.VMLeaving
	c.platform.vms = next
	c.refreshAll(t)
	c.refreshAll(t)
	for _, u := range c.updaters {
		if vm, _ := u.cfg.Table.Get("vm-0007"); vm.State != provider.VMLeaving {
			t.Fatalf("%s has the leaving VM in state %s", u.cfg.Table.Self().Name, vm.State)
		}
	}
	if !c.updaters[7].cfg.Table.SelfDraining() {
		t.Fatal("SelfDraining is false on the leaving VM")
	}
}

func TestUnavailablePlatformKeepsListAndLimitsReads(t *testing.T) {
	c := newCluster(t, fleet(30, 3))
	c.refreshAll(t)
	c.platform.err = errors.New("platform unavailable")
	c.platform.reads = 0
	const rounds = 60
	for range rounds {
		c.refreshAll(t)
	}
	if lowest, highest := c.tableSizes(); lowest != 30 || highest != 30 {
		t.Fatalf("processes have lists of %d to %d VMs, want 30", lowest, highest)
	}
	span := rounds * DefaultTiming().PullInterval
	fallbackReads := 30 * int(span/DefaultTiming().FallbackInterval)
	readerReads := rounds * 3 * ReadersPerDataCentre
	if c.platform.reads > fallbackReads+readerReads {
		t.Fatalf("%d reads of the platform in %v, want at most %d", c.platform.reads, span, fallbackReads+readerReads)
	}
}

func TestStartingProcessPullsListWhilePlatformIsUnavailable(t *testing.T) {
	vms := fleet(12, 3)
	c := newCluster(t, vms)
	c.refreshAll(t)
	c.platform.err = errors.New("platform unavailable")
	restarted := c.updaters[4]
	restarted.cfg.Table = NewTable(vms[4], c.clock)
	restarted.cfg.Table.Apply([]provider.VM{vms[0]})
	restarted.current.Store(nil)
	c.clock.Advance(time.Second)
	restarted.Refresh(t.Context())
	if got := len(restarted.cfg.Table.VMs()); got != 12 {
		t.Fatalf("got a list of %d VMs from a peer, want 12", got)
	}
}

func TestAgeAccumulatesOverPulls(t *testing.T) {
	vms := fleet(3, 1)
	c := newCluster(t, vms)
	c.updaters[0].readPlatform(t.Context())
	c.clock.Advance(5 * time.Second)
	c.updaters[1].pull(t.Context(), vms[0].Address)
	c.clock.Advance(5 * time.Second)
	c.updaters[2].pull(t.Context(), vms[1].Address)
	if age, ok := c.updaters[2].Age(); !ok || age != 10*time.Second {
		t.Fatalf("got age %v, %v; want 10s, true", age, ok)
	}
}

func TestListRoundTrip(t *testing.T) {
	vms := fleet(100, 3)
	document, err := encode(vms)
	if err != nil {
		t.Fatal(err)
	}
	got, err := decode(document.Body())
	if err != nil || len(got) != len(vms) || got[99] != vms[99] {
		t.Fatalf("decoded %d VMs, error %v; want all VMs", len(got), err)
	}
	if _, err := decode([]byte(`{"name":`)); err == nil {
		t.Fatal("no error for a truncated list")
	}
}

func TestLongListsAreReadLessOften(t *testing.T) {
	timing := DefaultTiming()
	cases := []struct {
		vms  int
		want time.Duration
	}{
		{17, timing.MinReadInterval},
		{1140, 3 * time.Second},
		{5000, timing.MaxReadInterval},
	}
	for _, tc := range cases {
		vms := fleet(tc.vms, 10)
		u := NewUpdater(UpdaterConfig{
			Table: NewTable(vms[0], clock.NewManual(testStart)), Source: &fakePlatform{vms: vms},
			Clock: clock.NewManual(testStart), Timing: timing,
		})
		u.readPlatform(t.Context())
		if got := u.readInterval().Truncate(time.Second); got != tc.want {
			t.Fatalf("%d VMs: got read interval %v, want %v", tc.vms, got, tc.want)
		}
	}
}

// TestRefreshBacksOffWithoutAnySource has a process without a list and without peers,
// while the platform is unavailable.
func TestRefreshBacksOffWithoutAnySource(t *testing.T) {
	c := newCluster(t, fleet(1, 1))
	c.platform.err = errors.New("platform unavailable")
	u := c.updaters[0]
	for range 10 {
		c.clock.Advance(u.Refresh(t.Context()))
	}
	timing := DefaultTiming()
	if wait := u.Refresh(t.Context()); wait < timing.FallbackInterval/2 {
		t.Fatalf("wait %v after many failures, want at least half of FallbackInterval", wait)
	}
	c.platform.err = nil
	c.clock.Advance(timing.FallbackInterval)
	if wait := u.Refresh(t.Context()); wait > 2*timing.PullInterval || len(u.cfg.Table.VMs()) != 1 {
		t.Fatalf("got wait %v and %d VMs after the platform recovered, want a short wait and 1 VM", wait, len(u.cfg.Table.VMs()))
	}
}
