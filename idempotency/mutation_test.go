//go:build sesame_mutation

package idempotency

import (
	"testing"

	"github.com/sesameswitch/sesameswitch/history"
	"github.com/sesameswitch/sesameswitch/internal/mutation"
)

// TestEachGuardMutationIsDetected switches off one guard at a time and requires
// the checkers to report a violation within the seeds that
// TestSimulatedHistoriesKeepGuarantees uses.
func TestEachGuardMutationIsDetected(t *testing.T) {
	for _, guard := range []mutation.Guard{
		GuardIncarnation, GuardJoin, GuardBodySum, GuardAccount,
		GuardSeal, GuardFutureSeal, GuardRefusedWatermark, GuardExpiredWatermark,
	} {
		t.Run(string(guard), func(t *testing.T) {
			mutation.Set(guard)
			defer mutation.Set()
			for seed := range uint64(simSeeds) {
				if violations := history.CheckRequests(simulate(seed)); len(violations) > 0 {
					t.Logf("seed %d: %s", seed, violations[0])
					return
				}
			}
			t.Fatal("no checker reported a violation")
		})
	}
}
