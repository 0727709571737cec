package admission

import (
	"math"
	"time"
)

// mean is an exponentially weighted mean of durations.
type mean struct {
	value time.Duration
	seen  bool
}

// meanGain is the weight of a new observation.
const meanGain = 0.05

func (m *mean) add(d time.Duration) {
	if !m.seen {
		m.value = d
		m.seen = true
		return
	}
	m.value += time.Duration(meanGain * float64(d-m.value))
}

// forever stands for a wait without end.
const forever = time.Duration(math.MaxInt64)

// expectedCost returns how long the request is expected to hold a slot.
func (q *Queue) expectedCost(c *classQueue, r *Request) time.Duration {
	if r.Cost > 0 {
		return r.Cost
	}
	if c.service.seen {
		return c.service.value
	}
	return q.service.value
}

// wait estimates how long r would wait if it joined class c now. It depends
// on queued requests of the same and of higher tiers only; lower tiers count
// by their floors, whether or not they have anything queued. Below the
// top tier it is not less than the class's own pace gives.
func (q *Queue) wait(c *classQueue, r *Request) time.Duration {
	own, position := c.workBefore(r)
	ahead := own + q.workAhead(c, r)
	if q.running < q.cfg.Slots && ahead == 0 {
		return 0
	}
	viaTier := divide(ahead+q.service.value, float64(q.cfg.Slots)*(1-q.floorsBelow[c.tier]))
	viaFloor := divide(q.service.value, float64(q.cfg.Slots)*c.floor)
	viaFloor = scale(viaFloor, max(1, position+1-c.credit))
	wait := min(viaTier, viaFloor)
	if c.tier != topTier {
		wait = max(wait, c.pace.wait(position+1))
	}
	return wait
}

// workAhead returns the queued work of other classes that goes before r.
func (q *Queue) workAhead(c *classQueue, r *Request) time.Duration {
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

// workBefore returns the class's queued work that goes before r, and the
// number of its requests. Each other account starts as many as its weight
// gives it before r's turn comes.
func (c *classQueue) workBefore(r *Request) (work time.Duration, position float64) {
	if c.queued == 0 {
		return 0, 0
	}
	account, weight := c.flowOf(r)
	mine, others := 0.0, c.weight
	if f, found := c.flows[account]; found && f.queued() > 0 {
		mine = float64(f.queued())
		others -= f.weight
	}
	position = min(float64(c.queued), mine+(mine+1)*others/weight)
	return scale(c.work, position/float64(c.queued)), position
}

// shareBefore estimates the share of the class's queued requests that must
// start before the given time, as if they were spread evenly.
func (c *classQueue) shareBefore(startBy time.Time) float64 {
	head := c.head().StartBy
	if head.IsZero() {
		return 0
	}
	if startBy.IsZero() || !startBy.Before(c.latest) {
		return 1
	}
	if !startBy.After(head) {
		return 0
	}
	return float64(startBy.Sub(head)) / float64(c.latest.Sub(head))
}

// divide returns d divided by a positive rate, without overflow.
func divide(d time.Duration, rate float64) time.Duration {
	if rate <= 0 {
		return forever
	}
	return scale(d, 1/rate)
}

// scale returns d times factor, without overflow.
func scale(d time.Duration, factor float64) time.Duration {
	product := float64(d) * factor
	if product >= float64(forever) {
		return forever
	}
	return time.Duration(product)
}

// WaitByTier estimates how long a request of each tier would wait for a slot
// when running requests hold one now; index 0 is tier 1.
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
		waits[tier-1] = divide(ahead+q.service.value, float64(q.cfg.Slots)*(1-q.floorsBelow[tier]))
	}
	return waits
}

// Bounds of a time to come back.
const (
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = time.Minute
	// retryJitter is the share of the time that is added at random.
	retryJitter = 0.5
)

// RetryAfter returns when asking again can help a request that was refused,
// evicted or expired: once what is queued before it has started, with jitter
// so that callers refused together do not come back together.
func (q *Queue) RetryAfter(r *Request) time.Duration {
	wait := maxRetryAfter
	if c := q.classOf(r.Class); c != nil {
		wait = q.wait(c, r)
	}
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	return scale(wait, 1+retryJitter*q.rng.Float64())
}
