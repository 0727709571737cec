// Package retry decides when a request may be sent again: a budget over all
// requests, a circuit breaker per backend server, the pause between attempts
// and hedging. It does no I/O; time and randomness are injected. Its types
// are not safe for concurrent use unless they say so.
package retry

import (
	"math"
	"sync"
	"time"
)

// budgetMemory is how long a request counts towards the budget.
const budgetMemory = 10 * time.Second

// Budget allows retries as a share of the requests of the last seconds. It is
// safe for concurrent use.
type Budget struct {
	mu           sync.Mutex
	share        float64
	minPerSecond float64
	tokens       float64
	last         time.Time
}

// NewBudget returns a budget of share retries per request, and of
// minPerSecond at least, so that a quiet entry can retry at all.
func NewBudget(share, minPerSecond float64) *Budget {
	return &Budget{share: share, minPerSecond: minPerSecond, tokens: minPerSecond}
}

// SetRatio changes the number of retries allowed per request.
func (b *Budget) SetRatio(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share = share
}

// RecordRequest counts the first attempt of a request.
func (b *Budget) RecordRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.tokens += b.share
}

// TryRetry takes one retry from the budget; false means that the request must
// not be sent again.
func (b *Budget) TryRetry(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// advance lets old allowance decay towards the guaranteed rate: tokens above
// it halve every budgetMemory.
func (b *Budget) advance(now time.Time) {
	if b.last.IsZero() {
		b.last = now
	}
	elapsed := now.Sub(b.last)
	if elapsed <= 0 {
		return
	}
	b.last = now
	ceiling := max(1, b.minPerSecond*budgetMemory.Seconds())
	if b.tokens > ceiling {
		excess := b.tokens - ceiling
		b.tokens = ceiling + excess*math.Exp2(-elapsed.Seconds()/budgetMemory.Seconds())
	}
	if b.tokens < ceiling {
		b.tokens = min(ceiling, b.tokens+elapsed.Seconds()*b.minPerSecond)
	}
}
