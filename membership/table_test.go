package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/sesameswitch/sesameswitch/clock"
	"github.com/sesameswitch/sesameswitch/provider"
)

var testStart = time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)

// fleet returns n live VMs, one in three an entry, over dcs data centres.
func fleet(n, dcs int) []provider.VM {
	vms := make([]provider.VM, n)
	for i := range vms {
		vms[i] = provider.VM{
			Name:       fmt.Sprintf("vm-%04d", i),
			Address:    fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250),
			DataCentre: fmt.Sprintf("dc-%d", i%dcs),
			Role:       provider.RoleAgent,
			State:      provider.VMLive,
		}
		if i%3 == 0 {
			vms[i].Role = provider.RoleEntry
		}
	}
	return vms
}

func newTable(vms []provider.VM) (*Table, *clock.Manual) {
	c := clock.NewManual(testStart)
	table := NewTable(vms[0], c)
	table.Apply(vms)
	return table, c
}

func TestTableLists(t *testing.T) {
	vms := fleet(9, 3)
	table, _ := newTable(vms)
	if len(table.VMs()) != 9 || len(table.Entries()) != 3 || len(table.Agents()) != 6 {
		t.Fatalf("%d VMs, %d entries, %d agents", len(table.VMs()), len(table.Entries()), len(table.Agents()))
	}
	if vm, ok := table.Get("vm-0004"); !ok || vm != vms[4] {
		t.Fatalf("got %v, %v", vm, ok)
	}
	if table.Self() != vms[0] {
		t.Fatalf("self is %v", table.Self())
	}
}

func TestTableChangedOnlyByChanges(t *testing.T) {
	vms := fleet(6, 2)
	table, _ := newTable(vms)
	changed := table.Changed()
	table.Apply(vms)
	select {
	case <-changed:
		t.Fatal("an equal list was signalled as a change")
	default:
	}
	table.Apply(vms[:5])
	select {
	case <-changed:
	default:
		t.Fatal("a change was not signalled")
	}
}

func TestLeavingStaysUntilTheVMVanishes(t *testing.T) {
	vms := fleet(6, 2)
	table, _ := newTable(vms)
	leaving := fleet(6, 2)
	leaving[0].State = provider.VMLeaving
	table.Apply(leaving)
	if !table.SelfDraining() {
		t.Fatal("leaving was not seen")
	}
	table.Apply(vms)
	if !table.SelfDraining() {
		t.Fatal("an older view brought the VM back")
	}
	table.Apply(vms[1:])
	if table.SelfDraining() {
		t.Fatal("a VM that vanished is still leaving")
	}
	table.Apply(vms)
	if table.SelfDraining() {
		t.Fatal("a VM that came back is still leaving")
	}
}

func TestReplacedVMIsNotLeaving(t *testing.T) {
	vms := fleet(6, 2)
	vms[3].State = provider.VMLeaving
	table, _ := newTable(vms)
	next := fleet(6, 2)
	next[3].Address = "10.9.9.9:7000"
	table.Apply(next)
	if vm, _ := table.Get("vm-0003"); vm.State != provider.VMLive {
		t.Fatalf("the replacement is %s", vm.State)
	}
}

func TestShrinkingLists(t *testing.T) {
	vms := fleet(30, 3)
	cases := []struct {
		name string
		list []provider.VM
		// at once and after the hold
		first, later int
	}{
		{"one VM gone", vms[1:], 29, 29},
		{"a fifth gone", vms[6:], 24, 24},
		{"half gone", vms[15:], 30, 15},
		{"empty", nil, 30, 30},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			table, c := newTable(vms)
			c.Advance(time.Second)
			table.Apply(tc.list)
			if got := len(table.VMs()); got != tc.first {
				t.Fatalf("%d VMs at once, want %d", got, tc.first)
			}
			c.Advance(shrinkHold - time.Second)
			table.Apply(tc.list)
			if got := len(table.VMs()); got != tc.first {
				t.Fatalf("%d VMs before the end of the hold, want %d", got, tc.first)
			}
			c.Advance(time.Second)
			table.Apply(tc.list)
			if got := len(table.VMs()); got != tc.later {
				t.Fatalf("%d VMs after the hold, want %d", got, tc.later)
			}
		})
	}
}

func TestShortListBetweenWholeOnes(t *testing.T) {
	vms := fleet(30, 3)
	table, c := newTable(vms)
	for range 10 {
		c.Advance(shrinkHold)
		table.Apply(vms[20:])
		table.Apply(vms)
	}
	if len(table.VMs()) != 30 || table.ImplausibleLists() != 10 {
		t.Fatalf("%d VMs, %d lists held", len(table.VMs()), table.ImplausibleLists())
	}
}

func TestEarlierListIsLeftOut(t *testing.T) {
	vms := fleet(6, 2)
	table, c := newTable(vms)
	if table.ApplyAt(vms[1:], c.Now().Add(-time.Second)) || len(table.VMs()) != 6 {
		t.Fatal("a list read earlier was applied")
	}
}

func TestElectionMovesOnlyWithTheElected(t *testing.T) {
	vms := fleet(200, 1)
	before := Elect(vms, "p", 7, 3)
	for i, vm := range vms {
		rest := append(append([]provider.VM{}, vms[:i]...), vms[i+1:]...)
		after := Elect(rest, "p", 7, 3)
		wasElected := vm == before[0] || vm == before[1] || vm == before[2]
		if same := fmt.Sprint(after) == fmt.Sprint(before); same == wasElected {
			t.Fatalf("without %s: elected %v, before %v", vm.Name, after, before)
		}
	}
}

func TestDutyRotatesOverAllVMs(t *testing.T) {
	vms := fleet(60, 3)
	turns := map[string]int{}
	const epochs = 200
	for epoch := range uint64(epochs) {
		for _, vm := range vms {
			if IsElected(vm, vms, "p", epoch, 2) {
				turns[vm.Name]++
			}
		}
	}
	total := 0
	for _, vm := range vms {
		total += turns[vm.Name]
		if got := turns[vm.Name]; got < epochs/40 || got > epochs/4 {
			t.Fatalf("%s had %d of %d turns", vm.Name, got, epochs)
		}
	}
	if total != epochs*3*2 {
		t.Fatalf("%d turns, want 2 in each of 3 data centres", total)
	}
}

// TestNeighboursJoinAllVMs checks that the graph of neighbours is connected,
// also when a data centre is gone, and that no VM has many.
func TestNeighboursJoinAllVMs(t *testing.T) {
	all := fleet(300, 10)
	withoutOne := make([]provider.VM, 0, len(all))
	for _, vm := range all {
		if vm.DataCentre != "dc-4" {
			withoutOne = append(withoutOne, vm)
		}
	}
	for _, vms := range [][]provider.VM{all, withoutOne, fleet(17, 4), fleet(3, 3), fleet(2, 1)} {
		for epoch := range uint64(2) {
			checkGraph(t, vms, epoch)
		}
	}
}

// TestEveryVMIsANeighbour checks that each VM is told of versions by another.
func TestEveryVMIsANeighbour(t *testing.T) {
	for _, vms := range [][]provider.VM{fleet(300, 10), fleet(17, 4), fleet(2, 1)} {
		for epoch := range uint64(3) {
			told := map[string]bool{}
			for _, vm := range vms {
				for _, other := range Neighbours(vm, vms, epoch, 3, 1) {
					told[other.Name] = true
				}
			}
			if len(told) != len(vms) {
				t.Fatalf("%d of %d VMs are told", len(told), len(vms))
			}
		}
	}
	alone := fleet(1, 1)
	if list := Neighbours(alone[0], alone, 0, 3, 1); len(list) != 0 {
		t.Fatalf("a VM alone has neighbours %v", list)
	}
}

func checkGraph(t *testing.T, vms []provider.VM, epoch uint64) {
	t.Helper()
	links := map[string][]string{}
	for _, vm := range vms {
		for _, other := range Neighbours(vm, vms, epoch, 3, 1) {
			links[vm.Name] = append(links[vm.Name], other.Name)
			links[other.Name] = append(links[other.Name], vm.Name)
		}
	}
	reached := map[string]bool{vms[0].Name: true}
	queue := []string{vms[0].Name}
	for len(queue) > 0 {
		name := queue[0]
		queue = queue[1:]
		if len(links[name]) > 30 {
			t.Fatalf("%s has %d links", name, len(links[name]))
		}
		for _, other := range links[name] {
			if !reached[other] {
				reached[other] = true
				queue = append(queue, other)
			}
		}
	}
	if len(reached) != len(vms) {
		t.Fatalf("%d of %d VMs are joined", len(reached), len(vms))
	}
}
