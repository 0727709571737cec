package slopes

import (
	"fmt"

	"github.com/sesameswitch/sesameswitch/configsync"
	"github.com/sesameswitch/sesameswitch/membership"
	"github.com/sesameswitch/sesameswitch/provider"
)

// HopsPoint is how far a version travels by push, worked out from the
// elections and the graph of neighbours, without running processes.
type HopsPoint struct {
	Processes int `json:"processes"`
	Watchers  int `json:"watchers"`
	// Hops is the number of hops to the last process that push reaches.
	Hops int `json:"hops"`
	// MeanHops is the mean over those processes.
	MeanHops float64 `json:"mean_hops"`
	// Unreached is how many processes no push reaches; they find out when they
	// ask a neighbour.
	Unreached int `json:"unreached"`
}

// hopsEpoch is the turn for which the hops are worked out.
const hopsEpoch = 1

// MeasureHops follows a version from the watchers along the neighbours.
func MeasureHops(n int) HopsPoint {
	vms := make([]provider.VM, n)
	byName := make(map[string]provider.VM, n)
	for i := range vms {
		vms[i] = provider.VM{
			Name: fmt.Sprintf("vm-%04d", i), Address: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250),
			DataCentre: fmt.Sprintf("dc-%d", i%dataCentres),
		}
		byName[vms[i].Name] = vms[i]
	}
	point := HopsPoint{Processes: n}
	reached := map[string]bool{}
	var front []string
	for _, vm := range vms {
		if configsync.IsWatcher(vm, vms, hopsEpoch) {
			reached[vm.Name] = true
			front = append(front, vm.Name)
		}
	}
	point.Watchers = len(front)
	sum := 0
	for hop := 1; len(front) > 0; hop++ {
		front = pushed(front, vms, byName, reached)
		if len(front) > 0 {
			point.Hops = hop
		}
		sum += hop * len(front)
	}
	point.MeanHops = float64(sum) / float64(len(reached))
	point.Unreached = n - len(reached)
	return point
}

// pushed returns the processes that the front reaches for the first time.
func pushed(front []string, vms []provider.VM, byName map[string]provider.VM, reached map[string]bool) []string {
	var next []string
	for _, name := range front {
		for _, vm := range membership.Neighbours(byName[name], vms, hopsEpoch, configsync.LocalNeighbours, configsync.RemoteNeighbours) {
			if !reached[vm.Name] {
				reached[vm.Name] = true
				next = append(next, vm.Name)
			}
		}
	}
	return next
}
