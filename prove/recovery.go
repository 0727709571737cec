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
	// impairedThreshold is the latency above which a probe counts as impaired.
	impairedThreshold = 500 * time.Millisecond
	// warmUpDuration and observeDuration are how long probes are sent before and
	// after the fault is injected.
	warmUpDuration  = 2 * time.Second
	observeDuration = 12 * time.Second
	// outageDuration is the minimum duration of a fault of the configuration
	// service. A random time of up to a second is added.
	outageDuration = 12 * time.Second
)

// scenario is a fault whose recovery is measured. measure returns one time for
// each name in metrics.
type scenario struct {
	name    string
	metrics []string
	measure func(c *cluster) ([]time.Duration, error)
}

// Names of the measured times, in the order in which the functions that measure
// them return the times.
var (
	probeMetrics      = []string{"last impaired call", "slowest call"}
	restartMetrics    = []string{"started again until ready"}
	activationMetrics = []string{"back until in force everywhere"}
)

// scenarios returns the scenarios to measure. Those of an agent use agents[2],
// the agent of service-1, because the probes are requests to the plain service.
func scenarios() []scenario {
	return []scenario{
		{"agent killed", probeMetrics, measureImpairment(func(c *cluster) { c.agents[2].Kill() })},
		{"agent frozen", probeMetrics, measureImpairment(func(c *cluster) { c.agents[2].Pause() })},
		{"silent connection", probeMetrics, measureImpairment(func(c *cluster) { c.agents[2].link.SetState(testbed.LinkBlackhole) })},
		{"agent killed", restartMetrics, measureRestart(func(c *cluster) *member { return c.agents[2] })},
		{"entry killed", restartMetrics, measureRestart(func(c *cluster) *member { return c.entries[0] })},
		{"configuration service down", activationMetrics, measureConfigOutage(config.Faults{Down: true})},
		{"configuration service hung", activationMetrics, measureConfigOutage(config.Faults{Hang: true})},
	}
}

// MeasureRecovery measures the times to recover from single faults, with repeats
// measurements each, and writes a line with the minimum, median and maximum of each
// time to out.
func MeasureRecovery(opts Options, repeats int, out io.Writer) error {
	for _, s := range scenarios() {
		times := make([][]time.Duration, len(s.metrics))
		for range repeats {
			sample, err := measure(opts, s)
			if err != nil {
				return eris.Wrap(err, s.name)
			}
			for i := range sample {
				times[i] = append(times[i], sample[i])
			}
		}
		for i, metric := range s.metrics {
			slices.Sort(times[i])
			fmt.Fprintf(out, "%s: %s: minimum %v, median %v, maximum %v of %d\n", s.name, metric,
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

// measureImpairment sends probes at a constant rate through one entry, injects a
// fault, and returns two times: the time from the fault to the start of the last
// probe that failed or exceeded impairedThreshold (zero if none did after the
// fault), and the latency of the slowest probe, before or after the fault.
func measureImpairment(inject func(*cluster)) func(*cluster) ([]time.Duration, error) {
	return func(c *cluster) ([]time.Duration, error) {
		cl := newCaller(c, 1, 0)
		cl.entries = c.entries[:1]
		var group sync.WaitGroup
		injectedAt := time.Duration(0)
		for until := c.now() + warmUpDuration + observeDuration; c.now() < until; time.Sleep(probeInterval) {
			if injectedAt == 0 && c.now() > until-observeDuration {
				injectedAt = c.now()
				inject(c)
			}
			label := cl.nextLabel()
			group.Go(func() { cl.sendLookup(label) })
		}
		group.Wait()
		return impairment(c.recorder.History(), injectedAt), nil
	}
}

// impairment returns the two times described at measureImpairment for a fault that
// was injected at the given time of the history.
func impairment(h history.History, injectedAt time.Duration) []time.Duration {
	var lastImpaired, slowest time.Duration
	for _, call := range h.Calls {
		latency := call.CompletedAt - call.InvokedAt
		slowest = max(slowest, latency)
		if latency > impairedThreshold || !call.Returned || call.Outcome != outcome.Completed {
			lastImpaired = max(lastImpaired, call.InvokedAt-injectedAt)
		}
	}
	return []time.Duration{lastImpaired, slowest}
}

// measureRestart kills a member, starts it again immediately and returns the time
// until it is ready.
func measureRestart(selectMember func(*cluster) *member) func(*cluster) ([]time.Duration, error) {
	return func(c *cluster) ([]time.Duration, error) {
		m := selectMember(c)
		m.Kill()
		startedAt := c.now()
		if err := m.Start(); err != nil {
			return nil, err
		}
		err := c.await(readyTimeout, func() bool { return c.ready(m) })
		return []time.Duration{c.now() - startedAt}, err
	}
}

// measureConfigOutage publishes a version while the configuration service has a
// fault, and returns the time from when the fault is cleared until the version is
// active in all members.
func measureConfigOutage(faults config.Faults) func(*cluster) ([]time.Duration, error) {
	return func(c *cluster) ([]time.Duration, error) {
		if err := c.setFaults("config", faults); err != nil {
			return nil, err
		}
		version := c.nextVersion()
		if err := c.publish(version, c.manifestFor(version), true); err != nil {
			return nil, err
		}
		time.Sleep(outageDuration + time.Duration(rand.Int64N(int64(time.Second))))
		if err := c.setFaults("config", config.Faults{}); err != nil {
			return nil, err
		}
		clearedAt := c.now()
		err := c.await(activationTimeout, func() bool { return c.countWithVersion(version) == len(c.members()) })
		return []time.Duration{c.now() - clearedAt}, err
	}
}
