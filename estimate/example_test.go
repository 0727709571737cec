package estimate_test

import (
	"fmt"
	"time"

	"github.com/sesameswitch/sesameswitch/estimate"
)

func ExampleEstimator() {
	now := time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)
	estimator := estimate.New(estimate.Config{})
	for n := range 20 {
		estimator.Observe(now, "comparison", "small", 200*time.Millisecond, 2*time.Second, 100+n)
	}
	median, ok := estimator.Quantile("comparison", "small", 0.5)
	fmt.Println(median.FirstToken, median.Completion, ok)
	// Output: 200ms 2s true
}
