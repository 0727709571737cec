package admission

import (
	"math"
	"time"
)

// The guard keeps slots free of lower tiers, so that a request of the top tier
// does not wait for a long run of a lower one to end. Runs are never
// interrupted. It grows when requests of the top tier come close to their
// deadline while lower tiers run, and shrinks otherwise, so it settles where
// closeShare of them come close.
const (
	topTier = 1
	// closeRatio is the part of the time to start beyond which a start counts
	// as close.
	closeRatio = 0.8
	closeShare = 0.0025
	// guardStep is what one close start adds, in slots.
	guardStep = 0.25
	// guardHalfLife is how fast the guard shrinks by itself.
	guardHalfLife = 5 * time.Minute
	// safeReleases is how many slots have to become free, on average, in the
	// time that a request of the top tier has, for it to go without a guard:
	// none becomes free then with a probability of 0.5%.
	safeReleases = 5.3
	// topMemory is how long the top tier counts as active.
	topMemory = 10 * time.Second
	// maxGuarded bounds the share of slots that is kept free.
	maxGuarded = 0.5
)

// guard is the number of slots that are kept free, with its fraction.
type guard struct {
	slots float64
	at    time.Time
}

// observe takes in how long a request of the top tier waited of the time that
// it had.
func (g *guard) observe(waited, had time.Duration, lowerRuns bool, limit float64) {
	if had <= 0 {
		return
	}
	if float64(waited) <= closeRatio*float64(had) {
		g.slots = max(0, g.slots-guardStep*closeShare)
		return
	}
	if lowerRuns {
		g.slots = min(limit, g.slots+guardStep)
	}
}

// decay shrinks the guard by the time since the last call.
func (g *guard) decay(now time.Time) {
	if g.at.IsZero() {
		g.at = now
	}
	elapsed := now.Sub(g.at)
	if elapsed < time.Second {
		return
	}
	g.at = now
	g.slots *= math.Exp2(-float64(elapsed) / float64(guardHalfLife))
}

// guardLimit is the most slots that are kept free.
func (q *Queue) guardLimit() float64 { return math.Floor(maxGuarded * float64(q.cfg.Slots)) }

// demand is what the queue knows of when a guard is needed before requests of
// the top tier come late.
type demand struct {
	// topAt is when a request of the top tier was last offered, and had is
	// the time that they have to start.
	topAt time.Time
	had   mean
	// backlogSince is since when lower tiers have waited without a break.
	backlogSince time.Time
}

// offered takes in a request.
func (d *demand) offered(now time.Time, tier int, r *Request) {
	if tier != topTier || r.StartBy.IsZero() {
		return
	}
	d.topAt = now
	d.had.add(r.StartBy.Sub(now))
}

// watch takes in whether lower tiers have anything queued.
func (d *demand) watch(now time.Time, waiting bool) {
	if !waiting {
		d.backlogSince = time.Time{}
	} else if d.backlogSince.IsZero() {
		d.backlogSince = now
	}
}

// base returns the guard that is needed from the start: one slot while the top
// tier is active, lower tiers wait for longer than a run takes, and too few
// slots become free in the time that the top tier has.
func (q *Queue) base(now time.Time) int {
	d := &q.demand
	if d.backlogSince.IsZero() || now.Sub(d.backlogSince) < q.service.value || now.Sub(d.topAt) > topMemory {
		return 0
	}
	releases := float64(q.cfg.Slots) * float64(d.had.value) / float64(max(1, q.service.value))
	if releases > safeReleases {
		return 0
	}
	return int(min(1, q.guardLimit()))
}

// lowerQueued reports whether a tier below the top has anything queued.
func (q *Queue) lowerQueued() bool {
	for _, c := range q.classes {
		if c.tier > topTier && c.queued > 0 {
			return true
		}
	}
	return false
}

// guarded reports whether the free slots are kept for a higher tier.
func (q *Queue) guarded(now time.Time, c *classQueue) bool {
	if q.cfg.Policy != PolicySesame || c.tier == topTier {
		return false
	}
	return q.cfg.Slots-q.running <= max(int(q.guard.slots+0.5), q.base(now))
}

// observeWait tells the guard how long a request of the top tier waited.
func (q *Queue) observeWait(now time.Time, r *Request) {
	if r.place.class.tier != topTier || r.StartBy.IsZero() {
		return
	}
	lowerRuns := false
	for _, c := range q.classes {
		lowerRuns = lowerRuns || c.tier > topTier && c.running > 0
	}
	q.guard.observe(now.Sub(r.Arrived), r.StartBy.Sub(r.Arrived), lowerRuns, q.guardLimit())
}
