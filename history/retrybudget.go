package history

import (
	"fmt"
	"slices"
	"time"
)

// RetryBudget is the bound on the retries of a service over all gateways: in each
// Window at most Ratio x requests + Extra.
type RetryBudget struct {
	Ratio  float64
	Extra  int
	Window time.Duration
}

// WorstWindow returns a description of the window with the most retries beyond the
// bound; ok is false if no window has more than the bound. The requests are those that
// callers sent in the window, in the one before it, or in the one half a window before
// it, whichever has most. It sorts the times.
func (b RetryBudget) WorstWindow(requests, retries []time.Time, start time.Time) (worst string, ok bool) {
	slices.SortFunc(requests, time.Time.Compare)
	slices.SortFunc(retries, time.Time.Compare)
	most := 0.0
	for _, from := range retries {
		retried, requested := CountBetween(retries, from, from.Add(b.Window)), 0
		for _, earlier := range []time.Duration{0, b.Window / 2, b.Window} {
			requested = max(requested, CountBetween(requests, from.Add(-earlier), from.Add(b.Window-earlier)))
		}
		limit := b.Ratio*float64(requested) + float64(b.Extra)
		if excess := float64(retried) - limit; excess > most {
			most = excess
			worst = fmt.Sprintf("%d retries of %d requests in the window from %.2fs, the bound is %.0f", retried, requested, from.Sub(start).Seconds(), limit)
		}
	}
	return worst, worst != ""
}

// CountBetween counts the sorted times from one time, included, until another.
func CountBetween(sorted []time.Time, from, until time.Time) int {
	first, _ := slices.BinarySearchFunc(sorted, from, time.Time.Compare)
	end, _ := slices.BinarySearchFunc(sorted, until, time.Time.Compare)
	return end - first
}
