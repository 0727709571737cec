package agent

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sesameswitch/sesameswitch/agentapi"
	"github.com/sesameswitch/sesameswitch/membudget"
	"github.com/sesameswitch/sesameswitch/outcome"
	"github.com/sesameswitch/sesameswitch/statechart"
	"github.com/sesameswitch/sesameswitch/timeline"
)

// run is one request at this agent, from its submission until it is removed. Only
// the scheduler's goroutine uses machine and the fields below it; readers share
// the response.
type run struct {
	args agentapi.SubmitArgs
	// memory is what the body takes until the run has ended; nil without a limit.
	memory *membudget.Claim
	tier   int
	// keyed reports that the run is an at-most-once run and args.ID its
	// idempotency key. Other runs are idempotent.
	keyed     bool
	arrivedAt time.Time
	response  *response
	// lastReadAt is the time of the last read by an entry, in Unix nanoseconds.
	lastReadAt atomic.Int64
	// activeReads is the number of reads that are waiting for data.
	activeReads atomic.Int32
	// delivered is true once a read has reached the end of the response.
	delivered atomic.Bool

	machine   *statechart.Machine
	startedAt time.Time
	endedAt   time.Time
	cancel    context.CancelCauseFunc
}

// newRun returns a run that has not been queued.
func (s *scheduler) newRun(args agentapi.SubmitArgs, memory *membudget.Claim, tier int, keyed bool, now time.Time) *run {
	r := &run{
		args:      args,
		memory:    memory,
		tier:      tier,
		keyed:     keyed,
		arrivedAt: now,
		machine:   s.chart.New(),
	}
	r.response = newResponse(keyed, s.deps.Clock, s.deps.Memory, func() { s.recordDiscarded(r) })
	r.lastReadAt.Store(now.UnixNano())
	return r
}

// recordDiscarded records that a response gave way while memory was short.
func (s *scheduler) recordDiscarded(r *run) {
	detail := "it was delivered and kept for another read"
	if !r.delivered.Load() {
		detail = errUnreadResponse.Error()
		s.metrics.unread.Inc(1)
	}
	s.record(timeline.ResponseDiscarded, r, detail, timeline.Attributes{Reason: string(outcome.ReasonMemory)})
}

// fire applies an event to the state machine of the run. It panics when the chart
// has no transition for the event, which would be a bug in the scheduler.
func (r *run) fire(event string) {
	if _, err := r.machine.Fire(event); err != nil {
		panic(err)
	}
}

// refuse ends a run that has not started.
func (r *run) refuse(now time.Time, refusal *outcome.Refusal) {
	r.fire("refuse")
	r.endedAt = now
	r.releaseBody()
	r.response.finish(refusal)
}

// releaseBody gives back the memory of the body of a run that has ended.
func (r *run) releaseBody() {
	r.args.Body = nil
	r.memory.Release()
}

// sinceLastRead returns how long ago the response was last read. It is zero while
// a read is waiting.
func (r *run) sinceLastRead(now time.Time) time.Duration {
	if r.activeReads.Load() > 0 {
		return 0
	}
	return now.Sub(time.Unix(0, r.lastReadAt.Load()))
}

// sinceLastData returns how long ago the backend server last sent data for a run
// that has started. Until the first data it returns the time since the start.
func (r *run) sinceLastData(now time.Time) time.Duration {
	since := r.startedAt
	if last := r.response.lastReceived(); last.After(since) {
		since = last
	}
	return now.Sub(since)
}

// removable reports whether an idempotent run that has ended can be removed:
// deliveredRetention after its end if its response was delivered, and otherwise
// readLease after the last read.
func (r *run) removable(now time.Time) bool {
	if r.delivered.Load() {
		return now.Sub(r.endedAt) > deliveredRetention
	}
	return r.sinceLastRead(now) > readLease
}
