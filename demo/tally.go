package demo

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesameswitch/sesameswitch/outcome"
)

// row holds the counts of one class.
type row struct {
	sent, completed, notRun, unknown int
	// wrong counts missing responses, responses without a valid outcome, incomplete
	// responses with outcome completed, and completed duplicates whose response
	// differs from that of the first request.
	wrong int
	// duplicates counts the second requests with the same key, which are not
	// counted as sent.
	duplicates int
	// slowest is the highest latency.
	slowest time.Duration
}

type rowKey struct {
	deployment, class string
}

// tally counts the responses of all callers by class. It is safe for concurrent
// use.
type tally struct {
	mu   sync.Mutex
	rows map[rowKey]*row
	// slowest is the completed request of each deployment with the highest
	// latency. Because an agent is killed, this request normally has several
	// attempts.
	slowest map[string]response
}

func newTally() *tally {
	return &tally{rows: map[rowKey]*row{}, slowest: map[string]response{}}
}

// row returns the counts of a class. The caller must hold the lock.
func (t *tally) row(deployment, class string) *row {
	key := rowKey{deployment, class}
	if t.rows[key] == nil {
		t.rows[key] = &row{}
	}
	return t.rows[key]
}

// add counts one response.
func (t *tally) add(deployment, class string, resp response) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.row(deployment, class)
	r.sent++
	r.slowest = max(r.slowest, resp.latency)
	switch resp.outcome {
	case outcome.Completed:
		r.completed++
		if !resp.complete {
			r.wrong++
		}
	case outcome.NotRun:
		r.notRun++
	case outcome.Unknown:
		r.unknown++
	default:
		r.wrong++
	}
	if resp.outcome == outcome.Completed && resp.latency > t.slowest[deployment].latency {
		t.slowest[deployment] = resp
	}
}

// addDuplicate counts a second request with the same key. If both requests
// completed, their responses must be equal.
func (t *tally) addDuplicate(deployment, class string, first, second response) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.row(deployment, class)
	r.duplicates++
	bothCompleted := first.outcome == outcome.Completed && second.outcome == outcome.Completed
	if bothCompleted && !bytes.Equal(first.body, second.body) {
		r.wrong++
	}
}

// slowestRequestID returns the ID of the slowest completed request of a
// deployment.
func (t *tally) slowestRequestID(deployment string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.slowest[deployment].requestID
}

// print writes the counts as a table.
func (t *tally) print(out io.Writer) {
	fmt.Fprintln(out, "\n== outcomes by class")
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "deployment\tclass\tsent\tcompleted\tnot_run\tunknown\tretries\twrong\tslowest\t")
	keys := slices.SortedFunc(maps.Keys(t.rows), func(a, b rowKey) int {
		return bytes.Compare([]byte(a.deployment+a.class), []byte(b.deployment+b.class))
	})
	for _, k := range keys {
		r := t.rows[k]
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t\n", k.deployment, k.class,
			r.sent, r.completed, r.notRun, r.unknown, r.duplicates, r.wrong, r.slowest.Round(time.Millisecond))
	}
	_ = w.Flush() // write errors of out are ignored, as for Fprintln
}

// check returns an error if a class has a wrong response or no completed request.
func (t *tally) check() error {
	for key, r := range t.rows {
		if r.wrong > 0 {
			return eris.Errorf("demo: %d wrong responses of class %s", r.wrong, key.class)
		}
		if r.completed == 0 {
			return eris.Errorf("demo: no request of class %s completed", key.class)
		}
	}
	return nil
}
