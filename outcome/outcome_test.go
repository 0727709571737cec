package outcome

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"
)

// TestEveryReasonIsDocumented checks that docs/API.md lists every reason with its
// HTTP status.
func TestEveryReasonIsDocumented(t *testing.T) {
	page, err := os.ReadFile("../docs/API.md")
	if err != nil {
		t.Fatal(err)
	}
	for reason, status := range statuses {
		if row := fmt.Sprintf("| `%s` | %d |", reason, status); !strings.Contains(string(page), row) {
			t.Errorf("docs/API.md has no row %q", row)
		}
	}
}

func TestRetryAfterSecondsRoundsUp(t *testing.T) {
	cases := map[time.Duration]int{0: 0, time.Millisecond: 1, time.Second: 1, 1001 * time.Millisecond: 2}
	for delay, want := range cases {
		if got := Refuse(ReasonShed, "x").WithRetryAfter(delay).RetryAfterSeconds(); got != want {
			t.Errorf("RetryAfterSeconds() with a delay of %v = %d, want %d", delay, got, want)
		}
	}
}

func TestProblemOfUnlistedReasonHasStatus500(t *testing.T) {
	problem := NewUnknown("unlisted", "detail").Problem("id")
	if problem.Status != 500 || problem.Outcome != Unknown || problem.Error.Message != "detail" {
		t.Fatalf("got %+v, want status 500, outcome unknown and message \"detail\"", problem)
	}
}
