//go:build sesame_mutation

package idempotency

import (
	"testing"

	"github.com/sesameswitch/sesameswitch/history"
	"github.com/sesameswitch/sesameswitch/internal/mutation"
)

// TestMutations switches off one guard at a time and requires the checkers to
// notice within the seeds of TestHistories.
func TestMutations(t *testing.T) {
	for _, guard := range []mutation.Guard{
		GuardIncarnation, GuardJoin, GuardBodySum, GuardAccount,
		GuardSeal, GuardFutureSeal, GuardRefusedWatermark, GuardExpiredWatermark,
	} {
		t.Run(string(guard), func(t *testing.T) {
			mutation.Set(guard)
			defer mutation.Set()
			for seed := range uint64(simSeeds) {
				if found := history.CheckRequests(simulate(seed)); len(found) > 0 {
					t.Logf("seed %d: %s", seed, found[0])
					return
				}
			}
			t.Fatal("no checker noticed")
		})
	}
}
