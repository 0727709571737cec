package history

import (
	"fmt"
	"time"

	"github.com/sesameswitch/sesameswitch/outcome"
)

// DrainStart is the moment from which a backend server was leaving, by the
// first process that knew.
type DrainStart struct {
	Agent string
	At    time.Duration
}

// CheckDraining checks that no run starts on an agent later than grace after
// its departure. Runs that started before may end at any time.
func CheckDraining(h History, departures []DrainStart, grace time.Duration) []Violation {
	var found []Violation
	for _, d := range departures {
		for _, run := range h.Runs {
			if run.Agent == d.Agent && run.Started > d.At+grace {
				found = append(found, Violation{
					Guarantee: Draining,
					Subject:   d.Agent,
					Detail:    fmt.Sprintf("leaving since %v, run %s started at %v", d.At, run.ID, run.Started),
				})
			}
		}
	}
	return found
}

// Shutdown is a graceful shutdown of a process: Process names the VM of an
// entry or an agent.
type Shutdown struct {
	Process string
	At      time.Duration
}

// CheckGracefulShutdown checks that each call in flight through a process at
// its graceful shutdown returned, and was completed or refused as not_run:
// none was cut. Hasty calls are left out. through reports whether a call went through a process. The
// caller leaves out calls whose backend server failed at the same time.
func CheckGracefulShutdown(h History, shutdowns []Shutdown, through func(Call, string) bool) []Violation {
	var found []Violation
	for _, s := range shutdowns {
		for _, call := range h.Calls {
			inFlight := call.Invoked <= s.At && call.Completed >= s.At
			if !inFlight || call.ShortTimeout || !through(call, s.Process) {
				continue
			}
			if call.Returned && call.Outcome != outcome.Unknown {
				continue
			}
			found = append(found, Violation{
				Guarantee: GracefulShutdown,
				Subject:   call.Request,
				Detail: fmt.Sprintf("in flight through %s at %v, cut with %s %s at %v",
					s.Process, s.At, call.Outcome, call.Reason, call.Completed),
			})
		}
	}
	return found
}
