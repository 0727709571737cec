// Package retry decides whether a request is retried, and when a server that refuses
// may be asked again. It does no I/O; the time is passed in. Types are not safe for
// concurrent use unless documented otherwise.
//
// Each type answers a load: Budget and Breaker servers that fail under callers who
// repeat at once; WindowBudget a service that refuses nearly everything at many
// gateways, while some of them restart, pause or are partitioned; Pushback and Returns
// servers that shed load and callers who would all return at the same moment.
package retry

import (
	"math"
	"sync"
	"time"
)

// budgetWindow is how long the unused tokens of the guaranteed rate of a Budget
// accumulate. It is also the half-life of the tokens beyond those, so that old
// requests do not allow a burst of retries.
const budgetWindow = 10 * time.Second

// Budget allows retries in proportion to the recent requests. It is a token
// bucket: requests add tokens, and each retry takes one. It is safe for
// concurrent use.
type Budget struct {
	mu           sync.Mutex
	ratio        float64
	minPerSecond float64
	tokens       float64
	lastAdvance  time.Time
}

// NewBudget returns a budget that allows ratio retries per request plus a
// guaranteed rate of minPerSecond retries per second, so that an entry with
// little traffic can retry at all.
func NewBudget(ratio, minPerSecond float64) *Budget {
	return &Budget{ratio: ratio, minPerSecond: minPerSecond, tokens: minPerSecond}
}

// SetRatio changes the number of retries allowed per request.
func (b *Budget) SetRatio(ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio = ratio
}

// RecordRequest counts a request. Its retries are not counted.
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

// advance adds the tokens of the guaranteed rate up to a ceiling, and halves the
// tokens above the ceiling every budgetWindow. The ceiling is the number of
// tokens that the guaranteed rate yields in a budgetWindow, but at least one
// token, since a retry takes one.
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
