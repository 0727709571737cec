package clock

import (
	"sync"
	"time"
)

const (
	// PauseCheckInterval is the interval at which Pauses.Check must be called.
	PauseCheckInterval = 250 * time.Millisecond
	// minPause is the least time between two checks that counts as a pause. A busy
	// machine delays a check by less.
	minPause = 3 * PauseCheckInterval
	// catchUpTime is how long after a pause a process handles what has waited for it.
	catchUpTime = 2 * time.Second
)

// Pauses detects that the process did not run for some time, because it was stopped
// or its machine was suspended. It is safe for concurrent use.
type Pauses struct {
	elapsed   Elapsed
	mu        sync.Mutex
	checkedAt time.Duration
	// resumedAt is when the process ran again after its last pause, zero before the
	// first.
	resumedAt time.Duration
}

// NewPauses returns a detector. The clock must keep running while the machine is
// suspended.
func NewPauses(elapsed Elapsed) *Pauses {
	return &Pauses{elapsed: elapsed, checkedAt: elapsed()}
}

// Check returns the length of the pause that has ended since the last call; zero if
// there was none. Call it at each PauseCheckInterval.
func (p *Pauses) Check() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.elapsed()
	gap := now - p.checkedAt
	p.checkedAt = now
	if gap < minPause {
		return 0
	}
	p.resumedAt = now
	return gap
}

// CatchingUp reports whether the process handles what has waited for it during a
// pause.
func (p *Pauses) CatchingUp() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.elapsed()
	return now-p.checkedAt >= minPause || p.resumedAt > 0 && now-p.resumedAt < catchUpTime
}
