package load

import (
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Summary is what one run comes to.
type Summary struct {
	Scenario string         `json:"scenario"`
	Policy   string         `json:"policy"`
	Classes  []ClassSummary `json:"classes"`
	// Planned counts arrivals, without callers that left as planned.
	Planned int `json:"planned"`
	// Goodput is answers within their targets per second, and GoodputTokens
	// their tokens per second.
	Goodput       float64 `json:"goodput_per_s"`
	GoodputTokens float64 `json:"goodput_tokens_per_s"`
	// Generated counts the engines' tokens, Delivered those of completed
	// answers; the rest is wasted.
	Generated uint64         `json:"generated_tokens"`
	Delivered uint64         `json:"delivered_tokens"`
	Wasted    uint64         `json:"wasted_tokens"`
	Reasons   map[string]int `json:"refusals"`
	// SendDelay is how late requests were sent. It tells whether the load was
	// what the scenario says.
	SendDelay Percentiles `json:"send_delay_ms"`
	// Seconds is how long requests arrived.
	Seconds float64 `json:"seconds"`
}

// ClassSummary is what a run comes to for one class.
type ClassSummary struct {
	Name    string      `json:"name"`
	Tier    int         `json:"tier"`
	Planned int         `json:"planned"`
	Ends    map[End]int `json:"ends"`
	// Attained counts whole answers within the class's targets, and
	// Attainment is their part of the planned ones.
	Attained   int     `json:"attained"`
	Attainment float64 `json:"attainment"`
	// FirstToken and BetweenTokens are of completed answers.
	FirstToken    Percentiles `json:"first_token_ms"`
	BetweenTokens Percentiles `json:"between_tokens_ms"`
	// LongestGap is the longest time without a completion while the class
	// had arrivals.
	LongestGapMillis int64 `json:"longest_gap_ms"`
	// ByAccount is the attainment of each account.
	ByAccount map[string]float64 `json:"attainment_by_account"`
}

// Percentiles are in milliseconds.
type Percentiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

const (
	histogramMaxMicros = int64(10 * time.Minute / time.Microsecond)
	histogramDigits    = 3
)

// newHistogram returns a histogram of microseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMaxMicros, histogramDigits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(1, d.Microseconds()), histogramMaxMicros)) // clamped to the range
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	millis := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Percentiles{P50: millis(50), P95: millis(95), P99: millis(99)}
}

// Summarize works out a run's summary.
func Summarize(run *Run) Summary {
	seconds := run.Scenario.Duration.Seconds()
	s := Summary{
		Scenario:  run.Scenario.Name,
		Policy:    run.Policy,
		Generated: run.Engines.Generated,
		Reasons:   map[string]int{},
		Seconds:   seconds,
	}
	attained, tokens := 0, 0
	for i := range run.Scenario.Classes {
		class := newClassTally(&run.Scenario.Classes[i])
		for j := range run.Results {
			if run.Results[j].Class == i {
				class.add(&run.Results[j])
			}
		}
		summary := class.summary(run.Scenario.Duration)
		s.Classes = append(s.Classes, summary)
		s.Planned += summary.Planned
		s.Delivered += uint64(class.delivered)
		attained += summary.Attained
		tokens += class.attainedTokens
	}
	delays := newHistogram()
	for i := range run.Results {
		record(delays, run.Results[i].SentAfter)
		if r := &run.Results[i]; r.End == EndRefused || r.End == EndBroken {
			s.Reasons[string(r.Reason)]++
		}
	}
	s.SendDelay = percentiles(delays)
	s.Goodput = float64(attained) / seconds
	s.GoodputTokens = float64(tokens) / seconds
	s.Wasted = s.Generated - min(s.Generated, s.Delivered)
	return s
}

// classTally adds up the results of one class.
type classTally struct {
	class          *Class
	summaryOf      ClassSummary
	first, between *hdrhistogram.Histogram
	completions    []time.Duration
	firstArrival   time.Duration
	arrivals       int
	delivered      int
	attainedTokens int
	byAccount      map[string][2]int
}

func newClassTally(class *Class) *classTally {
	return &classTally{
		class:     class,
		summaryOf: ClassSummary{Name: class.Name, Tier: class.Tier, Ends: map[End]int{}, ByAccount: map[string]float64{}},
		first:     newHistogram(),
		between:   newHistogram(),
		byAccount: map[string][2]int{},
	}
}

func (t *classTally) add(r *Result) {
	if t.arrivals == 0 {
		t.firstArrival = r.Planned
	}
	t.arrivals++
	t.summaryOf.Ends[r.End]++
	if r.End == EndHungUp {
		return
	}
	t.summaryOf.Planned++
	account := t.byAccount[r.Account]
	account[1]++
	if r.End == EndCompleted {
		t.complete(r)
		if attains(t.class, r) {
			t.summaryOf.Attained++
			t.attainedTokens += r.Tokens
			account[0]++
		}
	}
	t.byAccount[r.Account] = account
}

func (t *classTally) complete(r *Result) {
	t.delivered += r.Tokens
	t.completions = append(t.completions, r.Planned+r.Whole)
	record(t.first, r.FirstToken)
	for _, gap := range r.Gaps {
		record(t.between, gap)
	}
}

// attains reports whether a completed answer met the class's targets; the
// target between tokens is for the mean over the answer.
func attains(class *Class, r *Result) bool {
	targets := &class.Targets
	switch {
	case targets.EndToEnd > 0 && r.Whole > targets.EndToEnd:
		return false
	case targets.FirstToken > 0 && r.FirstToken > targets.FirstToken:
		return false
	case targets.BetweenTokens > 0 && r.Tokens > 1:
		return (r.LastToken-r.FirstToken)/time.Duration(r.Tokens-1) <= targets.BetweenTokens
	}
	return true
}

func (t *classTally) summary(duration time.Duration) ClassSummary {
	s := t.summaryOf
	s.FirstToken = percentiles(t.first)
	s.BetweenTokens = percentiles(t.between)
	s.LongestGapMillis = longestGap(t.completions, t.firstArrival, duration).Milliseconds()
	if s.Planned > 0 {
		s.Attainment = float64(s.Attained) / float64(s.Planned)
	}
	for account, counts := range t.byAccount {
		s.ByAccount[account] = float64(counts[0]) / float64(counts[1])
	}
	return s
}

// longestGap returns the longest time without a completion between the first
// arrival and the last.
func longestGap(completions []time.Duration, from, to time.Duration) time.Duration {
	sort.Slice(completions, func(i, j int) bool { return completions[i] < completions[j] })
	longest, last := time.Duration(0), from
	for _, at := range completions {
		at = min(at, to)
		longest = max(longest, at-last)
		last = max(last, at)
	}
	return max(longest, to-last)
}
