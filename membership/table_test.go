package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/sesameswitch/sesameswitch/clock"
	"github.com/sesameswitch/sesameswitch/provider"
)

var testStart = time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)

// fleet returns n live VMs in a number of data centres. Every third VM runs an entry, the
// others run agents.
func fleet(n, dataCentres int) []provider.VM {
	vms := make([]provider.VM, n)
	for i := range vms {
		vms[i] = provider.VM{
			Name:       fmt.Sprintf("vm-%04d", i),
			Address:    fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250),
			DataCentre: fmt.Sprintf("dc-%d", i%dataCentres),
			Role:       provider.RoleAgent,
			State:      provider.VMLive,
		}
		if i%3 == 0 {
			vms[i].Role = provider.RoleEntry
		}
	}
	return vms
}

// newTable returns a table that contains vms and belongs to the first of them.
func newTable(vms []provider.VM) (*Table, *clock.Manual) {
	c := clock.NewManual(testStart)
	table := NewTable(vms[0], c)
	table.Apply(vms)
	return table, c
}

func TestTableReturnsVMsByRoleAndName(t *testing.T) {
	vms := fleet(9, 3)
	table, _ := newTable(vms)
	if len(table.VMs()) != 9 || len(table.Entries()) != 3 || len(table.Agents()) != 6 {
		t.Fatalf("got %d VMs, %d entries, %d agents; want 9, 3, 6", len(table.VMs()), len(table.Entries()), len(table.Agents()))
	}
	if vm, ok := table.Get("vm-0004"); !ok || vm != vms[4] {
		t.Fatalf("got VM %v, found %v; want the listed VM", vm, ok)
	}
	if table.Self() != vms[0] {
		t.Fatalf("got self %v, want the VM of the process", table.Self())
	}
}

func TestTableSignalsOnlyChanges(t *testing.T) {
	vms := fleet(6, 2)
	table, _ := newTable(vms)
	changed := table.Changed()
	table.Apply(vms)
	select {
	case <-changed:
		t.Fatal("equal list was signalled as a change")
	default:
	}
	table.Apply(vms[:5])
	select {
	case <-changed:
	default:
		t.Fatal("change was not signalled")
	}
}

func TestLeavingVMStaysLeavingWhileListed(t *testing.T) {
	vms := fleet(6, 2)
	table, _ := newTable(vms)
	leaving := fleet(6, 2)
	leaving[0].State = provider.VMLeaving
	table.Apply(leaving)
	if !table.SelfDraining() {
		t.Fatal("listed as leaving, but SelfDraining is false")
	}
	table.Apply(vms)
	if !table.SelfDraining() {
		t.Fatal("SelfDraining is false after a list in which the VM is live again")
	}
	table.Apply(vms[1:])
	if table.SelfDraining() {
		t.Fatal("SelfDraining is true for a VM that is no longer listed")
	}
	table.Apply(vms)
	if table.SelfDraining() {
		t.Fatal("SelfDraining is true for a VM that is listed again")
	}
}

func TestVMWithNewAddressIsNotLeaving(t *testing.T) {
	vms := fleet(6, 2)
	vms[3].State = provider.VMLeaving
	table, _ := newTable(vms)
	next := fleet(6, 2)
	next[3].Address = "10.9.9.9:7000"
	table.Apply(next)
	if vm, _ := table.Get("vm-0003"); vm.State != provider.VMLive {
		t.Fatalf("got state %s of the VM with a new address, want live", vm.State)
	}
}

func TestLargeLossIsAppliedAfterDelay(t *testing.T) {
	vms := fleet(30, 3)
	cases := []struct {
		name string
		list []provider.VM
		// Expected numbers of VMs in the table before and after the end of the delay.
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
				t.Fatalf("%d VMs in the table right after the list, want %d", got, tc.first)
			}
			c.Advance(largeLossDelay - time.Second)
			table.Apply(tc.list)
			if got := len(table.VMs()); got != tc.first {
				t.Fatalf("%d VMs in the table before the end of the delay, want %d", got, tc.first)
			}
			c.Advance(time.Second)
			table.Apply(tc.list)
			if got := len(table.VMs()); got != tc.later {
				t.Fatalf("%d VMs in the table after the delay, want %d", got, tc.later)
			}
		})
	}
}

func TestShortListBetweenCompleteOnesRemovesNoVM(t *testing.T) {
	vms := fleet(30, 3)
	table, c := newTable(vms)
	for range 10 {
		c.Advance(largeLossDelay)
		table.Apply(vms[20:])
		table.Apply(vms)
	}
	if len(table.VMs()) != 30 || table.ImplausibleLists() != 10 {
		t.Fatalf("got %d VMs, %d implausible lists; want 30 and 10", len(table.VMs()), table.ImplausibleLists())
	}
}

func TestEarlierListIsIgnored(t *testing.T) {
	vms := fleet(6, 2)
	table, c := newTable(vms)
	if table.ApplyAt(vms[1:], c.Now().Add(-time.Second)) || len(table.VMs()) != 6 {
		t.Fatal("list with an earlier read time was applied")
	}
}

func TestElectionChangesOnlyWhenAnElectedVMIsRemoved(t *testing.T) {
	vms := fleet(200, 1)
	before := Elect(vms, "p", 7, 3)
	for i, vm := range vms {
		rest := append(append([]provider.VM{}, vms[:i]...), vms[i+1:]...)
		after := Elect(rest, "p", 7, 3)
		wasElected := vm == before[0] || vm == before[1] || vm == before[2]
		if same := fmt.Sprint(after) == fmt.Sprint(before); same == wasElected {
			t.Fatalf("without %s: elected %v, with all VMs: %v", vm.Name, after, before)
		}
	}
}

func TestElectionRotatesOverAllVMs(t *testing.T) {
	vms := fleet(60, 3)
	elections := map[string]int{}
	const epochs = 200
	for epoch := range uint64(epochs) {
		for _, vm := range vms {
			if IsElected(vm, vms, "p", epoch, 2) {
				elections[vm.Name]++
			}
		}
	}
	total := 0
	for _, vm := range vms {
		total += elections[vm.Name]
		if got := elections[vm.Name]; got < epochs/40 || got > epochs/4 {
			t.Fatalf("%s was elected in %d of %d epochs, want between 1/40 and 1/4", vm.Name, got, epochs)
		}
	}
	if total != epochs*3*2 {
		t.Fatalf("%d elections, want 2 per epoch in each of 3 data centres", total)
	}
}

// TestNeighboursConnectAllVMs checks that the graph of neighbours is connected, also
// without the VMs of one data centre, and that no VM has more than 30 links.
func TestNeighboursConnectAllVMs(t *testing.T) {
	all := fleet(300, 10)
	withoutOne := make([]provider.VM, 0, len(all))
	for _, vm := range all {
		if vm.DataCentre != "dc-4" {
			withoutOne = append(withoutOne, vm)
		}
	}
	for _, vms := range [][]provider.VM{all, withoutOne, fleet(17, 4), fleet(3, 3), fleet(2, 1)} {
		for epoch := range uint64(2) {
			checkNeighbourGraph(t, vms, epoch)
		}
	}
}

// TestEveryVMIsANeighbour checks that every VM receives announcements of versions
// from at least one other VM.
func TestEveryVMIsANeighbour(t *testing.T) {
	for _, vms := range [][]provider.VM{fleet(300, 10), fleet(17, 4), fleet(2, 1)} {
		for epoch := range uint64(3) {
			receivers := map[string]bool{}
			for _, vm := range vms {
				for _, other := range Neighbours(vm, vms, epoch, 3, 1) {
					receivers[other.Name] = true
				}
			}
			if len(receivers) != len(vms) {
				t.Fatalf("%d of %d VMs are neighbours of another VM", len(receivers), len(vms))
			}
		}
	}
	alone := fleet(1, 1)
	if neighbours := Neighbours(alone[0], alone, 0, 3, 1); len(neighbours) != 0 {
		t.Fatalf("got neighbours %v of the only VM, want none", neighbours)
	}
}

func checkNeighbourGraph(t *testing.T, vms []provider.VM, epoch uint64) {
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
			t.Fatalf("%s has %d links, want at most 30", name, len(links[name]))
		}
		for _, other := range links[name] {
			if !reached[other] {
				reached[other] = true
				queue = append(queue, other)
			}
		}
	}
	if len(reached) != len(vms) {
		t.Fatalf("%d of %d VMs are connected", len(reached), len(vms))
	}
}
