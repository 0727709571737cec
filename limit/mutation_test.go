//go:build sesame_mutation

package limit

import (
	"testing"

	"github.com/sesameswitch/sesameswitch/internal/mutation"
)

// TestEachGuardMutationIsDetected switches off one guard at a time and requires that
// TestColdServerGetsMoreThanBound finds it within its usual number of sequences.
func TestEachGuardMutationIsDetected(t *testing.T) {
	for _, guard := range []mutation.Guard{
		GuardColdStarting, GuardColdHolders, GuardColdLent, GuardColdLoan, GuardColdExpiry, GuardColdQuestion,
	} {
		t.Run(string(guard), func(t *testing.T) {
			mutation.Set(guard)
			defer mutation.Set()
			for seed := *coldSeed; seed < *coldSeed+uint64(*coldSequences); seed++ {
				if r := simulateCold(seed); r.worst > 1 {
					t.Logf("seed %d: %.2f of the bound: %s", seed, r.worst, r.text)
					return
				}
			}
			t.Fatal("no sequence exceeds the bound")
		})
	}
}
