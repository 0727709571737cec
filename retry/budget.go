// Package retry decides when a request may be retried: retry budgets, a circuit
// breaker for each backend server, the backoff between attempts, and hedging.
// It does no I/O; time and randomness are injected. Its types are not safe for
// concurrent use unless their comment says so.
package retry

import (
	"math"
	"sync"
	"time"
)

// budgetWindow is how long unused tokens of the guaranteed rate of a Budget
// accumulate, and the half-life of the tokens above that amount, so that
// requests long past do not allow a burst of retries.
const budgetWindow = 10 * time.Second

// Budget allows retries in proportion to the recent requests. It is safe for
// concurrent use.
type Budget struct {
	mu           sync.Mutex
	ratio        float64
	minPerSecond float64
	tokens       float64
	lastAdvance  time.Time
}

// NewBudget returns a budget of ratio retries per request, and of at least
// minPerSecond retries per second, so that an entry with little traffic can
// retry at all.
func NewBudget(ratio, minPerSecond float64) *Budget {
	return &Budget{ratio: ratio, minPerSecond: minPerSecond, tokens: minPerSecond}
}

// SetRatio changes the number of retries allowed per request.
func (b *Budget) SetRatio(ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio = ratio
}

// RecordRequest counts the first attempt of a request.
func (b *Budget) RecordRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.tokens += b.ratio
}

// TryRetry takes one retry from the budget; false means that the request must
// not be retried.
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

// advance adds the tokens of the guaranteed rate up to a ceiling of
// budgetWindow's worth, and halves the tokens above the ceiling every
// budgetWindow.
func (b *Budget) advance(now time.Time) {
	if b.lastAdvance.IsZero() {
		b.lastAdvance = now
	}
	elapsed := now.Sub(b.lastAdvance)
	if elapsed <= 0 {
		return
	}
	b.lastAdvance = now
	ceiling := max(1, b.minPerSecond*budgetWindow.Seconds())
	if b.tokens > ceiling {
		excess := b.tokens - ceiling
		b.tokens = ceiling + excess*math.Exp2(-elapsed.Seconds()/budgetWindow.Seconds())
	}
	if b.tokens < ceiling {
		b.tokens = min(ceiling, b.tokens+elapsed.Seconds()*b.minPerSecond)
	}
}
