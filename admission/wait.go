package admission

import (
	"math"
	"time"
)

// ewma is an exponentially weighted moving average of durations.
type ewma struct {
	value time.Duration
	valid bool
}

// ewmaWeight is the weight of a new sample, except for the first.
const ewmaWeight = 0.05

func (m *ewma) add(d time.Duration) {
	if !m.valid {
		m.value = d
		m.valid = true
		return
	}
	m.value += time.Duration(ewmaWeight * float64(d-m.value))
}

// forever is the wait of a request that would never start.
const forever = time.Duration(math.MaxInt64)

// expectedCost returns how long the request is expected to hold a slot.
func (q *Queue) expectedCost(c *classQueue, r *Request) time.Duration {
	if r.Cost > 0 {
		return r.Cost
	}
	if c.serviceTime.valid {
		return c.serviceTime.value
	}
	return q.serviceTime.value
}

// expectedWait estimates how long r would wait if it joined class c now. The
// estimate depends only on queued requests of the same and of higher tiers;
// lower tiers are accounted for by their floors, whether or not they have
// requests queued. Below the top tier, the estimate is at least the wait that
// follows from the class's mean start interval.
func (q *Queue) expectedWait(c *classQueue, r *Request) time.Duration {
	ownWork, position := c.ownWorkAhead(r)
	ahead := ownWork + q.otherWorkAhead(c, r)
	if q.running < q.cfg.Slots && ahead == 0 {
		return 0
	}
	tierWait := divide(ahead+q.serviceTime.value, float64(q.cfg.Slots)*(1-q.floorsBelow[c.tier]))
	floorWait := divide(q.serviceTime.value, float64(q.cfg.Slots)*c.floor)
	floorWait = scale(floorWait, max(1, position+1-c.credit))
	expectedWait := min(tierWait, floorWait)
	if c.tier != topTier {
		expectedWait = max(expectedWait, c.startInterval.expectedWait(position+1))
	}
	return expectedWait
}

// otherWorkAhead returns the queued work of classes other than c that is
// expected to start before r.
func (q *Queue) otherWorkAhead(c *classQueue, r *Request) time.Duration {
	var ahead time.Duration
	for _, other := range q.classes {
		if other == c || other.queued == 0 || other.tier > c.tier {
			continue
		}
		if other.tier < c.tier {
			ahead += other.work
			continue
		}
		ahead += scale(other.work, other.shareBefore(r.StartBy))
	}
	return ahead
}

// ownWorkAhead returns the expected slot time and the number of the class's
// queued requests that are expected to start before r. It assumes that the
// requests of each account start in proportion to the weight of the account.
func (c *classQueue) ownWorkAhead(r *Request) (work time.Duration, position float64) {
	if c.queued == 0 {
		return 0, 0
	}
	account, weight := c.flowOf(r)
	sameAccountQueued, otherWeight := 0.0, c.weight
	if f, found := c.flows[account]; found && f.queued() > 0 {
		sameAccountQueued = float64(f.queued())
		otherWeight -= f.weight
	}
	position = min(float64(c.queued), sameAccountQueued+(sameAccountQueued+1)*otherWeight/weight)
	return scale(c.work, position/float64(c.queued)), position
}

// shareBefore estimates the share of the class's queued requests whose StartBy
// is before the given one. It assumes that they are evenly distributed from the
// StartBy of the head to that of the most recently queued request. The class
// must have requests queued.
func (c *classQueue) shareBefore(startBy time.Time) float64 {
	head := c.head().StartBy
	if head.IsZero() {
		return 0
	}
	if startBy.IsZero() || !startBy.Before(c.lastStartBy) {
		return 1
	}
	if !startBy.After(head) {
		return 0
	}
	return float64(startBy.Sub(head)) / float64(c.lastStartBy.Sub(head))
}

// divide returns d divided by rate, or forever if rate is not positive or the
// result would overflow.
func divide(d time.Duration, rate float64) time.Duration {
	if rate <= 0 {
		return forever
	}
	return scale(d, 1/rate)
}

// scale returns d times factor, or forever if the result would overflow.
func scale(d time.Duration, factor float64) time.Duration {
	product := float64(d) * factor
	if product >= float64(forever) {
		return forever
	}
	return time.Duration(product)
}

// WaitByTier estimates how long a new request of each tier would wait for a
// slot, given the number of requests that hold a slot now. Index 0 is tier 1.
// Unlike the estimate of Offer, it does not depend on a class or an account.
func (q *Queue) WaitByTier(_ time.Time, running int) [NumTiers]time.Duration {
	var waits [NumTiers]time.Duration
	var ahead time.Duration
	for tier := 1; tier <= NumTiers; tier++ {
		for _, c := range q.classes {
			if c.tier == tier {
				ahead += c.work
			}
		}
		if running < q.cfg.Slots && ahead == 0 {
			continue
		}
		waits[tier-1] = divide(ahead+q.serviceTime.value, float64(q.cfg.Slots)*(1-q.floorsBelow[tier]))
	}
	return waits
}

// Bounds of a retry delay, before jitter.
const (
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = time.Minute
	// retryJitter is the greatest random addition, as a share of the delay.
	retryJitter = 0.5
)

// RetryAfter returns the retry delay of a refused, evicted or expired request.
// It is the expected wait for a slot, or maxRetryAfter if the class of the
// request is unknown, plus jitter, so that callers that were refused at the same
// time do not retry at the same time.
func (q *Queue) RetryAfter(r *Request) time.Duration {
	expectedWait := maxRetryAfter
	if c := q.classOf(r.Class); c != nil {
		expectedWait = q.expectedWait(c, r)
	}
	expectedWait = min(max(expectedWait, minRetryAfter), maxRetryAfter)
	return scale(expectedWait, 1+retryJitter*q.rng.Float64())
}
