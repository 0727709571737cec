// Package membership keeps the list of VMs of a deployment as the platform
// tells it, which lags behind the truth.
//
// The table is a hint of whom to talk to. What a process says of itself
// goes before it: an agent that answers "leaving" is leaving, whatever the
// list says. A caller may rely on a VM seen leaving staying so until it
// vanishes from the list, and on an empty or suddenly short list not emptying
// the table at once.
package membership

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sesameswitch/sesameswitch/clock"
	"github.com/sesameswitch/sesameswitch/provider"
)

// Limits on how fast the table may shrink.
const (
	// plausibleLoss is how many VMs one list may drop whatever its length.
	plausibleLoss = 2
	// plausibleLossShare is the share of the VMs that one list may drop.
	plausibleLossShare = 0.2
	// shrinkHold is how long a larger loss must last before it is believed.
	shrinkHold = 30 * time.Second
)

// snapshot is one state of the table. It is immutable.
type snapshot struct {
	vms     []provider.VM
	agents  []provider.VM
	entries []provider.VM
	byName  map[string]provider.VM
	readAt  time.Time
}

// Table holds the present list of VMs. It is safe for concurrent use; reads
// take no lock.
type Table struct {
	self    provider.VM
	clock   clock.Clock
	current atomic.Pointer[snapshot]

	mu      sync.Mutex
	changed chan struct{}
	// shrunkSince is when the first of an unbroken run of implausibly short
	// lists was read, or zero.
	shrunkSince time.Time
	held        uint64
}

// NewTable returns a table that knows only its own VM.
func NewTable(self provider.VM, c clock.Clock) *Table {
	t := &Table{self: self, clock: c, changed: make(chan struct{})}
	t.current.Store(newSnapshot(nil, time.Time{}))
	return t
}

func newSnapshot(vms []provider.VM, readAt time.Time) *snapshot {
	s := &snapshot{vms: vms, byName: make(map[string]provider.VM, len(vms)), readAt: readAt}
	for _, vm := range vms {
		s.byName[vm.Name] = vm
		switch vm.Role {
		case provider.RoleAgent:
			s.agents = append(s.agents, vm)
		case provider.RoleEntry:
			s.entries = append(s.entries, vm)
		}
	}
	return s
}

// Apply takes a list that was read from the platform just now.
func (t *Table) Apply(vms []provider.VM) {
	t.ApplyAt(vms, t.clock.Now())
}

// ApplyAt takes a list that the platform gave out at readAt, by this
// process's clock. A list read earlier than the table's is left out; ApplyAt
// then returns false.
func (t *Table) ApplyAt(vms []provider.VM, readAt time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.current.Load()
	if readAt.Before(now.readAt) {
		return false
	}
	next := t.merge(now, normalise(vms), readAt)
	t.current.Store(newSnapshot(next, readAt))
	if !slices.Equal(now.vms, next) {
		close(t.changed)
		t.changed = make(chan struct{})
	}
	return true
}

// normalise sorts the list by name and keeps the last entry of each name.
func normalise(vms []provider.VM) []provider.VM {
	byName := make(map[string]provider.VM, len(vms))
	for _, vm := range vms {
		if vm.Name != "" && vm.Address != "" {
			byName[vm.Name] = vm
		}
	}
	list := make([]provider.VM, 0, len(byName))
	for _, vm := range byName {
		list = append(list, vm)
	}
	sortByName(list)
	return list
}

func sortByName(list []provider.VM) {
	slices.SortFunc(list, func(a, b provider.VM) int { return strings.Compare(a.Name, b.Name) })
}

// merge returns the list to use after a read: the new one, with VMs that
// were leaving kept so, and with missing VMs kept while the loss is
// implausible.
func (t *Table) merge(now *snapshot, vms []provider.VM, readAt time.Time) []provider.VM {
	present := make(map[string]bool, len(vms))
	for i := range vms {
		present[vms[i].Name] = true
		if before, ok := now.byName[vms[i].Name]; ok && sameLeaving(before, vms[i]) {
			vms[i].State = provider.VMLeaving
		}
	}
	var missing []provider.VM
	for _, vm := range now.vms {
		if !present[vm.Name] {
			missing = append(missing, vm)
		}
	}
	if t.plausible(len(now.vms), len(missing), len(vms), readAt) {
		return vms
	}
	t.held++
	vms = append(vms, missing...)
	sortByName(vms)
	return vms
}

// sameLeaving reports whether the VM was seen leaving under the same address
// before. Another process at the name is a new VM.
func sameLeaving(before, after provider.VM) bool {
	return before.State == provider.VMLeaving && before.Address == after.Address
}

// plausible reports whether the loss of missing out of total VMs may be
// believed now.
func (t *Table) plausible(total, missing, listed int, readAt time.Time) bool {
	if listed == 0 && total > 0 {
		return false
	}
	if missing <= plausibleLoss || float64(missing) <= plausibleLossShare*float64(total) {
		t.shrunkSince = time.Time{}
		return true
	}
	if t.shrunkSince.IsZero() {
		t.shrunkSince = readAt
	}
	if readAt.Sub(t.shrunkSince) < shrinkHold {
		return false
	}
	t.shrunkSince = time.Time{}
	return true
}

// VMs returns all VMs, sorted by name. The caller must not change the slice.
func (t *Table) VMs() []provider.VM { return t.current.Load().vms }

// Agents returns the VMs that run an agent. The caller must not change it.
func (t *Table) Agents() []provider.VM { return t.current.Load().agents }

// Entries returns the VMs that run an entry. The caller must not change it.
func (t *Table) Entries() []provider.VM { return t.current.Load().entries }

// Get returns the VM by name.
func (t *Table) Get(name string) (provider.VM, bool) {
	vm, ok := t.current.Load().byName[name]
	return vm, ok
}

// Self returns this process's own VM, as its settings say.
func (t *Table) Self() provider.VM { return t.self }

// SelfDraining reports whether the platform says that this VM is leaving.
func (t *Table) SelfDraining() bool {
	vm, ok := t.Get(t.self.Name)
	return ok && vm.Address == t.self.Address && vm.State == provider.VMLeaving
}

// Changed returns a channel that is closed at the next change of the list.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// ReadAt returns when the platform gave out the list in use, or the zero
// time before the first.
func (t *Table) ReadAt() time.Time { return t.current.Load().readAt }

// ImplausibleLists returns how many lists were too short to be believed when they came.
func (t *Table) ImplausibleLists() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.held
}
