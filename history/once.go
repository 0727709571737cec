package history

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/sesameswitch/sesameswitch/outcome"
)

// checkTimeout bounds the search for a linearization of one history. A search
// that does not end counts as a violation.
const checkTimeout = time.Minute

// onceInput is an operation on one key: a run at a backend server, or a call.
type onceInput struct {
	run     bool
	runID   string
	request string
}

// onceOutput is what a call returned.
type onceOutput struct {
	outcome outcome.Outcome
	run     string
}

// onceState is a register that is written at most once: the run of a key. The
// requests refused as not_run under the key are kept as a sorted list.
type onceState struct {
	run     string
	request string
	refused string
}

// CheckAtMostOnce checks the calls and runs with a key against this model, by
// Porcupine. Each key is a register, initially empty:
//
//   - a run writes its identity, and is legal only while the register is empty
//     and its request was not refused as not_run;
//   - a call that completed reads the register, and is legal only when it
//     holds a run of the same request, the very run that the answer names;
//   - a call refused as not_run is legal only while the register holds no run
//     of the same request, and forbids one from then on;
//   - a call with outcome unknown, or one that did not return, is always legal
//     and changes nothing.
//
// A run takes effect at some moment between its start and its end, a call
// between its invocation and its completion.
func CheckAtMostOnce(h History) []Violation {
	byKey := make(map[string][]porcupine.Operation)
	end := endOf(h)
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
		result := porcupine.CheckOperationsTimeout(onceModel(), operations, checkTimeout)
		if result != porcupine.Ok {
			found = append(found, Violation{
				Guarantee: AtMostOnce,
				Subject:   key,
				Detail:    fmt.Sprintf("no legal order (%s): %s", result, describe(operations)),
			})
		}
	}
	return found
}

func onceModel() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return onceState{} },
		Step: func(state, input, output any) (bool, any) {
			return onceStep(state.(onceState), input.(onceInput), output.(onceOutput))
		},
	}
}

func onceStep(state onceState, in onceInput, out onceOutput) (bool, any) {
	if in.run {
		if state.run != "" || state.hasRefused(in.request) {
			return false, state
		}
		state.run, state.request = in.runID, in.request
		return true, state
	}
	switch out.outcome {
	case outcome.Completed:
		sameRun := out.run == "" || out.run == state.run
		return state.run != "" && state.request == in.request && sameRun, state
	case outcome.NotRun:
		if state.run != "" && state.request == in.request {
			return false, state
		}
		return true, state.refuse(in.request)
	default:
		return true, state
	}
}

func (s onceState) hasRefused(request string) bool {
	for _, refused := range strings.Split(s.refused, "\n") {
		if s.refused != "" && refused == request {
			return true
		}
	}
	return false
}

func (s onceState) refuse(request string) onceState {
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
	ended := run.Ended
	if ended == 0 {
		ended = end
	}
	return porcupine.Operation{
		Input:  onceInput{run: true, runID: run.ID, request: run.Request},
		Call:   int64(run.Started),
		Output: onceOutput{},
		Return: int64(ended),
	}
}

func callOperation(call Call, client int) porcupine.Operation {
	return porcupine.Operation{
		ClientId: client,
		Input:    onceInput{request: call.Request},
		Call:     int64(call.Invoked),
		Output:   onceOutput{outcome: call.Outcome, run: call.RunID},
		Return:   int64(call.Completed),
	}
}

func describe(operations []porcupine.Operation) string {
	var lines []string
	for _, op := range operations {
		in, out := op.Input.(onceInput), op.Output.(onceOutput)
		what := fmt.Sprintf("call of %s: %s %s", in.request, out.outcome, out.run)
		if in.run {
			what = fmt.Sprintf("run %s of %s", in.runID, in.request)
		}
		lines = append(lines, fmt.Sprintf("[%v, %v] %s", time.Duration(op.Call), time.Duration(op.Return), what))
	}
	return strings.Join(lines, "; ")
}

func endOf(h History) time.Duration {
	var end time.Duration
	for _, c := range h.Calls {
		end = max(end, c.Invoked, c.Completed)
	}
	for _, r := range h.Runs {
		end = max(end, r.Started, r.Ended)
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
