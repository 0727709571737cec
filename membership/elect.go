package membership

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/sesameswitch/sesameswitch/provider"
)

// rendezvousWeight returns the rendezvous hash of a VM's name for a purpose and an
// epoch.
func rendezvousWeight(purpose string, epoch uint64, name string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	var number [8]byte
	binary.LittleEndian.PutUint64(number[:], epoch)
	_, _ = digest.WriteString(purpose)
	_, _ = digest.Write(number[:])
	_, _ = digest.WriteString(name)
	return digest.Sum64()
}

// Elect returns the n VMs with the highest rendezvous weights for a purpose and an
// epoch. Processes with the same list elect the same VMs. Adding a VM to a list, or
// removing one, changes at most one of the elected VMs.
func Elect(vms []provider.VM, purpose string, epoch uint64, n int) []provider.VM {
	type candidate struct {
		vm     provider.VM
		weight uint64
	}
	best := make([]candidate, 0, n+1)
	for _, vm := range vms {
		c := candidate{vm: vm, weight: rendezvousWeight(purpose, epoch, vm.Name)}
		position, _ := slices.BinarySearchFunc(best, c, func(a, b candidate) int {
			if a.weight >= b.weight {
				return -1
			}
			return 1
		})
		if position >= n {
			continue
		}
		best = slices.Insert(best, position, c)
		if len(best) > n {
			best = best[:n]
		}
	}
	elected := make([]provider.VM, len(best))
	for i, c := range best {
		elected[i] = c.vm
	}
	return elected
}

// IsElected reports whether self is among the n VMs that its data centre elects for
// a purpose and an epoch. Leaving VMs are not elected. When the list contains no
// candidate in the data centre, every VM there is elected; a process whose list is
// still empty is therefore elected.
func IsElected(self provider.VM, vms []provider.VM, purpose string, epoch uint64, n int) bool {
	var candidates []provider.VM
	for _, vm := range vms {
		if vm.DataCentre == self.DataCentre && vm.State != provider.VMLeaving {
			candidates = append(candidates, vm)
		}
	}
	if len(candidates) == 0 {
		return true
	}
	for _, vm := range Elect(candidates, purpose, epoch, n) {
		if vm.Name == self.Name {
			return true
		}
	}
	return false
}

// Neighbours returns the VMs that self announces versions to during an epoch: its
// successor on a ring of all VMs, localCount other VMs of its own data centre, and
// remoteCount other VMs of other data centres. When there are too few VMs of one kind,
// more VMs of the other kind are returned instead.
//
// The order of the ring changes with each epoch. The ring makes every VM the
// neighbour of at least one other VM. The other neighbours differ from VM to VM, so
// that a version reaches all VMs in few hops.
func Neighbours(self provider.VM, vms []provider.VM, epoch uint64, localCount, remoteCount int) []provider.VM {
	next, ok := successor(self, vms, epoch)
	if !ok {
		return nil
	}
	var local, remote []provider.VM
	for _, vm := range vms {
		switch {
		case isSelf(self, vm) || vm.Name == next.Name:
		case vm.DataCentre == self.DataCentre:
			local = append(local, vm)
		default:
			remote = append(remote, vm)
		}
	}
	purpose := "neighbours of " + self.Name
	total := localCount + remoteCount
	local = Elect(local, purpose, epoch, total)
	remote = Elect(remote, purpose, epoch, total)
	localTaken := min(len(local), max(localCount, total-len(remote)))
	remoteTaken := min(len(remote), total-localTaken)
	neighbours := append([]provider.VM{next}, local[:localTaken]...)
	return append(neighbours, remote[:remoteTaken]...)
}

// successor returns the VM that follows self on the ring of an epoch, or false when
// there is no other VM.
func successor(self provider.VM, vms []provider.VM, epoch uint64) (provider.VM, bool) {
	const ring = "ring"
	own := rendezvousWeight(ring, epoch, self.Name)
	var next provider.VM
	var nextDistance uint64
	for _, vm := range vms {
		if isSelf(self, vm) {
			continue
		}
		// The subtraction wraps around, like the ring.
		distance := rendezvousWeight(ring, epoch, vm.Name) - own
		if next.Name == "" || distance < nextDistance {
			next, nextDistance = vm, distance
		}
	}
	return next, next.Name != ""
}

// isSelf reports whether vm has the name or the address of self.
func isSelf(self, vm provider.VM) bool {
	return vm.Name == self.Name || vm.Address == self.Address
}
