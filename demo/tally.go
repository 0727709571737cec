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

// row counts the outcomes of one class.
type row struct {
	sent, completed, notRun, unknown int
	// wrong counts answers that contradict their outcome, and repeats whose
	// answer differs from the first.
	wrong   int
	repeats int
	slowest time.Duration
}

type rowKey struct {
	deployment, class string
}

// tally collects the answers of all callers. It is safe for concurrent use.
type tally struct {
	mu   sync.Mutex
	rows map[rowKey]*row
	// slowest is the request of each deployment that took longest; after the
	// kill of an agent it has had more than one attempt.
	slowest map[string]answer
}

func newTally() *tally {
	return &tally{rows: map[rowKey]*row{}, slowest: map[string]answer{}}
}

func (t *tally) row(deployment, class string) *row {
	key := rowKey{deployment, class}
	if t.rows[key] == nil {
		t.rows[key] = &row{}
	}
	return t.rows[key]
}

func (t *tally) add(deployment, class string, a answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.row(deployment, class)
	r.sent++
	r.slowest = max(r.slowest, a.took)
	switch a.outcome {
	case outcome.Completed:
		r.completed++
		if !a.whole {
			r.wrong++
		}
	case outcome.NotRun:
		r.notRun++
	case outcome.Unknown:
		r.unknown++
	default:
		r.wrong++
	}
	if a.outcome == outcome.Completed && a.took > t.slowest[deployment].took {
		t.slowest[deployment] = a
	}
}

// addRepeat counts a repeat of a key; both answers must be the same.
func (t *tally) addRepeat(deployment, class string, first, repeat answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.row(deployment, class)
	r.repeats++
	both := first.outcome == outcome.Completed && repeat.outcome == outcome.Completed
	if both && !bytes.Equal(first.body, repeat.body) {
		r.wrong++
	}
}

// longestWay returns the request of the deployment that took longest.
func (t *tally) longestWay(deployment string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.slowest[deployment].requestID
}

func (t *tally) print(out io.Writer) {
	fmt.Fprintln(out, "\n== outcomes by class")
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "deployment\tclass\tsent\tcompleted\tnot_run\tunknown\trepeats\twrong\tslowest\t")
	keys := slices.SortedFunc(maps.Keys(t.rows), func(a, b rowKey) int {
		return bytes.Compare([]byte(a.deployment+a.class), []byte(b.deployment+b.class))
	})
	for _, k := range keys {
		r := t.rows[k]
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t\n", k.deployment, k.class,
			r.sent, r.completed, r.notRun, r.unknown, r.repeats, r.wrong, r.slowest.Round(time.Millisecond))
	}
	_ = w.Flush() // the output is a terminal or a buffer
}

// verdict fails when an answer was wrong or a class had no completed request.
func (t *tally) verdict() error {
	for key, r := range t.rows {
		if r.wrong > 0 {
			return eris.Errorf("demo: %d wrong answers of %s", r.wrong, key.class)
		}
		if r.completed == 0 {
			return eris.Errorf("demo: no request of %s completed", key.class)
		}
	}
	return nil
}
