// Package membership maintains the list of VMs of a deployment, as the platform
// reports it. The list lags behind the actual state.
//
// Users of the list must prefer what a process reports about itself: an agent
// that reports "leaving" is draining, whatever the list contains. Callers may assume
// that a VM listed as leaving keeps that state until it is no longer listed or has
// another address, and that an empty or unusually short list does not remove most VMs
// from the table at once.
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

// Limits on the VMs that one list may remove.
const (
	// maxPlausibleLoss is how many VMs one list may remove from a table of any size.
	maxPlausibleLoss = 2
	// maxPlausibleLossShare is the share of the VMs in the table that one list may
	// remove, if it is more than maxPlausibleLoss.
	maxPlausibleLossShare = 0.2
	// largeLossDelay is how long a larger loss must persist before it is applied.
	largeLossDelay = 30 * time.Second
)

// snapshot is one state of the table. It is immutable.
type snapshot struct {
	vms     []provider.VM
	agents  []provider.VM
	entries []provider.VM
	byName  map[string]provider.VM
	readAt  time.Time
}

// Table holds the current list of VMs. It is safe for concurrent use. Reads take no
// lock, except Changed and ImplausibleLists.
type Table struct {
	self    provider.VM
	clock   clock.Clock
	current atomic.Pointer[snapshot]

	mu      sync.Mutex
	changed chan struct{}
	// largeLossSince is the read time of the first of consecutive lists with a
	// larger loss, or zero.
	largeLossSince   time.Time
	implausibleLists uint64
}

// NewTable returns an empty table of the process on the VM self.
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

// Apply applies a list that was read from the platform just now.
func (t *Table) Apply(vms []provider.VM) {
	t.ApplyAt(vms, t.clock.Now())
}

// ApplyAt applies a list that was read from the platform at readAt, by the clock of
// this process. It ignores a list that was read before the current one, and then
// returns false.
func (t *Table) ApplyAt(vms []provider.VM, readAt time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	previous := t.current.Load()
	if readAt.Before(previous.readAt) {
		return false
	}
	next := t.merge(previous, normalise(vms), readAt)
	t.current.Store(newSnapshot(next, readAt))
	if !slices.Equal(previous.vms, next) {
		close(t.changed)
		t.changed = make(chan struct{})
	}
	return true
}

// normalise returns the list sorted by name, with the last VM of each name and
// without VMs that have no name or address.
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

// merge returns the VMs of the table after a new list. VMs that were leaving remain
// leaving. VMs that the new list lacks remain in the table while it is implausible
// that all of them have left.
func (t *Table) merge(previous *snapshot, vms []provider.VM, readAt time.Time) []provider.VM {
	present := make(map[string]bool, len(vms))
	for i := range vms {
		present[vms[i].Name] = true
		if before, ok := previous.byName[vms[i].Name]; ok && stillLeaving(before, vms[i]) {
			vms[i].State = provider.VMLeaving
		}
	}
	var missing []provider.VM
	for _, vm := range previous.vms {
		if !present[vm.Name] {
			missing = append(missing, vm)
		}
	}
	if t.plausible(len(previous.vms), len(missing), len(vms), readAt) {
		return vms
	}
	t.implausibleLists++
	vms = append(vms, missing...)
	sortByName(vms)
	return vms
}

// stillLeaving reports whether the VM was leaving before, under the same address.
// With another address it is a new VM of the same name.
func stillLeaving(before, after provider.VM) bool {
	return before.State == provider.VMLeaving && before.Address == after.Address
}

// plausible reports whether a list may be applied without keeping the missing VMs:
// total is the number of VMs in the table, missing how many of them the list lacks,
// and listed the length of the list. An empty list is never plausible for a table
// that has VMs.
func (t *Table) plausible(total, missing, listed int, readAt time.Time) bool {
	if listed == 0 && total > 0 {
		return false
	}
	if missing <= maxPlausibleLoss || float64(missing) <= maxPlausibleLossShare*float64(total) {
		t.largeLossSince = time.Time{}
		return true
	}
	if t.largeLossSince.IsZero() {
		t.largeLossSince = readAt
	}
	if readAt.Sub(t.largeLossSince) < largeLossDelay {
		return false
	}
	t.largeLossSince = time.Time{}
	return true
}

// VMs returns all VMs, sorted by name. The caller must not change the slice.
func (t *Table) VMs() []provider.VM { return t.current.Load().vms }

// Agents returns the VMs that run an agent. The caller must not change the slice.
func (t *Table) Agents() []provider.VM { return t.current.Load().agents }

// Entries returns the VMs that run an entry. The caller must not change the slice.
func (t *Table) Entries() []provider.VM { return t.current.Load().entries }

// Get returns the VM with the name.
func (t *Table) Get(name string) (provider.VM, bool) {
	vm, ok := t.current.Load().byName[name]
	return vm, ok
}

// Self returns the VM of this process, according to its settings.
func (t *Table) Self() provider.VM { return t.self }

// SelfDraining reports whether the platform lists the VM of this process as
// leaving; the process then has to drain.
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

// ReadAt returns when the current list was read from the platform, or the zero time
// before the first list.
func (t *Table) ReadAt() time.Time { return t.current.Load().readAt }

// ImplausibleLists returns how many lists would have removed too many VMs. The table
// kept the VMs that these lists lacked.
func (t *Table) ImplausibleLists() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.implausibleLists
}
