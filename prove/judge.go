package prove

import (
	"fmt"
	"slices"
	"time"

	"github.com/sesameswitch/sesameswitch/history"
	"github.com/sesameswitch/sesameswitch/standin/engine"
	"github.com/sesameswitch/sesameswitch/timeline"
)

const (
	// leavingGrace is how long after a departure runs may still start.
	leavingGrace = 4 * time.Second
	// inFlightSince is how long before a departure a call must have begun to
	// count as received.
	inFlightSince = 100 * time.Millisecond
)

// judge gathers what the stand-ins and the members know and applies the
// checkers.
func (c *cluster) judge(result *Result, faults []fault) error {
	h := c.recorder.History()
	keyed, err := c.runsByKey(h)
	if err != nil {
		return err
	}
	started := c.runsByTimeline()
	result.Calls = len(h.Calls)
	result.Runs = len(started)
	result.Outcomes = outcomesOf(h)

	judged := h
	judged.Runs = slices.Concat(keyed, started)
	found := history.CheckRequests(judged)
	found = append(found, history.CheckConfigVersions(h)...)
	found = append(found, c.checkDepartures(h, started, faults)...)
	found = append(found, c.checkIdle(faults)...)
	result.Violations = append(result.Violations, found...)
	return nil
}

func outcomesOf(h history.History) map[string]int {
	outcomes := make(map[string]int)
	for _, call := range h.Calls {
		name := string(call.Outcome)
		if !call.Returned || name == "" {
			name = "no_answer"
		}
		outcomes[name]++
	}
	return outcomes
}

// runsByKey returns the runs that the backend servers counted for each key.
// They do not say when a run took place, so each spans the whole history.
func (c *cluster) runsByKey(h history.History) ([]history.Run, error) {
	counts := make(map[string]uint64)
	for _, name := range []string{"service-1", "service-2"} {
		var runs map[string]uint64
		if err := c.get(c.addresses[name], "/admin/runs", &runs); err != nil {
			return nil, err
		}
		addCounts(counts, runs)
	}
	for _, name := range []string{"engine-1", "engine-2"} {
		var report engine.CounterReport
		if err := c.get(c.addresses[name], "/admin/counters", &report); err != nil {
			return nil, err
		}
		addCounts(counts, report.Runs)
	}
	requests, names := namesOfRuns(h)
	var runs []history.Run
	for key, request := range requests {
		for i := range counts[key] {
			id := names[key]
			if id == "" || i > 0 {
				id = fmt.Sprintf("%s-%d", key, i)
			}
			runs = append(runs, history.Run{ID: id, Key: key, Request: request})
		}
	}
	return runs, nil
}

func addCounts(to, from map[string]uint64) {
	for key, n := range from {
		to[key] += n
	}
}

// namesOfRuns returns, for each key that callers used, the request that ran
// and the name of its run, as far as a completed call tells. A key that was
// used for one request only can have run no other; of the rest the request
// that ran is not known.
func namesOfRuns(h history.History) (requests, names map[string]string) {
	requests, names = make(map[string]string), make(map[string]string)
	told := make(map[string]bool)
	for _, call := range h.Calls {
		if call.Key == "" || told[call.Key] {
			continue
		}
		earlier, seen := requests[call.Key]
		switch {
		case call.Returned && call.Outcome == "completed":
			requests[call.Key], names[call.Key] = call.Request, call.RunID
			told[call.Key] = true
		case seen && earlier != call.Request:
			requests[call.Key] = unknownRequest
		default:
			requests[call.Key] = call.Request
		}
	}
	return requests, names
}

const unknownRequest = "not known"

// runsByTimeline returns the runs that agents say they started, by the
// request ID. Their agent is one life of an agent.
func (c *cluster) runsByTimeline() []history.Run {
	var runs []history.Run
	for _, e := range c.allEvents() {
		if e.Kind != timeline.RunStarted {
			continue
		}
		runs = append(runs, history.Run{
			ID:      fmt.Sprintf("%s/%s/%d", e.Process.VM, e.Process.Incarnation, e.Seq),
			Request: e.RequestID,
			Agent:   e.Process.VM + "/" + e.Process.Incarnation,
			Started: e.Time.Sub(c.began),
		})
	}
	return runs
}

// checkDepartures checks that members which were asked to end started nothing
// new and cut nothing. Cuts are judged only when no other failure can have
// caused them.
func (c *cluster) checkDepartures(h history.History, started []history.Run, faults []fault) []history.Violation {
	c.mu.Lock()
	defer c.mu.Unlock()
	var departures []history.DrainStart
	var shutdowns []history.Shutdown
	for _, d := range c.departures {
		departures = append(departures, history.DrainStart{Agent: d.member + "/" + d.incarnation, At: d.at})
		shutdowns = append(shutdowns, history.Shutdown{Process: d.member, At: d.at})
	}
	found := history.CheckDraining(history.History{Runs: started}, departures, leavingGrace)
	for _, f := range faults {
		if !f.graceful {
			return found
		}
	}
	return append(found, history.CheckGracefulShutdown(received(h, c.departures), shutdowns, c.through)...)
}

// received leaves out calls that began too shortly before a departure to have
// been received.
func received(h history.History, departures []departure) history.History {
	h.Calls = slices.DeleteFunc(h.Calls, func(call history.Call) bool {
		return slices.ContainsFunc(departures, func(d departure) bool {
			return call.Invoked <= d.at && call.Invoked > d.at-inFlightSince
		})
	})
	return h
}

// through reports whether a call went through a member: through an entry by
// name; any call may have gone through an agent.
func (c *cluster) through(call history.Call, name string) bool {
	for _, e := range c.entries {
		if e.Name == name {
			return call.Entry == name
		}
	}
	return true
}
