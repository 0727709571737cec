package admission

import (
	"cmp"
	"math/rand/v2"
	"slices"
)

const (
	// MinFloor is the least floor of a class, before scaling to MaxFloorSum. It
	// keeps every class from starving.
	MinFloor = 0.01
	// MaxFloorSum bounds the sum of the floors, so that at least half of the
	// starts follow the order of the tiers. If the floors exceed it, all are
	// scaled down by the same factor.
	MaxFloorSum = 0.5
	// reservedCapacityPerFloor, multiplied by the floor of a class, is the part
	// of the queue capacity that is reserved for the class.
	reservedCapacityPerFloor = 0.5
)

// configure applies cfg to an empty queue. A class that also exists in the
// previous configuration keeps its service time, its number of running requests
// and, under PolicySesame, its credit.
func (q *Queue) configure(cfg Config) {
	if cfg.Policy == "" {
		cfg.Policy = PolicySesame
	}
	cfg.Slots = max(1, cfg.Slots)
	q.cfg = cfg
	if cfg.Rand != nil {
		q.rng = cfg.Rand
	} else if q.rng == nil {
		q.rng = rand.New(rand.NewPCG(1, 1))
	}
	previous := q.byName
	q.classes = nil
	q.byName = make(map[string]*classQueue, len(cfg.Classes))
	for _, class := range cfg.Classes {
		q.addClass(class, previous[class.Name])
	}
	slices.SortStableFunc(q.classes, func(a, b *classQueue) int { return cmp.Compare(a.tier, b.tier) })
	q.reserveCapacity()
	q.sumFloors()
	q.slotReserve.slots = min(q.slotReserve.slots, q.maxReservedSlots())
}

// addClass adds a class; previous is its queue under the previous
// configuration, or nil. Only PolicySesame has floors and shares a class among
// accounts; PolicyFIFO has a single tier.
func (q *Queue) addClass(class Class, previous *classQueue) {
	tier := min(max(class.Tier, 1), NumTiers)
	if q.cfg.Policy == PolicyFIFO {
		tier = 1
	}
	c := newClassQueue(class.Name, tier, q.cfg.Policy == PolicySesame)
	if previous != nil {
		c.serviceTime = previous.serviceTime
		c.running = previous.running
	}
	if previous != nil && c.fair {
		c.credit = previous.credit
	}
	if c.fair {
		c.floor = max(MinFloor, class.Floor)
	}
	q.classes = append(q.classes, c)
	q.byName[class.Name] = c
}

// reserveCapacity scales the floors down to MaxFloorSum if necessary, and divides
// the queue capacity into the reserved capacity of each class and the shared
// capacity. Each class with a floor has a reserved capacity of at least one, so
// that it can have a request queued when its floor owes it a start.
func (q *Queue) reserveCapacity() {
	floors := 0.0
	for _, c := range q.classes {
		floors += c.floor
	}
	factor := 1.0
	if floors > MaxFloorSum {
		factor = MaxFloorSum / floors
	}
	reserved := 0
	for _, c := range q.classes {
		c.floor *= factor
		c.reserved = 0
		if c.floor > 0 {
			c.reserved = max(1, int(c.floor*reservedCapacityPerFloor*float64(q.cfg.Capacity)))
		}
		reserved += c.reserved
	}
	q.sharedCapacity = max(1, q.cfg.Capacity-reserved)
}

// sumFloors sums the floors of the tiers below each tier.
func (q *Queue) sumFloors() {
	q.floorsBelow = [NumTiers + 1]float64{}
	for tier := 1; tier <= NumTiers; tier++ {
		for _, c := range q.classes {
			if c.tier > tier {
				q.floorsBelow[tier] += c.floor
			}
		}
	}
}

// classOf returns the class with the name, or nil.
func (q *Queue) classOf(name string) *classQueue { return q.byName[name] }

// Reconfigure applies another configuration. It removes and returns the queued
// requests that cannot stay, because their class no longer exists or because
// the queue capacity no longer suffices. They did not run.
func (q *Queue) Reconfigure(cfg Config) (removed []*Request) {
	queued := q.Drain()
	q.configure(cfg)
	for _, r := range queued {
		c := q.classOf(r.Class)
		if c == nil {
			removed = append(removed, r)
			continue
		}
		if c.queued < c.reserved || q.sharedUsed() < q.sharedCapacity {
			q.enqueue(c, r)
			continue
		}
		victim := q.victim(c, r)
		if victim == nil {
			removed = append(removed, r)
			continue
		}
		q.dequeue(victim)
		q.enqueue(c, r)
		removed = append(removed, victim)
	}
	return removed
}
