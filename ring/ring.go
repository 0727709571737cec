// Package ring provides a bounded first-in, first-out queue between goroutines.
//
// Callers may assume that Push never blocks: a full or closed ring drops the
// value and counts it, so a slow consumer cannot delay a producer. Values that
// were accepted before Close are still delivered after it.
package ring

import (
	"context"
	"sync"
	"sync/atomic"
)

// Ring is a bounded queue. It is safe for concurrent use by any number of
// producers and consumers.
type Ring[T any] struct {
	items   chan T
	dropped atomic.Uint64

	// mu prevents Push from sending on a channel that Close has closed.
	mu     sync.RWMutex
	closed bool
}

// New returns an empty ring that holds up to capacity values. A capacity below 1
// is treated as 1.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{items: make(chan T, max(capacity, 1))}
}

// Push adds a value and returns true. If the ring is full or closed, it drops and
// counts the value and returns false. It never blocks.
func (r *Ring[T]) Push(v T) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if r.closed {
		r.dropped.Add(1)
		return false
	}
	select {
	case r.items <- v:
		return true
	default:
		r.dropped.Add(1)
		return false
	}
}

// Pop removes and returns the oldest value. It blocks while the ring is empty. It
// returns false if the ring is closed and empty, or if ctx ends while the ring is
// empty.
func (r *Ring[T]) Pop(ctx context.Context) (T, bool) {
	select {
	case v, ok := <-r.items:
		return v, ok
	default:
	}
	select {
	case v, ok := <-r.items:
		return v, ok
	case <-ctx.Done():
		var zero T
		return zero, false
	}
}

// Close makes Push drop all further values. It may be called more than once.
func (r *Ring[T]) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	r.closed = true
	close(r.items)
}

// Len returns the number of queued values.
func (r *Ring[T]) Len() int { return len(r.items) }

// Cap returns the capacity of the ring.
func (r *Ring[T]) Cap() int { return cap(r.items) }

// Dropped returns the number of values that Push dropped.
func (r *Ring[T]) Dropped() uint64 { return r.dropped.Load() }
