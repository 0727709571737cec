package routing_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sesameswitch/sesameswitch/agentapi"
	"github.com/sesameswitch/sesameswitch/routing"
)

func ExampleRouter() {
	now := time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)
	router := routing.New(routing.Config{DataCentre: "lisbon-1"}, rand.New(rand.NewPCG(1, 2)))
	candidates := []routing.Candidate{
		{VM: "engine-1", DataCentre: "lisbon-1", State: agentapi.StateServing, Slots: 8, InFlight: 20, Allowed: true},
		{VM: "engine-2", DataCentre: "lisbon-1", State: agentapi.StateServing, Slots: 8, InFlight: 3, Allowed: true},
		{VM: "engine-3", DataCentre: "lisbon-1", State: agentapi.StateDraining, Slots: 8, Allowed: true},
	}
	index, ok := router.Pick(now, &routing.Request{Tier: 1, Class: "reservation"}, candidates)
	fmt.Println(candidates[index].VM, ok)
	router.Observe(now, candidates[index].VM, routing.Observation{Kind: routing.KindSent})
	// Output: engine-2 true
}
