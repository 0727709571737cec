package membership

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/sesameswitch/sesameswitch/provider"
)

// weight is the rendezvous weight of a VM for a purpose and an epoch.
func weight(purpose string, epoch uint64, name string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	var number [8]byte
	binary.LittleEndian.PutUint64(number[:], epoch)
	_, _ = digest.WriteString(purpose)
	_, _ = digest.Write(number[:])
	_, _ = digest.WriteString(name)
	return digest.Sum64()
}

// Elect returns the n VMs with the highest rendezvous weight for a purpose
// and an epoch. Processes with the same list elect alike; with different
// lists they differ only by the VMs that the lists differ in.
func Elect(vms []provider.VM, purpose string, epoch uint64, n int) []provider.VM {
	type candidate struct {
		vm     provider.VM
		weight uint64
	}
	best := make([]candidate, 0, n+1)
	for _, vm := range vms {
		c := candidate{vm: vm, weight: weight(purpose, epoch, vm.Name)}
		at, _ := slices.BinarySearchFunc(best, c, func(a, b candidate) int {
			if a.weight >= b.weight {
				return -1
			}
			return 1
		})
		if at >= n {
			continue
		}
		best = slices.Insert(best, at, c)
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

// IsElected reports whether self is among the n VMs that its data centre elects
// for a purpose and an epoch. Leaving VMs are not elected. When the list
// names no candidate in the data centre, everyone there is on duty.
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

// Neighbours returns the VMs that self exchanges versions with during an
// epoch: its successor on a ring of all VMs, local of its own data centre and
// remote of the others. The ring is another one in each epoch, and makes sure
// that each VM is the neighbour of at least one other; the choice of the rest
// differs from VM to VM, so that a version needs few hops to all of them. When
// there are too few of one kind, the other fills the places.
func Neighbours(self provider.VM, vms []provider.VM, epoch uint64, local, remote int) []provider.VM {
	next, ok := successor(self, vms, epoch)
	if !ok {
		return nil
	}
	var near, far []provider.VM
	for _, vm := range vms {
		switch {
		case isSelf(self, vm) || vm.Name == next.Name:
		case vm.DataCentre == self.DataCentre:
			near = append(near, vm)
		default:
			far = append(far, vm)
		}
	}
	purpose := "neighbours of " + self.Name
	total := local + remote
	near = Elect(near, purpose, epoch, total)
	far = Elect(far, purpose, epoch, total)
	nearShare := min(len(near), max(local, total-len(far)))
	farShare := min(len(far), total-nearShare)
	list := append([]provider.VM{next}, near[:nearShare]...)
	return append(list, far[:farShare]...)
}

// successor returns the VM that follows self on the ring of an epoch, and
// false when there is no other.
func successor(self provider.VM, vms []provider.VM, epoch uint64) (provider.VM, bool) {
	const ring = "ring"
	own := weight(ring, epoch, self.Name)
	var next provider.VM
	var nextDistance uint64
	for _, vm := range vms {
		if isSelf(self, vm) {
			continue
		}
		// The distance wraps around, as the ring does.
		distance := weight(ring, epoch, vm.Name) - own
		if next.Name == "" || distance < nextDistance {
			next, nextDistance = vm, distance
		}
	}
	return next, next.Name != ""
}

func isSelf(self, vm provider.VM) bool {
	return vm.Name == self.Name || vm.Address == self.Address
}
