package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/sesameswitch/sesameswitch/agentapi"
	"github.com/sesameswitch/sesameswitch/clock"
	"github.com/sesameswitch/sesameswitch/provider"
	"github.com/sesameswitch/sesameswitch/routing"
	"github.com/sesameswitch/sesameswitch/telemetry"
	"github.com/sesameswitch/sesameswitch/timeline"
)

// fakeAgents serves status calls of many agents, by address.
type fakeAgents map[string]*agentapi.Status

func (f fakeAgents) Call(_ context.Context, address, _ string, _, reply any) error {
	reply.(*agentapi.StatusReply).Status = *f[address]
	return nil
}

// TestEntryDiscoversAgentsOfRareModel lets three of forty agents serve a model,
// all beyond the subset of the entry. The entry must find them, and keep them
// when the membership is applied again.
func TestEntryDiscoversAgentsOfRareModel(t *testing.T) {
	agents := fakeAgents{}
	var vms []provider.VM
	for i := range 40 {
		vm := provider.VM{Name: fmt.Sprintf("agent-%d", i), Address: fmt.Sprint(i), Role: provider.RoleAgent, State: provider.VMLive}
		vms = append(vms, vm)
		agents[vm.Address] = &agentapi.Status{
			VM: vm.Name, Incarnation: "life", State: agentapi.StateServing, Services: []string{"booking"}, Slots: 1,
		}
	}
	c := clock.New()
	router := routing.New(routing.Config{}, rand.New(rand.NewPCG(1, 1)))
	table := newAgentTable(Config{VM: provider.VM{Name: "entry"}, SubsetSize: 4}, Dependencies{
		Peers: agents, Configuration: newStore(t, manifestText("")), Clock: c, Log: discardingLogger(),
		Metrics: telemetry.New(), Timeline: timeline.New(timeline.Process{}, 64, c),
	}, router)
	table.applyMembership(vms)
	for _, vm := range table.beyondSubset[len(table.beyondSubset)-3:] {
		agents[vm.Address].Models = []string{"m"}
	}
	req := &routing.Request{Tier: 1, Model: "m"}
	table.sendHeartbeats(t.Context())
	if _, ok := table.pick(req); ok {
		t.Fatal("pick found an agent for the model, want none within the subset")
	}
	for range len(vms)/probeBatchSize + 1 {
		table.discoverAgents(t.Context())
	}
	if _, ok := table.pick(req); !ok || table.servingCount(offering{model: "m"}) != minAgentsPerOffering {
		t.Fatalf("%d known agents serve the model, want %d", table.servingCount(offering{model: "m"}), minAgentsPerOffering)
	}
	table.applyMembership(vms)
	if _, ok := table.pick(req); !ok {
		t.Fatal("pick found no agent for the model after the membership was applied again")
	}
}
