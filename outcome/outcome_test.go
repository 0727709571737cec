package outcome

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"
)

// TestEveryReasonIsDocumented compares the page of the caller interface with
// the statuses.
func TestEveryReasonIsDocumented(t *testing.T) {
	page, err := os.ReadFile("../docs/API.md")
	if err != nil {
		t.Fatal(err)
	}
	for reason, status := range statuses {
		if row := fmt.Sprintf("| `%s` | %d |", reason, status); !strings.Contains(string(page), row) {
			t.Errorf("no row %q", row)
		}
	}
}

func TestRetryAfterSeconds(t *testing.T) {
	cases := map[time.Duration]int{0: 0, time.Millisecond: 1, time.Second: 1, 1001 * time.Millisecond: 2}
	for wait, want := range cases {
		if got := Refuse(ReasonShed, "x").WithRetryAfter(wait).RetryAfterSeconds(); got != want {
			t.Errorf("%v: %d, want %d", wait, got, want)
		}
	}
}

func TestProblemOfAnUnlistedReason(t *testing.T) {
	problem := NewUnknown("unlisted", "detail").Problem("id")
	if problem.Status != 500 || problem.Outcome != Unknown || problem.Error.Message != "detail" {
		t.Fatalf("%+v", problem)
	}
}
