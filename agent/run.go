package agent

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sesameswitch/sesameswitch/agentapi"
	"github.com/sesameswitch/sesameswitch/clock"
	"github.com/sesameswitch/sesameswitch/outcome"
	"github.com/sesameswitch/sesameswitch/statechart"
)

// run is one request at this agent, from its acceptance to the moment when
// its answer is forgotten. Its chart and the fields below it belong to the
// scheduler's goroutine; the answer is shared.
type run struct {
	args    agentapi.SubmitArgs
	tier    int
	keyed   bool
	arrived time.Time
	answer  *answer
	// lastRead is when an entry last read, in nanoseconds of the clock.
	lastRead atomic.Int64
	// readers counts the reads that are waiting.
	readers atomic.Int32
	// delivered is true once a read reached the end of the answer.
	delivered atomic.Bool

	life    *statechart.Machine
	started time.Time
	ended   time.Time
	cancel  context.CancelCauseFunc
}

func newRun(args agentapi.SubmitArgs, tier int, keyed bool, now time.Time, chart *statechart.Chart, c clock.Clock) *run {
	r := &run{
		args:    args,
		tier:    tier,
		keyed:   keyed,
		arrived: now,
		answer:  newAnswer(keyed, c),
		life:    chart.New(),
	}
	r.lastRead.Store(now.UnixNano())
	return r
}

// fire moves the run along its chart. The scheduler asks only for moves that
// the chart allows, so an error is a broken invariant.
func (r *run) fire(event string) {
	if _, err := r.life.Fire(event); err != nil {
		panic(err)
	}
}

// refuse ends a run that did not start.
func (r *run) refuse(now time.Time, refusal *outcome.Refusal) {
	r.fire("refuse")
	r.ended = now
	r.answer.finish(refusal)
}

// unread is how long nobody has asked for the answer.
func (r *run) unread(now time.Time) time.Duration {
	if r.readers.Load() > 0 {
		return 0
	}
	return now.Sub(time.Unix(0, r.lastRead.Load()))
}

// silent is how long the backend server has sent nothing for a run that has
// started.
func (r *run) silent(now time.Time) time.Duration {
	since := r.started
	if last := r.answer.lastBytes(); last.After(since) {
		since = last
	}
	return now.Sub(since)
}

// over reports whether a repeatable run that ended can be forgotten.
func (r *run) over(now time.Time) bool {
	if r.delivered.Load() {
		return now.Sub(r.ended) > deliveredRetention
	}
	return r.unread(now) > readLease
}
