package admission

import "time"

// queueState is what the queue stores in a Request.
type queueState struct {
	class *classQueue
	flow  *flow
	// sequence is the position in the order of arrival.
	sequence uint64
	// cost is how long the request is expected to hold a slot.
	cost time.Duration
	// Indexes in the heaps that contain the request.
	firstIndex, lastIndex, expiryIndex int
}

// flow is the queue of one account in one class. Each of its requests is in two
// heaps: the top of first is the request to start next, and the top of last is
// the request to evict next.
type flow struct {
	account string
	weight  float64
	// virtualStart is the virtual start time of the flow's next request, on the
	// scale of classQueue.virtualTime.
	virtualStart float64
	first        indexedHeap[*Request]
	last         indexedHeap[*Request]
	// eligible is true if the flow is in the heap of eligible flows of its class.
	eligible bool
	// Indexes in the heaps of the class.
	activeIndex, occupancyIndex, idleIndex int
}

func newFlow(account string, before func(a, b *Request) bool) *flow {
	return &flow{
		account: account,
		first: indexedHeap[*Request]{
			less:  before,
			index: func(r *Request) *int { return &r.queueState.firstIndex },
		},
		last: indexedHeap[*Request]{
			less:  func(a, b *Request) bool { return before(b, a) },
			index: func(r *Request) *int { return &r.queueState.lastIndex },
		},
	}
}

func (f *flow) queued() int { return f.first.Len() }

// occupancy returns the number of queued requests divided by the weight.
func (f *flow) occupancy() float64 { return float64(f.queued()) / f.weight }

func (f *flow) add(r *Request) {
	f.first.add(r)
	f.last.add(r)
}

func (f *flow) remove(r *Request) {
	f.first.remove(r)
	f.last.remove(r)
}

// startsBefore orders requests by StartBy, those without one last, and then by
// arrival.
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
func arrivedBefore(a, b *Request) bool { return a.queueState.sequence < b.queueState.sequence }
