package idempotency

import (
	"testing"

	"github.com/sesameswitch/sesameswitch/history"
	"github.com/sesameswitch/sesameswitch/outcome"
)

// simSeeds is the number of simulated histories, one per seed.
const simSeeds = 500

// TestSimulatedHistoriesKeepGuarantees checks the simulated history of each
// seed, and that together the histories produce every expected reason.
func TestSimulatedHistoriesKeepGuarantees(t *testing.T) {
	reasons := make(map[outcome.Reason]int)
	calls, runs := 0, 0
	for seed := range uint64(simSeeds) {
		h := simulate(seed)
		for _, v := range history.CheckRequests(h) {
			t.Errorf("seed %d: %s", seed, v)
		}
		calls += len(h.Calls)
		runs += len(h.Runs)
		for _, c := range h.Calls {
			reasons[c.Reason]++
		}
	}
	for _, reason := range []outcome.Reason{
		outcome.ReasonNone, outcome.ReasonForbidden, outcome.ReasonKeyExpired, outcome.ReasonKeyFuture,
		outcome.ReasonKeyReused, outcome.ReasonKeyTableFull, outcome.ReasonWrongIncarnation,
		outcome.ReasonShed, outcome.ReasonQueueFull, outcome.ReasonDeadline, outcome.ReasonTimeout,
	} {
		if reasons[reason] == 0 {
			t.Errorf("no call ended with reason %q", reason)
		}
	}
	t.Logf("%d histories, %d calls, %d runs, calls by reason: %v", simSeeds, calls, runs, reasons)
}
