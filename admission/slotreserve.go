package admission

import (
	"math"
	"time"
)

// The slot reserve keeps slots free for the top tier, so that its requests do
// not wait for a long run of a lower tier to end; runs are never interrupted.
// The allowed wait of a request is the time from its arrival to its StartBy. A
// request of the top tier is a near miss if it uses up most of its allowed
// wait. The reserve grows with each near miss while lower tiers run, and shrinks
// by a little with each other request of the top tier. It settles where the
// share of near misses is nearMissTarget.
const (
	topTier = 1
	// nearMissRatio is the part of the allowed wait that a near miss exceeds.
	nearMissRatio = 0.8
	// nearMissTarget is the share of near misses at which the reserve is stable.
	nearMissTarget = 0.0025
	// reserveStep is the growth of the reserve for each near miss, in slots.
	reserveStep = 0.25
	// reserveHalfLife is the half-life of the reserve, which also decays while
	// the top tier has no requests.
	reserveHalfLife = 5 * time.Minute
	// sufficientReleases is how many slots must become free on average, within
	// the allowed wait of the top tier, for no reserve to be needed. The
	// probability that none becomes free is then 0.5%, if slots become free
	// independently of each other (Poisson distribution).
	sufficientReleases = 5.3
	// topTierActiveWindow is how long the top tier counts as active after its
	// last request.
	topTierActiveWindow = 10 * time.Second
	// maxReservedSlotShare bounds the share of slots that is reserved.
	maxReservedSlotShare = 0.5
)

// slotReserve contains the number of reserved slots, which may be fractional and
// is rounded when the reserve is applied.
type slotReserve struct {
	slots     float64
	lastDecay time.Time
}

// observe adapts the reserve to the wait of a request of the top tier. allowed
// is the allowed wait of the request; limit is the maximum of the reserve.
func (s *slotReserve) observe(waited, allowed time.Duration, lowerTierRunning bool, limit float64) {
	if allowed <= 0 {
		return
	}
	if float64(waited) <= nearMissRatio*float64(allowed) {
		s.slots = max(0, s.slots-reserveStep*nearMissTarget)
		return
	}
	if lowerTierRunning {
		s.slots = min(limit, s.slots+reserveStep)
	}
}

// decay halves the reserve every reserveHalfLife. It is applied at most once per
// second.
func (s *slotReserve) decay(now time.Time) {
	if s.lastDecay.IsZero() {
		s.lastDecay = now
	}
	elapsed := now.Sub(s.lastDecay)
	if elapsed < time.Second {
		return
	}
	s.lastDecay = now
	s.slots *= math.Exp2(-float64(elapsed) / float64(reserveHalfLife))
}

// maxReservedSlots returns the greatest number of slots that may be reserved.
func (q *Queue) maxReservedSlots() float64 {
	return math.Floor(maxReservedSlotShare * float64(q.cfg.Slots))
}

// topTierDemand contains the observations from which baseReserve decides whether
// a reserve is needed before the first near miss of the top tier.
type topTierDemand struct {
	// lastOffer is when a request of the top tier with a StartBy was last
	// offered, and allowedWait the mean allowed wait of such requests.
	lastOffer   time.Time
	allowedWait ewma
	// backlogSince is the time since which lower tiers have had requests queued
	// without interruption.
	backlogSince time.Time
}

// recordOffer records an offered request of the given tier.
func (d *topTierDemand) recordOffer(now time.Time, tier int, r *Request) {
	if tier != topTier || r.StartBy.IsZero() {
		return
	}
	d.lastOffer = now
	d.allowedWait.add(r.StartBy.Sub(now))
}

// recordBacklog records whether lower tiers have requests queued.
func (d *topTierDemand) recordBacklog(now time.Time, queued bool) {
	if !queued {
		d.backlogSince = time.Time{}
	} else if d.backlogSince.IsZero() {
		d.backlogSince = now
	}
}

// baseReserve returns the reserve that is needed before any near miss, at most
// one slot. It is needed while the top tier is active, lower tiers have had a
// backlog for at least the mean service time, and too few slots become free
// within the allowed wait of the top tier.
func (q *Queue) baseReserve(now time.Time) int {
	d := &q.topTierDemand
	if d.backlogSince.IsZero() || now.Sub(d.backlogSince) < q.serviceTime.value || now.Sub(d.lastOffer) > topTierActiveWindow {
		return 0
	}
	releases := float64(q.cfg.Slots) * float64(d.allowedWait.value) / float64(max(1, q.serviceTime.value))
	if releases > sufficientReleases {
		return 0
	}
	return int(min(1, q.maxReservedSlots()))
}

// lowerTierQueued reports whether a tier below the top has requests queued.
func (q *Queue) lowerTierQueued() bool {
	for _, c := range q.classes {
		if c.tier > topTier && c.queued > 0 {
			return true
		}
	}
	return false
}

// freeSlotsReserved reports whether class c may not use the free slots because
// they are reserved for the top tier.
func (q *Queue) freeSlotsReserved(now time.Time, c *classQueue) bool {
	if q.cfg.Policy != PolicySesame || c.tier == topTier {
		return false
	}
	return q.cfg.Slots-q.running <= max(int(q.slotReserve.slots+0.5), q.baseReserve(now))
}

// observeWait adapts the slot reserve to the wait of r if r is of the top tier.
func (q *Queue) observeWait(now time.Time, r *Request) {
	if r.queueState.class.tier != topTier || r.StartBy.IsZero() {
		return
	}
	lowerTierRunning := false
	for _, c := range q.classes {
		lowerTierRunning = lowerTierRunning || c.tier > topTier && c.running > 0
	}
	q.slotReserve.observe(now.Sub(r.Arrived), r.StartBy.Sub(r.Arrived), lowerTierRunning, q.maxReservedSlots())
}
