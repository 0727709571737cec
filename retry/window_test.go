package retry

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// longAgo is a start of the process that no window reaches.
var longAgo = epoch.Add(-time.Minute)

// TestGatewaysTogetherKeepWindowBudget checks that in any window, whenever it begins,
// all gateways together make at most ratio x requests + extra retries, for any
// distribution of the requests among them, while gateways restart and
// hold retries.
func TestGatewaysTogetherKeepWindowBudget(t *testing.T) {
	const (
		ratio  = 0.2
		extra  = 58
		window = 10 * time.Second
	)
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "gateways")
		budgets := make([]*WindowBudget, n)
		for i := range budgets {
			budgets[i] = NewWindowBudget(ratio, extra, window, longAgo)
		}
		var requests, retries []time.Time
		now := epoch
		var reserved []*WindowBudget // the budgets of the retries that are not sent yet
		// Phases in which nothing fails, and in which everything does.
		for range rapid.IntRange(1, 8).Draw(t, "phases") {
			i := rapid.IntRange(0, n-1).Draw(t, "gateway")
			if rapid.IntRange(0, 3).Draw(t, "restart") == 0 {
				stopped := budgets[i]
				reserved = slices.DeleteFunc(reserved, func(b *WindowBudget) bool { return b == stopped })
				budgets[i] = NewWindowBudget(ratio, extra, window, now)
			}
			b := budgets[i]
			failing := rapid.Bool().Draw(t, "failing")
			gap := time.Duration(rapid.IntRange(1, 100).Draw(t, "gap")) * time.Millisecond
			for range rapid.IntRange(1, 200).Draw(t, "events") {
				now = now.Add(gap)
				b.RecordRequest(now)
				requests = append(requests, now)
				for failing && b.TryRetry(now, n, 0).Allowed {
					reserved = append(reserved, b)
				}
				if len(reserved) > 0 && rapid.IntRange(0, 9).Draw(t, "send") == 0 {
					for _, budget := range reserved {
						budget.Sent(now)
						retries = append(retries, now)
					}
					reserved = nil
				}
			}
		}
		for _, at := range retries {
			for _, end := range []time.Time{at, at.Add(window - 1)} {
				retried, requested := countInWindow(retries, end, window), countInWindow(requests, end, window)
				if float64(retried) > ratio*float64(requested)+extra+1e-9 {
					t.Fatalf("%d retries for %d requests in the window that ends at %v exceed the budget", retried, requested, end.Sub(epoch))
				}
			}
		}
	})
}

func countInWindow(times []time.Time, end time.Time, window time.Duration) int {
	n := 0
	for _, at := range times {
		if !at.After(end) && end.Sub(at) < window {
			n++
		}
	}
	return n
}

func TestWindowBudgetKeepsReserve(t *testing.T) {
	b := NewWindowBudget(0, 3, 10*time.Second, longAgo)
	for i, step := range []struct {
		reserve float64
		want    bool
	}{{1, true}, {1, true}, {1, false}, {0, true}, {0, false}} {
		if got := b.TryRetry(epoch, 1, step.reserve).Allowed; got != step.want {
			t.Errorf("step %d: got TryRetry %v, want the opposite", i, got)
		} else if got {
			b.Sent(epoch)
		}
	}
	if !b.TryRetry(epoch.Add(11*time.Second), 1, 0).Allowed {
		t.Error("no retry allowed one window later, want one")
	}
}

// TestSmallShareAllowsRetries guards against a share of the extra retries below two,
// as each gateway of a large fleet has, that allows no retry at all.
func TestSmallShareAllowsRetries(t *testing.T) {
	b := NewWindowBudget(0.2, 58, 10*time.Second, longAgo)
	for second := range 20 {
		now := epoch.Add(time.Duration(second) * time.Second)
		for range 6 {
			b.RecordRequest(now)
		}
		if d := b.TryRetry(now.Add(500*time.Millisecond), 340, 1); !d.Allowed {
			t.Fatalf("no retry in second %d with six requests a second, want one: %+v", second, d)
		}
		b.Sent(now.Add(500 * time.Millisecond))
	}
}

// TestRetryStormAtOneGatewayUsesItsShareOnly guards against a gateway that
// spends the extra retries of all gateways when only its own requests fail.
func TestRetryStormAtOneGatewayUsesItsShareOnly(t *testing.T) {
	b := NewWindowBudget(0.2, 58, 10*time.Second, longAgo)
	retries := 0
	for range 1000 {
		if b.TryRetry(epoch, 5, 0).Allowed {
			retries++
		}
	}
	if retries != 11 {
		t.Errorf("one of five gateways made %d retries without recorded requests, want 11", retries)
	}
}

// TestNoExtraRetriesWithoutAShare checks that a gateway without a share of the extra
// retries makes only those that its requests pay for.
func TestNoExtraRetriesWithoutAShare(t *testing.T) {
	for name, b := range map[string]*WindowBudget{
		"no extra retries":   NewWindowBudget(0.2, 0, 10*time.Second, longAgo),
		"number not known":   NewWindowBudget(0.2, 58, 10*time.Second, longAgo),
		"process just began": NewWindowBudget(0.2, 58, 10*time.Second, epoch),
	} {
		gateways := 4
		if name == "number not known" {
			gateways = 0
		}
		retries := 0
		for i := range 53 { // a share of one would allow an eleventh retry
			now := epoch.Add(time.Duration(i) * 100 * time.Millisecond)
			b.RecordRequest(now)
			for b.TryRetry(now, gateways, 0).Allowed {
				b.Sent(now)
				retries++
			}
		}
		if retries != 10 {
			t.Errorf("%s: %d retries for 53 requests, want 10", name, retries)
		}
	}
}

func TestReleasedRetryIsAvailableAgain(t *testing.T) {
	b := NewWindowBudget(0, 1, 10*time.Second, longAgo)
	if !b.TryRetry(epoch, 1, 0).Allowed || b.TryRetry(epoch, 1, 0).Allowed {
		t.Error("want exactly one reserved retry")
	}
	b.Release()
	if !b.TryRetry(epoch, 1, 0).Allowed {
		t.Error("no retry after the reserved one was released, want one")
	}
}
