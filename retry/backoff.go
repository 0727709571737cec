package retry

import (
	"math/rand/v2"
	"time"
)

// Bounds of the delay before an attempt.
const (
	backoffBase = 20 * time.Millisecond
	backoffMax  = time.Second
)

// Backoff returns the delay before a retry; attempt is 1 for the first retry.
// The delay is uniformly distributed up to a bound that doubles with each
// attempt, so that callers that failed at the same time do not retry at the
// same time.
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

// HedgeRequest is the state of a request on which ShouldHedge decides.
type HedgeRequest struct {
	// Idempotent is true if the request may run more than once.
	Idempotent bool
	// Attempts is how many attempts have been sent.
	Attempts int
	// Waited is the time since the last attempt, without a first token.
	Waited time.Duration
	// ExpectedFirstToken is a high quantile of the time to the first token.
	ExpectedFirstToken time.Duration
	// Headroom is the share of free slots at the other candidate servers.
	Headroom float64
}

// hedgeMinHeadroom is the share of free slots below which no request is hedged.
const hedgeMinHeadroom = 0.25

// ShouldHedge reports whether a second attempt is worth sending while the first
// one is still running. The caller then takes the attempt from the Budget. Only
// idempotent requests are hedged, at most once, and never under overload.
func ShouldHedge(req HedgeRequest) bool {
	if !req.Idempotent || req.Attempts != 1 {
		return false
	}
	if req.ExpectedFirstToken <= 0 || req.Headroom < hedgeMinHeadroom {
		return false
	}
	return req.Waited > req.ExpectedFirstToken
}
