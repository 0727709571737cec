package load

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesameswitch/sesameswitch/standin/engine"
)

const progressPeriod = 2 * time.Second

// Run is the raw result of one scenario under one policy.
type Run struct {
	Scenario *Scenario
	Policy   string
	Results  []Result
	Engines  engine.Counters
}

// runner drives one run.
type runner struct {
	scenario *Scenario
	cluster  *cluster
	client   *http.Client
	progress io.Writer
	results  []Result
	done     atomic.Int64
	good     atomic.Int64
}

// Execute starts the processes, sends the scenario's load, and ends them.
func Execute(ctx context.Context, s *Scenario, bin, logs, policy string, progress io.Writer) (*Run, error) {
	c, err := startCluster(ctx, s, bin, logs, policy)
	if err != nil {
		return nil, err
	}
	defer c.bed.Close()
	r := &runner{scenario: s, cluster: c, client: newCallerClient(), progress: progress}
	counters, err := r.drive(ctx)
	if err != nil {
		return nil, err
	}
	return &Run{Scenario: s, Policy: policy, Results: r.results, Engines: counters}, nil
}

// drive sends all arrivals at their times, whether or not earlier ones are
// answered, and waits for their ends.
func (r *runner) drive(ctx context.Context) (engine.Counters, error) {
	arrivals := r.scenario.Arrivals()
	r.results = make([]Result, len(arrivals))
	start := time.Now()
	saboteur := &saboteur{cluster: r.cluster}
	faultCtx, endFaults := context.WithCancel(ctx)
	var faults, callers sync.WaitGroup
	for _, fault := range r.scenario.Faults {
		faults.Go(func() { saboteur.run(faultCtx, start, fault) })
	}
	faults.Go(func() { r.report(faultCtx, start, len(arrivals)) })
	for i := range arrivals {
		if !sleepUntil(ctx, start.Add(arrivals[i].At)) {
			break
		}
		callers.Go(func() { r.call(ctx, i, &arrivals[i], start) })
	}
	callers.Wait()
	endFaults()
	faults.Wait()
	total := saboteur.lost
	for _, counters := range r.cluster.readCounters(ctx) {
		total = addCounters(total, counters)
	}
	if len(saboteur.errs) > 0 {
		return total, eris.Wrap(saboteur.errs[0], "fault")
	}
	return total, ctx.Err()
}

// call plays one caller from its planned arrival to its end.
func (r *runner) call(ctx context.Context, index int, arrival *Arrival, start time.Time) {
	origin := start.Add(arrival.At)
	class := &r.scenario.Classes[arrival.Class]
	result := &r.results[index]
	*result = Result{
		Class: arrival.Class, Account: arrival.Account, Planned: arrival.At, SentAfter: time.Since(origin),
	}
	patience := r.scenario.Patience
	if arrival.HangUpAfter > 0 {
		patience = min(patience, arrival.HangUpAfter)
	}
	ctx, cancel := context.WithDeadline(ctx, origin.Add(patience))
	defer cancel()
	for attempt := 0; attempt < max(1, r.scenario.Retry.Attempts); attempt++ {
		if attempt > 0 && !sleepUntil(ctx, time.Now().Add(r.scenario.Retry.Wait)) {
			break
		}
		c := r.caller((index+attempt)%len(r.cluster.entries), arrival.Account, class.Name)
		result.Attempts++
		c.attempt(ctx, arrival, origin, result)
		if result.End != EndRefused {
			break
		}
	}
	r.finish(ctx, arrival, result)
}

func (r *runner) caller(entry int, account, class string) *caller {
	return &caller{
		client: r.client,
		url:    "http://" + r.cluster.entries[entry].Address("callers"),
		key:    accountKey(account),
		class:  class,
	}
}

// finish tells apart failures from callers that left.
func (r *runner) finish(ctx context.Context, arrival *Arrival, result *Result) {
	left := ctx.Err() != nil && result.End != EndCompleted && result.End != EndRefused
	switch {
	case left && arrival.HangUpAfter > 0:
		result.End = EndHungUp
	case left:
		result.End = EndImpatient
	}
	if result.End == EndCompleted {
		r.good.Add(1)
	}
	r.done.Add(1)
}

// report prints a line of progress now and then.
func (r *runner) report(ctx context.Context, start time.Time, planned int) {
	ticker := time.NewTicker(progressPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			fmt.Fprintf(r.progress, "%5.0fs  %d planned, %d ended, %d completed\n",
				time.Since(start).Seconds(), planned, r.done.Load(), r.good.Load())
		}
	}
}
