package decisionlog

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// AttainmentWindow counts the requests that arrived at gateways in a time window by how they
// ended. A caller that returns after a refusal is a new request.
type AttainmentWindow struct {
	Start    time.Time
	Requests int
	// InTime were answered within the latency target and the target for the inter-event gap.
	InTime int
	// LateFirst exceeded the latency target, LateGap only the target for the inter-event gap.
	LateFirst, LateGap int
	// NoAnswer counts the requests without a complete response by the reason in their last line.
	NoAnswer map[string]int
	// Unfinished have no last line.
	Unfinished int
	// PrefillTokens is the number of prompt tokens that engines were expected to prefill for these
	// requests, all attempts together, and Engines the number of engines that got some.
	PrefillTokens, Engines int
}

// Bound returns the share of the requests of the window that could be in time at most if each
// engine prefilled the given number of tokens per millisecond during the window, whatever the
// order: the share of the prompt tokens that fit. It is 1 where all fit.
func (w *AttainmentWindow) Bound(tokensPerMs float64, length time.Duration) float64 {
	capacity := tokensPerMs * float64(length.Milliseconds()) * float64(w.Engines)
	if capacity <= 0 || float64(w.PrefillTokens) <= capacity {
		return 1
	}
	return capacity / float64(w.PrefillTokens)
}

// Share returns the share of the requests that were in time.
func (w *AttainmentWindow) Share() float64 {
	return float64(w.InTime) / float64(max(1, w.Requests))
}

// arrival is a request at one gateway.
type arrival struct {
	first, last *Line
	prefill     int
}

// Attainment counts the requests of the log in windows of the given length from the first
// request. The lines must be sorted.
func (l *Log) Attainment(length time.Duration) []AttainmentWindow {
	arrivals := make(map[[2]string]*arrival)
	var order []*arrival
	engines := make(map[int]map[string]bool)
	for i := range l.Lines {
		line := &l.Lines[i]
		if line.Request == "" {
			continue
		}
		key := [2]string{line.VM, line.Request}
		a := arrivals[key]
		if a == nil {
			a = &arrival{first: line}
			arrivals[key] = a
			order = append(order, a)
		}
		if line.Event == EventAttemptSent {
			tokens, _ := line.Fields["uncached_tokens"].(float64)
			if a.prefill += int(tokens); tokens > 0 {
				w := int(a.first.At.Sub(order[0].first.At) / length)
				if engines[w] == nil {
					engines[w] = make(map[string]bool)
				}
				engines[w][line.Text("server")] = true
			}
		}
		if isLast(line.Event) {
			a.last = line
		}
	}
	windows := make(map[int]*AttainmentWindow)
	for _, a := range order {
		number := int(a.first.At.Sub(order[0].first.At) / length)
		w := windows[number]
		if w == nil {
			w = &AttainmentWindow{Start: order[0].first.At.Add(time.Duration(number) * length), NoAnswer: make(map[string]int), Engines: len(engines[number])}
			windows[number] = w
		}
		w.add(a)
	}
	sorted := make([]AttainmentWindow, 0, len(windows))
	for _, number := range slices.SortedFunc(maps.Keys(windows), cmp.Compare[int]) {
		sorted = append(sorted, *windows[number])
	}
	return sorted
}

// isLast reports whether the event is the last one about a request.
func isLast(event string) bool {
	switch event {
	case EventResponseCompleted, EventResponseFailed, EventResponseTruncated, EventRequestRefused, EventCallerDisconnected:
		return true
	default:
		return false
	}
}

// add counts a request.
func (w *AttainmentWindow) add(a *arrival) {
	w.Requests++
	w.PrefillTokens += a.prefill
	exceeds := func(field, target string) bool {
		value, _ := a.last.Fields[field].(float64)
		limit, _ := a.last.Fields[target].(float64)
		return limit > 0 && value > limit
	}
	switch {
	case a.last == nil:
		w.Unfinished++
	case a.last.Event != EventResponseCompleted:
		w.NoAnswer[cmp.Or(a.last.Text("reason"), a.last.Text("no_answer"), a.last.Event)]++
	case exceeds("first_ms", "target_ms"):
		w.LateFirst++
	case exceeds("pause_ms", "gap_target_ms"):
		w.LateGap++
	default:
		w.InTime++
	}
}
