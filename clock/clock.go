// Package clock supplies time to code that decides, so that tests can
// inject it.
package clock

import (
	"sync"
	"time"
)

// Clock tells the time. A caller may rely on Now never stepping back: the
// real clock reads the wall once at start and then follows the monotonic
// reading, so a wall clock step after start has no effect.
type Clock interface {
	Now() time.Time
}

// monotonic is the real clock.
type monotonic struct {
	start time.Time
}

// New returns the real clock, anchored at the present wall time.
func New() Clock {
	return monotonic{start: time.Now()}
}

// Now returns the anchored wall time plus the monotonic time since then.
func (m monotonic) Now() time.Time {
	return m.start.Add(time.Since(m.start))
}

// Manual is a clock that moves only when told to. It is safe for concurrent
// use.
type Manual struct {
	mu  sync.Mutex
	now time.Time
}

// NewManual returns a manual clock that shows start.
func NewManual(start time.Time) *Manual {
	return &Manual{now: start}
}

// Now returns the time that the clock shows.
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
