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

// fakePlatform answers with a list or an error and counts the reads.
type fakePlatform struct {
	vms   []provider.VM
	err   error
	reads int
}

func (p *fakePlatform) List(context.Context) ([]provider.VM, error) {
	p.reads++
	return p.vms, p.err
}

type group struct {
	clock    *clock.Manual
	platform *fakePlatform
	network  *memnet.Network
	watchers []*Watcher
}

func newGroup(t *testing.T, vms []provider.VM) *group {
	g := &group{
		clock:    clock.NewManual(testStart),
		platform: &fakePlatform{vms: vms},
		network:  memnet.New(),
	}
	for i, vm := range vms {
		w := NewWatcher(WatcherConfig{
			Table:  NewTable(vm, g.clock),
			Source: g.platform,
			Caller: g.network.From(vm.Address),
			Clock:  g.clock,
			Rand:   rand.New(rand.NewPCG(uint64(i), 3)),
			Timing: DefaultTiming(),
		})
		if err := g.network.Listen(vm.Address, map[string]any{ServiceName: w.Service()}); err != nil {
			t.Fatal(err)
		}
		g.watchers = append(g.watchers, w)
	}
	return g
}

// round refreshes every watcher once, a pull interval after the last time.
func (g *group) round(t *testing.T) {
	g.clock.Advance(DefaultTiming().PullInterval)
	for _, w := range g.watchers {
		w.Refresh(t.Context())
	}
}

func (g *group) sizes() (least, most int) {
	least = len(g.watchers[0].cfg.Table.VMs())
	for _, w := range g.watchers {
		n := len(w.cfg.Table.VMs())
		least, most = min(least, n), max(most, n)
	}
	return least, most
}

func TestOnlyReadersReadThePlatform(t *testing.T) {
	g := newGroup(t, fleet(60, 3))
	g.round(t)
	g.platform.reads = 0
	const rounds = 30
	for range rounds {
		g.round(t)
	}
	if want := rounds * 3 * ReadersPerDataCentre; g.platform.reads > want {
		t.Fatalf("%d reads, want at most %d", g.platform.reads, want)
	}
	if least, _ := g.sizes(); least != 60 {
		t.Fatalf("a process knows %d VMs", least)
	}
}

func TestLeavingSpreads(t *testing.T) {
	g := newGroup(t, fleet(30, 3))
	g.round(t)
	next := fleet(30, 3)
	next[7].State = provider.VMLeaving
	g.platform.vms = next
	g.round(t)
	g.round(t)
	for _, w := range g.watchers {
		if vm, _ := w.cfg.Table.Get("vm-0007"); vm.State != provider.VMLeaving {
			t.Fatalf("%s sees it as %s", w.cfg.Table.Self().Name, vm.State)
		}
	}
	if !g.watchers[7].cfg.Table.SelfDraining() {
		t.Fatal("the leaving VM does not know")
	}
}

func TestPlatformDown(t *testing.T) {
	g := newGroup(t, fleet(30, 3))
	g.round(t)
	g.platform.err = errors.New("down")
	g.platform.reads = 0
	const rounds = 60
	for range rounds {
		g.round(t)
	}
	if least, most := g.sizes(); least != 30 || most != 30 {
		t.Fatalf("processes know %d to %d VMs", least, most)
	}
	span := rounds * DefaultTiming().PullInterval
	fallback := 30 * int(span/DefaultTiming().FallbackInterval)
	readers := rounds * 3 * ReadersPerDataCentre
	if g.platform.reads > fallback+readers {
		t.Fatalf("%d reads in %v, want at most %d", g.platform.reads, span, fallback+readers)
	}
}

func TestStartWhilePlatformIsDown(t *testing.T) {
	vms := fleet(12, 3)
	g := newGroup(t, vms)
	g.round(t)
	g.platform.err = errors.New("down")
	started := g.watchers[4]
	started.cfg.Table = NewTable(vms[4], g.clock)
	started.cfg.Table.Apply([]provider.VM{vms[0]})
	started.current.Store(nil)
	g.clock.Advance(time.Second)
	started.Refresh(t.Context())
	if got := len(started.cfg.Table.VMs()); got != 12 {
		t.Fatalf("%d VMs known from a peer", got)
	}
}

func TestAgeAddsUpOverPeers(t *testing.T) {
	vms := fleet(3, 1)
	g := newGroup(t, vms)
	g.watchers[0].read(t.Context())
	g.clock.Advance(5 * time.Second)
	g.watchers[1].pull(t.Context(), vms[0].Address)
	g.clock.Advance(5 * time.Second)
	g.watchers[2].pull(t.Context(), vms[1].Address)
	if age, ok := g.watchers[2].Age(); !ok || age != 10*time.Second {
		t.Fatalf("age %v, %v", age, ok)
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
		t.Fatalf("%d VMs, %v", len(got), err)
	}
	if _, err := decode([]byte(`{"name":`)); err == nil {
		t.Fatal("half a list was decoded")
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
		w := NewWatcher(WatcherConfig{
			Table: NewTable(vms[0], clock.NewManual(testStart)), Source: &fakePlatform{vms: vms},
			Clock: clock.NewManual(testStart), Timing: timing,
		})
		w.read(t.Context())
		if got := w.readInterval().Truncate(time.Second); got != tc.want {
			t.Fatalf("%d VMs: every %v, want %v", tc.vms, got, tc.want)
		}
	}
}

// TestStartBesideDeadPlatform has nobody to ask: no list yet, and a platform
// that does not answer.
func TestStartBesideDeadPlatform(t *testing.T) {
	g := newGroup(t, fleet(1, 1))
	g.platform.err = errors.New("down")
	w := g.watchers[0]
	for range 10 {
		g.clock.Advance(w.Refresh(t.Context()))
	}
	timing := DefaultTiming()
	if wait := w.Refresh(t.Context()); wait < timing.FallbackInterval/2 {
		t.Fatalf("wait %v after many failures", wait)
	}
	g.platform.err = nil
	g.clock.Advance(timing.FallbackInterval)
	if wait := w.Refresh(t.Context()); wait > 2*timing.PullInterval || len(w.cfg.Table.VMs()) != 1 {
		t.Fatalf("wait %v and %d VMs after the platform is back", wait, len(w.cfg.Table.VMs()))
	}
}
