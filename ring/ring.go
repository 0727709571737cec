// Package ring provides the bounded queue that joins two duties.
//
// A caller may rely on Push never blocking: a full or closed ring refuses the
// value and counts it, so a slow consumer cannot hold up the producer. Values
// come out in the order they went in; those accepted before Close are still
// delivered after it.
package ring

import (
	"context"
	"sync"
	"sync/atomic"
)

// Ring is a bounded queue. It is safe for any number of producers and
// consumers.
type Ring[T any] struct {
	items   chan T
	dropped atomic.Uint64

	// mu keeps Push from sending while Close closes the channel.
	mu     sync.RWMutex
	closed bool
}

// New returns an empty ring that holds up to capacity values; a capacity
// below one is taken as one.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{items: make(chan T, max(capacity, 1))}
}

// Push adds a value. It never blocks; it returns false and counts the value
// as dropped when the ring is full or closed.
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

// Pop returns the oldest value. It blocks while the ring is empty and returns
// false once the ring is closed and drained, or when ctx ends while no value
// is there.
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

// Close refuses all further values. It may be called more than once.
func (r *Ring[T]) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	r.closed = true
	close(r.items)
}

// Len returns how many values wait.
func (r *Ring[T]) Len() int { return len(r.items) }

// Cap returns how many values the ring can hold.
func (r *Ring[T]) Cap() int { return cap(r.items) }

// Dropped returns how many values Push refused.
func (r *Ring[T]) Dropped() uint64 { return r.dropped.Load() }
