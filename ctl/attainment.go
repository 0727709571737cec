package ctl

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesameswitch/sesameswitch/decisionlog"
)

// Attainment is the subcommand that shows when requests were late or not answered, and why.
type Attainment struct {
	Logs
	Window      time.Duration `default:"2s" help:"Length of the time windows."`
	PrefillRate float64       `placeholder:"TOKENS" help:"Prompt tokens that one engine prefills in a millisecond; with it, the share that any order could have served in time is printed."`
	Reasons     int           `default:"4" help:"Maximum number of reasons in a row."`
}

// Validate returns an error if a flag is out of range.
func (a *Attainment) Validate() error {
	if a.Window <= 0 || a.PrefillRate < 0 || a.Reasons < 0 {
		return eris.New("--window must be above zero, --prefill-rate and --reasons at least zero")
	}
	return nil
}

// Run prints a row for each window.
func (a *Attainment) Run(out *Output) error {
	log, err := a.read()
	if err != nil {
		return err
	}
	windows := log.Attainment(a.Window)
	if out.Format == FormatJSON {
		return out.json(windows)
	}
	out.printf("%-12s %8s %8s %6s %6s %6s %6s %9s  %s\n", "from", "requests", "in time", "share", "bound", "late", "gap", "prefill", "no answer")
	for i := range windows {
		w := &windows[i]
		bound := "-"
		if a.PrefillRate > 0 {
			bound = fmt.Sprintf("%.3f", w.Bound(a.PrefillRate, a.Window))
		}
		out.printf("%-12s %8d %8d %6.3f %6s %6d %6d %9d  %s\n", clockTime(w.Start), w.Requests, w.InTime, w.Share(), bound, w.LateFirst, w.LateGap, w.PrefillTokens, a.reasons(w))
	}
	printUnreadable(out, log)
	return nil
}

// reasons returns the most frequent reasons of requests without an answer.
func (a *Attainment) reasons(w *decisionlog.AttainmentWindow) string {
	type count struct {
		reason   string
		requests int
	}
	var counts []count
	for reason, n := range w.NoAnswer {
		counts = append(counts, count{reason, n})
	}
	if w.Unfinished > 0 {
		counts = append(counts, count{"unfinished", w.Unfinished})
	}
	slices.SortFunc(counts, func(x, y count) int {
		return cmp.Or(cmp.Compare(y.requests, x.requests), cmp.Compare(x.reason, y.reason))
	})
	var list []string
	for _, c := range counts[:min(a.Reasons, len(counts))] {
		list = append(list, fmt.Sprintf("%s %d", c.reason, c.requests))
	}
	return strings.Join(list, ", ")
}
