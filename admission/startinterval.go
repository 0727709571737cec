package admission

import (
	"time"

	"github.com/sesameswitch/sesameswitch/outcome"
)

const (
	// minIntervalWeight is the least weight of the newest interval in the mean.
	// The mean is arithmetic until the weight has decreased to this value, and
	// exponentially weighted from then on.
	minIntervalWeight = 0.05
	// minIntervalSamples is how many intervals must be in the mean before the
	// expected wait is derived from it.
	minIntervalSamples = 5
	// unmeetableMargin is the factor by which the expected wait must exceed the
	// time remaining for a queued request to expire early.
	unmeetableMargin = 2
	// maxEarlyExpiries bounds the requests of a class that one call of Expire
	// expires early.
	maxEarlyExpiries = 4
)

// startInterval is the mean interval between starts of a class while it has
// requests queued. It includes everything that delays the class: higher tiers,
// its floor and slow runs.
type startInterval struct {
	lastStart time.Time
	mean      time.Duration
	samples   int
}

// recordStart records a start. If idle is true, the class has no more requests
// queued, and the mean starts again with its next requests.
func (s *startInterval) recordStart(now time.Time, idle bool) {
	if idle {
		*s = startInterval{}
		return
	}
	if !s.lastStart.IsZero() {
		weight := max(minIntervalWeight, 1/float64(s.samples+1))
		s.mean += scale(now.Sub(s.lastStart)-s.mean, weight)
		s.samples++
	}
	s.lastStart = now
}

// expectedWait returns how long the n-th request of the class waits, or zero
// while there are too few samples.
func (s *startInterval) expectedWait(n float64) time.Duration {
	if s.samples < minIntervalSamples {
		return 0
	}
	return scale(s.mean, n)
}

// expireUnmeetable removes requests that will not start by their deadline at
// the present start interval of their class, so that their callers get a
// response now and not at the deadline.
func (q *Queue) expireUnmeetable(now time.Time) []*Request {
	if q.cfg.Policy != PolicySesame {
		return nil
	}
	var expired []*Request
	for _, c := range q.classes {
		for range maxEarlyExpiries {
			r := q.nextUnmeetable(now, c)
			if r == nil {
				break
			}
			q.trace(Event{At: now, Action: ActionExpire, Reason: outcome.ReasonDeadline, Request: r})
			q.dequeue(r)
			expired = append(expired, r)
		}
	}
	return expired
}

// nextUnmeetable returns the last request of the class's largest flow if it
// will not start by its deadline, or nil. The only queued request of an account
// and all requests of the top tier stay queued until their deadline.
func (q *Queue) nextUnmeetable(now time.Time, c *classQueue) *Request {
	if c.queued < 2 || c.tier == topTier {
		return nil
	}
	f := c.largestFlow()
	r := f.last.top()
	if f.queued() < 2 || r.StartBy.IsZero() {
		return nil
	}
	remaining := r.StartBy.Sub(now)
	if c.startInterval.expectedWait(float64(c.queued)) <= scale(remaining, unmeetableMargin) || q.lowerTierStarted(now, c.tier, remaining) {
		return nil
	}
	return r
}
