package admission

import "time"

// place is the queue's own record in a Request.
type place struct {
	class *classQueue
	flow  *flow
	// sequence is the order of arrival.
	sequence uint64
	cost     time.Duration
	// Indexes in the heaps that hold the request.
	inFirst, inLast, inExpiry int
}

// flow holds the queued requests of one account in one class.
type flow struct {
	account string
	weight  float64
	// start is the virtual time at which the flow's next request is due.
	start float64
	first indexed[*Request]
	last  indexed[*Request]
	// eligible says in which of the two heaps of active flows it is.
	eligible bool
	// Indexes in the heaps of the class.
	inActive, inUse, inIdle int
}

func newFlow(account string, before func(a, b *Request) bool) *flow {
	return &flow{
		account: account,
		first: indexed[*Request]{
			less:  before,
			index: func(r *Request) *int { return &r.place.inFirst },
		},
		last: indexed[*Request]{
			less:  func(a, b *Request) bool { return before(b, a) },
			index: func(r *Request) *int { return &r.place.inLast },
		},
	}
}

func (f *flow) queued() int { return f.first.Len() }

// use is the flow's occupancy relative to its weight.
func (f *flow) use() float64 { return float64(f.queued()) / f.weight }

func (f *flow) add(r *Request) {
	f.first.add(r)
	f.last.add(r)
}

func (f *flow) remove(r *Request) {
	f.first.remove(r)
	f.last.remove(r)
}

// startsBefore orders requests by the time by which they must start, those
// without a bound last, and then by arrival.
func startsBefore(a, b *Request) bool {
	if a.StartBy.IsZero() != b.StartBy.IsZero() {
		return b.StartBy.IsZero()
	}
	if !a.StartBy.Equal(b.StartBy) {
		return a.StartBy.Before(b.StartBy)
	}
	return arrivedBefore(a, b)
}

// arrivedBefore orders requests by arrival.
func arrivedBefore(a, b *Request) bool { return a.place.sequence < b.place.sequence }
