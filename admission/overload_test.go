package admission

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// workload is one class of the simulated load.
type workload struct {
	Class
	// share is the class's share of the offered slot time.
	share       float64
	serviceTime time.Duration
	// target is the latency target: the time within which a request has to start.
	target time.Duration
}

// enrolmentMix consists of urgent reservations, long comparisons and drafts, and
// lookups that tolerate delay.
var enrolmentMix = []workload{
	{Class{"reservation", 1, 0.02}, 0.20, 500 * time.Millisecond, time.Second},
	{Class{"comparison", 2, 0.02}, 0.35, 2 * time.Second, 2 * time.Second},
	{Class{"drafting", 3, 0.02}, 0.35, 4 * time.Second, 8 * time.Second},
	{Class{"lookup", 4, 0.05}, 0.10, 500 * time.Millisecond, 5 * time.Second},
}

// baselineTimeoutFactor is the timeout of callers under a baseline policy
// (PolicyFIFO or PolicyStrict), in multiples of the latency target.
const baselineTimeoutFactor = 4

type arrival struct {
	at          time.Time
	class       *workload
	account     string
	serviceTime time.Duration
}

// poissonArrivals returns Poisson arrivals whose mean demand for slot time is
// load times the capacity of the slots. Half of them are from one large
// account, the others from nine small ones.
func poissonArrivals(rng *rand.Rand, mix []workload, slots int, load float64, length time.Duration) []arrival {
	var all []arrival
	for i := range mix {
		w := &mix[i]
		gap := float64(w.serviceTime) / (w.share * load * float64(slots))
		for at := rng.ExpFloat64() * gap; at < float64(length); at += rng.ExpFloat64() * gap {
			account := "large"
			if rng.IntN(2) == 0 {
				account = fmt.Sprint("small-", rng.IntN(9))
			}
			serviceTime := time.Duration(rng.ExpFloat64() * float64(w.serviceTime))
			all = append(all, arrival{epoch.Add(time.Duration(at)), w, account, max(serviceTime, time.Millisecond)})
		}
	}
	return all
}

// simEvent is the arrival of a request or the end of its run. Either arrived or
// finished is set.
type simEvent struct {
	at       time.Time
	arrived  *arrival
	finished *arrival
	// heldFor is how long the finished request held its slot.
	heldFor time.Duration
}

type eventQueue []simEvent

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(e any)        { *q = append(*q, e.(simEvent)) }
func (q *eventQueue) Pop() any {
	end := len(*q) - 1
	e := (*q)[end]
	*q = (*q)[:end]
	return e
}

// classStats counts the requests of a class by result. Those within the target
// and the late ones were started; the unserved ones were queued, but expired or
// were evicted before they started.
type classStats struct {
	offered, withinTarget, late, refused, unserved int
	// small and smallWithinTarget count the requests of small accounts.
	small, smallWithinTarget int
	// unservedWait is the time for which the unserved requests were queued.
	unservedWait time.Duration
	// goodput is the slot time of the runs that started within the target.
	goodput time.Duration
	// lastEnd is when a run last ended, and longestGap the longest time without
	// the end of a run.
	lastEnd    time.Time
	longestGap time.Duration
}

type simulation struct {
	queue      *Queue
	policy     Policy
	eventQueue eventQueue
	freeSlots  int
	stats      map[string]*classStats
	now        time.Time
	lastID     int
}

func simulate(policy Policy, mix []workload, slots int, all []arrival) *simulation {
	cfg := Config{Policy: policy, Capacity: 256, Slots: slots, Rand: rand.New(rand.NewPCG(1, 2))}
	s := &simulation{policy: policy, freeSlots: slots, stats: map[string]*classStats{}}
	for _, w := range mix {
		cfg.Classes = append(cfg.Classes, w.Class)
		s.stats[w.Name] = &classStats{lastEnd: epoch}
	}
	s.queue = New(cfg)
	for i := range all {
		s.eventQueue = append(s.eventQueue, simEvent{at: all[i].at, arrived: &all[i]})
	}
	heap.Init(&s.eventQueue)
	end := epoch
	for s.eventQueue.Len() > 0 {
		e := heap.Pop(&s.eventQueue).(simEvent)
		if e.arrived != nil {
			end = e.at
		}
		s.step(e)
	}
	for _, c := range s.stats {
		c.longestGap = max(c.longestGap, end.Sub(c.lastEnd))
	}
	return s
}

func (s *simulation) step(e simEvent) {
	s.now = e.at
	if e.finished != nil {
		s.finish(e)
	} else {
		s.offer(e.arrived)
	}
	for _, expired := range s.queue.Expire(s.now) {
		s.recordUnserved(expired)
	}
	for s.freeSlots > 0 {
		next, _ := s.queue.Next(s.now)
		if next == nil {
			return
		}
		s.freeSlots--
		a := next.Value.(*arrival)
		heap.Push(&s.eventQueue, simEvent{at: s.now.Add(a.serviceTime), finished: a, heldFor: a.serviceTime})
		s.recordStart(a)
	}
}

func (s *simulation) recordUnserved(request *Request) {
	c := s.stats[request.Class]
	c.unserved++
	c.unservedWait += s.now.Sub(request.Arrived)
}

func (s *simulation) offer(a *arrival) {
	s.lastID++
	c := s.stats[a.class.Name]
	c.offered++
	if a.account != "large" {
		c.small++
	}
	timeout := a.class.target
	if s.policy != PolicySesame {
		timeout *= baselineTimeoutFactor
	}
	request := &Request{
		ID: fmt.Sprint(s.lastID), Class: a.class.Name, Account: a.account,
		Arrived: s.now, StartBy: s.now.Add(timeout), Cost: a.class.serviceTime, Value: a,
	}
	evicted, refusal := s.queue.Offer(s.now, request)
	if refusal != nil {
		c.refused++
	}
	for _, e := range evicted {
		s.recordUnserved(e)
	}
}

func (s *simulation) recordStart(a *arrival) {
	c := s.stats[a.class.Name]
	if s.now.Sub(a.at) > a.class.target {
		c.late++
		return
	}
	c.withinTarget++
	c.goodput += a.serviceTime
	if a.account != "large" {
		c.smallWithinTarget++
	}
}

func (s *simulation) finish(e simEvent) {
	s.freeSlots++
	s.queue.Finished(s.now, e.finished.class.Name, e.heldFor)
	c := s.stats[e.finished.class.Name]
	c.longestGap = max(c.longestGap, s.now.Sub(c.lastEnd))
	c.lastEnd = s.now
}

// totalGoodput returns the goodput of all classes.
func (s *simulation) totalGoodput() time.Duration {
	sum := time.Duration(0)
	for _, c := range s.stats {
		sum += c.goodput
	}
	return sum
}

func (s *simulation) report(mix []workload) string {
	var out strings.Builder
	for _, w := range mix {
		c := s.stats[w.Name]
		fmt.Fprintf(&out, "\n  %-8s %-12s within target %5.1f%% (small accounts %5.1f%%)  late %5.1f%%  refused %5.1f%%  unserved %5.1f%% after %5.2fs  longest gap %5.1fs",
			s.policy, w.Name, percent(c.withinTarget, c.offered), percent(c.smallWithinTarget, c.small), percent(c.late, c.offered),
			percent(c.refused, c.offered), percent(c.unserved, c.offered), c.unservedWait.Seconds()/float64(max(1, c.unserved)), c.longestGap.Seconds())
	}
	return out.String()
}

func percent(part, total int) float64 { return 100 * float64(part) / float64(max(1, total)) }

// TestPoliciesUnderOverload simulates the queue of one agent under each policy,
// with the same arrivals, and compares PolicySesame with the baselines.
func TestPoliciesUnderOverload(t *testing.T) {
	const slots = 8
	for _, load := range []float64{0.8, 1.5, 2, 3} {
		t.Run(fmt.Sprintf("load %g", load), func(t *testing.T) {
			all := poissonArrivals(rand.New(rand.NewPCG(7, 7)), enrolmentMix, slots, load, 10*time.Minute)
			simulations := map[Policy]*simulation{}
			for _, policy := range []Policy{PolicyFIFO, PolicyStrict, PolicySesame} {
				simulations[policy] = simulate(policy, enrolmentMix, slots, all)
				t.Logf("goodput %.2f slots%s", simulations[policy].totalGoodput().Seconds()/600, simulations[policy].report(enrolmentMix))
			}
			checkSesameAgainstBaselines(t, load, simulations)
		})
	}
}

func checkSesameAgainstBaselines(t *testing.T, load float64, simulations map[Policy]*simulation) {
	sesame := simulations[PolicySesame]
	top := sesame.stats["reservation"]
	if got := percent(top.withinTarget, top.offered); load < 3 && got < 99 {
		t.Errorf("top tier: got %.2f%% within the latency target, want at least 99", got)
	}
	for class, c := range sesame.stats {
		if c.longestGap > time.Minute {
			t.Errorf("class %s: longest gap between completions is %v, want at most a minute", class, c.longestGap)
		}
	}
	best := max(simulations[PolicyFIFO].totalGoodput(), simulations[PolicyStrict].totalGoodput())
	ratio := float64(sesame.totalGoodput()) / float64(best)
	t.Logf("goodput ratio %.2f", ratio)
	if load > 1 && ratio < 1.3 {
		t.Errorf("got %.2f times the goodput of the better baseline, want at least 1.3 times", ratio)
	}
}
