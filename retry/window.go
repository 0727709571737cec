package retry

import (
	"sync"
	"time"
)

// windowBuckets is how finely a WindowBudget divides its window.
const windowBuckets = 20

// WindowBudget bounds the repeats of one service over all gateways without a
// shared counter: each gateway keeps to its share. It is safe for concurrent
// use.
//
// A caller may rely on this bound while n gateways agree on their number: in
// any window they repeat at most ratio x requests + extra times together, and
// a gateway alone repeats at most ratio x its own requests + extra / n.
type WindowBudget struct {
	mu     sync.Mutex
	ratio  float64
	extra  float64
	window time.Duration
	// requests and repeats are counted in buckets of the window; one bucket
	// more is kept, so that any span of the window's length is covered.
	requests [windowBuckets + 1]int
	repeats  [windowBuckets + 1]int
	at       int64
}

// NewWindowBudget returns a budget of ratio repeats for each request and extra
// ones besides in each window.
func NewWindowBudget(ratio float64, extra int, window time.Duration) *WindowBudget {
	return &WindowBudget{ratio: ratio, extra: float64(extra), window: window}
}

// RecordRequest counts a request of a caller.
func (b *WindowBudget) RecordRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.requests[0]++
}

// left is how many repeats this gateway may still make.
func (b *WindowBudget) left(gateways int) float64 {
	requests, repeats := 0, 0
	for i := range b.requests {
		repeats += b.repeats[i]
		if i < windowBuckets {
			requests += b.requests[i]
		}
	}
	return b.ratio*float64(requests) + b.extra/float64(max(1, gateways)) - float64(repeats)
}

// TryRetry takes one retry from the budget; false means that the request must
// not be retried. reserve is how many retries must remain for more important
// requests.
func (b *WindowBudget) TryRetry(now time.Time, gateways int, reserve float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	if b.left(gateways) < 1+reserve {
		return false
	}
	b.repeats[0]++
	return true
}

// advance moves to the bucket of the time.
func (b *WindowBudget) advance(now time.Time) {
	at := now.UnixNano() / (int64(b.window) / windowBuckets)
	steps := min(at-b.at, windowBuckets+1)
	if b.at == 0 {
		steps = windowBuckets + 1
	}
	if steps <= 0 {
		return
	}
	b.at = at
	shift := int(steps)
	copy(b.requests[shift:], b.requests[:len(b.requests)-shift])
	copy(b.repeats[shift:], b.repeats[:len(b.repeats)-shift])
	clear(b.requests[:shift])
	clear(b.repeats[:shift])
}
