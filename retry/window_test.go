package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestWindowBudgetHoldsOverGateways shows that in any window all gateways
// together keep to ratio x requests + extra, whatever each one sees, and that a
// gateway alone keeps to its own.
func TestWindowBudgetHoldsOverGateways(t *testing.T) {
	const (
		ratio  = 0.2
		extra  = 58
		window = 10 * time.Second
	)
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "gateways")
		budgets := make([]*WindowBudget, n)
		for i := range budgets {
			budgets[i] = NewWindowBudget(ratio, extra, window)
		}
		var requests, repeats []time.Time
		now := epoch
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "gap")) * time.Millisecond)
			b := budgets[rapid.IntRange(0, n-1).Draw(t, "gateway")]
			if rapid.IntRange(0, 2).Draw(t, "kind") > 0 {
				if b.TryRetry(now, n, 0) {
					repeats = append(repeats, now)
				}
				continue
			}
			b.RecordRequest(now)
			requests = append(requests, now)
		}
		for _, end := range repeats {
			made, asked := within(repeats, end, window), within(requests, end, window)
			if float64(made) > ratio*float64(asked)+extra+1e-9 {
				t.Fatalf("%d repeats for %d requests in the window that ends at %v", made, asked, end.Sub(epoch))
			}
		}
	})
}

func within(times []time.Time, end time.Time, window time.Duration) int {
	n := 0
	for _, at := range times {
		if !at.After(end) && end.Sub(at) < window {
			n++
		}
	}
	return n
}

func TestWindowBudgetKeepsAReserve(t *testing.T) {
	b := NewWindowBudget(0, 3, 10*time.Second)
	for i, step := range []struct {
		reserve float64
		want    bool
	}{{1, true}, {1, true}, {1, false}, {0, true}, {0, false}} {
		if got := b.TryRetry(epoch, 1, step.reserve); got != step.want {
			t.Errorf("step %d: %v", i, got)
		}
	}
	if !b.TryRetry(epoch.Add(11*time.Second), 1, 0) {
		t.Error("a window later nothing is allowed")
	}
}

// TestWindowBudgetOfOneOfMany replays a retry storm at one gateway: it uses its
// share only.
func TestWindowBudgetOfOneOfMany(t *testing.T) {
	b := NewWindowBudget(0.2, 58, 10*time.Second)
	made := 0
	for range 1000 {
		if b.TryRetry(epoch, 5, 0) {
			made++
		}
	}
	if made != 11 {
		t.Errorf("%d repeats with no request of its own, one of five", made)
	}
}
