package history

import (
	"fmt"

	"github.com/sesameswitch/sesameswitch/outcome"
)

// requestIdentity identifies a request, together with its idempotency key if it
// has one.
type requestIdentity struct {
	key     string
	request string
}

// CheckNotRun checks that no request that was refused as not_run has a run
// anywhere in the history, whether before, during or after the refusal. It
// covers requests with and without a key.
func CheckNotRun(h History) []Violation {
	runs := make(map[requestIdentity][]Run)
	for _, run := range h.Runs {
		identity := requestIdentity{key: run.Key, request: run.Request}
		runs[identity] = append(runs[identity], run)
	}
	var found []Violation
	for _, call := range h.Calls {
		if !call.Returned || call.Outcome != outcome.NotRun {
			continue
		}
		for _, run := range runs[requestIdentity{key: call.Key, request: call.Request}] {
			found = append(found, Violation{
				Guarantee: RefusedNotRun,
				Subject:   call.Request,
				Detail: fmt.Sprintf("refused by %s at %v (%s), but run %s started at %v on %s",
					call.Entry, call.CompletedAt, call.Reason, run.ID, run.StartedAt, run.Agent),
			})
		}
	}
	return found
}

// CheckCompleteResponses checks that each completed call received exactly the
// response to its own request, and that no other call received a response that
// looks complete and differs from the expected one. Call.Want must depend on
// the request alone. Calls with an empty Want are not checked.
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
			Detail:    fmt.Sprintf("through %s, outcome %s: %s", call.Entry, call.Outcome, describeDifference(call.Want, call.Got)),
		})
	}
	return found
}

// excerptBytes is the maximum length of the response excerpts in a violation.
const excerptBytes = 48

func describeDifference(want, got string) string {
	i := 0
	for i < len(want) && i < len(got) && want[i] == got[i] {
		i++
	}
	return fmt.Sprintf("got %d bytes, want %d, first difference at byte %d: want %q, got %q",
		len(got), len(want), i, excerpt(want[i:]), excerpt(got[i:]))
}

func excerpt(s string) string {
	if len(s) > excerptBytes {
		return s[:excerptBytes]
	}
	return s
}
