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
	// sharedRoom is the number of places that any class may use.
	sharedRoom int
	// floorsBelow is the sum of the floors of the tiers below each tier.
	floorsBelow [NumTiers + 1]float64
	queued      int
	running     int
	sequence    uint64
	service     mean
	guard       guard
	demand      demand
	// startedAt is when each tier last had its turn other than by a floor.
	startedAt [NumTiers]time.Time
	byID      map[string]*Request
	expiry    indexed[*Request]
	states    []ClassState
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	q := &Queue{byID: make(map[string]*Request)}
	q.expiry = indexed[*Request]{
		less:  startsBefore,
		index: func(r *Request) *int { return &r.place.inExpiry },
	}
	q.configure(cfg)
	return q
}

// Offer asks for a place. A refusal concerns r itself; evicted requests were
// queued and did not run. Neither is kept.
func (q *Queue) Offer(now time.Time, r *Request) (evicted []*Request, refusal *outcome.Refusal) {
	c := q.classOf(r.Class)
	if c == nil {
		return nil, outcome.Refuse(outcome.ReasonStaleConfig, "the agent does not know the class "+r.Class)
	}
	if q.byID[r.ID] != nil {
		return nil, outcome.Refuse(outcome.ReasonBadRequest, "a request with this ID is queued already")
	}
	r.place.cost = q.expectedCost(c, r)
	q.demand.offered(now, c.tier, r)
	if q.tooLate(now, c, r) {
		return nil, q.refuse(now, r, outcome.ReasonDeadline, "the request cannot start in time")
	}
	if c.queued < c.reserved || q.sharedUsed() < q.sharedRoom {
		q.admit(now, c, r)
		return nil, nil
	}
	victim := q.victim(c, r)
	if victim == nil {
		return nil, q.refuse(now, r, outcome.ReasonQueueFull, "the queue is full")
	}
	q.trace(Event{At: now, Action: ActionEvict, Reason: outcome.ReasonShed, Request: victim, Newcomer: r})
	q.take(victim)
	q.admit(now, c, r)
	return []*Request{victim}, nil
}

// tooLate reports whether r cannot start in time. The first request of a
// class is let in while it has any time left: else a class that is served by
// its floor only would have nothing queued when its turn comes.
func (q *Queue) tooLate(now time.Time, c *classQueue, r *Request) bool {
	if r.StartBy.IsZero() {
		return false
	}
	left := r.StartBy.Sub(now)
	if left < 0 {
		return true
	}
	if q.cfg.Policy != PolicySesame || c.queued == 0 || q.lowerStarted(now, c.tier, left) {
		return false
	}
	return q.wait(c, r) > left
}

// lowerStarted reports whether a lower tier had its turn within the last
// stretch of time. Then all requests of the tier had started, so that one with
// as much time left is not refused for a wait that is only estimated.
func (q *Queue) lowerStarted(now time.Time, tier int, stretch time.Duration) bool {
	for lower := tier + 1; lower <= NumTiers; lower++ {
		at := q.startedAt[lower-1]
		if !at.IsZero() && now.Sub(at) < stretch {
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
	q.put(c, r)
}

// put adds r to the class without a check for room.
func (q *Queue) put(c *classQueue, r *Request) {
	q.sequence++
	r.place.sequence = q.sequence
	c.add(r)
	q.queued++
	q.byID[r.ID] = r
	if !r.StartBy.IsZero() {
		q.expiry.add(r)
	}
}

// take removes a queued request.
func (q *Queue) take(r *Request) {
	r.place.class.remove(r)
	q.untrack(r)
}

// untrack removes r from the records that span the classes.
func (q *Queue) untrack(r *Request) {
	q.queued--
	delete(q.byID, r.ID)
	if !r.StartBy.IsZero() {
		q.expiry.remove(r)
	}
}

// sharedUsed returns how many places of the shared room are occupied.
func (q *Queue) sharedUsed() int {
	used := 0
	for _, c := range q.classes {
		used += c.shared()
	}
	return used
}

// victim returns the queued request that gives its place to r, or nil when r
// has to go: of the lowest tier below r's with shared room occupied, or of an
// account of r's tier that occupies more for its weight than r's would.
func (q *Queue) victim(c *classQueue, r *Request) *Request {
	for tier := NumTiers; tier > c.tier; tier-- {
		if f := q.heaviest(tier, nil); f != nil {
			return f.last.top()
		}
	}
	if q.cfg.Policy != PolicySesame {
		return nil
	}
	f := q.heaviest(c.tier, c)
	if f == nil || f.use() <= c.useWith(r) {
		return nil
	}
	return f.last.top()
}

// heaviest returns the flow with the most queued for its weight among the
// tier's classes that occupy shared room. The joined class may also give up a
// place of its own reserve.
func (q *Queue) heaviest(tier int, joined *classQueue) *flow {
	var heaviest *flow
	for _, c := range q.classes {
		if c.tier != tier || c.queued == 0 {
			continue
		}
		if c.shared() == 0 && c != joined {
			continue
		}
		if f := c.heaviest(); heaviest == nil || f.use() > heaviest.use() {
			heaviest = f
		}
	}
	return heaviest
}

// useWith returns what the use of r's flow would be with r.
func (c *classQueue) useWith(r *Request) float64 {
	account, weight := c.flowOf(r)
	queued := 1
	if f, found := c.flows[account]; found {
		queued += f.queued()
	}
	return float64(queued) / weight
}

// Next takes the request that runs next, for a caller that has a free slot
// and has called Expire. It returns nil when nothing waits, or when the free
// slots are kept for the top tier; then at least half of the slots are taken,
// and the caller asks again after the next Finished or Offer. The caller
// reports the end of each run by Finished.
func (q *Queue) Next(now time.Time) (r *Request, via Rule) {
	q.guard.decay(now)
	q.demand.watch(now, q.lowerQueued())
	c, via := q.choose(now)
	if c == nil {
		return nil, RuleNone
	}
	q.trace(Event{At: now, Action: ActionStart, Rule: via, Request: c.head()})
	q.observeWait(now, c.head())
	q.accrue(c)
	if via == RuleTier {
		q.startedAt[c.tier-1] = now
	}
	r = c.start(now)
	q.untrack(r)
	q.running++
	c.running++
	return r, via
}

// choose returns the class that starts next, or nil when nothing waits or the
// free slots are kept for the top tier.
func (q *Queue) choose(now time.Time) (*classQueue, Rule) {
	first := q.byTier()
	if first == nil {
		return nil, RuleNone
	}
	if due := q.byFloor(); due != nil && due != first {
		return due, RuleFloor
	}
	if first.credit < claimDue && q.guarded(now, first) {
		return nil, RuleNone
	}
	return first, RuleTier
}

// byTier returns the class of the highest tier with requests queued whose
// head must start first.
func (q *Queue) byTier() *classQueue {
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

// byFloor returns the class with the greatest claim to a start by its floor,
// or nil when none is due.
func (q *Queue) byFloor() *classQueue {
	var due *classQueue
	for _, c := range q.classes {
		if c.queued == 0 || c.credit < claimDue {
			continue
		}
		if due == nil || c.credit > due.credit {
			due = c
		}
	}
	return due
}

const (
	// claimDue is the claim that gives a start: one, less rounding.
	claimDue = 1 - 1e-9
	// maxCredit bounds the claim that a class can save up.
	maxCredit = 2
)

// accrue adds a start's worth to the claims of the classes with requests
// queued, and takes the start off the claim of its class.
func (q *Queue) accrue(started *classQueue) {
	for _, c := range q.classes {
		if c.queued > 0 {
			c.credit = min(maxCredit, c.credit+c.floor)
		}
	}
	started.credit = max(0, started.credit-1)
}

// Expire takes the requests that can no longer start in time, and those that
// by what was seen will not. They did not run and are answered at once.
func (q *Queue) Expire(now time.Time) []*Request {
	var expired []*Request
	for q.expiry.Len() > 0 && q.expiry.top().StartBy.Before(now) {
		r := q.expiry.top()
		q.trace(Event{At: now, Action: ActionExpire, Reason: outcome.ReasonDeadline, Request: r})
		q.observeWait(now, r)
		q.take(r)
		expired = append(expired, r)
	}
	return append(expired, q.giveUp(now)...)
}

// NextExpiry returns the time after which Expire has something to take.
func (q *Queue) NextExpiry() (time.Time, bool) {
	if q.expiry.Len() == 0 {
		return time.Time{}, false
	}
	return q.expiry.top().StartBy, true
}

// Remove takes the request with the ID out of the queue, or returns nil.
func (q *Queue) Remove(id string) *Request {
	r := q.byID[id]
	if r != nil {
		q.take(r)
	}
	return r
}

// Len returns the number of queued requests.
func (q *Queue) Len() int { return q.queued }

// Drain takes all requests out of the queue, in order of arrival.
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
		q.take(r)
	}
	return all
}

// Finished reports that a started request gave its slot back after holding it
// for took. It is called once for each request that Next returned.
func (q *Queue) Finished(_ time.Time, class string, took time.Duration) {
	q.running = max(0, q.running-1)
	q.service.add(took)
	if c := q.classOf(class); c != nil {
		c.running = max(0, c.running-1)
		c.service.add(took)
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
	event.SharedCapacity = q.sharedRoom
	event.Classes = q.states
	q.cfg.Trace(event)
}
