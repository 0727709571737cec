package load

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesameswitch/sesameswitch/standin/engine"
	"github.com/sesameswitch/sesameswitch/testbed"
)

// faultInjector injects the faults of a scenario. It saves the counters of an
// engine before it kills the engine.
type faultInjector struct {
	cluster *cluster

	mu sync.Mutex
	// savedCounters is the sum of the counters of killed engines.
	savedCounters engine.Counters
	errs          []error
}

// run injects one fault at its time and clears it after its duration. A fault
// without a duration is not cleared.
func (inj *faultInjector) run(ctx context.Context, start time.Time, fault Fault) {
	if !sleepUntil(ctx, start.Add(fault.At)) {
		return
	}
	for _, target := range fault.Targets {
		inj.recordError(inj.injectFault(ctx, &fault, target))
	}
	if fault.Duration == 0 || !sleepUntil(ctx, start.Add(fault.At+fault.Duration)) {
		return
	}
	for _, target := range fault.Targets {
		inj.recordError(inj.clearFault(&fault, target))
	}
}

func (inj *faultInjector) injectFault(ctx context.Context, fault *Fault, target int) error {
	switch fault.Kind {
	case FaultEngine:
		return inj.cluster.deployment.SetFaults(inj.cluster.engines[target], fault.EngineFaults)
	case FaultKillEngine:
		inj.saveCounters(ctx, target)
		inj.cluster.engines[target].Kill()
	case FaultKillAgent:
		inj.cluster.agents[target].Kill()
	default:
		return eris.Errorf("unknown fault kind %q", fault.Kind)
	}
	return nil
}

func (inj *faultInjector) clearFault(fault *Fault, target int) error {
	switch fault.Kind {
	case FaultEngine:
		return inj.cluster.deployment.SetFaults(inj.cluster.engines[target], engine.Faults{})
	case FaultKillEngine:
		return restart(inj.cluster.engines[target])
	case FaultKillAgent:
		return restart(inj.cluster.agents[target])
	}
	return nil
}

func restart(p *testbed.Process) error {
	return eris.Wrapf(p.Start(), "restart %s", p.Name)
}

// saveCounters adds the counters of an engine that is about to be killed to
// savedCounters. Tokens that the engine generates after this reading are not
// counted.
func (inj *faultInjector) saveCounters(ctx context.Context, target int) {
	counters, err := inj.cluster.engineCounters(ctx, target)
	if err != nil {
		inj.recordError(err)
		return
	}
	inj.mu.Lock()
	defer inj.mu.Unlock()
	inj.savedCounters = addCounters(inj.savedCounters, counters)
}

func (inj *faultInjector) recordError(err error) {
	if err == nil {
		return
	}
	inj.mu.Lock()
	defer inj.mu.Unlock()
	inj.errs = append(inj.errs, err)
}

func addCounters(a, b engine.Counters) engine.Counters {
	a.Requests += b.Requests
	a.Completed += b.Completed
	a.Cancelled += b.Cancelled
	a.Refused += b.Refused
	a.Generated += b.Generated
	a.Wasted += b.Wasted
	a.CachedPrompt += b.CachedPrompt
	a.Prompt += b.Prompt
	return a
}

// sleepUntil waits until the given time. It returns false if the context ends
// first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
