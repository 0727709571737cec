package routing

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
	"time"
)

const (
	// slownessTTL is how long a server's statement about its slowness has an effect. The
	// logarithm of the slowness decreases linearly to 0 within this time: machines that
	// are shared are slow for about 600 ms.
	slownessTTL = 600 * time.Millisecond
	// speedTolerance is the factor up to which a slowness has no effect. Machines
	// of one kind differ by less.
	speedTolerance = 1.2
	// maxSlowness bounds the slowness of a server, stated or learnt.
	maxSlowness = 10.0
	// urgentSlowness is the factor by which a statement must exceed what is known of the
	// server for the peers to be informed at once.
	urgentSlowness = 1.5
	// speedHalfLife is the half-life of observations of a server's speed.
	speedHalfLife = 15 * time.Second
	// speedInterval is the interval at which the speeds of a service's servers are compared,
	// speedHintInterval that between two hints with observations of one server.
	speedInterval     = 500 * time.Millisecond
	speedHintInterval = 2 * time.Second
	// minSpeedWeight is the weight of observations from which a server's speed is compared.
	// Below forgottenSpeedWeight a server counts as usual again. maxSpeedWeight bounds the
	// weight that is kept, so that a server which has changed is recognized.
	minSpeedWeight       = 8.0
	forgottenSpeedWeight = 1.0
	maxSpeedWeight       = 60.0
	// minComparedServers is the least number of servers whose speeds are compared.
	minComparedServers = 3
	// otherSpeedRatio is the factor to the median of its service from which a server belongs
	// to another speed class; below speedTolerance it is usual again. The distance keeps
	// the latency-sensitive pool the same at all gateways and over time.
	otherSpeedRatio = 1.5
	// maxObservedRatio bounds one observation relative to the mean of the service.
	maxObservedRatio = 4.0
	// minPauses is the least number of pauses of a stream that show the speed of its server.
	minPauses = 6
	// firstEventWeight is the weight of a first event relative to the pauses of a stream: other
	// prompts may have delayed it.
	firstEventWeight = 0.5
	// maxPendingForSpeed is the pending prefill at a server, in tokens, up to which a first event
	// shows its speed, minPromptForSpeed the least number of its own uncached tokens.
	maxPendingForSpeed = 500
	minPromptForSpeed  = 500
	// maxPendingForPauses is the pending prefill at a server, in tokens, at the begin and the end of
	// a stream up to which its pauses show the speed of the server: under overload all
	// pauses are those of prefill.
	maxPendingForPauses = 4000
	// usualGain is the weight of one observation in the mean of a service, once it has
	// minUsualCount of them.
	usualGain     = 0.02
	minUsualCount = 20
	// longestPauseGain is the weight of one stream in the usual longest pause of a route.
	longestPauseGain = 0.05
	// minSpeed and maxSpeed bound the learnt speed relative to the service.
	minSpeed = 0.2
	maxSpeed = 10.0
)

// speedClass orders servers by their learnt speed.
type speedClass int

const (
	fastServer  speedClass = -1
	usualServer speedClass = 0
	slowServer  speedClass = 1
)

// speedSums holds observations of how many times longer than the mean of the service work
// takes at one server: the sums of the natural logarithms of the ratios, corrected for the
// slowness that the server stated meanwhile, and of that slowness.
type speedSums struct {
	slowness, stated, weight float64
}

// add adds observations.
func (o *speedSums) add(other speedSums) {
	o.slowness += other.slowness
	o.stated += other.stated
	o.weight += other.weight
}

// scale multiplies the weight of the observations.
func (o *speedSums) scale(factor float64) {
	o.slowness *= factor
	o.stated *= factor
	o.weight *= factor
}

// valid reports whether the sums are finite and within the bounds of observations.
func (o speedSums) valid() bool {
	limit := o.weight * math.Log(maxObservedRatio*maxSlowness)
	return o.weight >= 0 && o.weight <= maxSpeedWeight && math.Abs(o.slowness) <= limit && o.stated >= 0 && o.stated <= limit
}

// serverSpeed is what is known about the speed of one server.
type serverSpeed struct {
	// startedAtMs is the incarnation of the server, zero if unknown.
	startedAtMs int64
	// stated is the natural logarithm of the slowness that the server stated at statedAt;
	// zero if that has no effect.
	stated   float64
	statedAt time.Time
	// statedUnsent reports whether the peers have not been informed of the statement,
	// statedUrgent whether they must be informed at once.
	statedUnsent, statedUrgent bool
	// observed are the observations of all gateways as of observedAt, with exponential decay,
	// unsent those of this gateway that its peers have not been informed of since sentAt.
	observed, unsent   speedSums
	observedAt, sentAt time.Time
	// class and slowness are learnt: slowness is the natural logarithm of how many times
	// longer than at the other servers work takes, and 0 at a usual server.
	class    speedClass
	slowness float64
	// overstated is by how much the statements of the server exceed what is observed, as the
	// logarithm of a factor.
	overstated float64
}

// logSlowness returns the natural logarithm of a stated slowness, and whether the statement
// is valid. A server that states to be faster than usual counts as usual: a false
// statement would attract the requests of all gateways at once.
func logSlowness(slowness float64) (float64, bool) {
	if !(slowness > 0) || math.IsInf(slowness, 0) {
		return 0, false
	}
	if slowness <= speedTolerance {
		return 0, true
	}
	return math.Log(min(slowness, maxSlowness)), true
}

// statedNow returns the natural logarithm of the stated slowness as it applies now.
func (sp *serverSpeed) statedNow(now time.Time) float64 {
	if sp.stated == 0 {
		return 0
	}
	age := now.Sub(sp.statedAt)
	if age >= slownessTTL {
		return 0
	}
	return sp.stated * (1 - float64(max(0, age))/float64(slownessTTL))
}

// timeFactor returns how many times longer than at a usual server work takes now.
func (sp *serverSpeed) timeFactor(now time.Time) float64 {
	if sp.stated == 0 && sp.class == usualServer {
		return 1
	}
	return math.Exp(sp.slowness + max(0, sp.statedNow(now)-sp.overstated))
}

// updateSpeedDiffers updates speedDiffers after a change of the speed.
func (st *serverState) updateSpeedDiffers() {
	st.speedDiffers = st.speed.stated != 0 || st.speed.class != usualServer
}

// timeFactor returns how many times longer than at a usual server work takes now.
func (st *serverState) timeFactor(now time.Time) float64 {
	if !st.speedDiffers {
		return 1
	}
	return st.speed.timeFactor(now)
}

// record adds observations.
func (sp *serverSpeed) record(now time.Time, o speedSums) {
	sp.observed.scale(decayFactor(now.Sub(sp.observedAt), speedHalfLife))
	sp.observedAt = now
	sp.observed.add(o)
	if sp.observed.weight > maxSpeedWeight {
		sp.observed.scale(maxSpeedWeight / sp.observed.weight)
	}
}

// observe adds one observation of this gateway: the natural logarithm of the ratio to the mean of
// the service, and those of the slowness that was stated at its begin and at its end. The
// more these differ, the less is known of the time between.
func (sp *serverSpeed) observe(now time.Time, weight, ratio, statedBefore, statedAfter float64) {
	limit := math.Log(maxObservedRatio)
	weight *= math.Exp(-2 * math.Abs(statedBefore-statedAfter))
	stated := (statedBefore + statedAfter) / 2
	o := speedSums{slowness: weight * (max(-limit, min(limit, ratio)) - stated), stated: weight * stated, weight: weight}
	sp.record(now, o)
	sp.unsent.add(o)
}

// mean returns the mean of the observations as the natural logarithm of a slowness. Where the
// statements of the server exceed what is observed, they are corrected only up to the mean of the
// service; overstated is the rest. It must not be called without observations.
func (sp *serverSpeed) mean() (mean, overstated float64) {
	corrected, stated := sp.observed.slowness/sp.observed.weight, sp.observed.stated/sp.observed.weight
	overstated = max(0, min(-corrected, stated))
	return corrected + overstated, overstated
}

// compare updates the learnt speed. median is the median of the mean slowness of the servers of
// the service, as a logarithm. It reports whether the class has changed.
func (sp *serverSpeed) compare(now time.Time, median float64) bool {
	before := sp.class
	weight := sp.observed.weight * decayFactor(now.Sub(sp.observedAt), speedHalfLife)
	switch {
	case weight < forgottenSpeedWeight:
		sp.class, sp.slowness, sp.overstated = usualServer, 0, 0
		return sp.class != before
	case weight < minSpeedWeight && sp.class == usualServer:
		return false
	}
	mean, overstated := sp.mean()
	if sp.overstated = overstated; overstated < math.Log(speedTolerance) {
		sp.overstated = 0
	}
	relative := mean - median
	distance := math.Abs(relative)
	switch {
	case distance > math.Log(otherSpeedRatio):
		sp.class = speedClass(cmp.Compare(relative, 0))
	case distance < math.Log(speedTolerance) || cmp.Compare(relative, 0) != int(sp.class):
		sp.class = usualServer
	}
	sp.slowness = 0
	if sp.class != usualServer {
		sp.slowness = max(-math.Log(maxSpeed), min(-math.Log(minSpeed), relative))
	}
	return sp.class != before
}

// compareSpeeds updates the learnt speeds of all candidates, and the order in which they are
// assigned to the latency-sensitive pool if the class of one has changed.
func (c *candidates) compareSpeeds(now time.Time) {
	if age := now.Sub(c.speedsAt); age >= 0 && age < speedInterval {
		return
	}
	c.speedsAt = now
	c.slownesses = c.slownesses[:0]
	for i := range c.entries {
		sp := &c.entries[i].speed
		if now.Sub(sp.statedAt) >= slownessTTL && !sp.statedUnsent {
			sp.stated = 0
		}
		c.entries[i].updateSpeedDiffers()
		if sp.observed.weight*decayFactor(now.Sub(sp.observedAt), speedHalfLife) >= minSpeedWeight {
			mean, _ := sp.mean()
			c.slownesses = append(c.slownesses, mean)
		}
	}
	if len(c.slownesses) < max(minComparedServers, len(c.entries)/3) {
		return
	}
	slices.Sort(c.slownesses)
	median := c.slownesses[(len(c.slownesses)-1)/2]
	changed := false
	for i := range c.entries {
		changed = c.entries[i].speed.compare(now, median) || changed
		c.entries[i].updateSpeedDiffers()
	}
	if changed {
		c.rankForPool()
	}
}

// usualKey selects the requests that are compared with each other: the pauses of one route, or
// the first events of all (an empty route), at a similar number of requests in flight.
type usualKey struct {
	route    string
	inFlight int
}

func newUsualKey(route string, inFlight int) usualKey {
	// Each group includes numbers up to four times the smallest, as slow servers have more
	// requests in flight.
	return usualKey{route, (bits.Len(uint(max(0, inFlight))) + 1) / 2}
}

// usual is the mean of the natural logarithm of a time at all servers of a service.
type usual struct {
	mean  float64
	count int
}

// compareToUsual adds an observation. It returns the natural logarithm of its ratio to the mean
// before, and whether that is known.
func (svc *serviceState) compareToUsual(key usualKey, value float64) (float64, bool) {
	u := svc.usual[key]
	ratio := math.Log(value) - u.mean
	known := u.count >= minUsualCount
	if known {
		ratio = max(-math.Log(maxObservedRatio), min(math.Log(maxObservedRatio), ratio))
	}
	u.count++
	u.mean += max(usualGain, 1/float64(u.count)) * ratio
	svc.usual[key] = u
	return ratio, known
}

const (
	// Pauses are counted by their logarithm, pauseStepsPerOctave for each factor of 2, from
	// minPause on.
	pauseStepsPerOctave = 8
	pauseSteps          = 16 * pauseStepsPerOctave
	minPause            = 100 * time.Microsecond
)

// pauses counts the times between the events of a stream.
type pauses struct {
	last    time.Time
	longest time.Duration
	count   int
	counts  [pauseSteps]uint16
}

// add adds n events at once.
func (p *pauses) add(now time.Time, n int) {
	if !p.last.IsZero() && n > 0 {
		pause := now.Sub(p.last)
		p.longest = max(p.longest, pause)
		step := int(pauseStepsPerOctave * math.Log2(max(1, float64(pause)/float64(n)/float64(minPause))))
		p.counts[min(pauseSteps-1, step)] += uint16(min(n, math.MaxUint16/2))
		p.count += n
	}
	p.last = now
}

// typical returns the pause in milliseconds that an eighth of the pauses are below. The prefill
// of other prompts delays many events, and the short pauses show the engine without it.
func (p *pauses) typical() float64 {
	seen := 0
	for step, n := range p.counts {
		if seen += int(n); 8*seen >= p.count {
			return milliseconds(minPause) * math.Exp2(float64(step)/pauseStepsPerOctave)
		}
	}
	return milliseconds(minPause) * math.Exp2(pauseSteps/pauseStepsPerOctave)
}

// Events records that n events of the response arrived together. It takes no lock: it is
// called for each event.
func (a *Attempt) Events(now time.Time, n int) { a.pauses.add(now, n) }

// observePauses adds the time between the events of the stream to the observations of the
// server's speed.
func (a *Attempt) observePauses(now time.Time, st *serverState, service *serviceState) {
	if !a.scheduler.speedsStated || a.pauses.count < minPauses || st.speed.startedAtMs != a.startedAtMs {
		return
	}
	if a.latencySensitive {
		longest := milliseconds(a.pauses.longest) / st.speed.timeFactor(now)
		if usual, known := service.longestPauses[a.job.Route]; known {
			longest = usual + longestPauseGain*(longest-usual)
		}
		service.longestPauses[a.job.Route] = longest
	}
	l := st.load(now)
	if a.overloaded || l.pendingPrefill > maxPendingForPauses {
		return
	}
	key := newUsualKey(a.job.Route, (a.inFlight+l.inFlight)/2)
	if ratio, known := service.compareToUsual(key, a.pauses.typical()); known {
		st.speed.observe(now, 1, ratio, a.stated, st.speed.statedNow(now))
	}
}

// observeFirstEvent adds the time to the first event to the observations of the server's speed,
// if no other prompt delayed it.
func (a *Attempt) observeFirstEvent(now time.Time, st *serverState, service *serviceState) {
	l := st.load(now)
	a.inFlight, a.stated = l.inFlight, st.speed.statedNow(now)
	a.overloaded = l.pendingPrefill > maxPendingForPauses
	if !a.scheduler.speedsStated || !a.undelayed || l.pendingPrefill > maxPendingForSpeed || a.uncachedTokens < minPromptForSpeed || st.speed.startedAtMs != a.startedAtMs {
		return
	}
	expected := float64(a.uncachedTokens)/service.prefillRate + baseFirstEventTime
	took := max(milliseconds(minPause), milliseconds(now.Sub(a.sentAt)))
	if ratio, known := service.compareToUsual(newUsualKey("", a.inFlight), took/expected); known {
		st.speed.observe(now, firstEventWeight, ratio, a.stated, a.stated)
	}
}

// longPausePenalty returns the penalty for a latency-sensitive stream at a slow server, in
// milliseconds, where work takes timeFactor times as long: it grows as the longest pause, which is
// usualPause milliseconds elsewhere, comes near the target.
func longPausePenalty(j *Job, usualPause, timeFactor float64) float64 {
	risk := func(pause float64) float64 {
		return max(0, min(1, 2*pause/milliseconds(j.MaxEventGap)-1))
	}
	return interferencePenalty * (risk(usualPause*timeFactor) - risk(usualPause))
}

// state records a statement of the server about its slowness, or one that a peer received.
// It reports whether it differs much from what was known.
func (sp *serverSpeed) state(now, at time.Time, logSlowness float64) bool {
	known := sp.statedNow(now)
	sp.stated, sp.statedAt = logSlowness, at
	return logSlowness-known > math.Log(urgentSlowness)
}

// reset discards what is known if the server is another incarnation.
func (sp *serverSpeed) reset(startedAtMs int64) {
	if startedAtMs == 0 || startedAtMs == sp.startedAtMs {
		return
	}
	if sp.startedAtMs != 0 {
		*sp = serverSpeed{}
	}
	sp.startedAtMs = startedAtMs
}

// ReportSlowness applies a server's own statement of how many times longer than usual work
// takes on its machine now. 1 means as usual; a value that is not positive and finite is
// ignored, and one above 10 counts as 10.
func (s *Scheduler) ReportSlowness(now time.Time, server string, slowness float64) {
	stated, valid := logSlowness(slowness)
	if !valid {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.speedsStated = true
	st := s.state(server)
	if stated == 0 && st.speed.statedNow(now) == 0 {
		return
	}
	st.speed.statedUnsent = true
	urgent := st.speed.state(now, now, stated)
	st.updateSpeedDiffers()
	if urgent {
		st.speed.statedUrgent = true
		s.notifyIfUrgent(st)
	}
}

// SpeedHint is what one gateway has observed of the speed of one server since its last hint
// about it, and a statement of the server that it received. Zero values mean nothing.
type SpeedHint struct {
	// StartedAtMs is the incarnation of the server.
	StartedAtMs int64
	// Slowness and Stated are sums of natural logarithms of ratios, in thousandths, Weight the
	// weight of the observations, in thousandths.
	Slowness, Stated, Weight int
	// StatedPercent is the slowness that the server last stated, 100 means as usual, and
	// StatedAgeMs how long ago, in milliseconds.
	StatedPercent, StatedAgeMs int
}

// speedHintUnit is the inverse of the unit of SpeedHint.
const speedHintUnit = 1000

// collect returns what peers have to be informed of, or nil.
func (sp *serverSpeed) collect(now time.Time) *SpeedHint {
	h := SpeedHint{StartedAtMs: sp.startedAtMs}
	if sp.unsent.weight > 0 && now.Sub(sp.sentAt) >= speedHintInterval {
		h.Slowness, h.Stated = int(math.Round(sp.unsent.slowness*speedHintUnit)), int(math.Round(sp.unsent.stated*speedHintUnit))
		h.Weight = int(math.Round(sp.unsent.weight * speedHintUnit))
		sp.unsent, sp.sentAt = speedSums{}, now
	}
	if sp.statedUnsent {
		h.StatedPercent = int(math.Round(100 * math.Exp(sp.stated)))
		h.StatedAgeMs = int(max(0, now.Sub(sp.statedAt).Milliseconds()))
		sp.statedUnsent, sp.statedUrgent = false, false
	}
	if h.Weight == 0 && h.StatedPercent == 0 {
		return nil
	}
	return &h
}

// apply applies the hint of a peer. One about another incarnation, or with values out of
// bounds, has no effect.
func (sp *serverSpeed) apply(now time.Time, h *SpeedHint) {
	if h == nil || h.StartedAtMs != sp.startedAtMs {
		return
	}
	o := speedSums{slowness: float64(h.Slowness) / speedHintUnit, stated: float64(h.Stated) / speedHintUnit, weight: float64(h.Weight) / speedHintUnit}
	if o.weight > 0 && o.valid() {
		sp.record(now, o)
	}
	stated, valid := logSlowness(float64(h.StatedPercent) / 100)
	if !valid || h.StatedAgeMs < 0 || h.StatedAgeMs > int(slownessTTL.Milliseconds()) {
		return
	}
	if at := now.Add(-time.Duration(h.StatedAgeMs) * time.Millisecond); at.After(sp.statedAt) {
		sp.state(now, at, stated)
	}
}
