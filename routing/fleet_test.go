package routing

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// server is an agent of the fleet model: slots and a queue in order of
// arrival.
type server struct {
	speed   float64
	running int
	waiting []*job
	// lies says that its reports always show it idle.
	lies bool
}

type job struct {
	entry, server int
	sent          time.Time
	work          time.Duration
}

type occurrence struct {
	at  time.Time
	end *job
}

type calendar []occurrence

func (c calendar) Len() int           { return len(c) }
func (c calendar) Less(i, j int) bool { return c[i].at.Before(c[j].at) }
func (c calendar) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *calendar) Push(o any)        { *c = append(*c, o.(occurrence)) }
func (c *calendar) Pop() any {
	end := len(*c) - 1
	o := (*c)[end]
	*c = (*c)[:end]
	return o
}

// fleetModel sends Poisson arrivals through two entries to ten servers.
type fleetModel struct {
	rng      *rand.Rand
	servers  []server
	routers  []*Router
	views    [][]Candidate
	calendar calendar
	took     []time.Duration
	// reportEvery is the age that reports reach.
	reportEvery time.Duration
	reported    time.Time
}

const (
	modelSlots   = 4
	modelService = 500 * time.Millisecond
)

func newFleetModel(policy Policy, reportEvery time.Duration) *fleetModel {
	m := &fleetModel{rng: rand.New(rand.NewPCG(5, 5)), reportEvery: reportEvery, servers: make([]server, 10)}
	for i := range m.servers {
		m.servers[i].speed = 1
	}
	m.servers[3] = server{speed: 0.2, lies: true}
	for entry := range 2 {
		m.routers = append(m.routers, New(Config{Policy: policy, DataCentre: "dc-0"}, rand.New(rand.NewPCG(9, uint64(entry)))))
		view := fleet(10)
		for i := range view {
			view[i].DataCentre = "dc-0"
			view[i].Slots = modelSlots
		}
		m.views = append(m.views, view)
	}
	return m
}

func (m *fleetModel) run(load float64, length time.Duration) {
	gap := float64(modelService) / (load * 9 * modelSlots)
	now := epoch
	for now.Before(epoch.Add(length)) {
		now = now.Add(time.Duration(m.rng.ExpFloat64() * gap))
		for m.calendar.Len() > 0 && m.calendar[0].at.Before(now) {
			o := heap.Pop(&m.calendar).(occurrence)
			m.finish(o.at, o.end)
		}
		m.report(now)
		m.send(now)
	}
}

func (m *fleetModel) report(now time.Time) {
	if now.Sub(m.reported) < m.reportEvery {
		return
	}
	m.reported = now
	for _, view := range m.views {
		for i := range view {
			s := &m.servers[i]
			view[i].ReportedAt = now
			view[i].Running, view[i].Queued = s.running, len(s.waiting)
			wait := time.Duration(len(s.waiting)) * modelService / modelSlots
			if s.lies {
				view[i].Running, view[i].Queued, wait = 0, 0, 0
			}
			view[i].WaitByTier = [4]time.Duration{wait, wait, wait, wait}
		}
	}
}

func (m *fleetModel) send(now time.Time) {
	entry := m.rng.IntN(2)
	at, _ := m.routers[entry].Pick(now, &Request{Tier: 1}, m.views[entry])
	work := time.Duration((0.5 + m.rng.Float64()) * float64(modelService))
	j := &job{entry: entry, server: at, sent: now, work: work}
	m.views[entry][at].Outstanding++
	m.routers[entry].Observe(now, m.views[entry][at].VM, Observation{Kind: KindSent})
	s := &m.servers[at]
	s.waiting = append(s.waiting, j)
	m.start(now, s)
}

func (m *fleetModel) start(now time.Time, s *server) {
	for s.running < modelSlots && len(s.waiting) > 0 {
		j := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.running++
		took := time.Duration(float64(j.work) / s.speed)
		heap.Push(&m.calendar, occurrence{at: now.Add(took), end: j})
	}
}

func (m *fleetModel) finish(now time.Time, j *job) {
	s := &m.servers[j.server]
	s.running--
	view := &m.views[j.entry][j.server]
	view.Outstanding--
	took := now.Sub(j.sent)
	m.took = append(m.took, took)
	m.routers[j.entry].Observe(now, view.VM, Observation{Kind: KindCompleted, Completion: took})
	m.start(now, s)
}

// quantile returns the q-quantile of the completion times.
func (m *fleetModel) quantile(q float64) time.Duration {
	slices.Sort(m.took)
	return m.took[int(q*float64(len(m.took)-1))].Round(time.Millisecond)
}

// TestStragglerThatReportsIdle compares the policies with one agent of ten
// five times slower than the others, whose reports show it idle.
func TestStragglerThatReportsIdle(t *testing.T) {
	for _, every := range []time.Duration{500 * time.Millisecond, time.Minute} {
		p99 := map[Policy]time.Duration{}
		for _, policy := range []Policy{PolicyRoundRobin, PolicyLeastRequests, PolicySesame} {
			m := newFleetModel(policy, every)
			m.run(0.8, 5*time.Minute)
			p99[policy] = m.quantile(0.99)
			t.Logf("reports every %v, %-11s p50 %v p90 %v p99 %v", every, policy, m.quantile(0.5), m.quantile(0.9), p99[policy])
		}
		if best := min(p99[PolicyRoundRobin], p99[PolicyLeastRequests]); p99[PolicySesame] > best {
			t.Errorf("reports every %v: p99 %v, the better baseline has %v", every, p99[PolicySesame], best)
		}
	}
}
