package admission

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// workload is one class of the overload model.
type workload struct {
	Class
	// share is the class's part of the offered slot time.
	share   float64
	service time.Duration
	// target is the time within which a request has to start.
	target time.Duration
}

// openWeek has urgent reservations, comparisons and drafts that burst, and
// lookups that may be late.
var openWeek = []workload{
	{Class{"reservation", 1, 0.02}, 0.20, 500 * time.Millisecond, time.Second},
	{Class{"comparison", 2, 0.02}, 0.35, 2 * time.Second, 2 * time.Second},
	{Class{"drafting", 3, 0.02}, 0.35, 4 * time.Second, 8 * time.Second},
	{Class{"lookup", 4, 0.05}, 0.10, 500 * time.Millisecond, 5 * time.Second},
}

// patience is how many times its target a caller of a baseline waits.
const patience = 4

type arrival struct {
	at      time.Time
	load    *workload
	account string
	service time.Duration
}

// arrivals draws Poisson arrivals at load times the capacity of the slots.
// Half of them are of one large account, the rest of nine small ones.
func arrivals(rng *rand.Rand, mix []workload, slots int, load float64, length time.Duration) []arrival {
	var all []arrival
	for i := range mix {
		w := &mix[i]
		gap := float64(w.service) / (w.share * load * float64(slots))
		for at := rng.ExpFloat64() * gap; at < float64(length); at += rng.ExpFloat64() * gap {
			account := "large"
			if rng.IntN(2) == 0 {
				account = fmt.Sprint("small-", rng.IntN(9))
			}
			service := time.Duration(rng.ExpFloat64() * float64(w.service))
			all = append(all, arrival{epoch.Add(time.Duration(at)), w, account, max(service, time.Millisecond)})
		}
	}
	return all
}

// happening is an arrival or the end of a run.
type happening struct {
	at    time.Time
	newly *arrival
	done  *arrival
	took  time.Duration
}

type agenda []happening

func (a agenda) Len() int           { return len(a) }
func (a agenda) Less(i, j int) bool { return a[i].at.Before(a[j].at) }
func (a agenda) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(h any)        { *a = append(*a, h.(happening)) }
func (a *agenda) Pop() any {
	end := len(*a) - 1
	h := (*a)[end]
	*a = (*a)[:end]
	return h
}

// tally is what became of a class's requests.
type tally struct {
	offered, inTime, late, refused, gaveUp int
	small, smallInTime                     int
	// held is the time that requests waited which never ran.
	held    time.Duration
	work    time.Duration
	lastEnd time.Time
	gap     time.Duration
}

type run struct {
	queue   *Queue
	policy  Policy
	agenda  agenda
	free    int
	tallies map[string]*tally
	now     time.Time
	ids     int
}

func simulate(policy Policy, mix []workload, slots int, all []arrival) *run {
	cfg := Config{Policy: policy, Capacity: 256, Slots: slots, Rand: rand.New(rand.NewPCG(1, 2))}
	r := &run{policy: policy, free: slots, tallies: map[string]*tally{}}
	for _, w := range mix {
		cfg.Classes = append(cfg.Classes, w.Class)
		r.tallies[w.Name] = &tally{lastEnd: epoch}
	}
	r.queue = New(cfg)
	for i := range all {
		r.agenda = append(r.agenda, happening{at: all[i].at, newly: &all[i]})
	}
	heap.Init(&r.agenda)
	end := epoch
	for r.agenda.Len() > 0 {
		h := heap.Pop(&r.agenda).(happening)
		if h.newly != nil {
			end = h.at
		}
		r.step(h)
	}
	for _, t := range r.tallies {
		t.gap = max(t.gap, end.Sub(t.lastEnd))
	}
	return r
}

func (r *run) step(h happening) {
	r.now = h.at
	if h.done != nil {
		r.finish(h)
	} else {
		r.offer(h.newly)
	}
	for _, expired := range r.queue.Expire(r.now) {
		r.giveUp(expired)
	}
	for r.free > 0 {
		next, _ := r.queue.Next(r.now)
		if next == nil {
			return
		}
		r.free--
		a := next.Value.(*arrival)
		heap.Push(&r.agenda, happening{at: r.now.Add(a.service), done: a, took: a.service})
		r.started(a)
	}
}

func (r *run) giveUp(request *Request) {
	t := r.tallies[request.Class]
	t.gaveUp++
	t.held += r.now.Sub(request.Arrived)
}

func (r *run) offer(a *arrival) {
	r.ids++
	t := r.tallies[a.load.Name]
	t.offered++
	if a.account != "large" {
		t.small++
	}
	wait := a.load.target
	if r.policy != PolicySesame {
		wait *= patience
	}
	request := &Request{
		ID: fmt.Sprint(r.ids), Class: a.load.Name, Account: a.account,
		Arrived: r.now, StartBy: r.now.Add(wait), Cost: a.load.service, Value: a,
	}
	evicted, refusal := r.queue.Offer(r.now, request)
	if refusal != nil {
		t.refused++
	}
	for _, e := range evicted {
		r.giveUp(e)
	}
}

func (r *run) started(a *arrival) {
	t := r.tallies[a.load.Name]
	if r.now.Sub(a.at) > a.load.target {
		t.late++
		return
	}
	t.inTime++
	t.work += a.service
	if a.account != "large" {
		t.smallInTime++
	}
}

func (r *run) finish(h happening) {
	r.free++
	r.queue.Finished(r.now, h.done.load.Name, h.took)
	t := r.tallies[h.done.load.Name]
	t.gap = max(t.gap, r.now.Sub(t.lastEnd))
	t.lastEnd = r.now
}

// goodput is the slot time of runs that started in time.
func (r *run) goodput() time.Duration {
	sum := time.Duration(0)
	for _, t := range r.tallies {
		sum += t.work
	}
	return sum
}

func (r *run) table(mix []workload) string {
	var out strings.Builder
	for _, w := range mix {
		t := r.tallies[w.Name]
		fmt.Fprintf(&out, "\n  %-8s %-12s in time %5.1f%% (small accounts %5.1f%%)  late %5.1f%%  refused %5.1f%%  gave up %5.1f%% after %5.2fs  longest gap %5.1fs",
			r.policy, w.Name, percent(t.inTime, t.offered), percent(t.smallInTime, t.small), percent(t.late, t.offered),
			percent(t.refused, t.offered), percent(t.gaveUp, t.offered), t.held.Seconds()/float64(max(1, t.gaveUp)), t.gap.Seconds())
	}
	return out.String()
}

func percent(part, whole int) float64 { return 100 * float64(part) / float64(max(1, whole)) }

// TestPolicyUnderOverload compares the policies on one agent's queue, on the
// same arrivals.
func TestPolicyUnderOverload(t *testing.T) {
	const slots = 8
	for _, load := range []float64{0.8, 1.5, 2, 3} {
		t.Run(fmt.Sprintf("load %g", load), func(t *testing.T) {
			all := arrivals(rand.New(rand.NewPCG(7, 7)), openWeek, slots, load, 10*time.Minute)
			runs := map[Policy]*run{}
			for _, policy := range []Policy{PolicyFIFO, PolicyStrict, PolicySesame} {
				runs[policy] = simulate(policy, openWeek, slots, all)
				t.Logf("goodput %.2f slots%s", runs[policy].goodput().Seconds()/600, runs[policy].table(openWeek))
			}
			compare(t, load, runs)
		})
	}
}

func compare(t *testing.T, load float64, runs map[Policy]*run) {
	sesame := runs[PolicySesame]
	top := sesame.tallies["reservation"]
	if got := percent(top.inTime, top.offered); load < 3 && got < 99 {
		t.Errorf("top tier: %.2f%% in time", got)
	}
	for class, tally := range sesame.tallies {
		if tally.gap > time.Minute {
			t.Errorf("class %s: %v without a completion", class, tally.gap)
		}
	}
	best := max(runs[PolicyFIFO].goodput(), runs[PolicyStrict].goodput())
	ratio := float64(sesame.goodput()) / float64(best)
	t.Logf("goodput ratio %.2f", ratio)
	if load > 1 && ratio < 1.3 {
		t.Errorf("goodput is %.2f times the better baseline's", ratio)
	}
}
