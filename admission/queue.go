package admission

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sesameswitch/sesameswitch/outcome"
)

// Queue holds the requests that wait for a slot. It is not safe for concurrent
// use.
type Queue struct {
	cfg Config
	rng *rand.Rand
	// classes are sorted by tier.
	classes []*classQueue
	byName  map[string]*classQueue
	// sharedCapacity is the part of the queue capacity that any class may use.
	sharedCapacity int
	// floorsBelow is, for each tier, the sum of the floors of the tiers below.
	// The index is the tier.
	floorsBelow [NumTiers + 1]float64
	queued      int
	// running is the number of requests that hold a slot.
	running int
	// sequence is the position of the last queued request in the order of
	// arrival.
	sequence uint64
	// serviceTime is the mean time for which a request of any class holds its
	// slot.
	serviceTime   ewma
	slotReserve   slotReserve
	topTierDemand topTierDemand
	// lastTierStart is when a request of each tier was last started by RuleTier.
	// Index 0 is tier 1.
	lastTierStart [NumTiers]time.Time
	// byID contains all queued requests, and expiry those with a StartBy.
	byID   map[string]*Request
	expiry indexedHeap[*Request]
	// states is the buffer for Event.Classes.
	states []ClassState
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	q := &Queue{byID: make(map[string]*Request)}
	q.expiry = indexedHeap[*Request]{
		less:  startsBefore,
		index: func(r *Request) *int { return &r.queueState.expiryIndex },
	}
	q.configure(cfg)
	return q
}

// Offer queues r, or returns the refusal of r. To queue r, it may evict another
// queued request, which did not run and is returned. The queue keeps no pointer
// to a refused or evicted request.
func (q *Queue) Offer(now time.Time, r *Request) (evicted []*Request, refusal *outcome.Refusal) {
	c := q.classOf(r.Class)
	if c == nil {
		return nil, outcome.Refuse(outcome.ReasonStaleConfig, "the agent does not know the class "+r.Class)
	}
	if q.byID[r.ID] != nil {
		return nil, outcome.Refuse(outcome.ReasonBadRequest, "a request with this ID is queued already")
	}
	r.queueState.cost = q.expectedCost(c, r)
	q.topTierDemand.recordOffer(now, c.tier, r)
	if q.unmeetable(now, c, r) {
		return nil, q.refuse(now, r, outcome.ReasonDeadline, "the request cannot start in time")
	}
	if c.queued < c.reserved || q.sharedUsed() < q.sharedCapacity {
		q.admit(now, c, r)
		return nil, nil
	}
	victim := q.victim(c, r)
	if victim == nil {
		return nil, q.refuse(now, r, outcome.ReasonQueueFull, "the queue is full")
	}
	q.trace(Event{At: now, Action: ActionEvict, Reason: outcome.ReasonShed, Request: victim, Newcomer: r})
	q.dequeue(victim)
	q.admit(now, c, r)
	return []*Request{victim}, nil
}

// unmeetable reports whether r is not expected to start by its deadline. While a
// class has no request queued, the estimate is ignored and a request is
// admitted if it has any time remaining: a class gains credit only while it has
// requests queued, and without credit its floor cannot start any.
func (q *Queue) unmeetable(now time.Time, c *classQueue, r *Request) bool {
	if r.StartBy.IsZero() {
		return false
	}
	remaining := r.StartBy.Sub(now)
	if remaining < 0 {
		return true
	}
	if q.cfg.Policy != PolicySesame || c.queued == 0 || q.lowerTierStarted(now, c.tier, remaining) {
		return false
	}
	return q.expectedWait(c, r) > remaining
}

// lowerTierStarted reports whether a request of a lower tier was started by
// RuleTier within the window that ends now. RuleTier starts a lower tier only
// while no request of the given tier is queued. Since the given tier has had an
// empty queue within the window, its estimated wait is not reliable enough to
// refuse a request that has this much time remaining.
func (q *Queue) lowerTierStarted(now time.Time, tier int, window time.Duration) bool {
	for lower := tier + 1; lower <= NumTiers; lower++ {
		at := q.lastTierStart[lower-1]
		if !at.IsZero() && now.Sub(at) < window {
			return true
		}
	}
	return false
}

func (q *Queue) refuse(now time.Time, r *Request, reason outcome.Reason, detail string) *outcome.Refusal {
	q.trace(Event{At: now, Action: ActionRefuse, Reason: reason, Request: r})
	return outcome.Refuse(reason, detail).WithRetryAfter(q.RetryAfter(r))
}

func (q *Queue) admit(now time.Time, c *classQueue, r *Request) {
	q.trace(Event{At: now, Action: ActionAdmit, Request: r})
	q.enqueue(c, r)
}

// enqueue adds r to the class without a check of the capacity.
func (q *Queue) enqueue(c *classQueue, r *Request) {
	q.sequence++
	r.queueState.sequence = q.sequence
	c.add(r)
	q.queued++
	q.byID[r.ID] = r
	if !r.StartBy.IsZero() {
		q.expiry.add(r)
	}
}

// dequeue removes a queued request from any position.
func (q *Queue) dequeue(r *Request) {
	r.queueState.class.remove(r)
	q.untrack(r)
}

// untrack removes r from the count, the map and the heap over all classes.
func (q *Queue) untrack(r *Request) {
	q.queued--
	delete(q.byID, r.ID)
	if !r.StartBy.IsZero() {
		q.expiry.remove(r)
	}
}

// sharedUsed returns how much of the shared capacity is occupied.
func (q *Queue) sharedUsed() int {
	used := 0
	for _, c := range q.classes {
		used += c.shared()
	}
	return used
}

// victim returns the queued request to evict in favour of r, or nil if r must
// be refused. The victim is a request of the lowest tier that occupies shared
// capacity, if this tier is below that of r. Otherwise, under PolicySesame, it
// is a request of the largest flow in the tier of r, if the occupancy of this
// flow is higher than that of the flow of r would be with r.
func (q *Queue) victim(c *classQueue, r *Request) *Request {
	for tier := NumTiers; tier > c.tier; tier-- {
		if f := q.largestFlow(tier, nil); f != nil {
			return f.last.top()
		}
	}
	if q.cfg.Policy != PolicySesame {
		return nil
	}
	f := q.largestFlow(c.tier, c)
	if f == nil || f.occupancy() <= c.occupancyWith(r) {
		return nil
	}
	return f.last.top()
}

// largestFlow returns the flow with the highest occupancy in the classes of the
// tier that occupy shared capacity, or nil. The class newcomerClass, unless nil,
// is included even if it occupies only its reserved capacity.
func (q *Queue) largestFlow(tier int, newcomerClass *classQueue) *flow {
	var largest *flow
	for _, c := range q.classes {
		if c.tier != tier || c.queued == 0 {
			continue
		}
		if c.shared() == 0 && c != newcomerClass {
			continue
		}
		if f := c.largestFlow(); largest == nil || f.occupancy() > largest.occupancy() {
			largest = f
		}
	}
	return largest
}

// occupancyWith returns the occupancy that the flow of r would have with r.
func (c *classQueue) occupancyWith(r *Request) float64 {
	account, weight := c.flowOf(r)
	queued := 1
	if f, found := c.flows[account]; found {
		queued += f.queued()
	}
	return float64(queued) / weight
}

// Next removes and returns the request to start next. The caller must have a
// free slot, must have called Expire with the same time, and must call Finished
// when the run ends. Next returns nil if nothing is queued, or if the free slots
// are reserved for the top tier. In the latter case at least half of the slots
// are in use, unless the number of slots was reduced, and the caller must call
// Next again after the next Finished or Offer.
func (q *Queue) Next(now time.Time) (r *Request, rule Rule) {
	q.slotReserve.decay(now)
	q.topTierDemand.recordBacklog(now, q.lowerTierQueued())
	c, rule := q.selectClass(now)
	if c == nil {
		return nil, RuleNone
	}
	q.trace(Event{At: now, Action: ActionStart, Rule: rule, Request: c.head()})
	q.observeWait(now, c.head())
	q.updateCredits(c)
	if rule == RuleTier {
		q.lastTierStart[c.tier-1] = now
	}
	r = c.start(now)
	q.untrack(r)
	q.running++
	c.running++
	return r, rule
}

// selectClass returns the class whose head starts next, or nil if nothing is
// queued or the free slots are reserved for the top tier.
func (q *Queue) selectClass(now time.Time) (*classQueue, Rule) {
	first := q.selectByTier()
	if first == nil {
		return nil, RuleNone
	}
	if owed := q.selectByFloor(); owed != nil && owed != first {
		return owed, RuleFloor
	}
	if first.credit < startCredit && q.freeSlotsReserved(now, first) {
		return nil, RuleNone
	}
	return first, RuleTier
}

// selectByTier returns the class whose head comes first in the order of before,
// among the classes of the highest tier with requests queued, or nil if nothing
// is queued.
func (q *Queue) selectByTier() *classQueue {
	var first *classQueue
	for _, c := range q.classes {
		if c.queued == 0 {
			continue
		}
		if first != nil && c.tier > first.tier {
			break
		}
		if first == nil || c.before(c.head(), first.head()) {
			first = c
		}
	}
	return first
}

// selectByFloor returns the class with requests queued that has the greatest
// credit, or nil if no floor owes a start.
func (q *Queue) selectByFloor() *classQueue {
	var owed *classQueue
	for _, c := range q.classes {
		if c.queued == 0 || c.credit < startCredit {
			continue
		}
		if owed == nil || c.credit > owed.credit {
			owed = c
		}
	}
	return owed
}

const (
	// startCredit is the credit for one start. It is slightly below one because
	// credits are sums with rounding errors.
	startCredit = 1 - 1e-9
	// maxCredit bounds the credit that a class can accumulate, and thus its
	// consecutive starts ahead of higher tiers.
	maxCredit = 2
)

// updateCredits updates the credits for the start of one request: each class
// with requests queued gains its floor, and the class that started loses one.
func (q *Queue) updateCredits(started *classQueue) {
	for _, c := range q.classes {
		if c.queued > 0 {
			c.credit = min(maxCredit, c.credit+c.floor)
		}
	}
	started.credit = max(0, started.credit-1)
}

// Expire removes and returns the requests whose StartBy has passed and, under
// PolicySesame, requests that will probably not start by their StartBy. They did
// not run; the caller must respond to them immediately.
func (q *Queue) Expire(now time.Time) []*Request {
	var expired []*Request
	for q.expiry.Len() > 0 && q.expiry.top().StartBy.Before(now) {
		r := q.expiry.top()
		q.trace(Event{At: now, Action: ActionExpire, Reason: outcome.ReasonDeadline, Request: r})
		q.observeWait(now, r)
		q.dequeue(r)
		expired = append(expired, r)
	}
	return append(expired, q.expireUnmeetable(now)...)
}

// NextExpiry returns the earliest StartBy of the queued requests, or false if
// none has a StartBy. After that time, Expire removes at least one request.
func (q *Queue) NextExpiry() (time.Time, bool) {
	if q.expiry.Len() == 0 {
		return time.Time{}, false
	}
	return q.expiry.top().StartBy, true
}

// Remove removes and returns the queued request with the ID, or returns nil.
func (q *Queue) Remove(id string) *Request {
	r := q.byID[id]
	if r != nil {
		q.dequeue(r)
	}
	return r
}

// Len returns the number of queued requests.
func (q *Queue) Len() int { return q.queued }

// Drain removes and returns all queued requests, in order of arrival.
func (q *Queue) Drain() []*Request {
	all := make([]*Request, 0, q.queued)
	for _, r := range q.byID {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *Request) int {
		if arrivedBefore(a, b) {
			return -1
		}
		return 1
	})
	for _, r := range all {
		q.dequeue(r)
	}
	return all
}

// Finished records that a started request released its slot, which it had held
// for the duration heldFor. It must be called once for each request that Next
// returned.
func (q *Queue) Finished(_ time.Time, class string, heldFor time.Duration) {
	q.running = max(0, q.running-1)
	q.serviceTime.add(heldFor)
	if c := q.classOf(class); c != nil {
		c.running = max(0, c.running-1)
		c.serviceTime.add(heldFor)
	}
}

// trace reports a decision before it takes effect.
func (q *Queue) trace(event Event) {
	if q.cfg.Trace == nil {
		return
	}
	q.states = q.states[:0]
	for _, c := range q.classes {
		q.states = append(q.states, ClassState{
			Class: c.name, Tier: c.tier, Queued: c.queued,
			Reserved: c.reserved, SharedUsed: c.shared(), Credit: c.credit,
		})
	}
	event.SharedCapacity = q.sharedCapacity
	event.Classes = q.states
	q.cfg.Trace(event)
}
