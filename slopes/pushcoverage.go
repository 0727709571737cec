package slopes

import (
	"fmt"

	"github.com/sesameswitch/sesameswitch/configsync"
	"github.com/sesameswitch/sesameswitch/membership"
	"github.com/sesameswitch/sesameswitch/provider"
)

// PushCoverage describes how a version propagates by push in a fleet of one
// size. It is computed from the elected watchers and the neighbour graph,
// without running processes.
type PushCoverage struct {
	Processes int `json:"processes"`
	// Watchers is the number of processes elected to watch the configuration
	// service.
	Watchers int `json:"watchers"`
	// MaxHops is the number of hops to the last process that push reaches.
	MaxHops int `json:"hops"`
	// MeanHops is the mean number of hops to a process that push reaches. The
	// watchers are included with 0 hops.
	MeanHops float64 `json:"mean_hops"`
	// Unreached is the number of processes that push does not reach. They receive
	// the version by an anti-entropy exchange.
	Unreached int `json:"unreached"`
}

// electionEpoch is an arbitrary epoch. Elected watchers and neighbours depend on
// the epoch.
const electionEpoch = 1

// ComputePushCoverage follows a version from the watchers to their neighbours,
// hop by hop, in a fleet of n processes.
func ComputePushCoverage(n int) PushCoverage {
	vms := make([]provider.VM, n)
	byName := make(map[string]provider.VM, n)
	for i := range vms {
		vms[i] = provider.VM{
			Name: fmt.Sprintf("vm-%04d", i), Address: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250),
			DataCentre: fmt.Sprintf("dc-%d", i%dataCentres),
		}
		byName[vms[i].Name] = vms[i]
	}
	coverage := PushCoverage{Processes: n}
	reached := map[string]bool{}
	var frontier []string
	for _, vm := range vms {
		if configsync.IsWatcher(vm, vms, electionEpoch) {
			reached[vm.Name] = true
			frontier = append(frontier, vm.Name)
		}
	}
	coverage.Watchers = len(frontier)
	totalHops := 0
	for hop := 1; len(frontier) > 0; hop++ {
		frontier = pushOnce(frontier, vms, byName, reached)
		if len(frontier) > 0 {
			coverage.MaxHops = hop
		}
		totalHops += hop * len(frontier)
	}
	coverage.MeanHops = float64(totalHops) / float64(len(reached))
	coverage.Unreached = n - len(reached)
	return coverage
}

// pushOnce marks the neighbours of the processes in frontier as reached and returns
// the names of those that were not reached before.
func pushOnce(frontier []string, vms []provider.VM, byName map[string]provider.VM, reached map[string]bool) []string {
	var next []string
	for _, name := range frontier {
		for _, vm := range membership.Neighbours(byName[name], vms, electionEpoch, configsync.LocalNeighbours, configsync.RemoteNeighbours) {
			if !reached[vm.Name] {
				reached[vm.Name] = true
				next = append(next, vm.Name)
			}
		}
	}
	return next
}
