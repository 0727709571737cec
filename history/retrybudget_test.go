package history

import (
	"testing"
	"time"
)

func TestWorstWindow(t *testing.T) {
	start := time.Unix(0, 0)
	at := func(seconds ...float64) []time.Time {
		var times []time.Time
		for _, s := range seconds {
			times = append(times, start.Add(time.Duration(s*float64(time.Second))))
		}
		return times
	}
	budget := RetryBudget{Ratio: 0.5, Extra: 1, Window: 10 * time.Second}
	for _, test := range []struct {
		name              string
		requests, retries []time.Time
		want              string
	}{
		{"no retries", at(1, 2), nil, ""},
		{"extra only", nil, at(5), ""},
		{"one too many", nil, at(5, 6), "2 retries of 0 requests in the window from 5.00s, the bound is 1"},
		{"not in one window", nil, at(5, 15), ""},
		{"paid by requests of the window", at(7, 8), at(5, 6), ""},
		{"paid by requests of the window before", at(-4, -3), at(5, 6), ""},
		{"requests too long ago", at(-6, -5.5), at(5, 6), "2 retries of 0 requests in the window from 5.00s, the bound is 1"},
		{"unsorted", at(8, 7), at(6, 5), ""},
	} {
		if got, ok := budget.WorstWindow(test.requests, test.retries, start); got != test.want || ok != (test.want != "") {
			t.Errorf("%s: got %q, want %q", test.name, got, test.want)
		}
	}
}
