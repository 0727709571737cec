package admission

import (
	"slices"
	"time"

	"github.com/sesameswitch/sesameswitch/outcome"
)

// place is the queue's own record in a Request.
type place struct{}

// Queue holds the requests that wait for a slot.
type Queue struct {
	cfg     Config
	waiting []*Request
}

// New returns an empty queue.
func New(cfg Config) *Queue { return &Queue{cfg: cfg} }

// Offer asks for a place. A refusal concerns r itself; evicted requests were
// queued and did not run.
func (q *Queue) Offer(now time.Time, r *Request) (evicted []*Request, refusal *outcome.Refusal) {
	if !r.StartBy.IsZero() && now.After(r.StartBy) {
		return nil, outcome.Refuse(outcome.ReasonDeadline, "the request cannot start in time").After(time.Second)
	}
	if len(q.waiting) >= q.cfg.Capacity {
		return nil, outcome.Refuse(outcome.ReasonQueueFull, "the queue is full").After(time.Second)
	}
	q.waiting = append(q.waiting, r)
	return nil, nil
}

// Next takes the request that runs next, for a caller that has a free slot.
// It returns nil when nothing waits.
func (q *Queue) Next(_ time.Time) (r *Request, via Via) {
	if len(q.waiting) == 0 {
		return nil, ViaNone
	}
	r = q.waiting[0]
	q.waiting = q.waiting[1:]
	return r, ViaTier
}

// Expire takes the requests that can no longer start in time.
func (q *Queue) Expire(now time.Time) []*Request {
	var expired []*Request
	q.waiting = slices.DeleteFunc(q.waiting, func(r *Request) bool {
		late := !r.StartBy.IsZero() && now.After(r.StartBy)
		if late {
			expired = append(expired, r)
		}
		return late
	})
	return expired
}

// NextExpiry returns when Expire next has something to take.
func (q *Queue) NextExpiry() (time.Time, bool) {
	var next time.Time
	for _, r := range q.waiting {
		if !r.StartBy.IsZero() && (next.IsZero() || r.StartBy.Before(next)) {
			next = r.StartBy
		}
	}
	return next, !next.IsZero()
}

// Remove takes the request with the ID out of the queue, or returns nil.
func (q *Queue) Remove(id string) *Request {
	for i, r := range q.waiting {
		if r.ID == id {
			q.waiting = slices.Delete(q.waiting, i, i+1)
			return r
		}
	}
	return nil
}

// Len returns the number of queued requests.
func (q *Queue) Len() int { return len(q.waiting) }

// Drain takes all requests out of the queue.
func (q *Queue) Drain() []*Request {
	all := q.waiting
	q.waiting = nil
	return all
}

// Reconfigure puts another configuration in force. It returns the queued
// requests whose class is gone or that no longer have room.
func (q *Queue) Reconfigure(cfg Config) (orphaned []*Request) {
	q.cfg = cfg
	return nil
}

// Finished reports that a request gave its slot back after holding it for
// took.
func (q *Queue) Finished(_ time.Time, _ string, _ time.Duration) {}

// WaitByTier estimates how long a request of each tier would wait for a slot
// when running requests hold one now; index 0 is tier 1.
func (q *Queue) WaitByTier(_ time.Time, _ int) [Tiers]time.Duration {
	return [Tiers]time.Duration{}
}
