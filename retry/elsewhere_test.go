package retry

import (
	"math/rand/v2"
	"testing"
	"time"
)

func TestElsewhereDelay(t *testing.T) {
	for _, test := range []struct {
		name   string
		others Others
		want   time.Duration
	}{
		{"others serve", Others{Able: 2, Unable: 1}, elsewhereDelay},
		{"none serves", Others{Unable: 3}, nowhereDelay},
		{"none serves, some are silent", Others{Unable: 1, Silent: 2}, nowhereDelay},
		{"all are silent", Others{Silent: 4}, elsewhereDelay},
		{"there is no other", Others{}, nowhereDelay},
	} {
		if got := ElsewhereDelay(test.others); got != test.want {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
}

// TestCallersOfCutOffGatewaysAreInTime replays two of five gateways that are cut off from the
// store, and callers that return once, to another gateway. With a fixed delay of 300 ms, no
// caller with a latency target up to 300 ms that came to these two was in time.
func TestCallersOfCutOffGatewaysAreInTime(t *testing.T) {
	const gateways, cutOff, requests = 5, 2, 20_000
	const serviceTime = 40 * time.Millisecond
	delay := ElsewhereDelay(Others{Able: gateways - cutOff, Unable: cutOff - 1})
	rng := rand.New(rand.NewPCG(1, 1)) //nolint:gosec // not for secrets
	for _, target := range []time.Duration{100 * time.Millisecond, 300 * time.Millisecond, 500 * time.Millisecond} {
		inTime := 0
		for range requests {
			first, took := rng.IntN(gateways), serviceTime
			if first < cutOff {
				next := (first + 1 + rng.IntN(gateways-1)) % gateways
				if took += delay; next < cutOff {
					continue // refused twice
				}
			}
			if took <= target {
				inTime++
			}
		}
		// Of the two fifths that are refused, a quarter comes to the other gateway that is cut off.
		if share := float64(inTime) / requests; share < 0.88 {
			t.Errorf("target %v: %.3f of the requests are in time, want .9", target, share)
		}
	}
}
