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

// queueModel drives a Queue and checks each of its decisions.
type queueModel struct {
	t      *rapid.T
	queue  *Queue
	cfg    Config
	now    time.Time
	tiers  map[string]int
	queued map[string]*Request
	// startsOfOthers counts, for each class with requests queued, the
	// consecutive starts of other classes.
	startsOfOthers map[string]int
	// running contains the classes of the requests that hold a slot.
	running []string
	offered int
	// expired counts the ActionExpire events during one call of Expire.
	expired int
}

func newQueueModel(t *rapid.T) *queueModel {
	m := &queueModel{t: t, now: epoch, queued: map[string]*Request{}, startsOfOthers: map[string]int{}}
	m.cfg = Config{
		Policy:   PolicySesame,
		Capacity: rapid.IntRange(1, 16).Draw(t, "capacity"),
		Slots:    rapid.IntRange(1, 4).Draw(t, "slots"),
		Classes:  drawClasses(t),
	}
	m.setTiers()
	cfg := m.cfg
	cfg.Trace = m.checkEvent
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

func (m *queueModel) setTiers() {
	m.tiers = map[string]int{}
	for _, class := range m.cfg.Classes {
		m.tiers[class.Name] = class.Tier
	}
}

// accountWeights has the weight of each account. A Weight of zero counts as one.
var accountWeights = map[string]int{"large": 3, "small-1": 1, "small-2": 0}

func drawRequest(t *rapid.T, now time.Time, id int, classes []Class) *Request {
	account := rapid.SampledFrom([]string{"large", "small-1", "small-2"}).Draw(t, "account")
	return &Request{
		ID:      fmt.Sprintf("request-%d", id),
		Class:   classes[rapid.IntRange(0, len(classes)-1).Draw(t, "class")].Name,
		Account: account,
		Weight:  accountWeights[account],
		Arrived: now,
		StartBy: now.Add(time.Duration(rapid.IntRange(-1, 20).Draw(t, "slack")) * time.Second),
		Cost:    time.Duration(rapid.IntRange(0, 3).Draw(t, "cost")) * time.Second,
	}
}

// checkEvent checks one decision against the state of the queue before it.
func (m *queueModel) checkEvent(e Event) {
	m.checkState(e)
	tier := m.tiers[e.Request.Class]
	switch e.Action {
	case ActionRefuse:
		if e.Reason == outcome.ReasonQueueFull && lowestSharingTier(e) > tier {
			m.t.Fatalf("tier %d refused for lack of capacity while tier %d occupies shared capacity", tier, lowestSharingTier(e))
		}
	case ActionEvict:
		m.checkEviction(e)
		m.markRemoved(e.Request)
	case ActionStart:
		m.checkStart(e)
	case ActionExpire:
		m.markRemoved(e.Request)
		m.expired++
	}
}

func (m *queueModel) checkState(e Event) {
	shared, queued := 0, 0
	for _, s := range e.Classes {
		shared += s.SharedUsed
		queued += s.Queued
		if s.SharedUsed != max(0, s.Queued-s.Reserved) {
			m.t.Fatalf("class %s: SharedUsed does not follow from Queued and Reserved: %+v", s.Class, s)
		}
	}
	if shared > e.SharedCapacity {
		m.t.Fatalf("classes occupy %d of the shared capacity, want at most %d", shared, e.SharedCapacity)
	}
	if queued != len(m.queued) {
		m.t.Fatalf("got %d requests queued, want %d as in the model", queued, len(m.queued))
	}
}

// lowestSharingTier returns the lowest tier that occupies shared capacity, or 0.
func lowestSharingTier(e Event) int {
	lowest := 0
	for _, s := range e.Classes {
		if s.SharedUsed > 0 && s.Tier > lowest {
			lowest = s.Tier
		}
	}
	return lowest
}

func (m *queueModel) checkEviction(e Event) {
	victim, newcomer := m.tiers[e.Request.Class], m.tiers[e.Newcomer.Class]
	if victim < newcomer {
		m.t.Fatalf("tier %d evicted for tier %d", victim, newcomer)
	}
	if lowest := lowestSharingTier(e); lowest > victim {
		m.t.Fatalf("tier %d evicted while tier %d occupies shared capacity", victim, lowest)
	}
	if victim > newcomer {
		return
	}
	if m.occupancy(e.Request) <= m.occupancy(e.Newcomer)+1/weightOf(e.Newcomer) {
		m.t.Fatalf("account %s evicted for %s, whose occupancy would be no lower", e.Request.Account, e.Newcomer.Account)
	}
}

// occupancy returns the number of queued requests of r's account in its class,
// relative to the account's weight.
func (m *queueModel) occupancy(r *Request) float64 {
	queued := 0
	for _, other := range m.queued {
		if other.Class == r.Class && other.Account == r.Account {
			queued++
		}
	}
	return float64(queued) / weightOf(r)
}

func weightOf(r *Request) float64 { return float64(max(1, r.Weight)) }

func (m *queueModel) checkStart(e Event) {
	tier := m.tiers[e.Request.Class]
	for _, s := range e.Classes {
		if e.Rule == RuleTier && s.Queued > 0 && s.Tier < tier {
			m.t.Fatalf("tier %d started by RuleTier while tier %d had requests queued", tier, s.Tier)
		}
		if e.Rule == RuleFloor && s.Class == e.Request.Class && s.Credit < startCredit {
			m.t.Fatalf("class %s started by its floor with a credit of %g", s.Class, s.Credit)
		}
	}
	m.checkStarvation(e)
}

// checkStarvation bounds, for each class with requests queued, the consecutive
// starts of other classes.
func (m *queueModel) checkStarvation(e Event) {
	for _, s := range e.Classes {
		if s.Queued == 0 || s.Class == e.Request.Class {
			m.startsOfOthers[s.Class] = 0
			continue
		}
		m.startsOfOthers[s.Class]++
		floor := m.queue.byName[s.Class].floor
		if bound := int(math.Ceil(1/floor)) + len(e.Classes); m.startsOfOthers[s.Class] > bound {
			m.t.Fatalf("class %s waited for %d starts of other classes with a floor of %g", s.Class, m.startsOfOthers[s.Class], floor)
		}
	}
}

func (m *queueModel) markRemoved(r *Request) {
	if m.queued[r.ID] != r {
		m.t.Fatalf("%s is not queued in the model, or left the queue twice", r.ID)
	}
	delete(m.queued, r.ID)
}

func (m *queueModel) offer(t *rapid.T) {
	r := drawRequest(t, m.now, m.offered, m.cfg.Classes)
	m.offered++
	evicted, refusal := m.queue.Offer(m.now, r)
	for _, other := range evicted {
		if m.queued[other.ID] != nil {
			t.Fatalf("%s was evicted without a trace event", other.ID)
		}
	}
	if refusal == nil {
		m.queued[r.ID] = r
		return
	}
	if len(evicted) > 0 || refusal.Outcome != outcome.NotRun || refusal.RetryAfter <= 0 {
		t.Fatalf("got refusal %v with %d evicted requests, want outcome not_run, a retry delay and none evicted", refusal, len(evicted))
	}
}

func (m *queueModel) start(t *rapid.T) {
	r, rule := m.queue.Next(m.now)
	if r == nil {
		if len(m.queued) > 0 && 2*len(m.running) < m.cfg.Slots || rule != RuleNone {
			t.Fatalf("Next returned no request with %d queued and %d running, want one while less than half of the slots are in use, and no rule without a request", len(m.queued), len(m.running))
		}
		return
	}
	m.markRemoved(r)
	m.running = append(m.running, r.Class)
}

func (m *queueModel) finish(*rapid.T) {
	if len(m.running) == 0 {
		return
	}
	m.queue.Finished(m.now, m.running[0], time.Second)
	m.running = m.running[1:]
}

func (m *queueModel) expire(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 4).Draw(t, "seconds")) * time.Second)
	m.expired = 0
	if expired := m.queue.Expire(m.now); len(expired) != m.expired {
		t.Fatalf("Expire returned %d requests, the trace has %d", len(expired), m.expired)
	}
	if next, ok := m.queue.NextExpiry(); ok && next.Before(m.now) {
		t.Fatalf("request with StartBy %v is still queued at %v", next, m.now)
	}
}

func (m *queueModel) remove(t *rapid.T) {
	id := fmt.Sprintf("request-%d", rapid.IntRange(0, m.offered).Draw(t, "id"))
	r := m.queue.Remove(id)
	if (r != nil) != (m.queued[id] != nil) {
		t.Fatalf("Remove of %s returned %v, which does not match the model", id, r)
	}
	if r != nil {
		m.markRemoved(r)
	}
}

func (m *queueModel) reconfigure(t *rapid.T) {
	m.cfg.Capacity = rapid.IntRange(1, 16).Draw(t, "capacity")
	m.cfg.Classes = drawClasses(t)
	m.setTiers()
	cfg := m.cfg
	cfg.Trace = m.checkEvent
	for _, r := range m.queue.Reconfigure(cfg) {
		m.markRemoved(r)
	}
	m.startsOfOthers = map[string]int{}
}

func TestQueueKeepsTierOrderFloorsAndCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newQueueModel(t)
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
					t.Fatalf("got %d requests queued, want %d as in the model", m.queue.Len(), len(m.queued))
				}
			},
		})
		for _, r := range m.queue.Drain() {
			m.markRemoved(r)
		}
		if len(m.queued) > 0 || m.queue.Len() > 0 {
			t.Fatalf("%d requests are queued in the model but no longer in the queue", len(m.queued))
		}
	})
}

// TestRefusalDoesNotDependOnLowerTiers offers the same request to two queues
// that differ only in whether lower tiers have requests queued.
func TestRefusalDoesNotDependOnLowerTiers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{Capacity: rapid.IntRange(1, 12).Draw(t, "capacity"), Slots: 2, Classes: drawClasses(t)}
		withLower, withoutLower := New(cfg), New(cfg)
		var lowerIDs []string
		newcomer := drawRequest(t, epoch, -1, cfg.Classes)
		tier := withLower.byName[newcomer.Class].tier
		for i := range rapid.IntRange(0, 40).Draw(t, "requests") {
			r := drawRequest(t, epoch, i, cfg.Classes)
			duplicate := *r
			withLower.Offer(epoch, r)
			withoutLower.Offer(epoch, &duplicate)
			if withLower.byName[r.Class].tier > tier {
				lowerIDs = append(lowerIDs, r.ID)
			}
			if rapid.IntRange(0, 3).Draw(t, "start") == 0 {
				withLower.Next(epoch)
				withoutLower.Next(epoch)
			}
		}
		for _, id := range lowerIDs {
			withoutLower.Remove(id)
		}
		duplicate := *newcomer
		_, refusal := withLower.Offer(epoch, newcomer)
		_, refusalWithoutLower := withoutLower.Offer(epoch, &duplicate)
		if (refusal == nil) != (refusalWithoutLower == nil) {
			t.Fatalf("got refusal %v with lower tiers queued, %v without", refusal, refusalWithoutLower)
		}
	})
}

func TestFloorHoldsUnderConstantTopTierLoad(t *testing.T) {
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
			if class == "reservation" && refusal != nil && lowestSharingTierOf(q) > 1 {
				t.Fatalf("reservation refused while a lower tier occupies shared capacity: %v", refusal)
			}
		}
		r, _ := q.Next(epoch)
		started[r.Class]++
		q.Finished(epoch, r.Class, time.Second)
	}
	if got := started["lookup"]; got < 490 || got > 510 {
		t.Errorf("lookup got %d of 10000 starts, want about 500 for a floor of 0.05", got)
	}
	if got := started["draft"]; got < 90 || got > 110 {
		t.Errorf("draft got %d of 10000 starts, want about 100 for a floor of %g", got, MinFloor)
	}
}

func lowestSharingTierOf(q *Queue) int {
	lowest := 0
	for _, c := range q.classes {
		if c.shared() > 0 {
			lowest = c.tier
		}
	}
	return lowest
}

func TestLargeAccountDoesNotCrowdOutSmallAccounts(t *testing.T) {
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
			t.Errorf("small account %d: got %d of 5 requests admitted, want 5", i, got)
		}
	}
	started := map[string]int{}
	for range 20 {
		r, _ := q.Next(epoch)
		started[r.Account]++
		q.Finished(epoch, r.Class, time.Second)
	}
	if started["large"] > 2 {
		t.Errorf("large account got %d of 20 starts, want at most 2 of ten equal accounts", started["large"])
	}
}
