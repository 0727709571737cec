package admission

import (
	"cmp"
	"math/rand/v2"
	"slices"
)

const (
	// MinFloor is the share of starts of a class without a floor of its own.
	MinFloor = 0.01
	// MaxFloorSum bounds the sum of the floors; floors that sum to more are
	// scaled down together.
	MaxFloorSum = 0.5
	// maxReserved bounds the share of the queue that is reserved for classes.
	maxReserved = 0.5
)

// configure puts cfg in force on an empty queue. Classes that stay keep what
// was learnt of them.
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
	known := q.byName
	q.classes = nil
	q.byName = make(map[string]*classQueue, len(cfg.Classes))
	for _, class := range cfg.Classes {
		q.addClass(class, known[class.Name])
	}
	slices.SortStableFunc(q.classes, func(a, b *classQueue) int { return cmp.Compare(a.tier, b.tier) })
	q.reserve()
	q.sumFloors()
}

// addClass adds a class. Only PolicySesame has floors and shares a class
// among accounts; PolicyFIFO knows one tier.
func (q *Queue) addClass(class Class, known *classQueue) {
	tier := min(max(class.Tier, 1), NumTiers)
	if q.cfg.Policy == PolicyFIFO {
		tier = 1
	}
	c := newClassQueue(class.Name, tier, q.cfg.Policy == PolicySesame)
	if known != nil {
		c.service = known.service
		c.running = known.running
	}
	if known != nil && c.fair {
		c.credit = known.credit
	}
	if c.fair {
		c.floor = max(MinFloor, class.Floor)
	}
	q.classes = append(q.classes, c)
	q.byName[class.Name] = c
}

// reserve divides the places into those of each class and the shared room.
// Each class with a floor has at least one place, so that it always has a
// request queued when its turn comes.
func (q *Queue) reserve() {
	floors := 0.0
	for _, c := range q.classes {
		floors += c.floor
	}
	shrink := 1.0
	if floors > MaxFloorSum {
		shrink = MaxFloorSum / floors
	}
	reserved := 0
	for _, c := range q.classes {
		c.floor *= shrink
		c.reserved = 0
		if c.floor > 0 {
			c.reserved = max(1, int(c.floor*maxReserved*float64(q.cfg.Capacity)))
		}
		reserved += c.reserved
	}
	q.sharedRoom = max(1, q.cfg.Capacity-reserved)
}

// sumFloors sums the floors below each tier.
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

// classOf returns the class by name, or nil.
func (q *Queue) classOf(name string) *classQueue { return q.byName[name] }

// Reconfigure puts another configuration in force. It returns the queued
// requests whose class is gone and those that find no room any more; they did
// not run.
func (q *Queue) Reconfigure(cfg Config) (orphaned []*Request) {
	queued := q.Drain()
	q.configure(cfg)
	for _, r := range queued {
		c := q.classOf(r.Class)
		if c == nil {
			orphaned = append(orphaned, r)
			continue
		}
		if c.queued < c.reserved || q.sharedUsed() < q.sharedRoom {
			q.put(c, r)
			continue
		}
		victim := q.victim(c, r)
		if victim == nil {
			orphaned = append(orphaned, r)
			continue
		}
		q.take(victim)
		q.put(c, r)
		orphaned = append(orphaned, victim)
	}
	return orphaned
}
