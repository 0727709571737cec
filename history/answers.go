package history

import (
	"fmt"

	"github.com/sesameswitch/sesameswitch/outcome"
)

// identity is what a refusal speaks of: a request, under its key if it has
// one.
type identity struct {
	key     string
	request string
}

// CheckNotRun checks that nothing which was ever refused as not_run has a run
// anywhere in the history, before, during or after the refusal. It concerns
// requests with and without a key.
func CheckNotRun(h History) []Violation {
	runs := make(map[identity][]Run)
	for _, run := range h.Runs {
		id := identity{key: run.Key, request: run.Request}
		runs[id] = append(runs[id], run)
	}
	var found []Violation
	for _, call := range h.Calls {
		if !call.Returned || call.Outcome != outcome.NotRun {
			continue
		}
		for _, run := range runs[identity{key: call.Key, request: call.Request}] {
			found = append(found, Violation{
				Guarantee: RefusedNotRun,
				Subject:   call.Request,
				Detail: fmt.Sprintf("refused by %s at %v (%s), but run %s started at %v on %s",
					call.Entry, call.Completed, call.Reason, run.ID, run.Started, run.Agent),
			})
		}
	}
	return found
}

// CheckCompleteResponses checks that each call which completed received exactly
// the answer to its own request, and that no other call received something
// that looks like a whole answer but is not its own. The wanted answer must
// follow from the request alone.
func CheckCompleteResponses(h History) []Violation {
	var found []Violation
	for _, call := range h.Calls {
		if call.Want == "" || call.Got == call.Want {
			continue
		}
		completed := call.Returned && call.Outcome == outcome.Completed
		if !completed && !call.LooksComplete {
			continue
		}
		found = append(found, Violation{
			Guarantee: CompleteResponse,
			Subject:   call.Request,
			Detail:    fmt.Sprintf("by %s, outcome %s: %s", call.Entry, call.Outcome, difference(call.Want, call.Got)),
		})
	}
	return found
}

// excerptBytes bounds the parts of answers that a violation shows.
const excerptBytes = 48

func difference(want, got string) string {
	at := 0
	for at < len(want) && at < len(got) && want[at] == got[at] {
		at++
	}
	return fmt.Sprintf("%d of %d bytes, differs at %d: want %q, got %q",
		len(got), len(want), at, excerpt(want[at:]), excerpt(got[at:]))
}

func excerpt(s string) string {
	if len(s) > excerptBytes {
		return s[:excerptBytes]
	}
	return s
}
