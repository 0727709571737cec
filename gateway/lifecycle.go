package gateway

import (
	"sync"
	"time"

	"github.com/sesameswitch/sesameswitch/statechart"
)

// States of the state chart "gateway", which describes them.
const (
	stateStarting = "starting"
	stateServing  = "serving"
	stateDraining = "draining"
	stateRefusing = "refusing"
	stateStopped  = "stopped"
)

const (
	// refuseAfter is how long after SIGTERM new requests are still served. Until
	// two checks, one second apart, have failed, the load balancer still sends
	// requests. If a request that was sent more than three seconds after SIGTERM
	// does not finish, the platform counts its response as truncated.
	refuseAfter = 2800 * time.Millisecond
	// refuseGraceShare is the largest share of the termination grace during which
	// new requests are served; it applies if the grace is short.
	refuseGraceShare = 0.35
	// lameDuckPeriod is the minimum time from SIGTERM to the stop, so that a
	// connection that is being opened still gets a response.
	lameDuckPeriod = 3500 * time.Millisecond
	// exitMargin is the part of the termination grace that is reserved for the
	// exit of the process.
	exitMargin = 400 * time.Millisecond
)

// lifecycle is the state of a process from its start to its stop. It is safe for
// concurrent use.
type lifecycle struct {
	mu      sync.Mutex
	machine *statechart.Machine
	// onChange is called with the new state after each transition.
	onChange func(state string)
	// drainAt is when draining began, zero before; grace is the termination grace
	// that counts from then.
	drainAt time.Time
	grace   time.Duration
}

func newLifecycle(onChange func(state string)) *lifecycle {
	return &lifecycle{machine: statechart.MustLoad("gateway").New(), onChange: onChange}
}

// state returns the current state.
func (l *lifecycle) state() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.State()
}

// fire performs the transition of an event if the state chart allows it in the
// current state. The caller holds mu.
func (l *lifecycle) fire(event string) {
	if !l.machine.Can(event) {
		return
	}
	state, err := l.machine.Fire(event)
	if err != nil {
		panic(err) // cannot happen: Can returned true
	}
	l.onChange(state)
}

// ready moves a starting process to the state serving. In other states it has no
// effect.
func (l *lifecycle) ready() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fire("ready")
}

// drain begins the shutdown. Further calls have no effect.
func (l *lifecycle) drain(now time.Time, grace time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.machine.Can("drain") {
		return
	}
	l.drainAt, l.grace = now, grace
	l.fire("drain")
}

// advance performs the transitions that are due, given the time and the number
// of requests in flight.
func (l *lifecycle) advance(now time.Time, inFlight int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.drainAt.IsZero() {
		return
	}
	elapsed := now.Sub(l.drainAt)
	if elapsed >= min(refuseAfter, time.Duration(refuseGraceShare*float64(l.grace))) {
		l.fire("refuse")
	}
	stopAfter := l.grace - exitMargin
	if elapsed >= stopAfter || inFlight == 0 && elapsed >= min(lameDuckPeriod, stopAfter) {
		l.fire("refuse")
		l.fire("stop")
	}
}
