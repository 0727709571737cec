// Package progress decides when an attempt that has sent nothing for too long is moved to
// another backend server. It does no I/O; the time is passed in.
//
// The load it answers: backend servers that hold streams without progress, during long
// prefills of others or on slow machines, until the deadline of the caller passes, although
// another server would have finished in time. A move throws away a prefill that is paid for,
// so that moves under overload would add to it.
//
// Callers may assume that an attempt is never moved within MinSilence of its last byte, when
// the request must not run again, when it was moved before, when the successor could not
// finish before the deadline, or while most servers are slow.
package progress

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// MinSilence is the time without any byte below which no attempt is moved. Shared
	// machines slow down for up to 0.6 s, and a lost packet of a connection costs up to
	// one second.
	MinSilence = 1500 * time.Millisecond
	// silenceFactor is the multiple of the expected time without any byte below which no
	// attempt is moved.
	silenceFactor = 4
	// successorFactor is the margin on the expected time of a successor: it finishes in time
	// also if it takes twice as long as expected.
	successorFactor = 2
	// restFactor is the margin on the usual time from the first event to the end: responses
	// differ in length.
	restFactor = 1.5
	// recheckInterval is the time between two decisions about an attempt that stays although
	// it is silent.
	recheckInterval = 500 * time.Millisecond
	// slowSilence is the time without any byte from which a server counts as slow for Fleet.
	// It is shorter than MinSilence, so that attempts that begin to wait later count, too.
	slowSilence = MinSilence / 2
	// minSlowServers is the least number of other slow servers that shows a slow fleet.
	minSlowServers = 2
	// slowInterval is how long the servers that count as slow are not determined again, which
	// takes time in proportion to the open attempts.
	slowInterval = 100 * time.Millisecond
	// timeGain is the weight of one response in the usual times of a route.
	timeGain = 0.1
	// slowestFactor is the multiple of the longest recent time to the first event of the
	// route below which no attempt is moved: an estimate may be far too low for a route, or
	// for a fleet that has become slow.
	slowestFactor = 2
	// budgetInterval is the time until the retry budget is asked again.
	budgetInterval = 2 * time.Second
)

// Verdict is the result of a decision.
type Verdict string

// Verdicts. All but Move leave the attempt where it is.
const (
	Move Verdict = "move"
	// Progressing: the attempt is not silent for long enough.
	Progressing Verdict = "progressing"
	// OnceOnly: the request must not run again.
	OnceOnly Verdict = "once_only"
	// MovedBefore: the request was moved before.
	MovedBefore Verdict = "moved_before"
	// TooLate: the successor could not finish before the deadline.
	TooLate Verdict = "too_late"
	// NoSuccessor: no other server can be used, or none has capacity.
	NoSuccessor Verdict = "no_successor"
	// FleetSlow: most other servers are slow, too.
	FleetSlow Verdict = "fleet_slow"
	// NoBudget: the retry budget does not allow the move.
	NoBudget Verdict = "retry_budget"
)

// Successor is the server that would be chosen if the attempt were moved now.
type Successor struct {
	// Usable reports whether there is one, and Full whether it has no capacity.
	Usable, Full bool
	// ServiceTime and Wait are the expected times to its first event, or to its response.
	ServiceTime, Wait time.Duration
	// FleetWait is the median over the servers of the expected wait now.
	FleetWait time.Duration
}

// Attempt is an attempt as the decision sees it.
type Attempt struct {
	// Silent is the time since the last byte of the response or, if there was none, since
	// the request was written.
	Silent time.Duration
	// Begun reports whether the attempt brought an event.
	Begun bool
	// Expected is the time to the first event, or to the response, that was expected when
	// the attempt was sent.
	Expected time.Duration
	// Slowest is the longest recent time to the first event, or to the response, of the route.
	Slowest time.Duration
	// LongestPause is the longest time between two events of the stream so far.
	LongestPause time.Duration
	// LatencyTarget is the target for the time to the first event, or to the response.
	LatencyTarget time.Duration
	// Rest is the usual time from the first event to the end of the response.
	Rest time.Duration
	// Remaining is the time until the deadline of the request.
	Remaining time.Duration
	// Repeatable reports whether the request may run again or, if its caller got an event,
	// may continue after it.
	Repeatable bool
	// Runs is how many servers may have run the request, this one included, of at most
	// MaxRuns; a MaxRuns below one counts as one.
	Runs, MaxRuns int
	// Moved reports whether the request was moved before.
	Moved bool
	// SlowServers of OpenServers other servers with open requests are slow, see Fleet.
	SlowServers, OpenServers int
}

// Decision is the result of Decide.
type Decision struct {
	Verdict Verdict
	// After is the time after which the decision is to be made again; zero means never.
	After time.Duration
	// Limit is the silence from which the attempt counts as stalled.
	Limit time.Duration
	// Successor is the server that the decision is based on, if it needed one.
	Successor Successor
}

// Limit returns the silence from which the attempt counts as stalled, without what the
// successor shows: at least MinSilence and silenceFactor times what is expected.
func (a *Attempt) Limit() time.Duration {
	if a.Begun {
		return max(MinSilence, silenceFactor*max(a.Expected, a.LongestPause))
	}
	return max(MinSilence, a.LatencyTarget, silenceFactor*a.Expected, slowestFactor*a.Slowest)
}

// Permitted returns Move if the request may be moved at all, whatever its servers do.
func (a *Attempt) Permitted() Verdict {
	switch {
	case !a.Repeatable || a.Runs >= max(1, a.MaxRuns):
		return OnceOnly
	case a.Moved:
		return MovedBefore
	default:
		return Move
	}
}

// Decide decides about an attempt. It calls successor, which chooses a server, and takeRetry,
// which asks the retry budget, at most once: the first only if the attempt itself is stalled,
// the second only if nothing else is against the move.
func Decide(a *Attempt, successor func() Successor, takeRetry func() bool) Decision {
	d := Decision{Limit: a.Limit()}
	rest := time.Duration(restFactor * float64(a.Rest))
	switch v := a.Permitted(); {
	case v != Move:
		d.Verdict = v
		return d
	case a.Silent < d.Limit:
		d.Verdict, d.After = Progressing, d.Limit-a.Silent
		return d
	case a.LatencyTarget+rest > a.Remaining:
		d.Verdict = TooLate // for ever, as the time left only shrinks
		return d
	case a.SlowServers >= minSlowServers && 2*a.SlowServers > a.OpenServers:
		d.Verdict, d.After = FleetSlow, recheckInterval
		return d
	}
	d.Successor = successor()
	// An attempt is late only relative to what servers take now.
	expected := d.Successor.ServiceTime + max(d.Successor.Wait, d.Successor.FleetWait)
	d.Limit = max(d.Limit, silenceFactor*expected)
	switch {
	case !d.Successor.Usable || d.Successor.Full:
		d.Verdict, d.After = NoSuccessor, recheckInterval
	case a.Silent < d.Limit:
		d.Verdict, d.After = Progressing, d.Limit-a.Silent
	case successorFactor*expected+rest > a.Remaining:
		d.Verdict, d.After = TooLate, recheckInterval
	case !takeRetry():
		d.Verdict, d.After = NoBudget, budgetInterval
	default:
		d.Verdict = Move
	}
	return d
}

// Fleet knows the open attempts of one process at the servers of a service. It shows when
// most servers are slow at the same time, before any estimate does. It is safe for
// concurrent use.
type Fleet struct {
	mu   sync.Mutex
	open map[*Open]struct{}
	// slow holds the servers with open attempts as of slowAt, and whether each was slow.
	slow   map[string]bool
	slowAt time.Time
	times  map[string]*routeTimes
}

// NewFleet returns a Fleet without attempts.
func NewFleet() *Fleet {
	return &Fleet{open: make(map[*Open]struct{}), times: make(map[string]*routeTimes)}
}

// routeTimes holds the recent times of a route.
type routeTimes struct {
	// slowest is the longest recent time to the first event; later shorter ones reduce it.
	slowest time.Duration
	// rest is the usual time from the first event to the end, if restKnown.
	rest      time.Duration
	restKnown bool
}

// timesOf returns the times of a route. The caller holds mu.
func (f *Fleet) timesOf(route string) *routeTimes {
	t := f.times[route]
	if t == nil {
		t = &routeTimes{}
		f.times[route] = t
	}
	return t
}

// RecordFirst records the time from writing a request to its first event, or to its response.
func (f *Fleet) RecordFirst(route string, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.timesOf(route)
	t.slowest = max(took, t.slowest+time.Duration(timeGain*float64(took-t.slowest)))
}

// Open is an open attempt. Its methods are safe for concurrent use.
type Open struct {
	fleet    *Fleet
	server   string
	expected time.Duration
	// heardAt is when the last byte arrived, or the request was written, in nanoseconds
	// since the Unix epoch.
	heardAt atomic.Int64
}

// Begin adds an attempt that is written now; expected is the expected time to its first event.
func (f *Fleet) Begin(now time.Time, server string, expected time.Duration) *Open {
	o := &Open{fleet: f, server: server, expected: expected}
	o.Heard(now)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.open[o] = struct{}{}
	return o
}

// Heard records that a byte of the response has arrived.
func (o *Open) Heard(now time.Time) { o.heardAt.Store(now.UnixNano()) }

// Silent returns the time since the last byte, or since the request was written.
func (o *Open) Silent(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - o.heardAt.Load())
}

// End removes the attempt.
func (o *Open) End() {
	o.fleet.mu.Lock()
	defer o.fleet.mu.Unlock()
	delete(o.fleet.open, o)
}

// Slow returns how many servers other than that of the attempt have open attempts, and at how
// many of them one is silent for longer than expected, as of at most slowInterval ago.
func (o *Open) Slow(now time.Time) (slow, open int) {
	o.fleet.mu.Lock()
	defer o.fleet.mu.Unlock()
	if f := o.fleet; f.slow == nil || now.Sub(f.slowAt) >= slowInterval {
		f.slow, f.slowAt = make(map[string]bool), now
		for other := range f.open {
			f.slow[other.server] = f.slow[other.server] || other.Silent(now) >= max(slowSilence, other.expected)
		}
	}
	for server, isSlow := range o.fleet.slow {
		if server == o.server {
			continue
		}
		open++
		if isSlow {
			slow++
		}
	}
	return slow, open
}

// RecordRest records the time from the first event of a complete response to its end.
func (f *Fleet) RecordRest(route string, rest time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.timesOf(route)
	if t.restKnown {
		rest = t.rest + time.Duration(timeGain*float64(rest-t.rest))
	}
	t.rest, t.restKnown = rest, true
}

// Times returns the longest recent time to the first event of a route, zero if none is known,
// and the usual time from there to the end, which is otherwise if it is not known.
func (f *Fleet) Times(route string, otherwise time.Duration) (slowest, rest time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.timesOf(route)
	if !t.restKnown {
		return t.slowest, otherwise
	}
	return t.slowest, t.rest
}
