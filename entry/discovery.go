package entry

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/sesameswitch/sesameswitch/agentapi"
	"github.com/sesameswitch/sesameswitch/provider"
)

const (
	// minAgentsPerOffering is the number of known serving agents of a model or
	// service below which an entry searches for more.
	minAgentsPerOffering = 3
	// probeBatchSize bounds the agents probed at a time.
	probeBatchSize = 8
	// searchInterval is the time from the end of a search, which probes all
	// agents beyond the subset, to the start of the next.
	searchInterval = 30 * time.Second
)

// offering is a model or a service; the other name is empty.
type offering struct{ model, service string }

// discoverAgents probes agents beyond the subset when too few known agents
// serve a model or service: it asks one batch of agents for their status, which
// is the only source of what an agent serves, and adds those that serve such
// a model or service to the known agents.
func (t *agentTable) discoverAgents(ctx context.Context) {
	wanted := t.underserved()
	if len(wanted) == 0 {
		return
	}
	var group errgroup.Group
	for _, vm := range t.nextToProbe() {
		group.Go(func() error {
			status, err := t.fetchStatus(ctx, vm)
			if err == nil && servesAny(status, wanted) {
				t.addDiscovered(vm, status)
			}
			return nil
		})
	}
	_ = group.Wait()
}

// underserved lists the offerings that too few known agents serve.
func (t *agentTable) underserved() []offering {
	config := t.deps.Configuration.Current()
	if config == nil {
		return nil
	}
	var all []offering
	for _, m := range config.Manifest.Models {
		all = append(all, offering{model: m.Name})
	}
	for _, s := range config.Manifest.Services {
		all = append(all, offering{service: s.Name})
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.DeleteFunc(all, func(o offering) bool { return t.servingCount(o) >= minAgentsPerOffering })
}

// servingCount returns how many known agents serve an offering.
func (t *agentTable) servingCount(o offering) int {
	count := 0
	for _, agent := range t.known {
		if agent.lifecycle.State() == "serving" && agent.status.Serves(o.model, o.service) {
			count++
		}
	}
	return count
}

func servesAny(status *agentapi.Status, offerings []offering) bool {
	return slices.ContainsFunc(offerings, func(o offering) bool { return status.Serves(o.model, o.service) })
}

// nextToProbe returns the next batch of agents to probe, without those already
// known. After it has returned all, it returns none for the search interval.
func (t *agentTable) nextToProbe() []provider.VM {
	now := t.deps.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Before(t.nextSearchAt) {
		return nil
	}
	var batch []provider.VM
	for len(batch) < probeBatchSize && t.probed < len(t.beyondSubset) {
		vm := t.beyondSubset[t.probed]
		t.probed++
		if _, known := t.agents[vm.Name]; !known {
			batch = append(batch, vm)
		}
	}
	if t.probed == len(t.beyondSubset) {
		t.probed = 0
		t.nextSearchAt = now.Add(searchInterval)
	}
	return batch
}

// addDiscovered adds an agent beyond the subset to the known agents.
func (t *agentTable) addDiscovered(vm provider.VM, status *agentapi.Status) {
	now := t.deps.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, known := t.agents[vm.Name]; known {
		return
	}
	agent := t.stateOf(vm)
	agent.discovered = true
	t.agents[vm.Name] = agent
	t.known = append(t.known, agent)
	t.applyStatus(now, agent, status)
}
