// Package clock provides clocks that callers inject, so that tests control the
// time.
package clock

import (
	"sync"
	"time"
)

// Clock returns the current time. Callers may assume that Now never goes back:
// the real clock reads the wall clock once, when it is created, and then adds the
// elapsed monotonic time. Later steps of the wall clock have no effect.
type Clock interface {
	Now() time.Time
}

// monotonic is the real clock.
type monotonic struct {
	start time.Time
}

// New returns a real clock that starts at the current wall clock time.
func New() Clock {
	return monotonic{start: time.Now()}
}

// Now returns the wall clock time at the start plus the monotonic time since
// then.
func (m monotonic) Now() time.Time {
	return m.start.Add(time.Since(m.start))
}

// Manual is a clock that moves only when Advance is called. It is safe for
// concurrent use.
type Manual struct {
	mu  sync.Mutex
	now time.Time
}

// NewManual returns a manual clock that is set to start.
func NewManual(start time.Time) *Manual {
	return &Manual{now: start}
}

// Now returns the time to which the clock is set.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Advance moves the clock forward by d.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
}
