package admission

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sesameswitch/sesameswitch/outcome"
)

// Queue holds the requests that wait for a slot.
type Queue struct {
	cfg Config
	rng *rand.Rand
	// classes are sorted by tier.
	classes []*classQueue
	byName  map[string]*classQueue
	// sharedCapacity is the part of the queue capacity that any class may use.
	sharedCapacity int
	// floorsBelow is, for each tier, the sum of the floors of the tiers below.
	floorsBelow   [NumTiers + 1]float64
	queued        int
	running       int
	sequence      uint64
	serviceTime   ewma
	slotReserve   slotReserve
	topTierDemand topTierDemand
	// lastTierStart is when a request of each tier was last started by RuleTier.
	lastTierStart [NumTiers]time.Time
	byID          map[string]*Request
	expiry        indexedHeap[*Request]
	states        []ClassState
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

// Offer asks for r to be queued. A refusal is about r itself. Evicted requests
// had been queued and did not run. The queue keeps no pointer to requests that
// were refused or evicted.
func (q *Queue) Offer(now time.Time, r *Request) (evicted []*Request, refusal *outcome.Refusal) {
	c := q.classOf(r.Class)
	if c == nil {
		return nil, outcome.Refuse(outcome.ReasonStaleConfig, "the agent's configuration has no class "+r.Class)
	}
	if q.byID[r.ID] != nil {
		return nil, outcome.Refuse(outcome.ReasonBadRequest, "a request with this ID is already queued")
	}
	r.queueState.cost = q.expectedCost(c, r)
	q.topTierDemand.recordOffer(now, c.tier, r)
	if q.unmeetable(now, c, r) {
		return nil, q.refuse(now, r, outcome.ReasonDeadline, "the request cannot start by its deadline")
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

// unmeetable reports whether r is not expected to start by its deadline. The
// first request of a class is admitted while it has any time remaining:
// otherwise a class that starts by its floor only would have no request queued
// when the floor owes it a start.
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
// RuleTier within the window that ends now. At that start no request of the
// given tier was queued. A request with as much time remaining must therefore
// not be refused because of a wait that is only estimated.
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
	return outcome.Refuse(reason, detail).After(q.RetryAfter(r))
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

// untrack removes r from the count and the indexes over all classes.
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
// be refused. It is a request of the lowest tier below that of r that occupies
// shared capacity. If there is none, PolicySesame takes one of an account in
// the tier of r with a higher occupancy than the account of r would have.
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

// largestFlow returns the flow with the longest queue relative to its weight
// among the classes of the tier that occupy shared capacity. The class
// newcomerClass, if any, also counts while it occupies only its reserved
// capacity.
func (q *Queue) largestFlow(tier int, newcomerClass *classQueue) *flow {
	var largestFlow *flow
	for _, c := range q.classes {
		if c.tier != tier || c.queued == 0 {
			continue
		}
		if c.shared() == 0 && c != newcomerClass {
			continue
		}
		if f := c.largestFlow(); largestFlow == nil || f.occupancy() > largestFlow.occupancy() {
			largestFlow = f
		}
	}
	return largestFlow
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

// Next removes and returns the request that runs next. The caller must have a
// free slot and must have called Expire. Next returns nil if nothing is queued,
// or if the free slots are reserved for the top tier. In the latter case at
// least half of the slots are in use, and the caller calls Next again after the
// next Finished or Offer. The caller reports the end of each run by Finished.
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

// selectByTier returns the class whose head must start first among the classes
// of the highest tier with requests queued, or nil.
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
	// maxCredit bounds the credit that a class can save up.
	maxCredit = 2
)

// updateCredits adds to each class with requests queued the credit that its
// floor gives it for one start, and takes one from the class that started.
func (q *Queue) updateCredits(started *classQueue) {
	for _, c := range q.classes {
		if c.queued > 0 {
			c.credit = min(maxCredit, c.credit+c.floor)
		}
	}
	started.credit = max(0, started.credit-1)
}

// Expire removes and returns the requests whose StartBy has passed, and those
// that are expected to miss it by far. They did not run; the caller responds to
// them immediately.
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

// NextExpiry returns the earliest StartBy of the queued requests, after which
// Expire has a request to remove, or false if none has a StartBy.
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

// Finished reports that a started request released its slot after it held the
// slot for heldFor. It must be called once for each request that Next returned.
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
