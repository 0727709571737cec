package gateway

import (
	"sync"
	"time"

	"github.com/sesameswitch/sesameswitch/statechart"
)

// States of the chart "gateway".
const (
	stateStarting = "starting"
	stateServing  = "serving"
	stateDraining = "draining"
	stateRefusing = "refusing"
	stateStopped  = "stopped"
)

const (
	// refuseAfter is how long after SIGTERM new requests are still served: the
	// balancer takes the process out after two checks, a second apart, and the
	// platform counts a request as cut that was sent later than three seconds
	// after SIGTERM and does not finish.
	refuseAfter = 2800 * time.Millisecond
	// refuseShare bounds refuseAfter where the grace is short.
	refuseShare = 0.35
	// lameDuck is how long the process goes on at least, so that a connection
	// that was on its way gets an answer.
	lameDuck = 3500 * time.Millisecond
	// graceMargin is left of the grace for the end of the process itself.
	graceMargin = 400 * time.Millisecond
)

// life is the state of a process on its way from start to stop. It is safe for
// concurrent use.
type life struct {
	mu      sync.Mutex
	machine *statechart.Machine
	// changed is told of each change of state.
	changed func(state string)
	drainAt time.Time
	grace   time.Duration
}

func newLife(changed func(state string)) *life {
	return &life{machine: statechart.MustLoad("gateway").New(), changed: changed}
}

// state returns the present state.
func (l *life) state() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.State()
}

// fire moves along the chart if it allows the event now.
func (l *life) fire(event string) {
	if !l.machine.Can(event) {
		return
	}
	state, err := l.machine.Fire(event)
	if err != nil {
		panic(err) // Can said that the chart allows it
	}
	l.changed(state)
}

// ready notes that callers can be served.
func (l *life) ready() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fire("ready")
}

// drain begins the end. Repeated calls change nothing.
func (l *life) drain(now time.Time, grace time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.machine.Can("drain") {
		return
	}
	l.drainAt, l.grace = now, grace
	l.fire("drain")
}

// advance moves on with the time and the requests in flight.
func (l *life) advance(now time.Time, inFlight int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.drainAt.IsZero() {
		return
	}
	elapsed := now.Sub(l.drainAt)
	if elapsed >= min(refuseAfter, time.Duration(refuseShare*float64(l.grace))) {
		l.fire("refuse")
	}
	end := l.grace - graceMargin
	if elapsed >= end || inFlight == 0 && elapsed >= min(lameDuck, end) {
		l.fire("refuse")
		l.fire("stop")
	}
}
