package admission

import "time"

// Gate decides at a gateway whether a request is sent to the engine that was
// chosen for it, is held at the gateway, or is refused without having run. It
// is designed for bursts of long prompts that fill the KV caches of the
// engines: cached prefixes are then evicted and prefilled again, which adds to
// the load of the burst.
//
// Callers may assume that a request is never held while the engine has
// capacity, that a held request is refused early rather than at its deadline,
// and that a retry delay is within the time that the request has remaining.
type Gate struct{}

const (
	// holdShare is the part of its latency target for which a request is held
	// at most. After a longer hold the response would rarely meet the target.
	holdShare = 0.5
	// holdInterval is the time between two checks of a held request. Engines
	// free capacity with each request that ends.
	holdInterval = 20 * time.Millisecond
	// retryDelayShare is the greatest retry delay that callers honour, as a part
	// of the time remaining.
	retryDelayShare = 1.0 / 3
	// minRetryDelay is the least retry delay, unless retryDelayShare allows
	// only a shorter one.
	minRetryDelay = 300 * time.Millisecond
	// maxWaitShare is the part of the time remaining that the expected wait may
	// take. With a longer one, a request that finds the engine full is refused
	// immediately.
	maxWaitShare = 0.5
)

// GateAction is what the gateway does with a request next.
type GateAction string

// Actions of the gate.
const (
	GateSend   GateAction = "send"
	GateHold   GateAction = "hold"
	GateRefuse GateAction = "refuse"
)

// GateRequest is a request as the admission gate sees it.
type GateRequest struct {
	// Full is true if the engine has no capacity for the request at its
	// priority.
	Full bool
	// ResponseStarted is true if the caller has received a part of the response.
	ResponseStarted bool
	// Waited is the time since the request arrived.
	Waited time.Duration
	// Remaining is the time until the deadline of the final response.
	Remaining time.Duration
	// LatencyTarget is the target for the time to the first event of a stream,
	// or to the response of a request that does not stream.
	LatencyTarget time.Duration
	// ExpectedWait is the time that the engine needs for the requests ahead of
	// this one.
	ExpectedWait time.Duration
}

// GateDecision is the result of Gate.Decide.
type GateDecision struct {
	Action GateAction
	// Delay is the time until the next check for GateHold, and the retry delay
	// for GateRefuse.
	Delay time.Duration
}

// Decide decides what happens to the request next.
func (Gate) Decide(req GateRequest) GateDecision {
	if !req.Full || req.ResponseStarted {
		return GateDecision{Action: GateSend}
	}
	maxHold := time.Duration(holdShare * float64(req.LatencyTarget))
	unmeetable := req.ExpectedWait > time.Duration(maxWaitShare*float64(req.Remaining))
	if req.Waited+holdInterval > maxHold || unmeetable {
		return GateDecision{Action: GateRefuse, Delay: retryDelay(req)}
	}
	return GateDecision{Action: GateHold, Delay: holdInterval}
}

// retryDelay returns the time in which the engine is expected to complete the
// requests ahead of this one, as far as the caller can wait for it.
func retryDelay(req GateRequest) time.Duration {
	maxDelay := time.Duration(retryDelayShare * float64(req.Remaining))
	return max(min(minRetryDelay, maxDelay), min(req.ExpectedWait, maxDelay))
}
