// Package soak runs real gateways as separate processes on loopback, between
// stand-ins of the platform's store and of its backend servers, causes failures
// in series that overlap, and judges what callers and backend servers saw.
//
// A seed fixes the plan of failures and what callers ask for; how processes
// interleave is the machine's. The soak ends only processes that it started.
package soak

import (
	"fmt"
	"io"
	"sort"
	"sync"
	"time"
)

// Options of a soak.
type Options struct {
	// Bin is the folder of the programs.
	Bin string
	// Duration is how long callers send requests.
	Duration time.Duration
	Gateways int
	// Servers is the number of backend servers of each of two services.
	Servers int
	Callers int
	// Faults is how many failures a plan has.
	Faults int
	// Plan replaces the failures that a seed draws; nil is none.
	Plan []Fault
	// Environment is added to that of the gateways.
	Environment []string
}

// DefaultOptions are those of a short run.
func DefaultOptions() Options {
	return Options{Duration: 8 * time.Second, Gateways: 3, Servers: 3, Callers: 12, Faults: 10}
}

// Violation is a broken promise.
type Violation struct {
	Guarantee string
	Detail    string
}

// Result is what one seed showed.
type Result struct {
	Seed       uint64
	Plan       []string
	Calls      int
	Answered   int
	Runs       int
	Violations []Violation
	// Err says that the run could not be judged.
	Err error
}

// Failed reports whether the seed has to be looked at.
func (r *Result) Failed() bool { return r.Err != nil || len(r.Violations) > 0 }

// RunSeed runs one seed and judges it.
func RunSeed(o Options, seed uint64) *Result {
	plan := o.Plan
	if plan == nil {
		plan = DrawPlan(o, seed)
	}
	result := &Result{Seed: seed}
	for _, f := range plan {
		result.Plan = append(result.Plan, f.String())
	}
	d, err := deploy(o, seed)
	if err != nil {
		result.Err = err
		return result
	}
	defer d.close()
	var work sync.WaitGroup
	for i := range o.Callers {
		work.Go(func() { d.call(i, seed) })
	}
	for _, f := range plan {
		work.Go(func() { d.cause(f) })
	}
	work.Wait()
	d.settle()
	result.Violations = d.judge()
	result.Calls, result.Answered, result.Runs = d.counts()
	return result
}

// RunSeeds runs several seeds, some at once, and prints what failed.
func RunSeeds(o Options, first uint64, count, atOnce int, out io.Writer) (failed []uint64) {
	var mu sync.Mutex
	var work sync.WaitGroup
	slots := make(chan struct{}, atOnce)
	calls, runs := 0, 0
	for i := range count {
		slots <- struct{}{}
		work.Go(func() {
			defer func() { <-slots }()
			r := RunSeed(o, first+uint64(i)) //nolint:gosec // a small count
			mu.Lock()
			defer mu.Unlock()
			calls, runs = calls+r.Calls, runs+r.Runs
			if r.Failed() {
				failed = append(failed, r.Seed)
				report(out, r)
			}
		})
	}
	work.Wait()
	sort.Slice(failed, func(i, k int) bool { return failed[i] < failed[k] })
	fmt.Fprintf(out, "%d seeds from %d, %d calls, %d runs, %d seeds failed %v\n", count, first, calls, runs, len(failed), failed)
	return failed
}

func report(out io.Writer, r *Result) {
	fmt.Fprintf(out, "seed %d: %d calls, %d answered\n", r.Seed, r.Calls, r.Answered)
	for _, line := range r.Plan {
		fmt.Fprintln(out, "  plan", line)
	}
	if r.Err != nil {
		fmt.Fprintln(out, "  not judged:", r.Err)
	}
	for _, v := range r.Violations {
		fmt.Fprintf(out, "  broken %s: %s\n", v.Guarantee, v.Detail)
	}
}
