package retry_test

import (
	"fmt"
	"time"

	"github.com/sesameswitch/sesameswitch/retry"
)

func ExampleBudget() {
	now := time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)
	budget := retry.NewBudget(0.1, 0)
	for range 25 {
		budget.RecordRequest(now)
	}
	fmt.Println(budget.TryRetry(now), budget.TryRetry(now), budget.TryRetry(now))
	// Output: true true false
}

func ExampleBreaker() {
	now := time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)
	breaker := retry.NewBreaker(retry.BreakerConfig{FailureThreshold: 1, OpenDuration: time.Second})
	breaker.RecordFailure(now)
	fmt.Println(breaker.Allow(now), breaker.Allow(now.Add(time.Second)), breaker.State())
	// Output: false true half_open
}
