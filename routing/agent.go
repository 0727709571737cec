package routing

import (
	"math"
	"time"
)

const (
	// reportHalfLife is the age at which a report counts half.
	reportHalfLife = 2 * time.Second
	// slownessHalfLife is how fast a straggler is given another chance.
	slownessHalfLife = 20 * time.Second
	slownessGain     = 0.1
	maxSlowness      = 50
	// expectedGain is the weight of a new observation of a kind of work.
	expectedGain = 0.05
	// initialWhole is assumed of work that was never seen.
	initialWhole = time.Second
	// silenceFactor is how many expected first-token times an agent may keep
	// all its requests waiting before it counts as silent.
	silenceFactor = 3
	minSilence    = 500 * time.Millisecond
	// maxRefusedFor bounds how long a refusal keeps requests away.
	maxRefusedFor = 5 * time.Second
	failureFactor = 4
	// paceGain is the weight of a new observation of the time between tokens.
	paceGain = 0.2
	// paceMemory is how long an observed time between tokens counts.
	paceMemory = 20 * time.Second
	// minPaceTokens is the least number of tokens that show a pace.
	minPaceTokens = 8
	// lateFactor is how many times the expected time an agent counts more
	// whose tokens come slower than the request's target allows.
	lateFactor = 4
	// idleAfter is how long an agent that is not used is remembered.
	idleAfter    = 10 * time.Minute
	maxWorkKinds = 1024
)

// kindOfWork tells requests of unlike length apart.
type kindOfWork struct{ class, model string }

// expectation is what this entry saw of a kind of work over all agents.
type expectation struct {
	whole      time.Duration
	firstToken time.Duration
}

// agent is what this entry saw of one agent.
type agent struct {
	// slowness is the mean of observed over expected time.
	slowness   float64
	slownessAt time.Time
	// betweenTokens is the mean time between tokens.
	betweenTokens   time.Duration
	betweenTokensAt time.Time
	// awaiting counts the requests without a first token.
	awaiting int
	// progressAt is when a first token or an end came last, or when the first
	// request was sent after none were outstanding.
	progressAt time.Time
	// ownAtReport is how many of this entry's requests the agent held when
	// the report in use came.
	ownAtReport int
	reportedAt  time.Time
	// refusedUntil holds for refusedTier and the tiers below.
	refusedUntil time.Time
	refusedAt    time.Time
	refusedTier  int
	usedAt       time.Time
}

// completion estimates how long the request would take at the candidate.
func (r *Router) completion(now time.Time, req *Request, c *Candidate, expected time.Duration) time.Duration {
	a := r.agents[c.VM]
	slowness, own := 1.0, 0
	extra := time.Duration(0)
	if a != nil {
		slowness = a.slownessNow(now)
		own = a.ownThen(c)
		extra = a.silence(now, r.expectedFirst(req.Class, req.Model)) + a.refused(now, req.Tier, c)
		if a.late(now, req.InterTokenTarget) {
			extra += lateFactor * expected
		}
	}
	if c.DataCentre != r.cfg.DataCentre {
		extra += remotePenalty
	}
	service := slowness * float64(expected)
	slots := float64(max(1, c.Slots))
	trust := freshness(now, c.ReportedAt)
	others := trust * float64(max(0, c.Running+c.Queued-own))
	occupancy := (float64(c.Outstanding) + others) / slots
	ownWait := max(0, float64(c.Outstanding+1)/slots-1) * service
	since := float64(c.Outstanding-own) / slots * service
	reported := float64(c.WaitByTier[tierIndex(req.Tier)])
	if reported > 0 {
		reported = max(0, reported+since)
	}
	wait := max(ownWait, trust*reported)
	return time.Duration(service*(1+occupancy)+wait) + extra
}

func tierIndex(tier int) int { return min(max(tier, 1), 4) - 1 }

// freshness returns how much a report counts, from 1 down to 0.
func freshness(now, reportedAt time.Time) float64 {
	if reportedAt.IsZero() {
		return 0
	}
	age := max(0, now.Sub(reportedAt))
	return math.Exp2(-float64(age) / float64(reportHalfLife))
}

// slownessNow returns the slowness, which returns to 1 with time.
func (a *agent) slownessNow(now time.Time) float64 {
	age := max(0, now.Sub(a.slownessAt))
	return 1 + (a.slowness-1)*math.Exp2(-float64(age)/float64(slownessHalfLife))
}

// addRatio takes in an observed time relative to the expected one.
func (a *agent) addRatio(now time.Time, ratio float64) {
	slowness := a.slownessNow(now)
	a.slowness = min(maxSlowness, slowness+slownessGain*(min(ratio, maxSlowness)-slowness))
	a.slownessAt = now
}

// ownThen returns how many of this entry's requests the agent held when the
// candidate's report came.
func (a *agent) ownThen(c *Candidate) int {
	if !c.ReportedAt.Equal(a.reportedAt) {
		a.reportedAt = c.ReportedAt
		a.ownAtReport = c.Outstanding
	}
	return a.ownAtReport
}

// silence returns what an agent counts more that took requests and has shown
// no first token for long.
func (a *agent) silence(now time.Time, firstToken time.Duration) time.Duration {
	if a.awaiting == 0 {
		return 0
	}
	silent := now.Sub(a.progressAt)
	if silent < max(minSilence, silenceFactor*firstToken) {
		return 0
	}
	return silenceFactor * silent
}

// refused returns how long the agent asked requests of the tier to stay away,
// unless it has reported a free slot since.
func (a *agent) refused(now time.Time, tier int, c *Candidate) time.Duration {
	if tier < a.refusedTier || c.ReportedAt.After(a.refusedAt) && hasRoom(c) {
		return 0
	}
	return max(0, a.refusedUntil.Sub(now))
}

// late reports whether the agent's tokens come slower than the target.
func (a *agent) late(now time.Time, target time.Duration) bool {
	return target > 0 && a.betweenTokens > target && now.Sub(a.betweenTokensAt) < paceMemory
}

// addPace takes in the time between the tokens of a request.
func (a *agent) addPace(now time.Time, o Observation) {
	if o.Tokens < minPaceTokens || o.FirstToken <= 0 {
		return
	}
	between := (o.Completion - o.FirstToken) / time.Duration(o.Tokens-1)
	if now.Sub(a.betweenTokensAt) >= paceMemory {
		a.betweenTokens = between
	}
	a.betweenTokens += time.Duration(paceGain * float64(between-a.betweenTokens))
	a.betweenTokensAt = now
}

func (r *Router) expectedWhole(class, model string) time.Duration {
	if e, found := r.expected[kindOfWork{class, model}]; found {
		return e.whole
	}
	return initialWhole
}

func (r *Router) expectedFirst(class, model string) time.Duration {
	if e, found := r.expected[kindOfWork{class, model}]; found {
		return e.firstToken
	}
	return 0
}

// Observe takes in what happened to a request at the VM's agent.
func (r *Router) Observe(now time.Time, vm string, o Observation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sweep(now)
	a, found := r.agents[vm]
	if !found {
		a = &agent{slowness: 1, slownessAt: now}
		r.agents[vm] = a
	}
	a.usedAt = now
	switch o.Kind {
	case KindSent:
		a.sent(now)
	case KindFirstToken:
		a.progress(now)
	case KindCompleted:
		r.completed(now, a, o)
	case KindFailed:
		a.ended(now, o)
		a.addRatio(now, failureFactor*max(1, a.slownessNow(now)))
	case KindRefused:
		a.ended(now, o)
		a.refusedUntil = now.Add(min(o.RetryDelay, maxRefusedFor))
		a.refusedAt = now
		a.refusedTier = o.Tier
	case KindCancelled:
		r.cancelled(now, a, o)
	}
}

func (a *agent) sent(now time.Time) {
	if a.awaiting == 0 {
		a.progressAt = now
	}
	a.awaiting++
}

// progress takes in the first token of a request.
func (a *agent) progress(now time.Time) {
	a.awaiting = max(0, a.awaiting-1)
	a.progressAt = now
}

// ended takes in the end of a request without a word on its speed. It is no
// sign of progress: a silent agent's requests end too, by their timeout.
func (a *agent) ended(_ time.Time, o Observation) {
	if o.FirstToken == 0 {
		a.awaiting = max(0, a.awaiting-1)
	}
}

func (r *Router) completed(now time.Time, a *agent, o Observation) {
	a.ended(now, o)
	a.progressAt = now
	a.addPace(now, o)
	e := r.expectation(o)
	if e == nil || o.Completion <= 0 {
		return
	}
	if e.whole == 0 {
		e.whole = o.Completion
		e.firstToken = o.FirstToken
	}
	a.addRatio(now, float64(o.Completion)/float64(max(1, e.whole)))
	e.whole += time.Duration(expectedGain * float64(o.Completion-e.whole))
	e.firstToken += time.Duration(expectedGain * float64(o.FirstToken-e.firstToken))
}

// cancelled takes in that the caller gave up: the request would have taken
// longer still.
func (r *Router) cancelled(now time.Time, a *agent, o Observation) {
	a.ended(now, o)
	ratio := float64(o.Completion) / float64(r.expectedWhole(o.Class, o.Model))
	if ratio > a.slownessNow(now) {
		a.addRatio(now, ratio)
	}
}

// expectation returns the record of the observation's kind of work, or nil
// when there are too many kinds.
func (r *Router) expectation(o Observation) *expectation {
	kind := kindOfWork{o.Class, o.Model}
	e, found := r.expected[kind]
	if !found && len(r.expected) < maxWorkKinds {
		e = &expectation{}
		r.expected[kind] = e
	}
	return e
}

// sweep forgets agents that were not used for long.
func (r *Router) sweep(now time.Time) {
	if now.Sub(r.swept) < idleAfter/10 {
		return
	}
	r.swept = now
	for vm, a := range r.agents {
		if now.Sub(a.usedAt) > idleAfter {
			delete(r.agents, vm)
		}
	}
}
