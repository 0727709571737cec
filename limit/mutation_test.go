//go:build sesame_mutation

package limit

import (
	"testing"

	"github.com/sesameswitch/sesameswitch/internal/mutation"
)

// TestEachGuardMutationIsDetected switches off one guard at a time and requires that
// TestColdServerGetsMoreThanBound finds it within its first sequences, or
// TestLentTokensAreUsedLate finds it.
func TestEachGuardMutationIsDetected(t *testing.T) {
	for _, guard := range []mutation.Guard{
		GuardColdStarting, GuardColdHolders, GuardColdLent, GuardColdLoan, GuardColdExpiry, GuardColdQuestion,
	} {
		t.Run(string(guard), func(t *testing.T) {
			mutation.Set(guard)
			defer mutation.Set()
			const sequences = 200
			for seed := uint64(1); seed <= sequences; seed++ {
				if r := simulateCold(seed); r.worst > 1 {
					t.Logf("seed %d: %.2f of the bound: %s", seed, r.worst, r.text)
					return
				}
			}
			for name, test := range lateTokens {
				if got := simulateLateTokens(test.answerAfter, test.useAfter, test.askAgain); got > 1 {
					t.Logf("%s: %.2f of the bound", name, got)
					return
				}
			}
			t.Fatal("no sequence exceeds the bound")
		})
	}
}
