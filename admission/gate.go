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

// Step is what a request does next.
type Step string

// Steps.
const (
	StepSend   Step = "send"
	StepHold   Step = "hold"
	StepRefuse Step = "refuse"
)

// Offer describes a request at the gate.
type Offer struct {
	// Full says that the engine has no room for the request at its rank.
	Full bool
	// Begun says that the caller has a part of the answer already.
	Begun bool
	// Waited is the time since the request arrived.
	Waited time.Duration
	// Left is the time until its final answer is due.
	Left time.Duration
	// Goal is the time to the answer that is on time.
	Goal time.Duration
	// Expected is the time that the engine needs for what is before it.
	Expected time.Duration
}

// Decision is what the gate says.
type Decision struct {
	Step Step
	// After is the time until the next look, or when to come back.
	After time.Duration
}

// Decide decides on an offer.
func (Gate) Decide(o Offer) Decision {
	if !o.Full || o.Begun {
		return Decision{Step: StepSend}
	}
	hold := time.Duration(holdShare * float64(o.Goal))
	hopeless := o.Expected > time.Duration(hopelessShare*float64(o.Left))
	if o.Waited+holdPause > hold || hopeless {
		return Decision{Step: StepRefuse, After: comeBack(o)}
	}
	return Decision{Step: StepHold, After: holdPause}
}

// comeBack is when the backlog that the request met is expected to be served,
// as far as the caller can wait for it.
func comeBack(o Offer) time.Duration {
	most := time.Duration(comeBackShare * float64(o.Left))
	return max(min(minComeBack, most), min(o.Expected, most))
}
