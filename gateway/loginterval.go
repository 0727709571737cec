package gateway

import (
	"sync/atomic"
	"time"
)

// minLogInterval is the least time between two log lines about the same kind of invalid
// input. Each occurrence is counted in a metric.
const minLogInterval = time.Second

// logInterval limits the rate of log lines. The zero value is ready to use.
type logInterval struct {
	// lastLine is when the last line was logged, in nanoseconds; zero if never.
	lastLine atomic.Int64
}

// due reports whether a line may be logged now.
func (l *logInterval) due(now time.Duration) bool {
	last := l.lastLine.Load()
	return (last == 0 || now-time.Duration(last) >= minLogInterval) && l.lastLine.CompareAndSwap(last, int64(now))
}
