package admission

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sesameswitch/sesameswitch/outcome"
)

var epoch = time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)

// model drives a Queue and checks each of its decisions.
type model struct {
	t      *rapid.T
	queue  *Queue
	cfg    Config
	now    time.Time
	tiers  map[string]int
	queued map[string]*Request
	// since counts the starts of others while a class waited without a break.
	since   map[string]int
	running []string
	offered int
	expired int
}

func newModel(t *rapid.T) *model {
	m := &model{t: t, now: epoch, queued: map[string]*Request{}, since: map[string]int{}}
	m.cfg = Config{
		Policy:   PolicySesame,
		Capacity: rapid.IntRange(1, 16).Draw(t, "capacity"),
		Slots:    rapid.IntRange(1, 4).Draw(t, "slots"),
		Classes:  drawClasses(t),
	}
	m.setTiers()
	cfg := m.cfg
	cfg.Trace = m.check
	m.queue = New(cfg)
	return m
}

func drawClasses(t *rapid.T) []Class {
	classes := make([]Class, rapid.IntRange(1, 6).Draw(t, "classes"))
	for i := range classes {
		classes[i] = Class{
			Name:  fmt.Sprintf("class-%d", i),
			Tier:  rapid.IntRange(1, NumTiers).Draw(t, "tier"),
			Floor: rapid.SampledFrom([]float64{0, 0.05, 0.25}).Draw(t, "floor"),
		}
	}
	return classes
}

func (m *model) setTiers() {
	m.tiers = map[string]int{}
	for _, class := range m.cfg.Classes {
		m.tiers[class.Name] = class.Tier
	}
}

// weights are those of the accounts.
var weights = map[string]int{"large": 3, "small-1": 1, "small-2": 0}

func drawRequest(t *rapid.T, now time.Time, id int, classes []Class) *Request {
	account := rapid.SampledFrom([]string{"large", "small-1", "small-2"}).Draw(t, "account")
	return &Request{
		ID:      fmt.Sprintf("request-%d", id),
		Class:   classes[rapid.IntRange(0, len(classes)-1).Draw(t, "class")].Name,
		Account: account,
		Weight:  weights[account],
		Arrived: now,
		StartBy: now.Add(time.Duration(rapid.IntRange(-1, 20).Draw(t, "slack")) * time.Second),
		Cost:    time.Duration(rapid.IntRange(0, 3).Draw(t, "cost")) * time.Second,
	}
}

// check judges one decision by the state before it.
func (m *model) check(e Event) {
	m.checkState(e)
	tier := m.tiers[e.Request.Class]
	switch e.Action {
	case ActionRefuse:
		if e.Reason == outcome.ReasonQueueFull && lowestShared(e) > tier {
			m.t.Fatalf("tier %d refused for want of room while tier %d shares it", tier, lowestShared(e))
		}
	case ActionEvict:
		m.checkEviction(e)
		m.forget(e.Request)
	case ActionStart:
		m.checkStart(e)
	case ActionExpire:
		m.forget(e.Request)
		m.expired++
	}
}

func (m *model) checkState(e Event) {
	shared, queued := 0, 0
	for _, s := range e.Classes {
		shared += s.SharedUsed
		queued += s.Queued
		if s.SharedUsed != max(0, s.Queued-s.Reserved) {
			m.t.Fatalf("class %s counts its shared places wrongly: %+v", s.Class, s)
		}
	}
	if shared > e.SharedCapacity {
		m.t.Fatalf("%d places of %d shared ones are occupied", shared, e.SharedCapacity)
	}
	if queued != len(m.queued) {
		m.t.Fatalf("%d requests queued, the model has %d", queued, len(m.queued))
	}
}

// lowestShared returns the lowest tier with shared room occupied, or 0.
func lowestShared(e Event) int {
	lowest := 0
	for _, s := range e.Classes {
		if s.SharedUsed > 0 && s.Tier > lowest {
			lowest = s.Tier
		}
	}
	return lowest
}

func (m *model) checkEviction(e Event) {
	victim, newcomer := m.tiers[e.Request.Class], m.tiers[e.Newcomer.Class]
	if victim < newcomer {
		m.t.Fatalf("tier %d evicted for tier %d", victim, newcomer)
	}
	if lowest := lowestShared(e); lowest > victim {
		m.t.Fatalf("tier %d evicted while tier %d shares the room", victim, lowest)
	}
	if victim > newcomer {
		return
	}
	if m.use(e.Request) <= m.use(e.Newcomer)+1/weightOf(e.Newcomer) {
		m.t.Fatalf("account %s evicted for %s, which occupies no less", e.Request.Account, e.Newcomer.Account)
	}
}

// use returns what the request's account occupies in its class for its
// weight.
func (m *model) use(r *Request) float64 {
	queued := 0
	for _, other := range m.queued {
		if other.Class == r.Class && other.Account == r.Account {
			queued++
		}
	}
	return float64(queued) / weightOf(r)
}

func weightOf(r *Request) float64 { return float64(max(1, r.Weight)) }

func (m *model) checkStart(e Event) {
	tier := m.tiers[e.Request.Class]
	for _, s := range e.Classes {
		if e.Rule == RuleTier && s.Queued > 0 && s.Tier < tier {
			m.t.Fatalf("tier %d started before tier %d without a floor", tier, s.Tier)
		}
		if e.Rule == RuleFloor && s.Class == e.Request.Class && s.Credit < claimDue {
			m.t.Fatalf("class %s started by its floor with a claim of %g", s.Class, s.Credit)
		}
	}
	m.checkGaps(e)
}

// checkGaps bounds the starts of others that a waiting class sees in a row.
func (m *model) checkGaps(e Event) {
	for _, s := range e.Classes {
		if s.Queued == 0 || s.Class == e.Request.Class {
			m.since[s.Class] = 0
			continue
		}
		m.since[s.Class]++
		floor := m.queue.byName[s.Class].floor
		if bound := int(math.Ceil(1/floor)) + len(e.Classes); m.since[s.Class] > bound {
			m.t.Fatalf("class %s waited for %d starts, floor %g", s.Class, m.since[s.Class], floor)
		}
	}
}

func (m *model) forget(r *Request) {
	if m.queued[r.ID] != r {
		m.t.Fatalf("%s left the queue twice", r.ID)
	}
	delete(m.queued, r.ID)
}

func (m *model) offer(t *rapid.T) {
	r := drawRequest(t, m.now, m.offered, m.cfg.Classes)
	m.offered++
	evicted, refusal := m.queue.Offer(m.now, r)
	for _, other := range evicted {
		if m.queued[other.ID] != nil {
			t.Fatalf("%s was evicted without a trace", other.ID)
		}
	}
	if refusal == nil {
		m.queued[r.ID] = r
		return
	}
	if len(evicted) > 0 || refusal.Outcome != outcome.NotRun || refusal.RetryAfter <= 0 {
		t.Fatalf("refusal %v with %d evicted", refusal, len(evicted))
	}
}

func (m *model) start(t *rapid.T) {
	r, via := m.queue.Next(m.now)
	if r == nil {
		if len(m.queued) > 0 && 2*len(m.running) < m.cfg.Slots || via != RuleNone {
			t.Fatalf("nothing started with %d requests queued, %d running", len(m.queued), len(m.running))
		}
		return
	}
	m.forget(r)
	m.running = append(m.running, r.Class)
}

func (m *model) finish(*rapid.T) {
	if len(m.running) == 0 {
		return
	}
	m.queue.Finished(m.now, m.running[0], time.Second)
	m.running = m.running[1:]
}

func (m *model) expire(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 4).Draw(t, "seconds")) * time.Second)
	m.expired = 0
	if expired := m.queue.Expire(m.now); len(expired) != m.expired {
		t.Fatalf("%d requests expired, %d told", len(expired), m.expired)
	}
	if next, ok := m.queue.NextExpiry(); ok && next.Before(m.now) {
		t.Fatalf("a request that had to start by %v is left at %v", next, m.now)
	}
}

func (m *model) remove(t *rapid.T) {
	id := fmt.Sprintf("request-%d", rapid.IntRange(0, m.offered).Draw(t, "id"))
	r := m.queue.Remove(id)
	if (r != nil) != (m.queued[id] != nil) {
		t.Fatalf("removal of %s gave %v", id, r)
	}
	if r != nil {
		m.forget(r)
	}
}

func (m *model) reconfigure(t *rapid.T) {
	m.cfg.Capacity = rapid.IntRange(1, 16).Draw(t, "capacity")
	m.cfg.Classes = drawClasses(t)
	m.setTiers()
	cfg := m.cfg
	cfg.Trace = m.check
	for _, r := range m.queue.Reconfigure(cfg) {
		m.forget(r)
	}
	m.since = map[string]int{}
}

func TestQueueHoldsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"offer":       m.offer,
			"offer again": m.offer,
			"start":       m.start,
			"start again": m.start,
			"finish":      m.finish,
			"expire":      m.expire,
			"remove":      m.remove,
			"reconfigure": m.reconfigure,
			"": func(t *rapid.T) {
				if m.queue.Len() != len(m.queued) {
					t.Fatalf("%d requests queued, the model has %d", m.queue.Len(), len(m.queued))
				}
			},
		})
		for _, r := range m.queue.Drain() {
			m.forget(r)
		}
		if len(m.queued) > 0 || m.queue.Len() > 0 {
			t.Fatalf("%d requests are lost", len(m.queued))
		}
	})
}

// TestLowerTiersDoNotMatter shows that whether a request is refused does not
// depend on what lower tiers have queued.
func TestLowerTiersDoNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{Capacity: rapid.IntRange(1, 12).Draw(t, "capacity"), Slots: 2, Classes: drawClasses(t)}
		full, bare := New(cfg), New(cfg)
		var lower []string
		newcomer := drawRequest(t, epoch, -1, cfg.Classes)
		tier := full.byName[newcomer.Class].tier
		for i := range rapid.IntRange(0, 40).Draw(t, "requests") {
			r := drawRequest(t, epoch, i, cfg.Classes)
			twin := *r
			full.Offer(epoch, r)
			bare.Offer(epoch, &twin)
			if full.byName[r.Class].tier > tier {
				lower = append(lower, r.ID)
			}
			if rapid.IntRange(0, 3).Draw(t, "start") == 0 {
				full.Next(epoch)
				bare.Next(epoch)
			}
		}
		for _, id := range lower {
			bare.Remove(id)
		}
		twin := *newcomer
		_, refusal := full.Offer(epoch, newcomer)
		_, refusalOfTwin := bare.Offer(epoch, &twin)
		if (refusal == nil) != (refusalOfTwin == nil) {
			t.Fatalf("with lower tiers queued: %v; without: %v", refusal, refusalOfTwin)
		}
	})
}

func TestEndlessTopTierLoadLeavesTheFloor(t *testing.T) {
	q := New(Config{Capacity: 40, Slots: 1, Classes: []Class{
		{Name: "reservation", Tier: 1},
		{Name: "lookup", Tier: 4, Floor: 0.05},
		{Name: "draft", Tier: 4},
	}})
	started := map[string]int{}
	offered := 0
	for range 10_000 {
		for _, class := range []string{"lookup", "draft", "reservation", "reservation"} {
			offered++
			r := &Request{ID: fmt.Sprint(offered), Class: class, Account: "school", Arrived: epoch}
			_, refusal := q.Offer(epoch, r)
			if class == "reservation" && refusal != nil && lowestQueuedShared(q) > 1 {
				t.Fatalf("reservation refused: %v", refusal)
			}
		}
		r, _ := q.Next(epoch)
		started[r.Class]++
		q.Finished(epoch, r.Class, time.Second)
	}
	if got := started["lookup"]; got < 490 || got > 510 {
		t.Errorf("lookup started %d times of 10000, floor 0.05", got)
	}
	if got := started["draft"]; got < 90 || got > 110 {
		t.Errorf("draft started %d times of 10000, floor %g", got, MinFloor)
	}
}

func lowestQueuedShared(q *Queue) int {
	lowest := 0
	for _, c := range q.classes {
		if c.shared() > 0 {
			lowest = c.tier
		}
	}
	return lowest
}

func TestLargeAccountLeavesRoomForSmallOnes(t *testing.T) {
	q := New(Config{Capacity: 50, Slots: 1, Classes: []Class{{Name: "lookup", Tier: 2}}})
	offer := func(account string, n int) (admitted int) {
		for i := range n {
			r := &Request{ID: fmt.Sprint(account, i), Class: "lookup", Account: account, Arrived: epoch, Cost: time.Second}
			if _, refusal := q.Offer(epoch, r); refusal == nil {
				admitted++
			}
		}
		return admitted
	}
	offer("large", 500)
	for i := range 9 {
		if got := offer(fmt.Sprint("small", i), 5); got != 5 {
			t.Errorf("small account %d got %d of 5 requests in", i, got)
		}
	}
	started := map[string]int{}
	for range 20 {
		r, _ := q.Next(epoch)
		started[r.Account]++
		q.Finished(epoch, r.Class, time.Second)
	}
	if started["large"] > 2 {
		t.Errorf("the large account got %d of 20 starts among ten accounts", started["large"])
	}
}
