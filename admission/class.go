package admission

import "time"

// classQueue is the queue of one class. It has one flow for each account and
// shares the slot time of the class among the flows by weighted fair queueing
// with virtual start times. Among the flows that have not received more than
// their share, it starts the request that is first in the order of before. A
// flow is active while it has requests queued, and idle otherwise.
type classQueue struct {
	name string
	tier int
	// floor is the minimum share of starts, after scaling to MaxFloorSum.
	floor float64
	// reserved is the part of the queue capacity that only this class may use.
	reserved int
	// credit is the number of starts that the floor owes the class.
	credit float64
	queued int
	// running is the number of requests of the class that hold a slot.
	running int
	// work is the expected slot time of the queued requests.
	work time.Duration
	// weight is the sum of the weights of the active flows.
	weight float64
	// lastStartBy is the StartBy of the most recently queued request.
	lastStartBy time.Time
	// serviceTime is the mean time for which a request holds its slot.
	serviceTime   ewma
	startInterval startInterval
	// virtualTime is the service, in seconds, that an account of weight one
	// would have received so far if it had always had requests queued.
	virtualTime float64
	// flows contains the flows by account.
	flows map[string]*flow
	// eligible contains the active flows that have not received more than their
	// share, ordered by their first request; ineligible contains the other
	// active flows, ordered by their virtual start time.
	eligible   indexedHeap[*flow]
	ineligible indexedHeap[*flow]
	// byOccupancy contains the active flows, those with the highest occupancy
	// first.
	byOccupancy indexedHeap[*flow]
	// idle contains the idle flows whose past service still counts against
	// them, ordered by their virtual start time.
	idle indexedHeap[*flow]
	// fair is true if the class is shared among accounts; otherwise all
	// requests are in one flow.
	fair bool
	// before is the order in which requests start, as far as the shares of the
	// accounts permit.
	before func(a, b *Request) bool
}

func newClassQueue(name string, tier int, fair bool) *classQueue {
	c := &classQueue{name: name, tier: tier, fair: fair, flows: make(map[string]*flow)}
	before := arrivedBefore
	if fair {
		before = startsBefore
	}
	c.before = before
	activeIndex := func(f *flow) *int { return &f.activeIndex }
	byStart := func(a, b *flow) bool { return a.virtualStart < b.virtualStart }
	c.eligible = indexedHeap[*flow]{
		less:  func(a, b *flow) bool { return before(a.first.top(), b.first.top()) },
		index: activeIndex,
	}
	c.ineligible = indexedHeap[*flow]{less: byStart, index: activeIndex}
	c.byOccupancy = indexedHeap[*flow]{
		less: func(a, b *flow) bool {
			if a.occupancy() != b.occupancy() {
				return a.occupancy() > b.occupancy()
			}
			return before(b.last.top(), a.last.top())
		},
		index: func(f *flow) *int { return &f.occupancyIndex },
	}
	c.idle = indexedHeap[*flow]{less: byStart, index: func(f *flow) *int { return &f.idleIndex }}
	return c
}

// shared returns how much of the shared capacity the class occupies.
func (c *classQueue) shared() int { return max(0, c.queued-c.reserved) }

// head returns the request of the class that would start next. The class must
// have requests queued.
func (c *classQueue) head() *Request { return c.eligible.top().first.top() }

// largestFlow returns the flow with the highest occupancy. The class must have
// requests queued.
func (c *classQueue) largestFlow() *flow { return c.byOccupancy.top() }

func (c *classQueue) add(r *Request) {
	f := c.activate(r)
	f.add(r)
	r.queueState.class = c
	r.queueState.flow = f
	if f.queued() == 1 {
		c.insert(f)
		c.byOccupancy.add(f)
	} else {
		c.activeHeap(f).fix(f)
		c.byOccupancy.fix(f)
	}
	c.promote()
	c.queued++
	c.work += r.queueState.cost
	c.lastStartBy = r.StartBy
}

// flowOf returns the account and the weight of the flow that r belongs to.
func (c *classQueue) flowOf(r *Request) (account string, weight float64) {
	if !c.fair {
		return "", 1
	}
	return r.Account, float64(max(1, r.Weight))
}

// activate returns the flow for the new request r and sets its weight to that
// of r. The virtual start time of a flow that was idle is at least the current
// virtual time, so that an account is not compensated for the time in which it
// had no requests.
func (c *classQueue) activate(r *Request) *flow {
	account, weight := c.flowOf(r)
	f, found := c.flows[account]
	if !found {
		f = newFlow(account, c.before)
		c.flows[account] = f
		f.virtualStart = c.virtualTime
	} else if f.queued() == 0 {
		c.idle.remove(f)
		f.virtualStart = max(f.virtualStart, c.virtualTime)
	}
	if f.queued() > 0 {
		c.weight -= f.weight
	}
	f.weight = weight
	c.weight += weight
	return f
}

func (c *classQueue) remove(r *Request) {
	f := r.queueState.flow
	if f.queued() > 1 {
		f.remove(r)
		c.activeHeap(f).fix(f)
		c.byOccupancy.fix(f)
	} else {
		c.activeHeap(f).remove(f)
		c.byOccupancy.remove(f)
		f.remove(r)
		c.weight -= f.weight
		c.idle.add(f)
	}
	c.queued--
	c.work -= r.queueState.cost
	if c.queued == 0 {
		c.weight = 0
	}
	c.promote()
	c.dropIdle()
}

// activeHeap returns the heap, eligible or ineligible, that contains the active
// flow f.
func (c *classQueue) activeHeap(f *flow) *indexedHeap[*flow] {
	if f.eligible {
		return &c.eligible
	}
	return &c.ineligible
}

// insert adds f to the eligible or the ineligible heap, depending on its virtual
// start time.
func (c *classQueue) insert(f *flow) {
	f.eligible = f.virtualStart <= c.virtualTime
	c.activeHeap(f).add(f)
}

// promote moves the flows that have become eligible to the eligible heap. If
// that heap is empty, it first advances the virtual time to the earliest virtual
// start time, so that no slot stays idle while requests are queued.
func (c *classQueue) promote() {
	if c.eligible.Len() == 0 && c.ineligible.Len() > 0 {
		c.virtualTime = max(c.virtualTime, c.ineligible.top().virtualStart)
	}
	for c.ineligible.Len() > 0 && c.ineligible.top().virtualStart <= c.virtualTime {
		f := c.ineligible.top()
		c.ineligible.remove(f)
		f.eligible = true
		c.eligible.add(f)
	}
}

// start removes and returns the head of the queue, and charges its expected cost
// to its flow.
func (c *classQueue) start(now time.Time) *Request {
	r := c.head()
	f := r.queueState.flow
	charge := max(r.queueState.cost.Seconds(), minChargeSeconds)
	c.virtualTime += charge / c.weight
	f.virtualStart += charge / f.weight
	c.eligible.remove(f)
	c.insert(f)
	c.remove(r)
	c.startInterval.recordStart(now, c.queued == 0)
	return r
}

// minChargeSeconds is the least service charged for a start. Without it, the
// virtual start time of a flow would not advance while the expected cost is
// zero, as before the first run.
const minChargeSeconds = 0.001

// dropIdle drops the idle flows whose virtual start time has passed, since their
// past service no longer counts. It drops all idle flows if the class has no
// requests queued. If more than maxIdleFlows remain, it drops those with the
// earliest virtual start times.
func (c *classQueue) dropIdle() {
	for c.idle.Len() > 0 {
		f := c.idle.top()
		if c.queued > 0 && f.virtualStart > c.virtualTime && c.idle.Len() <= maxIdleFlows {
			return
		}
		c.idle.remove(f)
		delete(c.flows, f.account)
	}
}

// maxIdleFlows bounds the memory for the idle flows of a class.
const maxIdleFlows = 1024
