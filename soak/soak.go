// Package soak runs gateways as separate processes on the loopback interface,
// between simulated callers and stand-ins of the platform's store and of the
// backend servers. It injects overlapping faults and checks the guarantees of
// sesameswitch against what callers and backend servers observe.
//
// A seed determines the plan of faults and the requests of the callers, but not
// how the operating system schedules the processes. The package ends only
// processes that it started.
package soak

import (
	"fmt"
	"io"
	"sort"
	"sync"
	"time"
)

// Options configure a soak test.
type Options struct {
	// Bin is the directory that contains the programs under test.
	Bin string
	// Duration is how long callers send requests.
	Duration time.Duration
	Gateways int
	// Servers is the number of backend servers of each of two services.
	Servers int
	Callers int
	// Faults is the number of faults in a plan.
	Faults int
	// RetryExtra is the number of retries of a service that the budget allows in
	// addition to a fraction of the requests.
	RetryExtra int
	// ServersRefuse adds AllServersRefuse to each random plan, so that the retry budget
	// is used up.
	ServersRefuse bool
	// Evacuations adds EvacuateDataCentre and ServerRestartsCold to each random plan. The
	// servers and gateways are in two data centres, and servers may be cold.
	Evacuations bool
	// FleetKills adds KillAllGateways to each random plan. Origin holders run beside the servers.
	FleetKills bool
	// Plan, if not nil, replaces the plan that the seed determines.
	Plan []Fault
	// Environment is added to the environment of the gateways.
	Environment []string
}

// DefaultOptions returns the options of a short test, without Bin.
func DefaultOptions() Options {
	return Options{Duration: 8 * time.Second, Gateways: 3, Servers: 3, Callers: 12, Faults: 10, RetryExtra: 10}
}

// Violation describes how a history violates a guarantee.
type Violation struct {
	Guarantee string
	Detail    string
}

// Result is the result of one seed.
type Result struct {
	Seed       uint64
	Plan       []string
	Calls      int
	Responses  int
	Runs       int
	Violations []Violation
	// Err is set if the seed could not be run.
	Err error
}

// Failed reports whether the seed violated a guarantee or could not be run.
func (r *Result) Failed() bool { return r.Err != nil || len(r.Violations) > 0 }

// RunSeed runs one seed and checks its history.
func RunSeed(o Options, seed uint64) *Result {
	plan := o.Plan
	if plan == nil {
		plan = DrawPlan(o, seed)
	}
	result := &Result{Seed: seed}
	for _, f := range plan {
		result.Plan = append(result.Plan, f.String())
	}
	d, err := deploy(o, seed, plan)
	if err != nil {
		result.Err = err
		return result
	}
	defer d.close()
	var running sync.WaitGroup
	for i := range o.Callers {
		running.Go(func() { d.runCaller(i, seed) })
	}
	for _, f := range plan {
		running.Go(func() { d.inject(f) })
	}
	running.Wait()
	d.awaitRecovery()
	result.Violations = d.check()
	result.Calls, result.Responses, result.Runs = d.counts()
	return result
}

// RunSeeds runs count seeds, beginning with first, up to parallel of them
// concurrently. It writes the failed seeds and a summary to out, and returns the
// failed seeds in order.
func RunSeeds(o Options, first uint64, count, parallel int, out io.Writer) (failed []uint64) {
	var mu sync.Mutex
	var running sync.WaitGroup
	slots := make(chan struct{}, parallel)
	calls, runs := 0, 0
	for i := range count {
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			r := RunSeed(o, first+uint64(i)) //nolint:gosec // count is small
			mu.Lock()
			defer mu.Unlock()
			calls, runs = calls+r.Calls, runs+r.Runs
			if r.Failed() {
				failed = append(failed, r.Seed)
				report(out, r)
			}
		})
	}
	running.Wait()
	sort.Slice(failed, func(i, k int) bool { return failed[i] < failed[k] })
	fmt.Fprintf(out, "%d seeds from %d, %d calls, %d runs, %d seeds failed %v\n", count, first, calls, runs, len(failed), failed)
	return failed
}

func report(out io.Writer, r *Result) {
	fmt.Fprintf(out, "seed %d: %d calls, %d responses\n", r.Seed, r.Calls, r.Responses)
	for _, line := range r.Plan {
		fmt.Fprintln(out, "  plan", line)
	}
	if r.Err != nil {
		fmt.Fprintln(out, "  not run:", r.Err)
	}
	for _, v := range r.Violations {
		fmt.Fprintf(out, "  violated %s: %s\n", v.Guarantee, v.Detail)
	}
}
