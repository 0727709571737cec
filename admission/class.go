package admission

import "time"

// classQueue is the queue of one class. It has one flow for each account and
// shares the class among them by weighted fair queueing with virtual start
// times.
type classQueue struct {
	name string
	tier int
	// floor is the effective minimum share of starts.
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
	// weight is the sum of the weights of the flows with requests queued.
	weight float64
	// lastStartBy is the StartBy of the request queued last.
	lastStartBy   time.Time
	serviceTime   ewma
	startInterval startInterval
	// virtualTime is the service, in seconds, that an account of weight one
	// would have received so far if it had always had requests queued.
	virtualTime float64
	flows       map[string]*flow
	// eligible contains the active flows that have not received more than their
	// share, ordered by their first request; ineligible contains the other
	// active flows, ordered by their virtual start time.
	eligible    indexedHeap[*flow]
	ineligible  indexedHeap[*flow]
	byOccupancy indexedHeap[*flow]
	// idle contains the flows without queued requests whose past service still
	// counts against them.
	idle indexedHeap[*flow]
	// fair is true if the class is shared among accounts; otherwise all
	// requests are in one flow.
	fair   bool
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
	byStart := func(a, b *flow) bool { return a.start < b.start }
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

// head returns the request of the class that would start next.
func (c *classQueue) head() *Request { return c.eligible.top().first.top() }

// largestFlow returns the flow with the longest queue relative to its weight.
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
		c.active(f).fix(f)
		c.byOccupancy.fix(f)
	}
	c.promote()
	c.queued++
	c.work += r.queueState.cost
	c.lastStartBy = r.StartBy
}

// flowOf returns the name and the weight of the flow that r belongs to.
func (c *classQueue) flowOf(r *Request) (account string, weight float64) {
	if !c.fair {
		return "", 1
	}
	return r.Account, float64(max(1, r.Weight))
}

// activate returns the flow for the new request r, with the weight of r. A flow
// that was idle starts no earlier than the current virtual time: an account
// gains nothing from the time in which it had no requests.
func (c *classQueue) activate(r *Request) *flow {
	account, weight := c.flowOf(r)
	f, found := c.flows[account]
	if !found {
		f = newFlow(account, c.before)
		c.flows[account] = f
		f.start = c.virtualTime
	} else if f.queued() == 0 {
		c.idle.remove(f)
		f.start = max(f.start, c.virtualTime)
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
		c.active(f).fix(f)
		c.byOccupancy.fix(f)
	} else {
		c.active(f).remove(f)
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

// active returns the heap of active flows that contains the flow.
func (c *classQueue) active(f *flow) *indexedHeap[*flow] {
	if f.eligible {
		return &c.eligible
	}
	return &c.ineligible
}

// insert adds the flow to the heap that its virtual start time requires.
func (c *classQueue) insert(f *flow) {
	f.eligible = f.start <= c.virtualTime
	c.active(f).add(f)
}

// promote moves flows that have become eligible. If none is eligible, it first
// advances the virtual time to the earliest virtual start time, so that no slot
// stays idle.
func (c *classQueue) promote() {
	if c.eligible.Len() == 0 && c.ineligible.Len() > 0 {
		c.virtualTime = max(c.virtualTime, c.ineligible.top().start)
	}
	for c.ineligible.Len() > 0 && c.ineligible.top().start <= c.virtualTime {
		f := c.ineligible.top()
		c.ineligible.remove(f)
		f.eligible = true
		c.eligible.add(f)
	}
}

// start removes the head from the queue and charges its cost to its account.
func (c *classQueue) start(now time.Time) *Request {
	r := c.head()
	f := r.queueState.flow
	charge := max(r.queueState.cost.Seconds(), minChargeSeconds)
	c.virtualTime += charge / c.weight
	f.start += charge / f.weight
	c.eligible.remove(f)
	c.insert(f)
	c.remove(r)
	c.startInterval.recordStart(now, c.queued == 0)
	return r
}

// minChargeSeconds is the least service that a start is charged.
const minChargeSeconds = 0.001

// dropIdle drops idle flows, in the order of their virtual start time: those
// whose virtual start time has passed, all of them when nothing is queued, and
// those beyond maxIdleFlows.
func (c *classQueue) dropIdle() {
	for c.idle.Len() > 0 {
		f := c.idle.top()
		if c.queued > 0 && f.start > c.virtualTime && c.idle.Len() <= maxIdleFlows {
			return
		}
		c.idle.remove(f)
		delete(c.flows, f.account)
	}
}

// maxIdleFlows bounds the idle accounts whose past service a class remembers.
const maxIdleFlows = 1024
