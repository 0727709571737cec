package prove

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/sesameswitch/sesameswitch/history"
)

const (
	// observeInterval is the time between two observations of the active
	// configuration of a member.
	observeInterval = 100 * time.Millisecond
	// activationTimeout bounds the wait for the activation of a version after a
	// fault of the configuration service was cleared: by the first process in the
	// test of a seed, by all processes in the measurement of recovery times.
	activationTimeout = 30 * time.Second
	// slotReleaseTimeout bounds the time until all slots are free once all callers
	// have stopped. It is longer than the agent's readLease, after which an
	// idempotent run is cancelled if its entry has failed.
	slotReleaseTimeout = 15 * time.Second
	// lateRetries is the maximum number of requests with a key that are retried
	// after the load.
	lateRetries = 200
	// maxConcurrentLateRetries bounds the late retries in flight.
	maxConcurrentLateRetries = 16
)

// RunSeed runs one seed and checks its history.
func RunSeed(opts Options, seed uint64) *Result {
	rng := rand.New(rand.NewPCG(seed, 0))
	faults := drawFaults(seed, rng, opts.Faults)
	result := &Result{Seed: seed}
	for _, f := range faults {
		result.Faults = append(result.Faults, f.name)
	}
	c := newCluster(opts, seed)
	defer c.close()
	if result.Err = c.start(); result.Err != nil {
		return result
	}
	callers, err := c.runLoad(seed, rng, faults)
	if err != nil {
		result.Err = err
		return result
	}
	if result.Err = c.checkRecovery(result, callers); result.Err != nil {
		return result
	}
	result.Err = c.check(result, faults)
	if result.Failed() {
		result.Timeline = c.fullTimeline()
	}
	return result
}

// runLoad runs the callers while the faults are injected and cleared. It returns
// the callers after all of them have stopped and all faults are cleared.
func (c *cluster) runLoad(seed uint64, rng *rand.Rand, faults []fault) ([]*caller, error) {
	stop := make(chan struct{})
	var observers sync.WaitGroup
	for _, m := range c.members() {
		observers.Go(func() { c.observeConfig(m, stop) })
	}
	until := c.now() + c.opts.Duration
	var injections errgroup.Group
	for _, f := range faults {
		delay := time.Duration(rng.Int64N(int64(c.opts.Duration / 3)))
		duration := minFaultDuration + time.Duration(rng.Int64N(int64(maxFaultDuration-minFaultDuration)))
		faultRNG := rand.New(rand.NewPCG(rng.Uint64(), 0))
		injections.Go(func() error {
			time.Sleep(delay)
			return f.inject(c, faultRNG, duration)
		})
	}
	var callers []*caller
	var load sync.WaitGroup
	for i := range c.opts.Callers {
		cl := newCaller(c, seed, i)
		callers = append(callers, cl)
		load.Go(func() { cl.run(until) })
	}
	load.Wait()
	err := injections.Wait()
	close(stop)
	observers.Wait()
	return callers, err
}

// observeConfig records the active configuration version of a member at regular
// intervals until stop is closed.
func (c *cluster) observeConfig(m *member, stop <-chan struct{}) {
	ticker := time.NewTicker(observeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			c.observeConfigOnce(m)
		}
	}
}

// observeConfigOnce records and returns the active configuration version of a
// member. It returns 0 if the member does not respond.
func (c *cluster) observeConfigOnce(m *member) uint64 {
	status, err := c.fetchStatus(m)
	if err != nil {
		return 0
	}
	c.recorder.RecordObservation(history.Observation{
		Process: m.Name + "/" + status.Process.Incarnation, At: c.now(), Version: status.ConfigVersion,
	})
	return status.ConfigVersion
}

// checkRecovery retries keys after all faults were cleared, publishes a last
// configuration version, and checks that the version becomes active in all
// members within Options.PropagationTimeout.
func (c *cluster) checkRecovery(result *Result, callers []*caller) error {
	if err := c.awaitReady(readyTimeout); err != nil {
		return err
	}
	c.retryKeysLate(callers)
	version := c.nextVersion()
	publishedAt := c.now()
	if err := c.publish(version, c.manifestFor(version), true); err != nil {
		return err
	}
	// A watch that hung during a fault of the configuration service ends only by
	// its timeout. The propagation time is therefore guaranteed from the first
	// process that activates the version.
	if err := c.await(activationTimeout, func() bool { return c.countWithVersion(version) > 0 }); err != nil {
		return err
	}
	result.FirstActive = c.now() - publishedAt
	err := c.await(c.opts.PropagationTimeout, func() bool { return c.countWithVersion(version) == len(c.members()) })
	result.ActiveEverywhere = c.now() - publishedAt
	if err != nil {
		result.Violations = append(result.Violations, history.Violation{
			Guarantee: history.ConfigActivation,
			Subject:   fmt.Sprintf("version %d", version),
			Detail:    fmt.Sprintf("active in %d of %d processes %v after the first process activated it", c.countWithVersion(version), len(c.members()), c.opts.PropagationTimeout),
		})
	}
	return nil
}

// checkSlotsReleased checks that all slots of the agents are released after all
// callers have stopped. The check is skipped for faults with hangsBackend, because
// the slots of runs without a response stay occupied for longer than
// slotReleaseTimeout.
func (c *cluster) checkSlotsReleased(faults []fault) []history.Violation {
	for _, f := range faults {
		if f.hangsBackend {
			return nil
		}
	}
	if c.await(slotReleaseTimeout, func() bool { return len(c.busyAgents()) == 0 }) == nil {
		return nil
	}
	return []history.Violation{{
		Guarantee: history.SlotsReleased,
		Subject:   fmt.Sprint(c.busyAgents()),
		Detail:    "requests are queued or running " + slotReleaseTimeout.String() + " after the last caller stopped",
	}}
}

// busyAgents returns the names of the agents that have queued or running requests
// or do not respond.
func (c *cluster) busyAgents() []string {
	var names []string
	for _, m := range c.agents {
		status, err := c.fetchStatus(m)
		if err != nil || status.Load.Running+status.Load.Queued > 0 {
			names = append(names, m.Name)
		}
	}
	return names
}

// countWithVersion returns the number of members in which the version, or a later
// one, is active. It also records what it observes in the history.
func (c *cluster) countWithVersion(version uint64) int {
	n := 0
	for _, m := range c.members() {
		if c.observeConfigOnce(m) >= version {
			n++
		}
	}
	return n
}

// retryKeysLate sends a random sample of the requests with a key once more, after
// the callers have stopped.
func (c *cluster) retryKeysLate(callers []*caller) {
	var retries errgroup.Group
	retries.SetLimit(maxConcurrentLateRetries)
	retriesPerCaller := lateRetries / max(1, len(callers))
	for _, cl := range callers {
		cl.rng.Shuffle(len(cl.keyedRequests), func(i, j int) { cl.keyedRequests[i], cl.keyedRequests[j] = cl.keyedRequests[j], cl.keyedRequests[i] })
		for _, spec := range cl.keyedRequests[:min(len(cl.keyedRequests), retriesPerCaller)] {
			retries.Go(func() error {
				cl.sendAndRecord(spec, callTimeout)
				return nil
			})
		}
	}
	_ = retries.Wait() // the retries return no errors
}

// fullTimeline returns the formatted events of the members and of the test itself,
// in order of time.
func (c *cluster) fullTimeline() []string {
	var lines []string
	for _, e := range c.allEvents() {
		lines = append(lines, formatEvent(e))
	}
	c.mu.Lock()
	lines = append(lines, c.loggedEvents...)
	c.mu.Unlock()
	sort.Strings(lines)
	return slices.Compact(lines)
}
