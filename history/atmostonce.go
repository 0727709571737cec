package history

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/sesameswitch/sesameswitch/outcome"
)

// linearizationTimeout bounds the search for a linearization of the operations
// on one key. If the search times out, a violation is reported.
const linearizationTimeout = time.Minute

// keyInput is the input of an operation on one key: a run on a backend server if
// isRun is true, a call otherwise.
type keyInput struct {
	isRun   bool
	runID   string
	request string
}

// keyOutput is the output of a call. It is empty for a run.
type keyOutput struct {
	outcome outcome.Outcome
	runID   string
}

// keyState is the state of the model of one key: a register that is written at
// most once, and the requests that were refused.
type keyState struct {
	// runID and request identify the run in the register. They are empty while
	// the register is empty.
	runID   string
	request string
	// refused lists the requests refused as not_run under the key, sorted and
	// joined by newlines, so that equal states compare equal.
	refused string
}

// CheckAtMostOnce checks with Porcupine that the calls and runs of each key are
// linearizable under this model. Each key is a register, initially empty:
//
//   - a run writes its ID and its request. It is legal only while the register
//     is empty and the request has not been refused as not_run.
//   - a completed call reads the register. It is legal only if the register
//     holds a run of the same request and, where the response names its run,
//     holds that run.
//   - a call refused as not_run is legal only while the register holds no run
//     of the same request. Later runs of that request are illegal.
//   - a call with outcome unknown, or a call that did not return, is always
//     legal and changes nothing.
//
// A run takes effect at some time between its start and its end, a call at
// some time between its invocation and its completion. The search omits calls
// that did not return.
func CheckAtMostOnce(h History) []Violation {
	byKey := make(map[string][]porcupine.Operation)
	end := historyEnd(h)
	for _, run := range h.Runs {
		if run.Key != "" {
			byKey[run.Key] = append(byKey[run.Key], runOperation(run, end))
		}
	}
	for i, call := range h.Calls {
		if call.Key != "" && call.Returned {
			byKey[call.Key] = append(byKey[call.Key], callOperation(call, i))
		}
	}
	var found []Violation
	for _, key := range sortedKeys(byKey) {
		operations := byKey[key]
		result := porcupine.CheckOperationsTimeout(keyModel(), operations, linearizationTimeout)
		if result != porcupine.Ok {
			found = append(found, Violation{
				Guarantee: AtMostOnce,
				Subject:   key,
				Detail:    fmt.Sprintf("no linearization of the operations found (%s): %s", result, formatOperations(operations)),
			})
		}
	}
	return found
}

func keyModel() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return keyState{} },
		Step: func(state, input, output any) (bool, any) {
			return stepKey(state.(keyState), input.(keyInput), output.(keyOutput))
		},
	}
}

func stepKey(state keyState, in keyInput, out keyOutput) (bool, any) {
	if in.isRun {
		if state.runID != "" || state.hasRefused(in.request) {
			return false, state
		}
		state.runID, state.request = in.runID, in.request
		return true, state
	}
	switch out.outcome {
	case outcome.Completed:
		sameRun := out.runID == "" || out.runID == state.runID
		return state.runID != "" && state.request == in.request && sameRun, state
	case outcome.NotRun:
		if state.runID != "" && state.request == in.request {
			return false, state
		}
		return true, state.withRefused(in.request)
	default:
		return true, state
	}
}

func (s keyState) hasRefused(request string) bool {
	for _, refused := range strings.Split(s.refused, "\n") {
		if s.refused != "" && refused == request {
			return true
		}
	}
	return false
}

func (s keyState) withRefused(request string) keyState {
	if s.hasRefused(request) {
		return s
	}
	var all []string
	if s.refused != "" {
		all = strings.Split(s.refused, "\n")
	}
	all = append(all, request)
	sort.Strings(all)
	s.refused = strings.Join(all, "\n")
	return s
}

func runOperation(run Run, end time.Duration) porcupine.Operation {
	endedAt := run.EndedAt
	if endedAt == 0 {
		endedAt = end
	}
	return porcupine.Operation{
		Input:  keyInput{isRun: true, runID: run.ID, request: run.Request},
		Call:   int64(run.StartedAt),
		Output: keyOutput{},
		Return: int64(endedAt),
	}
}

func callOperation(call Call, client int) porcupine.Operation {
	return porcupine.Operation{
		ClientId: client,
		Input:    keyInput{request: call.Request},
		Call:     int64(call.InvokedAt),
		Output:   keyOutput{outcome: call.Outcome, runID: call.RunID},
		Return:   int64(call.CompletedAt),
	}
}

func formatOperations(operations []porcupine.Operation) string {
	var lines []string
	for _, op := range operations {
		in, out := op.Input.(keyInput), op.Output.(keyOutput)
		line := fmt.Sprintf("call of %s: %s %s", in.request, out.outcome, out.runID)
		if in.isRun {
			line = fmt.Sprintf("run %s of %s", in.runID, in.request)
		}
		lines = append(lines, fmt.Sprintf("[%v, %v] %s", time.Duration(op.Call), time.Duration(op.Return), line))
	}
	return strings.Join(lines, "; ")
}

func historyEnd(h History) time.Duration {
	var end time.Duration
	for _, c := range h.Calls {
		end = max(end, c.InvokedAt, c.CompletedAt)
	}
	for _, r := range h.Runs {
		end = max(end, r.StartedAt, r.EndedAt)
	}
	return end
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
