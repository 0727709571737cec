package prove

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesameswitch/sesameswitch/history"
	"github.com/sesameswitch/sesameswitch/outcome"
	"github.com/sesameswitch/sesameswitch/standin/config"
	"github.com/sesameswitch/sesameswitch/testbed"
)

const (
	// probeInterval is the time between two probes.
	probeInterval = 20 * time.Millisecond
	// impairedAfter is the time above which a probe counts as impaired.
	impairedAfter = 500 * time.Millisecond
	// warmUp and watchFor are how long probes are sent before and after the
	// failure is caused.
	warmUp   = 2 * time.Second
	watchFor = 12 * time.Second
	// outage is how long the configuration service is at fault.
	outage = 12 * time.Second
)

// scenario is one failure whose recovery is measured: some times, each with a
// name.
type scenario struct {
	name    string
	parts   []string
	measure func(c *cluster) ([]time.Duration, error)
}

// Names of what is measured.
var (
	probeParts = []string{"last impaired call", "slowest call"}
	readyParts = []string{"started again until ready"}
	forceParts = []string{"back until in force everywhere"}
)

func scenarios() []scenario {
	return []scenario{
		{"agent killed", probeParts, probed(func(c *cluster) { c.agents[2].Kill() })},
		{"agent frozen", probeParts, probed(func(c *cluster) { c.agents[2].Pause() })},
		{"silent connection", probeParts, probed(func(c *cluster) { c.agents[2].link.SetState(testbed.LinkBlackhole) })},
		{"agent killed", readyParts, restarted(func(c *cluster) *member { return c.agents[2] })},
		{"entry killed", readyParts, restarted(func(c *cluster) *member { return c.entries[0] })},
		{"configuration service down", forceParts, outageOf(config.Faults{Down: true})},
		{"configuration service hung", forceParts, outageOf(config.Faults{Hang: true})},
	}
}

// Recoveries measures the time to recover from single failures, several times
// each, and writes a line for each failure.
func Recoveries(opts Options, repeats int, out io.Writer) error {
	for _, s := range scenarios() {
		times := make([][]time.Duration, len(s.parts))
		for range repeats {
			took, err := measure(opts, s)
			if err != nil {
				return eris.Wrap(err, s.name)
			}
			for i := range took {
				times[i] = append(times[i], took[i])
			}
		}
		for i, part := range s.parts {
			slices.Sort(times[i])
			fmt.Fprintf(out, "%s: %s: least %v, median %v, most %v of %d\n", s.name, part,
				times[i][0].Round(time.Millisecond), times[i][repeats/2].Round(time.Millisecond),
				times[i][repeats-1].Round(time.Millisecond), repeats)
		}
	}
	return nil
}

func measure(opts Options, s scenario) ([]time.Duration, error) {
	c := newCluster(opts, 1)
	defer c.close()
	if err := c.start(); err != nil {
		return nil, err
	}
	return s.measure(c)
}

// probed sends calls at a steady pace through one entry, causes a failure and
// returns how long after it the last call began that failed or took too long,
// and how long the slowest call took.
func probed(cause func(*cluster)) func(*cluster) ([]time.Duration, error) {
	return func(c *cluster) ([]time.Duration, error) {
		k := newCaller(c, 1, 0)
		k.entries = c.entries[:1]
		var group sync.WaitGroup
		failed := time.Duration(0)
		for until := c.now() + warmUp + watchFor; c.now() < until; time.Sleep(probeInterval) {
			if failed == 0 && c.now() > until-watchFor {
				failed = c.now()
				cause(c)
			}
			mark := k.mark()
			group.Go(func() { k.lookup(mark) })
		}
		group.Wait()
		return impairment(c.recorder.History(), failed), nil
	}
}

func impairment(h history.History, failed time.Duration) []time.Duration {
	var last, slowest time.Duration
	for _, call := range h.Calls {
		took := call.Completed - call.Invoked
		slowest = max(slowest, took)
		if took > impairedAfter || !call.Returned || call.Outcome != outcome.Completed {
			last = max(last, call.Invoked-failed)
		}
	}
	return []time.Duration{last, slowest}
}

// restarted kills a member, starts it at once and returns the time until it
// is ready.
func restarted(which func(*cluster) *member) func(*cluster) ([]time.Duration, error) {
	return func(c *cluster) ([]time.Duration, error) {
		m := which(c)
		m.Kill()
		began := c.now()
		if err := m.Start(); err != nil {
			return nil, err
		}
		err := c.await(startPatience, func() bool { return c.ready(m) })
		return []time.Duration{c.now() - began}, err
	}
}

// outageOf publishes a version while the configuration service is at fault
// and returns the time from its mending until all members have the version.
func outageOf(faults config.Faults) func(*cluster) ([]time.Duration, error) {
	return func(c *cluster) ([]time.Duration, error) {
		if err := c.setFaults("config", faults); err != nil {
			return nil, err
		}
		version := c.nextVersion()
		if err := c.publish(version, c.manifestOf(version), true); err != nil {
			return nil, err
		}
		time.Sleep(outage + time.Duration(rand.Int64N(int64(time.Second))))
		if err := c.setFaults("config", config.Faults{}); err != nil {
			return nil, err
		}
		began := c.now()
		err := c.await(serviceRecovery, func() bool { return c.atLeast(version) == len(c.members()) })
		return []time.Duration{c.now() - began}, err
	}
}
