package admission

import "time"

// Gate decides at a gateway whether a request goes to the engine that was
// chosen for it, waits at the gateway, or is refused as not run. It is made for
// this load pattern: bursts of long prompts that hold so much of the engines'
// memory that cached prefixes are pushed out and read again, which makes the
// burst larger.
//
// A caller may rely on a request never being held while the engine has room, on
// one that is held being refused early rather than at its deadline, and on the
// time to come back being within what the caller has left.
type Gate struct{}

const (
	// holdShare is the part of its goal that a request waits at the gateway for
	// room: after it the answer would hardly be in time.
	holdShare = 0.5
	// holdPause is the time between two looks; engines free room with each
	// request that ends.
	holdPause = 20 * time.Millisecond
	// comeBackShare is the part of what is left that callers honour in a time
	// to come back.
	comeBackShare = 1.0 / 3
	// minComeBack is the least time to come back.
	minComeBack = 300 * time.Millisecond
	// hopelessShare is the part of what is left that an expected wait may take
	// before a request that finds no room is refused at once.
	hopelessShare = 0.5
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
	// LatencyTarget is the time within which the response should start.
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
func (Gate) Decide(o GateRequest) GateDecision {
	if !o.Full || o.ResponseStarted {
		return GateDecision{Action: GateSend}
	}
	hold := time.Duration(holdShare * float64(o.LatencyTarget))
	hopeless := o.ExpectedWait > time.Duration(hopelessShare*float64(o.Remaining))
	if o.Waited+holdPause > hold || hopeless {
		return GateDecision{Action: GateRefuse, Delay: comeBack(o)}
	}
	return GateDecision{Action: GateHold, Delay: holdPause}
}

// comeBack is when the backlog that the request met is expected to be served,
// as far as the caller can wait for it.
func comeBack(o GateRequest) time.Duration {
	most := time.Duration(comeBackShare * float64(o.Remaining))
	return max(min(minComeBack, most), min(o.ExpectedWait, most))
}
