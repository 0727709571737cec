// Package prove runs entries and agents as real processes between simulated
// callers and stand-ins of the platform and of backend servers. It injects faults
// that are drawn from a seed, records what callers, agents and backend servers
// observe, and checks the record with package history.
//
// It is a test tool. The package starts all processes on the loopback interface
// and kills them at the end of each seed. The processes under test start no
// others.
//
// A seed determines the faults and the choices of the callers, but not the
// scheduling of the processes, so a failed seed may pass when it runs again. The
// speed of the machine affects the result only through time limits:
// Options.PropagationTimeout, which bounds how long a new configuration takes to
// become active, and the constants of this package, such as readyTimeout and
// drainGrace.
package prove

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/sesameswitch/sesameswitch/history"
)

// Options configure the test of one seed.
type Options struct {
	// Bin is the directory that contains the programs under test.
	Bin string
	// Duration is how long callers send requests in each seed.
	Duration time.Duration
	// Callers is the number of concurrent callers.
	Callers int
	// PropagationTimeout bounds the time from the activation of a configuration
	// version in the first process to its activation in all processes, after all
	// faults were cleared.
	PropagationTimeout time.Duration
	// Faults restricts the catalogue from which a seed draws its faults to the
	// given names. If it is empty, the seed draws from all faults.
	Faults []string
	// Environment is added to the environment of the programs under test.
	Environment []string
}

// DefaultOptions returns the options of the long test, without Bin.
func DefaultOptions() Options {
	return Options{Duration: 8 * time.Second, Callers: 16, PropagationTimeout: 5 * time.Second}
}

// Result is the result of one seed.
type Result struct {
	Seed     uint64
	Faults   []string
	Calls    int
	Runs     int
	Outcomes map[string]int
	// FirstActive is the time from the publication of the last configuration
	// version until it was active in the first process, ActiveEverywhere the time
	// until it was active in all processes.
	FirstActive      time.Duration
	ActiveEverywhere time.Duration
	Violations       []history.Violation
	// Timeline lists the events that the processes and the test recorded, in order
	// of time. It is set only if the seed failed.
	Timeline []string
	// Err is set if the seed could not be run or its history could not be checked.
	Err error
}

// Failed reports whether the seed violated a guarantee or could not be checked.
func (r *Result) Failed() bool { return r.Err != nil || len(r.Violations) > 0 }

// String formats the result as one line.
func (r *Result) String() string {
	verdict := "ok"
	if r.Err != nil {
		verdict = "ERROR " + r.Err.Error()
	} else if len(r.Violations) > 0 {
		verdict = fmt.Sprintf("FAILED %d violations", len(r.Violations))
	}
	return fmt.Sprintf("seed %d: %s: %v, %d calls, %d runs, %v, first active after %v, active everywhere after %v",
		r.Seed, verdict, r.Faults, r.Calls, r.Runs, r.Outcomes,
		r.FirstActive.Round(time.Millisecond), r.ActiveEverywhere.Round(time.Millisecond))
}

// Summary aggregates the results of several seeds.
type Summary struct {
	// Histories is the number of seeds that were run.
	Histories int
	Calls     int
	Runs      int
	// Faults maps the name of each fault to the number of its injections.
	Faults map[string]int
	// Failed lists the seeds that violated a guarantee or could not be checked.
	Failed []uint64
	// Violations is the total number of violations.
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

// RunSeeds runs count seeds, beginning with first, up to parallel of them
// concurrently, and writes a line for each to out. After a seed failed, no further
// seed is started. For a failed seed it also writes the time line and the
// violations.
func RunSeeds(opts Options, first uint64, count, parallel int, out io.Writer) *Summary {
	summary := &Summary{Faults: make(map[string]int)}
	var mu sync.Mutex
	next := first
	nextSeed := func() (uint64, bool) {
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
			for seed, ok := nextSeed(); ok; seed, ok = nextSeed() {
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
