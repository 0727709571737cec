package admission

import (
	"time"

	"github.com/sesameswitch/sesameswitch/outcome"
)

const (
	// paceGain is the weight of the newest gap between starts.
	paceGain = 0.05
	// paceSamples is how many gaps a pace needs to be relied on.
	paceSamples = 5
	// hopelessMargin is how far a wait must exceed the time left before a
	// queued request is given up.
	hopelessMargin = 2
	// maxGivenUp bounds the requests that one call gives up in a class.
	maxGivenUp = 4
)

// pace is the time between starts of a class while it has requests queued. It
// holds all that delays the class: higher tiers, its floor and slow runs.
type pace struct {
	last    time.Time
	gap     time.Duration
	samples int
}

// started takes in a start; idle says that nothing is left queued.
func (p *pace) started(now time.Time, idle bool) {
	if idle {
		*p = pace{}
		return
	}
	if !p.last.IsZero() {
		gain := max(paceGain, 1/float64(p.samples+1))
		p.gap += scale(now.Sub(p.last)-p.gap, gain)
		p.samples++
	}
	p.last = now
}

// wait returns how long the n-th request of the class waits, or zero when the
// pace is not known.
func (p *pace) wait(n float64) time.Duration {
	if p.samples < paceSamples {
		return 0
	}
	return scale(p.gap, n)
}

// giveUp takes requests that will not start in time at the pace of their
// class, so that they are answered now and not at their deadline.
func (q *Queue) giveUp(now time.Time) []*Request {
	if q.cfg.Policy != PolicySesame {
		return nil
	}
	var given []*Request
	for _, c := range q.classes {
		for range maxGivenUp {
			r := q.hopeless(now, c)
			if r == nil {
				break
			}
			q.trace(Event{At: now, Action: ActionExpire, Reason: outcome.ReasonDeadline, Request: r})
			q.take(r)
			given = append(given, r)
		}
	}
	return given
}

// hopeless returns the last request of the account with the most queued, if
// it will not start in time. The first request of an account and those of the
// top tier are kept.
func (q *Queue) hopeless(now time.Time, c *classQueue) *Request {
	if c.queued < 2 || c.tier == topTier {
		return nil
	}
	f := c.heaviest()
	r := f.last.top()
	if f.queued() < 2 || r.StartBy.IsZero() {
		return nil
	}
	left := r.StartBy.Sub(now)
	if c.pace.wait(float64(c.queued)) <= scale(left, hopelessMargin) || q.lowerStarted(now, c.tier, left) {
		return nil
	}
	return r
}
