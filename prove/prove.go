// Package prove runs real processes of sesameswitch against stand-ins of the
// platform, causes failures from a seed, and judges what callers, agents and
// backend servers saw by the checkers of package history.
//
// It is a test tool. The processes under test start no others; this package
// starts them, on the loopback interface, and ends them with itself.
//
// A seed fixes the failures and the callers' choices, not the scheduling of
// the processes, so a seed that failed may pass when it is run again. A
// verdict never depends on how fast the machine is, except that a new
// configuration must be in force within Options.PropagationTimeout.
package prove

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/sesameswitch/sesameswitch/history"
)

// Options say what to run.
type Options struct {
	// Bin is the directory of the programs under test.
	Bin string
	// Duration is how long callers send requests in each seed.
	Duration time.Duration
	// Callers is the number of concurrent callers.
	Callers int
	// PropagationTimeout bounds the time from the first process that accepts a
	// configuration, after all failures were mended, until all have it.
	PropagationTimeout time.Duration
	// Faults limits the failures to those with the given names; empty means
	// all, drawn from the seed.
	Faults []string
	// Environment is added to the environment of the programs under test.
	Environment []string
}

// DefaultOptions are the options of the long form.
func DefaultOptions() Options {
	return Options{Duration: 8 * time.Second, Callers: 16, PropagationTimeout: 5 * time.Second}
}

// Result is the verdict on one seed.
type Result struct {
	Seed     uint64
	Faults   []string
	Calls    int
	Runs     int
	Outcomes map[string]int
	// Accepted and ActiveEverywhere are how long after its publication the last
	// version was accepted by the first process and by all.
	Accepted         time.Duration
	ActiveEverywhere time.Duration
	Violations       []history.Violation
	// Timeline is what the processes recorded, in order, when there are
	// violations.
	Timeline []string
	// Err is set when the run could not be carried out or judged.
	Err error
}

// Failed reports whether the seed broke a promise or could not be judged.
func (r *Result) Failed() bool { return r.Err != nil || len(r.Violations) > 0 }

// String returns the result as one line.
func (r *Result) String() string {
	verdict := "ok"
	if r.Err != nil {
		verdict = "ERROR " + r.Err.Error()
	} else if len(r.Violations) > 0 {
		verdict = fmt.Sprintf("FAILED %d violations", len(r.Violations))
	}
	return fmt.Sprintf("seed %d: %s: %v, %d calls, %d runs, %v, accepted after %v, in force after %v",
		r.Seed, verdict, r.Faults, r.Calls, r.Runs, r.Outcomes,
		r.Accepted.Round(time.Millisecond), r.ActiveEverywhere.Round(time.Millisecond))
}

// Summary adds up results.
type Summary struct {
	Histories int
	Calls     int
	Runs      int
	Faults    map[string]int
	// Failed are the seeds that broke a promise or could not be judged.
	Failed []uint64
	// Violations counts the promises broken.
	Violations int
}

func (s *Summary) add(r *Result) {
	s.Histories++
	s.Calls += r.Calls
	s.Runs += r.Runs
	s.Violations += len(r.Violations)
	for _, f := range r.Faults {
		s.Faults[f]++
	}
	if r.Failed() {
		s.Failed = append(s.Failed, r.Seed)
	}
}

// RunSeeds runs the seeds from first on, several at a time, and writes a line
// for each to out. It begins no further seed after a failure, and writes the
// failed seed's violations and time line.
func RunSeeds(opts Options, first uint64, count, parallel int, out io.Writer) *Summary {
	summary := &Summary{Faults: make(map[string]int)}
	var mu sync.Mutex
	next := first
	take := func() (uint64, bool) {
		mu.Lock()
		defer mu.Unlock()
		if next >= first+uint64(count) || len(summary.Failed) > 0 {
			return 0, false
		}
		next++
		return next - 1, true
	}
	var group sync.WaitGroup
	for range parallel {
		group.Go(func() {
			for seed, ok := take(); ok; seed, ok = take() {
				result := RunSeed(opts, seed)
				mu.Lock()
				summary.add(result)
				report(out, result)
				mu.Unlock()
			}
		})
	}
	group.Wait()
	return summary
}

func report(out io.Writer, r *Result) {
	fmt.Fprintln(out, r)
	if !r.Failed() {
		return
	}
	for _, line := range r.Timeline {
		fmt.Fprintln(out, "  ", line)
	}
	for _, v := range r.Violations {
		fmt.Fprintln(out, "  violation:", v)
	}
}
