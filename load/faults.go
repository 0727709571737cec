package load

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesameswitch/sesameswitch/standin/engine"
	"github.com/sesameswitch/sesameswitch/testbed"
)

// saboteur carries out a scenario's faults and keeps the counters of engines
// that it kills.
type saboteur struct {
	cluster *cluster

	mu   sync.Mutex
	lost engine.Counters
	errs []error
}

// run carries out one fault at its time and ends it when it is over.
func (s *saboteur) run(ctx context.Context, start time.Time, fault Fault) {
	if !sleepUntil(ctx, start.Add(fault.At)) {
		return
	}
	for _, target := range fault.Targets {
		s.note(s.begin(ctx, &fault, target))
	}
	if fault.For == 0 || !sleepUntil(ctx, start.Add(fault.At+fault.For)) {
		return
	}
	for _, target := range fault.Targets {
		s.note(s.end(&fault, target))
	}
}

func (s *saboteur) begin(ctx context.Context, fault *Fault, target int) error {
	switch fault.Kind {
	case FaultEngine:
		return s.cluster.bed.SetFaults(s.cluster.engines[target], fault.Set)
	case FaultKillEngine:
		s.keepCounters(ctx, target)
		s.cluster.engines[target].Kill()
	case FaultKillAgent:
		s.cluster.agents[target].Kill()
	default:
		return eris.Errorf("unknown fault %q", fault.Kind)
	}
	return nil
}

func (s *saboteur) end(fault *Fault, target int) error {
	switch fault.Kind {
	case FaultEngine:
		return s.cluster.bed.SetFaults(s.cluster.engines[target], engine.Faults{})
	case FaultKillEngine:
		return restart(s.cluster.engines[target])
	case FaultKillAgent:
		return restart(s.cluster.agents[target])
	}
	return nil
}

func restart(p *testbed.Process) error {
	return eris.Wrapf(p.Start(), "start %s again", p.Name)
}

// keepCounters adds up what an engine counted before it is killed.
func (s *saboteur) keepCounters(ctx context.Context, target int) {
	counters, err := s.cluster.counters(ctx, target)
	if err != nil {
		s.note(err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost = addCounters(s.lost, counters)
}

func (s *saboteur) note(err error) {
	if err == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.errs = append(s.errs, err)
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

// sleepUntil waits for a time; it returns false when the context ends first.
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
