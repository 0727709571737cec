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
	// work is the expected slot time of the queued requests.
	work time.Duration
	// weight is the sum over the flows with requests queued.
	weight float64
	// latest is the StartBy of the request admitted last.
	latest  time.Time
	service mean
	// virtual is the virtual time of the class: the start of the flow served
	// last.
	virtual float64
	flows   map[string]*flow
	active  indexed[*flow]
	byUse   indexed[*flow]
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
	c.active = indexed[*flow]{
		less: func(a, b *flow) bool {
			if a.start != b.start {
				return a.start < b.start
			}
			return before(a.first.top(), b.first.top())
		},
		index: func(f *flow) *int { return &f.inActive },
	}
	c.byUse = indexed[*flow]{
		less: func(a, b *flow) bool {
			if a.use() != b.use() {
				return a.use() > b.use()
			}
			return before(b.last.top(), a.last.top())
		},
		index: func(f *flow) *int { return &f.inUse },
	}
	c.idle = indexed[*flow]{
		less:  func(a, b *flow) bool { return a.start < b.start },
		index: func(f *flow) *int { return &f.inIdle },
	}
	return c
}

// shared returns how many places of the shared room the class occupies.
func (c *classQueue) shared() int { return max(0, c.queued-c.reserved) }

// head returns the request that the class would start next.
func (c *classQueue) head() *Request { return c.active.top().first.top() }

// heaviest returns the flow with the most queued for its weight.
func (c *classQueue) heaviest() *flow { return c.byUse.top() }

func (c *classQueue) add(r *Request) {
	f := c.activate(r)
	f.add(r)
	r.place.class = c
	r.place.flow = f
	if f.queued() == 1 {
		c.active.add(f)
		c.byUse.add(f)
	} else {
		c.active.fix(f)
		c.byUse.fix(f)
	}
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
		c.active.fix(f)
		c.byUse.fix(f)
	} else {
		c.active.remove(f)
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
	c.forget()
}

// start takes the head and charges its cost to its account.
func (c *classQueue) start() *Request {
	r := c.head()
	f := r.place.flow
	c.virtual = f.start
	f.start += max(r.place.cost.Seconds(), minCharge) / f.weight
	c.remove(r)
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
