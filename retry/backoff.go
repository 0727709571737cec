package retry

import (
	"math/rand/v2"
	"time"
)

// Bounds of the pause before an attempt.
const (
	backoffBase = 20 * time.Millisecond
	backoffMax  = time.Second
)

// Backoff returns the pause before the attempt, which counts from 1 for the
// first retry: uniform up to a bound that doubles each time, so that callers
// which failed together spread out.
func Backoff(attempt int, rng *rand.Rand) time.Duration {
	bound := backoffMax
	if attempt < 1 {
		attempt = 1
	}
	if attempt < 8 {
		bound = min(backoffMax, backoffBase<<(attempt-1))
	}
	return time.Duration(rng.Int64N(int64(bound))) + 1
}

// HedgeRequest is what a decision to hedge depends on.
type HedgeRequest struct {
	// Idempotent says that the request may run more than once.
	Idempotent bool
	// Attempts is how many attempts were sent already.
	Attempts int
	// Waited is the time since the last attempt, without a first token.
	Waited time.Duration
	// ExpectedFirstToken is a high quantile of the time to the first token.
	ExpectedFirstToken time.Duration
	// Headroom is the share of slots that the other candidates have free.
	Headroom float64
}

// hedgeMinHeadroom is the share of free slots below which nothing is hedged.
const hedgeMinHeadroom = 0.25

// ShouldHedge reports whether a second attempt is worth sending before the first
// one failed. The caller then takes it from the Budget. Only idempotent
// requests are hedged, once, and never under overload.
func ShouldHedge(req HedgeRequest) bool {
	if !req.Idempotent || req.Attempts != 1 {
		return false
	}
	if req.ExpectedFirstToken <= 0 || req.Headroom < hedgeMinHeadroom {
		return false
	}
	return req.Waited > req.ExpectedFirstToken
}
