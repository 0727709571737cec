package gateway

import (
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/sesameswitch/sesameswitch/routes"
)

// TestReasonOfUnansweredRequest guards against a request that ends without an answer under no
// reason, under two, or under that of another failure.
func TestReasonOfUnansweredRequest(t *testing.T) {
	covered := map[NoAnswer]bool{}
	for _, test := range []struct {
		end  requestEnd
		want NoAnswer
	}{
		{requestEnd{reason: reasonDeadline}, NoAnswerDeadlineBeforeServer},
		{requestEnd{reason: reasonDeadline, mayHaveRun: true}, NoAnswerDeadlineAtServer},
		{requestEnd{failureForwarded: true, mayHaveRun: true}, NoAnswerFailureResponse},
		{requestEnd{reason: reasonRetryBudget, failureForwarded: true, mayHaveRun: true}, NoAnswerFailureResponse},
		{requestEnd{reason: reasonDeadline, failureForwarded: true, mayHaveRun: true}, NoAnswerFailureResponse},
		{requestEnd{reason: reasonAttemptsUsed, kind: routes.Stream, mayHaveRun: true}, NoAnswerAttemptsUsed},
		{requestEnd{reason: reasonRefusedByServers, mayHaveRun: true}, NoAnswerAttemptsUsed},
		{requestEnd{reason: reasonRefusedByServers}, NoAnswerRefused},
		{requestEnd{reason: reasonNotResumable, kind: routes.Stream, mayHaveRun: true}, NoAnswerNotResumable},
		{requestEnd{reason: reasonOutcomeUnknown, kind: routes.Stream, mayHaveRun: true}, NoAnswerNotResumable},
		{requestEnd{reason: reasonOutcomeUnknown, kind: routes.Unsafe, mayHaveRun: true}, NoAnswerOutcomeUnknown},
		{requestEnd{reason: reasonRetryBudget}, NoAnswerRetryBudget},
		{requestEnd{reason: reasonRetryBudget, mayHaveRun: true}, NoAnswerRetryBudget},
		{requestEnd{reason: reasonNoOtherServer}, NoAnswerNoOtherServer},
		{requestEnd{reason: reasonNoOtherServer, mayHaveRun: true}, NoAnswerNoOtherServer},
		{requestEnd{reason: "unreachable"}, NoAnswerRefused},
		{requestEnd{reason: "unreachable", mayHaveRun: true}, NoAnswerNoOtherServer},
		{requestEnd{reason: "servers_limited"}, NoAnswerRefused},
		{requestEnd{reason: "no_server_of_version", kind: routes.Stream, mayHaveRun: true}, NoAnswerNoOtherServer},
		{requestEnd{reason: reasonQuarantined}, NoAnswerRefused},
		{requestEnd{reason: reasonQuarantined, mayHaveRun: true}, NoAnswerQuarantined},
		{requestEnd{reason: "engines_full"}, NoAnswerRefused},
		{requestEnd{reason: "keys_unconfirmed"}, NoAnswerRefused},
	} {
		got := noAnswerOf(test.end)
		covered[got] = true
		if got != test.want {
			t.Errorf("%+v: got %s, want %s", test.end, got, test.want)
		}
		if !slices.Contains(unansweredReasons, got) {
			t.Errorf("%+v: reason %s has no metric", test.end, got)
		}
	}
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, reason := range append([]NoAnswer{NoAnswerCallerLeft}, unansweredReasons...) {
		if !strings.Contains(string(page), "| `"+string(reason)+"` | ") {
			t.Errorf("docs/OPERATIONS.md has no row for %s", reason)
		}
		if !covered[reason] && reason != NoAnswerCallerLeft {
			t.Errorf("no end of a request has reason %s", reason)
		}
	}
}
