package routing

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// fleetAgent is a simulated agent with slots and a FIFO queue.
type fleetAgent struct {
	speed   float64 // relative to a normal agent
	running int
	waiting []*fleetRequest
	// reportsIdle makes all its load reports show an idle agent.
	reportsIdle bool
}

type fleetRequest struct {
	entry, agent int
	sent         time.Time
	work         time.Duration
}

type completion struct {
	at      time.Time
	request *fleetRequest
}

// completions is a heap ordered by time.
type completions []completion

func (q completions) Len() int           { return len(q) }
func (q completions) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q completions) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *completions) Push(c any)        { *q = append(*q, c.(completion)) }
func (q *completions) Pop() any {
	last := len(*q) - 1
	c := (*q)[last]
	*q = (*q)[:last]
	return c
}

// fleetSimulation sends Poisson arrivals through two entries to ten agents.
type fleetSimulation struct {
	rng     *rand.Rand
	agents  []fleetAgent
	routers []*Router
	// views holds the candidates as each entry knows them.
	views       [][]Candidate
	completions completions
	took        []time.Duration
	// reportInterval is the interval between load reports.
	reportInterval time.Duration
	reportedAt     time.Time
}

const (
	fleetSlots       = 4
	fleetServiceTime = 500 * time.Millisecond
)

func newFleetSimulation(policy Policy, reportInterval time.Duration) *fleetSimulation {
	f := &fleetSimulation{rng: rand.New(rand.NewPCG(5, 5)), reportInterval: reportInterval, agents: make([]fleetAgent, 10)}
	for i := range f.agents {
		f.agents[i].speed = 1
	}
	f.agents[3] = fleetAgent{speed: 0.2, reportsIdle: true}
	for entry := range 2 {
		f.routers = append(f.routers, New(Config{Policy: policy, DataCentre: "dc-0"}, rand.New(rand.NewPCG(9, uint64(entry)))))
		view := newCandidates(10)
		for i := range view {
			view[i].DataCentre = "dc-0"
			view[i].Slots = fleetSlots
		}
		f.views = append(f.views, view)
	}
	return f
}

// run simulates arrivals for the duration. The load is relative to the capacity of
// the nine normal agents.
func (f *fleetSimulation) run(load float64, duration time.Duration) {
	meanInterval := float64(fleetServiceTime) / (load * 9 * fleetSlots)
	now := epoch
	for now.Before(epoch.Add(duration)) {
		now = now.Add(time.Duration(f.rng.ExpFloat64() * meanInterval))
		for f.completions.Len() > 0 && f.completions[0].at.Before(now) {
			c := heap.Pop(&f.completions).(completion)
			f.complete(c.at, c.request)
		}
		f.report(now)
		f.send(now)
	}
}

// report passes the agents' load reports to the entries once per interval.
func (f *fleetSimulation) report(now time.Time) {
	if now.Sub(f.reportedAt) < f.reportInterval {
		return
	}
	f.reportedAt = now
	for _, view := range f.views {
		for i := range view {
			a := &f.agents[i]
			view[i].ReportedAt = now
			view[i].Running, view[i].Queued = a.running, len(a.waiting)
			wait := time.Duration(len(a.waiting)) * fleetServiceTime / fleetSlots
			if a.reportsIdle {
				view[i].Running, view[i].Queued, wait = 0, 0, 0
			}
			view[i].WaitByTier = [4]time.Duration{wait, wait, wait, wait}
		}
	}
}

// send sends a new request through one of the entries.
func (f *fleetSimulation) send(now time.Time) {
	entry := f.rng.IntN(2)
	picked, _ := f.routers[entry].Pick(now, &Request{Tier: 1}, f.views[entry])
	work := time.Duration((0.5 + f.rng.Float64()) * float64(fleetServiceTime))
	req := &fleetRequest{entry: entry, agent: picked, sent: now, work: work}
	f.views[entry][picked].InFlight++
	f.routers[entry].Observe(now, f.views[entry][picked].VM, Observation{Kind: KindSent})
	a := &f.agents[picked]
	a.waiting = append(a.waiting, req)
	f.start(now, a)
}

// start starts waiting requests at the agent while it has free slots.
func (f *fleetSimulation) start(now time.Time, a *fleetAgent) {
	for a.running < fleetSlots && len(a.waiting) > 0 {
		req := a.waiting[0]
		a.waiting = a.waiting[1:]
		a.running++
		took := time.Duration(float64(req.work) / a.speed)
		heap.Push(&f.completions, completion{at: now.Add(took), request: req})
	}
}

func (f *fleetSimulation) complete(now time.Time, req *fleetRequest) {
	a := &f.agents[req.agent]
	a.running--
	view := &f.views[req.entry][req.agent]
	view.InFlight--
	took := now.Sub(req.sent)
	f.took = append(f.took, took)
	f.routers[req.entry].Observe(now, view.VM, Observation{Kind: KindCompleted, Completion: took})
	f.start(now, a)
}

// quantile returns the q-quantile of the completion times.
func (f *fleetSimulation) quantile(q float64) time.Duration {
	slices.Sort(f.took)
	return f.took[int(q*float64(len(f.took)-1))].Round(time.Millisecond)
}

// TestRouterAvoidsStragglerThatReportsIdle compares the policies when one of ten
// agents is five times slower than the others and its load reports show it idle.
func TestRouterAvoidsStragglerThatReportsIdle(t *testing.T) {
	for _, interval := range []time.Duration{500 * time.Millisecond, time.Minute} {
		p99 := map[Policy]time.Duration{}
		for _, policy := range []Policy{PolicyRoundRobin, PolicyLeastRequests, PolicySesame} {
			f := newFleetSimulation(policy, interval)
			f.run(0.8, 5*time.Minute)
			p99[policy] = f.quantile(0.99)
			t.Logf("reports every %v, policy %-11s p50 %v p90 %v p99 %v", interval, policy, f.quantile(0.5), f.quantile(0.9), p99[policy])
		}
		if baseline := min(p99[PolicyRoundRobin], p99[PolicyLeastRequests]); p99[PolicySesame] > baseline {
			t.Errorf("reports every %v: got p99 %v, want at most that of the better baseline, %v", interval, p99[PolicySesame], baseline)
		}
	}
}
