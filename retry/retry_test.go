package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)

// TestBudgetBoundsRetries shows that retries never exceed the share of the
// requests plus what the guaranteed rate gives.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0, 0.5).Draw(t, "share")
		floor := rapid.Float64Range(0, 5).Draw(t, "floor")
		budget := NewBudget(share, floor)
		now, requests, retries := epoch, 0, 0
		for range rapid.IntRange(1, 500).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "gap")) * time.Millisecond)
			if rapid.Bool().Draw(t, "retry") {
				if budget.TryRetry(now) {
					retries++
				}
				continue
			}
			budget.RecordRequest(now)
			requests++
		}
		bound := share*float64(requests) + floor*(1+now.Sub(epoch).Seconds())
		if float64(retries) > bound+1e-6 {
			t.Fatalf("%d retries, the bound is %g", retries, bound)
		}
	})
}

func TestBudgetIsForgottenWithTime(t *testing.T) {
	budget := NewBudget(0.1, 1)
	for range 10_000 {
		budget.RecordRequest(epoch)
	}
	retries := 0
	for later := epoch.Add(5 * time.Minute); budget.TryRetry(later); {
		retries++
	}
	if retries > 10 {
		t.Errorf("%d retries five minutes after the traffic ended", retries)
	}
}

func TestBreaker(t *testing.T) {
	b := NewBreaker(BreakerConfig{FailureThreshold: 3, OpenDuration: time.Second, MaxOpenDuration: 3 * time.Second, SuccessThreshold: 2})
	at := epoch.Add
	steps := []struct {
		name  string
		do    func()
		at    time.Duration
		allow bool
		state BreakerState
	}{
		{"fresh", func() {}, 0, true, BreakerClosed},
		{"two failures", func() { b.RecordFailure(at(0)); b.RecordFailure(at(0)) }, 0, true, BreakerClosed},
		{"a success forgets them", func() { b.RecordSuccess(at(0)); b.RecordFailure(at(0)); b.RecordFailure(at(0)) }, 0, true, BreakerClosed},
		{"the third opens it", func() { b.RecordFailure(at(0)) }, 999 * time.Millisecond, false, BreakerOpen},
		{"one trial", func() {}, time.Second, true, BreakerHalfOpen},
		{"only one", func() {}, time.Second, false, BreakerHalfOpen},
		{"its failure opens for twice as long", func() { b.RecordFailure(at(time.Second)) }, 2900 * time.Millisecond, false, BreakerOpen},
		{"second trial", func() {}, 3 * time.Second, true, BreakerHalfOpen},
		{"a lost trial frees its place", func() {}, 5 * time.Second, true, BreakerHalfOpen},
		{"a success lets the next trial through", func() { b.RecordSuccess(at(5 * time.Second)) }, 5 * time.Second, true, BreakerHalfOpen},
		{"the second success closes it", func() { b.RecordSuccess(at(5 * time.Second)) }, 5 * time.Second, true, BreakerClosed},
	}
	for _, step := range steps {
		step.do()
		ready := b.Ready(at(step.at))
		if allow := b.Allow(at(step.at)); allow != step.allow || ready != step.allow || b.State() != step.state {
			t.Errorf("%s: allow %v, ready %v, state %s", step.name, allow, ready, b.State())
		}
	}
}

func TestLateResultOfAnOpenBreakerDoesNotCloseIt(t *testing.T) {
	b := NewBreaker(BreakerConfig{FailureThreshold: 1, OpenDuration: time.Second, SuccessThreshold: 1})
	b.RecordFailure(epoch)
	b.RecordSuccess(epoch)
	if b.State() != BreakerOpen {
		t.Errorf("the late answer of an earlier call left the state %s", b.State())
	}
}

func TestBackoffGrowsAndIsBounded(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for attempt := -1; attempt < 100; attempt++ {
		bound := min(backoffMax, backoffBase<<min(max(attempt, 1)-1, 10))
		for range 50 {
			if pause := Backoff(attempt, rng); pause <= 0 || pause > bound {
				t.Fatalf("attempt %d: pause %v, bound %v", attempt, pause, bound)
			}
		}
	}
}

func TestHedge(t *testing.T) {
	good := HedgeRequest{Idempotent: true, Attempts: 1, Waited: 2 * time.Second, ExpectedFirstToken: time.Second, Headroom: 0.5}
	tests := []struct {
		name   string
		change func(*HedgeRequest)
		want   bool
	}{
		{"late, with room", func(*HedgeRequest) {}, true},
		{"at most once", func(h *HedgeRequest) { h.Idempotent = false }, false},
		{"hedged already", func(h *HedgeRequest) { h.Attempts = 2 }, false},
		{"not late", func(h *HedgeRequest) { h.Waited = time.Second }, false},
		{"overload", func(h *HedgeRequest) { h.Headroom = 0.1 }, false},
		{"nothing known", func(h *HedgeRequest) { h.ExpectedFirstToken = 0 }, false},
	}
	for _, test := range tests {
		req := good
		test.change(&req)
		if got := ShouldHedge(req); got != test.want {
			t.Errorf("%s: %v", test.name, got)
		}
	}
}

func BenchmarkBudget(b *testing.B) {
	budget := NewBudget(0.1, 1)
	b.ReportAllocs()
	now := epoch
	for b.Loop() {
		now = now.Add(time.Millisecond)
		budget.RecordRequest(now)
		budget.TryRetry(now)
	}
}
