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

// progressInterval is the time between two lines of progress.
const progressInterval = 2 * time.Second

// Run holds the results of one scenario under one policy.
type Run struct {
	Scenario *Scenario
	Policy   string
	// Results holds the results of the requests in order of arrival.
	Results []Result
	// EngineCounters is the sum over all engines, including killed ones.
	EngineCounters engine.Counters
}

// runner executes one run.
type runner struct {
	scenario *Scenario
	cluster  *cluster
	client   *http.Client
	progress io.Writer
	results  []Result
	// ended and completed count requests for the lines of progress.
	ended     atomic.Int64
	completed atomic.Int64
}

// Execute starts the processes of a scenario, sends its load and stops the
// processes.
func Execute(ctx context.Context, s *Scenario, bin, logs, policy string, progress io.Writer) (*Run, error) {
	c, err := startCluster(ctx, s, bin, logs, policy)
	if err != nil {
		return nil, err
	}
	defer c.deployment.Close()
	r := &runner{scenario: s, cluster: c, client: newHTTPClient(), progress: progress}
	counters, err := r.sendLoad(ctx)
	if err != nil {
		return nil, err
	}
	return &Run{Scenario: s, Policy: policy, Results: r.results, EngineCounters: counters}, nil
}

// sendLoad sends every request at its planned arrival, whether or not earlier
// ones have ended (open loop), injects the faults at their times, and waits until
// all requests have ended. It returns the sum of the engines' counters.
func (r *runner) sendLoad(ctx context.Context) (engine.Counters, error) {
	arrivals := r.scenario.Arrivals()
	r.results = make([]Result, len(arrivals))
	start := time.Now()
	injector := &faultInjector{cluster: r.cluster}
	backgroundCtx, stopBackground := context.WithCancel(ctx)
	var background, callers sync.WaitGroup
	for _, fault := range r.scenario.Faults {
		background.Go(func() { injector.run(backgroundCtx, start, fault) })
	}
	background.Go(func() { r.reportProgress(backgroundCtx, start, len(arrivals)) })
	for i := range arrivals {
		if !sleepUntil(ctx, start.Add(arrivals[i].At)) {
			break
		}
		callers.Go(func() { r.runCaller(ctx, i, &arrivals[i], start) })
	}
	callers.Wait()
	stopBackground()
	background.Wait()
	total := injector.savedCounters
	for _, counters := range r.cluster.allEngineCounters(ctx) {
		total = addCounters(total, counters)
	}
	if len(injector.errs) > 0 {
		return total, eris.Wrap(injector.errs[0], "inject or clear a fault")
	}
	return total, ctx.Err()
}

// runCaller sends one planned request, retries refusals and records the result.
// Consecutive requests and attempts use the entries in turn.
func (r *runner) runCaller(ctx context.Context, index int, arrival *Arrival, start time.Time) {
	arrivalTime := start.Add(arrival.At)
	class := &r.scenario.Classes[arrival.Class]
	result := &r.results[index]
	*result = Result{
		Class: arrival.Class, Account: arrival.Account, PlannedAt: arrival.At, SendDelay: time.Since(arrivalTime),
	}
	timeout := r.scenario.ResponseTimeout
	if arrival.DisconnectAfter > 0 {
		timeout = min(timeout, arrival.DisconnectAfter)
	}
	ctx, cancel := context.WithDeadline(ctx, arrivalTime.Add(timeout))
	defer cancel()
	for attempt := 0; attempt < max(1, r.scenario.Retry.Attempts); attempt++ {
		if attempt > 0 && !sleepUntil(ctx, time.Now().Add(r.scenario.Retry.Wait)) {
			break
		}
		c := r.newCaller((index+attempt)%len(r.cluster.entries), arrival.Account, class.Name)
		result.Attempts++
		c.attempt(ctx, arrival, arrivalTime, result)
		if result.Status != StatusRefused {
			break
		}
	}
	r.finishResult(ctx, arrival, result)
}

// newCaller returns a caller of one account and class for an entry.
func (r *runner) newCaller(entry int, account, class string) *caller {
	return &caller{
		client: r.client,
		url:    "http://" + r.cluster.entries[entry].Address("callers"),
		apiKey: apiKey(account),
		class:  class,
	}
}

// finishResult sets the status of a request whose caller disconnected or timed
// out, and counts the request as ended. A request whose context ends between two
// attempts remains refused.
func (r *runner) finishResult(ctx context.Context, arrival *Arrival, result *Result) {
	abandoned := ctx.Err() != nil && result.Status != StatusCompleted && result.Status != StatusRefused
	switch {
	case abandoned && arrival.DisconnectAfter > 0:
		result.Status = StatusDisconnected
	case abandoned:
		result.Status = StatusTimedOut
	}
	if result.Status == StatusCompleted {
		r.completed.Add(1)
	}
	r.ended.Add(1)
}

// reportProgress prints a line of progress in each progressInterval.
func (r *runner) reportProgress(ctx context.Context, start time.Time, planned int) {
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			fmt.Fprintf(r.progress, "%5.0fs  %d planned, %d ended, %d completed\n",
				time.Since(start).Seconds(), planned, r.ended.Load(), r.completed.Load())
		}
	}
}
