package retry

import (
	"math/rand/v2"
	"time"
)

const (
	// backoffBase is the upper bound of the delay before the first retry.
	backoffBase = 20 * time.Millisecond
	// maxBackoff is the upper bound of the delay before any retry.
	maxBackoff = time.Second
)

// Backoff returns the delay before a retry; retryNumber is 1 for the first retry.
// The delay is uniformly distributed between zero and an upper bound that
// doubles with each retry up to maxBackoff. The randomness keeps callers that
// failed at the same time from retrying at the same time.
func Backoff(retryNumber int, rng *rand.Rand) time.Duration {
	bound := maxBackoff
	if retryNumber < 1 {
		retryNumber = 1
	}
	// From the seventh retry on the bound is maxBackoff. The condition keeps the
	// shift from overflowing.
	if retryNumber < 8 {
		bound = min(maxBackoff, backoffBase<<(retryNumber-1))
	}
	return time.Duration(rng.Int64N(int64(bound))) + 1
}

// HedgeRequest is the state of a request on which ShouldHedge decides.
type HedgeRequest struct {
	// Idempotent is true if the request may run more than once.
	Idempotent bool
	// Attempts is how many attempts of the request have been sent.
	Attempts int
	// Waited is the time since the last attempt was sent; no token has been
	// received yet.
	Waited time.Duration
	// ExpectedFirstToken is a high quantile of the time to first token. Zero
	// means unknown.
	ExpectedFirstToken time.Duration
	// Headroom is the share of the other candidate servers' slots that are free.
	Headroom float64
}

// hedgeMinHeadroom is the least Headroom at which requests are hedged. Below it,
// second attempts would add to an overload.
const hedgeMinHeadroom = 0.25

// ShouldHedge reports whether to send a second attempt while the first one is
// still running. The caller must also obtain the second attempt from the retry
// budget. Only idempotent requests are hedged, at most once, and not under
// overload.
func ShouldHedge(req HedgeRequest) bool {
	if !req.Idempotent || req.Attempts != 1 {
		return false
	}
	if req.ExpectedFirstToken <= 0 || req.Headroom < hedgeMinHeadroom {
		return false
	}
	return req.Waited > req.ExpectedFirstToken
}
