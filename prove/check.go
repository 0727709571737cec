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
	// drainGrace is how long after the start of its graceful shutdown an agent may
	// still start runs. It exceeds the agent's keyedDrainGrace, during which a
	// draining agent still starts queued at-most-once requests.
	drainGrace = 4 * time.Second
	// minCallAge is the age that a call must have at the start of a graceful
	// shutdown to be checked. A younger call may not have reached the member yet.
	minCallAge = 100 * time.Millisecond
)

// check collects the runs that the stand-ins and the agents report, applies the
// checkers to the history, and adds the violations to result.
//
// CheckRequests gets the runs of both sources. Keyed runs have a key and match the
// calls with that key. Time line runs have no key, so they match only the calls
// without a key, which are identified by their request ID.
func (c *cluster) check(result *Result, faults []fault) error {
	h := c.recorder.History()
	keyed, err := c.keyedRuns(h)
	if err != nil {
		return err
	}
	started := c.timelineRuns()
	result.Calls = len(h.Calls)
	result.Runs = len(started)
	result.Outcomes = countOutcomes(h)

	withRuns := h
	withRuns.Runs = slices.Concat(keyed, started)
	found := history.CheckRequests(withRuns)
	withActivations := h
	withActivations.Observations = slices.Concat(h.Observations, c.activations())
	found = append(found, history.CheckConfigVersions(withActivations)...)
	found = append(found, c.checkShutdowns(h, started, faults)...)
	found = append(found, c.checkSlotsReleased(faults)...)
	result.Violations = append(result.Violations, found...)
	return nil
}

func countOutcomes(h history.History) map[string]int {
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

// keyedRuns returns the runs that the backend servers counted for each key. The
// servers do not report when a run took place, so each run spans the entire
// history.
func (c *cluster) keyedRuns(h history.History) ([]history.Run, error) {
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
	requests, runIDs := requestsAndRunIDs(h)
	var runs []history.Run
	for key, request := range requests {
		for i := range counts[key] {
			id := runIDs[key]
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

// requestsAndRunIDs returns, for each key that callers used, the request that
// ran under the key and the ID of its run. Both are taken from a completed call
// of the key. The run ID is empty if no call completed or if the response does not
// name its run, as that of a model engine. The request of a key without a
// completed call is the only one that was sent with the key, or unknownRequest if
// there were several.
func requestsAndRunIDs(h history.History) (requests, runIDs map[string]string) {
	requests, runIDs = make(map[string]string), make(map[string]string)
	known := make(map[string]bool)
	for _, call := range h.Calls {
		if call.Key == "" || known[call.Key] {
			continue
		}
		previous, seen := requests[call.Key]
		switch {
		case call.Returned && call.Outcome == "completed":
			requests[call.Key], runIDs[call.Key] = call.Request, call.RunID
			known[call.Key] = true
		case seen && previous != call.Request:
			requests[call.Key] = unknownRequest
		default:
			requests[call.Key] = call.Request
		}
	}
	return requests, runIDs
}

// unknownRequest stands for the request of a run that cannot be determined.
const unknownRequest = "not known"

// timelineRuns returns the runs whose start the agents recorded in their time
// lines. Run.Request is the request ID and Run.Agent one incarnation of an
// agent.
func (c *cluster) timelineRuns() []history.Run {
	var runs []history.Run
	for _, e := range c.allEvents() {
		if e.Kind != timeline.RunStarted {
			continue
		}
		runs = append(runs, history.Run{
			ID:        fmt.Sprintf("%s/%s/%d", e.Process.VM, e.Process.Incarnation, e.Seq),
			Request:   e.RequestID,
			Agent:     e.Process.VM + "/" + e.Process.Incarnation,
			StartedAt: e.Time.Sub(c.startedAt),
		})
	}
	return runs
}

// activations returns the configuration versions that members activated according
// to their time lines. An older version may be active for less time than passes
// between two observations of a member. They count as observations of a process of
// their own, because the status of a member may be recorded after a newer version
// has become active.
func (c *cluster) activations() []history.Observation {
	var observations []history.Observation
	for _, e := range c.allEvents() {
		if e.Kind != timeline.ConfigAccepted {
			continue
		}
		observations = append(observations, history.Observation{
			Process: e.Process.VM + "/" + e.Process.Incarnation + " time line", At: e.Time.Sub(c.startedAt), Version: e.Attributes.ConfigVersion,
		})
	}
	return observations
}

// checkShutdowns checks that agents started no runs later than drainGrace after
// the start of their graceful shutdown, and that no graceful shutdown interrupted
// a call. Interrupted calls are checked only if all injected faults are graceful,
// because other faults may interrupt calls as well.
func (c *cluster) checkShutdowns(h history.History, started []history.Run, faults []fault) []history.Violation {
	c.mu.Lock()
	defer c.mu.Unlock()
	var drains []history.DrainStart
	var shutdowns []history.Shutdown
	for _, s := range c.shutdowns {
		drains = append(drains, history.DrainStart{Agent: s.member + "/" + s.incarnation, At: s.at})
		shutdowns = append(shutdowns, history.Shutdown{Process: s.member, At: s.at})
	}
	found := history.CheckDraining(history.History{Runs: started}, drains, drainGrace)
	for _, f := range faults {
		if !f.graceful {
			return found
		}
	}
	return append(found, history.CheckGracefulShutdown(withoutRecentCalls(h, c.shutdowns), shutdowns, c.wentThrough)...)
}

// withoutRecentCalls removes the calls that were younger than minCallAge at the
// start of a graceful shutdown. It overwrites the elements of h.Calls.
func withoutRecentCalls(h history.History, shutdowns []shutdown) history.History {
	h.Calls = slices.DeleteFunc(h.Calls, func(call history.Call) bool {
		return slices.ContainsFunc(shutdowns, func(s shutdown) bool {
			return call.InvokedAt <= s.at && call.InvokedAt > s.at-minCallAge
		})
	})
	return h
}

// wentThrough reports whether a call may have gone through the member with the
// given name. Calls record their entry, but not their agent, so every call may
// have gone through an agent.
func (c *cluster) wentThrough(call history.Call, name string) bool {
	for _, e := range c.entries {
		if e.Name == name {
			return call.Entry == name
		}
	}
	return true
}
