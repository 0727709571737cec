package clock

import (
	"context"
	"time"
)

// Sleep waits for a duration; it returns false when the context ends first.
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

// Every calls duty each interval, from one interval on, until the context
// ends. A duty that takes longer than the interval is not caught up on.
func Every(ctx context.Context, interval time.Duration, duty func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			duty()
		}
	}
}
