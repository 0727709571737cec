package history

import (
	"fmt"
	"time"

	"github.com/sesameswitch/sesameswitch/outcome"
)

// DrainStart is the start of the drain of an agent, as the test recorded it.
type DrainStart struct {
	// Agent is the name that Run.Agent has in the runs of the agent.
	Agent string
	At    time.Duration
}

// CheckDraining checks that no run starts on an agent later than grace after
// the start of its drain. Runs that started before may end at any time.
func CheckDraining(h History, drains []DrainStart, grace time.Duration) []Violation {
	var found []Violation
	for _, d := range drains {
		for _, run := range h.Runs {
			if run.Agent == d.Agent && run.StartedAt > d.At+grace {
				found = append(found, Violation{
					Guarantee: Draining,
					Subject:   d.Agent,
					Detail:    fmt.Sprintf("draining since %v, but run %s started at %v", d.At, run.ID, run.StartedAt),
				})
			}
		}
	}
	return found
}

// Shutdown is the start of a graceful shutdown of an entry or an agent.
type Shutdown struct {
	// Process is the name of the VM of the entry or agent.
	Process string
	At      time.Duration
}

// CheckGracefulShutdown checks that a graceful shutdown interrupts no call:
// each call that was in flight through the process must return, either completed
// or refused as not_run. Calls with ShortTimeout are not checked, because their
// callers may interrupt them. The function through reports whether a call went
// through a process. The history must not contain calls whose backend server
// failed at the same time.
func CheckGracefulShutdown(h History, shutdowns []Shutdown, through func(Call, string) bool) []Violation {
	var found []Violation
	for _, s := range shutdowns {
		for _, call := range h.Calls {
			inFlight := call.InvokedAt <= s.At && call.CompletedAt >= s.At
			if !inFlight || call.ShortTimeout || !through(call, s.Process) {
				continue
			}
			if call.Returned && call.Outcome != outcome.Unknown {
				continue
			}
			found = append(found, Violation{
				Guarantee: GracefulShutdown,
				Subject:   call.Request,
				Detail: fmt.Sprintf("in flight through %s at %v, interrupted with outcome %s, reason %s at %v",
					s.Process, s.At, call.Outcome, call.Reason, call.CompletedAt),
			})
		}
	}
	return found
}
