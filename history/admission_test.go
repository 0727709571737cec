package history

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sesameswitch/sesameswitch/admission"
)

// simulateOverload returns the decisions of a queue that receives far more
// requests than it can start, of four tiers and with bursts of one class at a
// time.
func simulateOverload(policy admission.Policy, seed uint64) ([]admission.Event, Classes) {
	rng := rand.New(rand.NewPCG(seed, 3))
	var trace Trace
	classes := []admission.Class{
		{Name: "payment", Tier: 1},
		{Name: "summary", Tier: 2, Floor: 0.05},
		{Name: "note", Tier: 3, Floor: 0.1},
		{Name: "lookup", Tier: 4, Floor: 0.1},
	}
	queue := admission.New(admission.Config{
		Policy: policy, Capacity: 24, Slots: 2, Classes: classes, Rand: rng, Trace: trace.Record,
	})
	now := time.Unix(0, 0)
	burstClass := 0
	for i := range 2000 {
		now = now.Add(time.Duration(rng.IntN(20)) * time.Millisecond)
		if i%100 == 0 {
			burstClass = rng.IntN(len(classes))
		}
		class := classes[rng.IntN(len(classes))]
		if rng.IntN(2) == 0 {
			class = classes[burstClass]
		}
		r := &admission.Request{ID: fmt.Sprint(i), Class: class.Name, Account: fmt.Sprint(rng.IntN(5)), Arrived: now}
		if rng.IntN(4) == 0 {
			r.StartBy = now.Add(time.Duration(rng.IntN(2000)) * time.Millisecond)
		}
		queue.Offer(now, r)
		queue.Expire(now)
		if i%3 != 0 {
			continue
		}
		if started, _ := queue.Next(now); started != nil {
			queue.Finished(now, started.Class, 20*time.Millisecond)
		}
	}
	return trace.Events(), ClassesByName(classes)
}

const overloadSeeds = 60

func TestQueueKeepsTierOrderAndFloorsUnderOverload(t *testing.T) {
	decisions := 0
	for seed := range uint64(overloadSeeds) {
		events, classes := simulateOverload(admission.PolicySesame, seed)
		decisions += len(events)
		for _, v := range append(CheckTierOrder(events, classes), CheckFloors(events, classes)...) {
			t.Fatalf("seed %d: %s", seed, v)
		}
	}
	t.Logf("%d histories, %d decisions", overloadSeeds, decisions)
}

// TestAdmissionCheckersDetectOtherPolicies checks that the checkers report the
// violations of policies that ignore tiers (FIFO) or floors (strict tiers).
func TestAdmissionCheckersDetectOtherPolicies(t *testing.T) {
	events, classes := simulateOverload(admission.PolicyFIFO, 1)
	if len(CheckTierOrder(events, classes)) == 0 {
		t.Error("CheckTierOrder found no violation of the FIFO policy, want at least one")
	}
	events, classes = simulateOverload(admission.PolicyStrict, 1)
	if len(CheckFloors(events, classes)) == 0 {
		t.Error("CheckFloors found no violation of the strict-tier policy, want at least one")
	}
}
