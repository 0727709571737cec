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

// fleet answers status calls for many agents.
type fleet map[string]*agentapi.Status

func (f fleet) Call(_ context.Context, address, _ string, _, reply any) error {
	reply.(*agentapi.StatusReply).Status = *f[address]
	return nil
}

// TestAgentsOfARareModelAreFound gives a model to three of forty agents, all
// beyond the entry's subset.
func TestAgentsOfARareModelAreFound(t *testing.T) {
	agents := fleet{}
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
		Peers: agents, Configuration: storeOf(t, manifestText("")), Clock: c, Log: quiet(),
		Metrics: telemetry.New(), Timeline: timeline.New(timeline.Process{}, 64, c),
	}, router)
	table.update(vms)
	for _, vm := range table.others[len(table.others)-3:] {
		agents[vm.Address].Models = []string{"m"}
	}
	wanted := &routing.Request{Tier: 1, Model: "m"}
	table.beat(t.Context())
	if _, ok := table.pick(wanted); ok {
		t.Fatal("the model was in the subset already")
	}
	for range len(vms)/coverBatch + 1 {
		table.cover(t.Context())
	}
	if _, ok := table.pick(wanted); !ok || table.serving(work{model: "m"}) != coverage {
		t.Fatalf("%d agents of the model known, want %d", table.serving(work{model: "m"}), coverage)
	}
	table.update(vms)
	if _, ok := table.pick(wanted); !ok {
		t.Fatal("the agents were lost when the list was read again")
	}
}
