package limit_test

import (
	"fmt"
	"time"

	"github.com/sesameswitch/sesameswitch/limit"
)

func ExampleLimiter() {
	now := time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)
	limiter := limit.New(limit.Config{})
	// Ten requests per second over two entries: this entry grants five.
	for range 6 {
		ok, retryAfter := limiter.Allow(now, "school", "lookup", 10, 10, 2)
		fmt.Println(ok, retryAfter)
	}
	// Output:
	// true 0s
	// true 0s
	// true 0s
	// true 0s
	// true 0s
	// false 200ms
}
