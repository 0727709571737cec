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
	observeInterval = 100 * time.Millisecond
	// serviceRecovery bounds the wait until the first process accepts a version
	// after the configuration service was at fault.
	serviceRecovery = 30 * time.Second
	// idleWithin bounds the time until all slots are free once callers are
	// gone. It is above the lease of a run that nobody reads.
	idleWithin = 15 * time.Second
	// lateRepeats bounds the keys that are used again at the end.
	lateRepeats = 200
	// lateAtOnce bounds the late repeats under way.
	lateAtOnce = 16
)

// RunSeed runs one seed and judges it.
func RunSeed(opts Options, seed uint64) *Result {
	rng := rand.New(rand.NewPCG(seed, 0))
	faults := draw(seed, rng, opts.Faults)
	result := &Result{Seed: seed}
	for _, f := range faults {
		result.Faults = append(result.Faults, f.name)
	}
	c := newCluster(opts, seed)
	defer c.close()
	if result.Err = c.start(); result.Err != nil {
		return result
	}
	callers, err := c.load(seed, rng, faults)
	if err != nil {
		result.Err = err
		return result
	}
	if result.Err = c.settle(result, callers); result.Err != nil {
		return result
	}
	result.Err = c.judge(result, faults)
	if result.Failed() {
		result.Timeline = c.wholeTimeline()
	}
	return result
}

// load lets callers work while the failures are caused and mended.
func (c *cluster) load(seed uint64, rng *rand.Rand, faults []fault) ([]*caller, error) {
	stop := make(chan struct{})
	var observers sync.WaitGroup
	for _, m := range c.members() {
		observers.Go(func() { c.observe(m, stop) })
	}
	until := c.now() + c.opts.Duration
	var group errgroup.Group
	for _, f := range faults {
		after := time.Duration(rng.Int64N(int64(c.opts.Duration / 3)))
		lasting := minFault + time.Duration(rng.Int64N(int64(maxFault-minFault)))
		own := rand.New(rand.NewPCG(rng.Uint64(), 0))
		group.Go(func() error {
			time.Sleep(after)
			return f.cause(c, own, lasting)
		})
	}
	var callers []*caller
	var working sync.WaitGroup
	for i := range c.opts.Callers {
		k := newCaller(c, seed, i)
		callers = append(callers, k)
		working.Go(func() { k.run(until) })
	}
	working.Wait()
	err := group.Wait()
	close(stop)
	observers.Wait()
	return callers, err
}

// observe records the configuration that a member has in force.
func (c *cluster) observe(m *member, stop <-chan struct{}) {
	ticker := time.NewTicker(observeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			c.observeOnce(m)
		}
	}
}

func (c *cluster) observeOnce(m *member) uint64 {
	status, err := c.statusOf(m)
	if err != nil {
		return 0
	}
	c.recorder.RecordObservation(history.Observation{
		Process: m.Name + "/" + status.Process.Incarnation, At: c.now(), Version: status.ConfigVersion,
	})
	return status.ConfigVersion
}

// settle repeats keys late, when all failures are mended, and publishes a
// last version.
func (c *cluster) settle(result *Result, callers []*caller) error {
	if err := c.awaitReady(startPatience); err != nil {
		return err
	}
	c.repeatLate(callers)
	version := c.nextVersion()
	began := c.now()
	if err := c.publish(version, c.manifestOf(version), true); err != nil {
		return err
	}
	// A watch that hangs since the service was at fault ends by its timeout
	// only; the promise counts from the first process that accepts.
	if err := c.await(serviceRecovery, func() bool { return c.atLeast(version) > 0 }); err != nil {
		return err
	}
	result.Accepted = c.now() - began
	err := c.await(c.opts.PropagationTimeout, func() bool { return c.atLeast(version) == len(c.members()) })
	result.ActiveEverywhere = c.now() - began
	if err != nil {
		result.Violations = append(result.Violations, history.Violation{
			Guarantee: history.ConfigActivation,
			Subject:   fmt.Sprintf("version %d", version),
			Detail:    fmt.Sprintf("in force in %d of %d processes %v after the first accepted it", c.atLeast(version), len(c.members()), c.opts.PropagationTimeout),
		})
	}
	return nil
}

// checkIdle checks that no slot of an agent stays taken when all callers are
// gone. A backend server that hangs keeps slots for longer, so that runs with
// such a failure are not judged.
func (c *cluster) checkIdle(faults []fault) []history.Violation {
	for _, f := range faults {
		if f.hangs {
			return nil
		}
	}
	if c.await(idleWithin, func() bool { return len(c.busyAgents()) == 0 }) == nil {
		return nil
	}
	return []history.Violation{{
		Guarantee: history.SlotsReleased,
		Subject:   fmt.Sprint(c.busyAgents()),
		Detail:    "requests are queued or running " + idleWithin.String() + " after the last caller went",
	}}
}

// busyAgents names the agents that have requests queued or running.
func (c *cluster) busyAgents() []string {
	var names []string
	for _, m := range c.agents {
		status, err := c.statusOf(m)
		if err != nil || status.Load.Running+status.Load.Queued > 0 {
			names = append(names, m.Name)
		}
	}
	return names
}

// atLeast counts the members that have the version in force, or a later one.
func (c *cluster) atLeast(version uint64) int {
	n := 0
	for _, m := range c.members() {
		if c.observeOnce(m) >= version {
			n++
		}
	}
	return n
}

// repeatLate uses keys once more through some entry.
func (c *cluster) repeatLate(callers []*caller) {
	var group errgroup.Group
	group.SetLimit(lateAtOnce)
	share := lateRepeats / max(1, len(callers))
	for _, k := range callers {
		k.rng.Shuffle(len(k.used), func(i, j int) { k.used[i], k.used[j] = k.used[j], k.used[i] })
		for _, p := range k.used[:min(len(k.used), share)] {
			group.Go(func() error {
				k.use(p, callPatience)
				return nil
			})
		}
	}
	_ = group.Wait() // the repeats return no errors
}

// wholeTimeline merges what the members and this run recorded.
func (c *cluster) wholeTimeline() []string {
	var lines []string
	for _, e := range c.allEvents() {
		lines = append(lines, formatEvent(e))
	}
	c.mu.Lock()
	lines = append(lines, c.events...)
	c.mu.Unlock()
	sort.Strings(lines)
	return slices.Compact(lines)
}
