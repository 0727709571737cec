package admission

import "time"

// classQueue holds the queued requests of one class, as one flow per account.
type classQueue struct {
	name string
	tier int
	// floor is the effective share of starts.
	floor float64
	// reserved is the number of places that only this class may use.
	reserved int
	// credit is the claim to a start by the floor.
	credit float64
	queued int
	// running is how many of the class hold a slot.
	running int
	// work is the expected slot time of the queued requests.
	work time.Duration
	// weight is the sum over the flows with requests queued.
	weight float64
	// latest is the StartBy of the request admitted last.
	latest  time.Time
	service mean
	pace    pace
	// virtual is the virtual time of the class: the service that an account
	// of weight one would have got so far, had it always been waiting.
	virtual float64
	flows   map[string]*flow
	// eligible holds the active flows within their share, by the deadline of
	// their first request; ahead holds the others, by their start.
	eligible indexed[*flow]
	ahead    indexed[*flow]
	byUse    indexed[*flow]
	// idle holds the flows with nothing queued whose past service still
	// counts.
	idle indexed[*flow]
	// fair shares the class among accounts; otherwise all are one flow.
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
	inActive := func(f *flow) *int { return &f.inActive }
	byStart := func(a, b *flow) bool { return a.start < b.start }
	c.eligible = indexed[*flow]{
		less:  func(a, b *flow) bool { return before(a.first.top(), b.first.top()) },
		index: inActive,
	}
	c.ahead = indexed[*flow]{less: byStart, index: inActive}
	c.byUse = indexed[*flow]{
		less: func(a, b *flow) bool {
			if a.use() != b.use() {
				return a.use() > b.use()
			}
			return before(b.last.top(), a.last.top())
		},
		index: func(f *flow) *int { return &f.inUse },
	}
	c.idle = indexed[*flow]{less: byStart, index: func(f *flow) *int { return &f.inIdle }}
	return c
}

// shared returns how many places of the shared room the class occupies.
func (c *classQueue) shared() int { return max(0, c.queued-c.reserved) }

// head returns the request that the class would start next.
func (c *classQueue) head() *Request { return c.eligible.top().first.top() }

// heaviest returns the flow with the most queued for its weight.
func (c *classQueue) heaviest() *flow { return c.byUse.top() }

func (c *classQueue) add(r *Request) {
	f := c.activate(r)
	f.add(r)
	r.place.class = c
	r.place.flow = f
	if f.queued() == 1 {
		c.insert(f)
		c.byUse.add(f)
	} else {
		c.active(f).fix(f)
		c.byUse.fix(f)
	}
	c.promote()
	c.queued++
	c.work += r.place.cost
	c.latest = r.StartBy
}

// flowOf returns the name and the weight of the flow that r belongs to.
func (c *classQueue) flowOf(r *Request) (account string, weight float64) {
	if !c.fair {
		return "", 1
	}
	return r.Account, float64(max(1, r.Weight))
}

// activate returns the request's flow, with the weight in force.
func (c *classQueue) activate(r *Request) *flow {
	account, weight := c.flowOf(r)
	f, found := c.flows[account]
	if !found {
		f = newFlow(account, c.before)
		c.flows[account] = f
		f.start = c.virtual
	} else if f.queued() == 0 {
		c.idle.remove(f)
		f.start = max(f.start, c.virtual)
	}
	if f.queued() > 0 {
		c.weight -= f.weight
	}
	f.weight = weight
	c.weight += weight
	return f
}

func (c *classQueue) remove(r *Request) {
	f := r.place.flow
	if f.queued() > 1 {
		f.remove(r)
		c.active(f).fix(f)
		c.byUse.fix(f)
	} else {
		c.active(f).remove(f)
		c.byUse.remove(f)
		f.remove(r)
		c.weight -= f.weight
		c.idle.add(f)
	}
	c.queued--
	c.work -= r.place.cost
	if c.queued == 0 {
		c.weight = 0
	}
	c.promote()
	c.forget()
}

// active returns the heap that holds the flow.
func (c *classQueue) active(f *flow) *indexed[*flow] {
	if f.eligible {
		return &c.eligible
	}
	return &c.ahead
}

// insert puts the flow in the heap that its start asks for.
func (c *classQueue) insert(f *flow) {
	f.eligible = f.start <= c.virtual
	c.active(f).add(f)
}

// promote moves flows that are within their share by now. When no account
// is, the virtual time moves on to the first, so that no slot stays idle.
func (c *classQueue) promote() {
	if c.eligible.Len() == 0 && c.ahead.Len() > 0 {
		c.virtual = max(c.virtual, c.ahead.top().start)
	}
	for c.ahead.Len() > 0 && c.ahead.top().start <= c.virtual {
		f := c.ahead.top()
		c.ahead.remove(f)
		f.eligible = true
		c.eligible.add(f)
	}
}

// start takes the head and charges its cost to its account.
func (c *classQueue) start(now time.Time) *Request {
	r := c.head()
	f := r.place.flow
	charge := max(r.place.cost.Seconds(), minCharge)
	c.virtual += charge / c.weight
	f.start += charge / f.weight
	c.eligible.remove(f)
	c.insert(f)
	c.remove(r)
	c.pace.started(now, c.queued == 0)
	return r
}

// minCharge is the least service, in seconds, that a start is charged as.
const minCharge = 0.001

// forget drops the idle flows whose past service no longer counts: those
// that are due already, all when nothing is queued, and those due soonest
// beyond maxIdleFlows.
func (c *classQueue) forget() {
	for c.idle.Len() > 0 {
		f := c.idle.top()
		if c.queued > 0 && f.start > c.virtual && c.idle.Len() <= maxIdleFlows {
			return
		}
		c.idle.remove(f)
		delete(c.flows, f.account)
	}
}

// maxIdleFlows bounds the accounts whose past service a class remembers.
const maxIdleFlows = 1024
