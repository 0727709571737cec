package admission

import "time"

// Gate decides at a gateway whether a request is sent to the engine that was
// chosen for it, is held at the gateway, or is refused before it runs. It is
// designed for bursts of long prompts that fill the KV caches of the engines.
// Without it, the engines would evict cached prefixes and prefill them again,
// which adds to the load of the burst. Many gateways may hold requests for the same
// engine; they do not talk before they send.
//
// Callers may assume that a request is never held while the engine has
// capacity, that a held request is refused early rather than at its deadline and
// only while most engines are busy, and that a retry delay is within the time that
// the request has remaining. A request is held until it would be late otherwise.
// Then it is sent to its full engine if the wait there is acceptable, or if most
// engines have capacity: it may be late, but a refusal would make it later.
type Gate struct{}

const (
	// holdShare is the part of the latency target, counted from the arrival of
	// a request, up to which the request is held at least.
	holdShare = 0.5
	// lastChanceFactor is the factor on the expected time at the engine at which a
	// held request is sent to a full engine, as it would be late otherwise.
	lastChanceFactor = 1.2
	// maxQueueWait is the wait at a full engine up to which such a request is sent.
	maxQueueWait = 400 * time.Millisecond
	// holdInterval is the least time between two checks of a held request. It is
	// short because an engine may have capacity again after any request ends.
	holdInterval = 20 * time.Millisecond
	// holdSpread is the range of the random part of that time for each peer, and
	// maxHoldSpread its bound. Many gateways may hold requests for one engine, and all
	// know at the same time that it has capacity. Within the range, most of them learn
	// of the first request that another one sends before they check again.
	holdSpread    = 2 * time.Millisecond
	maxHoldSpread = 150 * time.Millisecond
	// retryDelayShare bounds the retry delay to a part of the time remaining,
	// since callers do not honour a longer one.
	retryDelayShare = 1.0 / 3
	// maxFleetWait is the wait at the median engine up to which there is capacity in
	// the fleet, although the engine chosen for a request has none.
	maxFleetWait = 60 * time.Millisecond
	// maxWaitShare is the part of the time remaining that the expected wait may
	// take. If the expected wait is longer and the engine is full, the request
	// is refused immediately.
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
	// MayHaveRun is true if an earlier attempt may have run, or if the caller has
	// received a part of the response. Such a request is neither held nor
	// refused, since a refusal states that the request did not run.
	MayHaveRun bool
	// Waited is the time since the request arrived.
	Waited time.Duration
	// Remaining is the time until the deadline of the request.
	Remaining time.Duration
	// LatencyTarget is the target for the time to the first event of a stream,
	// or to the response of a request that does not stream.
	LatencyTarget time.Duration
	// ExpectedWait is the time that the engine needs for the requests ahead of
	// this one.
	ExpectedWait time.Duration
	// ServiceTime is the time that the engine needs for this request.
	ServiceTime time.Duration
	// FleetWait is the median over the engines of the time that each needs for the
	// requests that it has.
	FleetWait time.Duration
	// Peers is the number of other gateways that may hold requests for the engine.
	Peers int
	// Random is a random number, evenly distributed from 0 to 1.
	Random float64
}

// GateDecision is the result of Gate.Decide.
type GateDecision struct {
	Action GateAction
	// Delay is the time until the next check for GateHold, and the retry delay
	// for GateRefuse.
	Delay time.Duration
}

// Decide returns what the gateway does with the request next.
func (Gate) Decide(req GateRequest) GateDecision {
	if !req.Full || req.MayHaveRun {
		return GateDecision{Action: GateSend}
	}
	expected := req.ExpectedWait + req.ServiceTime
	maxHold := max(time.Duration(holdShare*float64(req.LatencyTarget)), req.LatencyTarget-time.Duration(lastChanceFactor*float64(expected)))
	lastChance := req.Waited+holdInterval > maxHold
	if lastChance && (req.ExpectedWait <= maxQueueWait || req.FleetWait < maxFleetWait) {
		return GateDecision{Action: GateSend}
	}
	unmeetable := req.ExpectedWait > time.Duration(maxWaitShare*float64(req.Remaining))
	if lastChance || unmeetable {
		return GateDecision{Action: GateRefuse, Delay: retryDelay(req)}
	}
	// Requests that have waited for longer check more often.
	spread := min(maxHoldSpread, time.Duration(req.Peers)*holdSpread)
	remainingShare := 1 - float64(req.Waited)/float64(maxHold)
	return GateDecision{Action: GateHold, Delay: holdInterval + time.Duration(req.Random*remainingShare*float64(spread))}
}

// retryDelay returns the expected wait, at most retryDelayShare of the time remaining.
func retryDelay(req GateRequest) time.Duration {
	return min(req.ExpectedWait, time.Duration(retryDelayShare*float64(req.Remaining)))
}
