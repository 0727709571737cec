package clock

import (
	"context"
	"time"
)

// Sleep waits for d and returns true. If the context ends first, it returns
// false.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Every calls task at each interval until the context ends. The first call
// happens after one interval. If task takes longer than the interval, the missed
// calls are dropped.
func Every(ctx context.Context, interval time.Duration, task func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			task()
		}
	}
}
