package soak

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// Promises that are judged.
const (
	atMostOnce    = "at most once"
	trueRefusal   = "a refusal is true"
	wholeAnswer   = "a success is whole"
	inOrder       = "events are in order"
	answered      = "a request is answered"
	notDenied     = "a proper request is not denied"
	keysTaken     = "a key that was taken away runs nothing"
	ownAccount    = "a request runs for its key's account"
	drained       = "a leaving server gets nothing"
	planned       = "planned work cuts nothing"
	versionsGrow  = "configuration never goes back"
	repeatsBound  = "repeats are within the budget"
	processFailed = "processes end and start as told"
)

const (
	// slack is the time between an event and its note here.
	slack = 500 * time.Millisecond
	// calmAfter is how long after a failure cut answers are excused: the time in
	// which connections and beliefs recover.
	calmAfter = 3 * time.Second
)

// run is one arrival at a backend server.
type run struct {
	server, service, account string
	at, left                 time.Time
	keyed, refused           bool
}

// history is what callers and backend servers saw. It is safe for concurrent
// use.
type history struct {
	mu       *sync.Mutex
	calls    []*call
	runs     map[string][]run
	failures []Violation
	keepLogs bool
}

func newHistory() history { return history{mu: &sync.Mutex{}, runs: make(map[string][]run)} }

func (h *history) called(c *call) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls = append(h.calls, c)
}

func (h *history) arrived(id string, r run) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runs[id] = append(h.runs[id], r)
}

// failed notes an error of the harness's own steps.
func (h *history) failed(what string, err error) {
	if err == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failures = append(h.failures, Violation{processFailed, what + ": " + err.Error()})
}

func (d *deployment) counts() (calls, got, runs int) {
	for _, c := range d.history.calls {
		if c.err == nil {
			got++
		}
	}
	for _, all := range d.history.runs {
		runs += executed(all)
	}
	return len(d.history.calls), got, runs
}

func executed(all []run) int {
	n := 0
	for _, r := range all {
		if !r.refused {
			n++
		}
	}
	return n
}

// judge returns what was broken. Callers and failures have ended.
func (d *deployment) judge() []Violation {
	h := &d.history
	h.mu.Lock()
	defer h.mu.Unlock()
	found := h.failures
	for _, c := range h.calls {
		found = append(found, d.judgeCall(c, h.runs[c.id])...)
	}
	found = append(found, d.judgeVersions()...)
	found = append(found, d.judgeBudget()...)
	h.keepLogs = len(found) > 0
	if h.keepLogs {
		found = append(found, Violation{"logs", d.dir})
	}
	return found
}

func (d *deployment) judgeCall(c *call, runs []run) []Violation {
	var found []Violation
	broken := func(promise, format string, args ...any) {
		detail := fmt.Sprintf("%s %s by %s at %.2fs: ", c.kind, c.id, c.gateway, c.began.Sub(d.began).Seconds()) + fmt.Sprintf(format, args...)
		found = append(found, Violation{promise, detail})
	}
	n := executed(runs)
	if c.once && n > 1 {
		broken(atMostOnce, "ran %d times: %v", n, servers(runs))
	}
	if c.err == nil && c.once && n > 0 && promisesNotRun(c.status) {
		broken(trueRefusal, "status %d, ran at %v", c.status, servers(runs))
	}
	d.judgeAnswer(c, broken)
	taken, wasTaken := d.taken[c.key]
	if c.err == nil && !wasTaken && c.since == 0 && (c.status == http.StatusUnauthorized || c.status == http.StatusNotFound || c.status == http.StatusBadRequest) {
		broken(notDenied, "status %d %q", c.status, c.body)
	}
	if wasTaken && n > 0 && c.began.After(taken.Add(revokeBound)) {
		broken(keysTaken, "sent %v after %s was taken away", c.began.Sub(taken), c.key)
	}
	for _, r := range runs {
		if r.keyed || r.account != "acme" {
			broken(ownAccount, "at %s for account %q, key passed on: %v", r.server, r.account, r.keyed)
		}
		if !r.left.IsZero() && !r.refused && r.at.After(r.left.Add(drainBound+slack)) && d.calm(r.left, r.at) {
			broken(drained, "reached %s %v after it said that it leaves", r.server, r.at.Sub(r.left))
		}
	}
	if c.err != nil && d.calm(c.began, c.done) && (n > 0 || !c.reused) {
		broken(planned, "cut after %v: %v, runs %d", c.done.Sub(c.began), c.err, n)
	}
	return found
}

// judgeAnswer judges what the caller got.
func (d *deployment) judgeAnswer(c *call, broken func(promise, format string, args ...any)) {
	if errors.Is(c.err, os.ErrDeadlineExceeded) {
		broken(answered, "no answer within %v", callPatience)
		return
	}
	if c.status != http.StatusOK {
		return
	}
	if !c.sealed {
		broken(wholeAnswer, "no backend server vouches for it")
	}
	if c.kind != "stream" && c.kind != "once" {
		if c.err == nil && c.body != "answer to "+c.id {
			broken(wholeAnswer, "%q", c.body)
		}
		return
	}
	full := ""
	for n := 1; n <= pieces; n++ {
		full += fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, c.id)
	}
	if c.err == nil && c.body != full {
		broken(wholeAnswer, "%q", c.body)
	} else if !strings.HasPrefix(full, c.body) {
		broken(inOrder, "%q", c.body)
	}
}

// promisesNotRun says which answers promise that a request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

func servers(runs []run) []string {
	var names []string
	for _, r := range runs {
		if !r.refused {
			names = append(names, r.server)
		}
	}
	return names
}

// calm reports whether nothing unplanned was wrong from some time before until
// the end of a span.
func (d *deployment) calm(from, to time.Time) bool {
	for _, t := range d.troubles {
		if t.from.Before(to) && t.to.Add(calmAfter).After(from) {
			return false
		}
	}
	return true
}

// judgeVersions looks for a gateway that lost a route that it had.
func (d *deployment) judgeVersions() []Violation {
	var found []Violation
	for _, c := range d.history.calls {
		if c.since == 0 || c.err != nil || c.status != http.StatusNotFound {
			continue
		}
		for _, e := range d.history.calls {
			if e.since >= c.since && e.gateway == c.gateway && e.status == http.StatusOK && e.done.Before(c.began) {
				found = append(found, Violation{versionsGrow, fmt.Sprintf("%s had version %d and then answered %s with 404", c.gateway, e.since, c.id)})
				break
			}
		}
	}
	return found
}

// judgeBudget counts repeats over the whole run, which is shorter than the
// budget's window.
func (d *deployment) judgeBudget() []Violation {
	calls, again := map[string]int{}, map[string]int{}
	for _, c := range d.history.calls {
		service := "app"
		if c.kind == "stream" || c.kind == "once" {
			service = "llm"
		}
		calls[service]++
		again[service] += max(0, len(d.history.runs[c.id])-1)
	}
	var found []Violation
	for service, n := range again {
		if limit := retryRatio*float64(calls[service]) + retryExtra; float64(n) > limit {
			found = append(found, Violation{repeatsBound, fmt.Sprintf("%s: %d repeats of %d requests, the bound is %.0f", service, n, calls[service], limit)})
		}
	}
	return found
}
