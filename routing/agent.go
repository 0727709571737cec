package routing

import (
	"math"
	"time"
)

const (
	// reportHalfLife is the half-life of the weight of a load report.
	reportHalfLife = 2 * time.Second
	// agentSlowdownHalfLife is the half-life of an agent's slowdown; it determines
	// how soon a slow agent gets requests again.
	agentSlowdownHalfLife = 20 * time.Second
	// agentSlowdownGain is the weight of one observation in an agent's slowdown.
	agentSlowdownGain = 0.1
	// maxAgentSlowdown bounds an agent's slowdown and each observation of it.
	maxAgentSlowdown = 50
	// typicalGain is the weight of one observation in the typical times of a
	// workload.
	typicalGain = 0.05
	// defaultCompletion is assumed for a workload without observations.
	defaultCompletion = time.Second
	// silenceFactor times the typical time to first token without any progress
	// makes an agent count as silent. Its estimate is then raised by silenceFactor
	// times the time since its last progress.
	silenceFactor = 3
	// minSilence is the least time without progress after which an agent counts as
	// silent.
	minSilence = 500 * time.Millisecond
	// maxRefusalDelay bounds how long a refusal keeps requests from an agent.
	maxRefusalDelay = 5 * time.Second
	// failureSlowdown is the multiple of an agent's current slowdown that is
	// recorded as the observation for a failed request.
	failureSlowdown = 4
	// interTokenGain is the weight of one observation in the inter-token latency.
	interTokenGain = 0.2
	// interTokenTTL is how long an observed inter-token latency is used.
	interTokenTTL = 20 * time.Second
	// minInterTokenSample is the least number of tokens from which the
	// inter-token latency is computed.
	minInterTokenSample = 8
	// missedTargetFactor is the multiple of the typical completion time that is
	// added for an agent whose inter-token latency exceeds the request's target.
	missedTargetFactor = 4
	// agentTTL is how long the observations of an unused agent are kept.
	agentTTL = 10 * time.Minute
	// maxWorkloads bounds the number of workloads with typical times.
	maxWorkloads = 1024
)

// workload identifies requests that take similar times: those of one class and
// model.
type workload struct{ class, model string }

// typicalTimes are the moving averages of a workload's times over all agents.
type typicalTimes struct {
	completion time.Duration
	firstToken time.Duration
}

// agentStats is what this entry has observed of one agent.
type agentStats struct {
	// slowdown is the moving average of the ratio of observed to typical completion
	// time, as of slowdownAt.
	slowdown   float64
	slowdownAt time.Time
	// interToken is the moving average of the inter-token latency.
	interToken   time.Duration
	interTokenAt time.Time
	// awaitingFirstToken counts the requests without a first token.
	awaitingFirstToken int
	// progressAt is the last time that a first token arrived, that a request
	// completed, or that a request was sent while no other awaited its first token.
	progressAt time.Time
	// ownAtReport is the number of this entry's requests at the agent when the
	// latest report arrived.
	ownAtReport int
	reportedAt  time.Time
	// refusedUntil is the end of the retry delay of the last refusal, which applies
	// to refusedTier and to the less urgent tiers.
	refusedUntil time.Time
	refusedAt    time.Time
	refusedTier  int
	// usedAt is the time of the last observation.
	usedAt time.Time
}

// estimateCompletion estimates how long the request would take at the candidate:
// the typical completion time multiplied by the agent's slowdown and raised by the
// occupancy of its slots, the wait for a slot, and penalties. The wait is the
// greater of two: what this entry's requests in flight alone cause, and the wait
// that the agent reported, weighted by the age of the report and corrected by
// the entry's requests that were sent or ended since.
func (r *Router) estimateCompletion(now time.Time, req *Request, c *Candidate, typical time.Duration) time.Duration {
	a := r.agents[c.VM]
	slowdown, ownAtReport := 1.0, 0
	penalty := time.Duration(0)
	if a != nil {
		slowdown = a.slowdownNow(now)
		ownAtReport = a.ownRequestsAtReport(c)
		penalty = a.silencePenalty(now, r.typicalFirstToken(req.Class, req.Model)) + a.refusalDelay(now, req.Tier, c)
		if a.missesInterTokenTarget(now, req.InterTokenTarget) {
			penalty += missedTargetFactor * typical
		}
	}
	if c.DataCentre != r.cfg.DataCentre {
		penalty += agentCrossDataCentrePenalty
	}
	serviceTime := slowdown * float64(typical)
	slots := float64(max(1, c.Slots))
	reportWeight := reportWeightAt(now, c.ReportedAt)
	others := reportWeight * float64(max(0, c.Running+c.Queued-ownAtReport))
	occupancy := (float64(c.InFlight) + others) / slots
	ownWait := max(0, float64(c.InFlight+1)/slots-1) * serviceTime
	waitSinceReport := float64(c.InFlight-ownAtReport) / slots * serviceTime
	reportedWait := float64(c.WaitByTier[tierIndex(req.Tier)])
	if reportedWait > 0 {
		reportedWait = max(0, reportedWait+waitSinceReport)
	}
	wait := max(ownWait, reportWeight*reportedWait)
	return time.Duration(serviceTime*(1+occupancy)+wait) + penalty
}

// tierIndex returns the index of a tier in Candidate.WaitByTier.
func tierIndex(tier int) int { return min(max(tier, 1), 4) - 1 }

// reportWeightAt returns the weight of a load report: 1 when it is new, and
// exponentially decaying to 0.
func reportWeightAt(now, reportedAt time.Time) float64 {
	if reportedAt.IsZero() {
		return 0
	}
	age := max(0, now.Sub(reportedAt))
	return math.Exp2(-float64(age) / float64(reportHalfLife))
}

// slowdownNow returns the slowdown, which decays to 1.
func (a *agentStats) slowdownNow(now time.Time) float64 {
	age := max(0, now.Sub(a.slowdownAt))
	return 1 + (a.slowdown-1)*math.Exp2(-float64(age)/float64(agentSlowdownHalfLife))
}

// recordSlowdown adds an observed ratio of completion time to typical time.
func (a *agentStats) recordSlowdown(now time.Time, ratio float64) {
	slowdown := a.slowdownNow(now)
	a.slowdown = min(maxAgentSlowdown, slowdown+agentSlowdownGain*(min(ratio, maxAgentSlowdown)-slowdown))
	a.slowdownAt = now
}

// ownRequestsAtReport returns how many of this entry's requests the agent had
// when the candidate's report arrived. The number is recorded at the first choice
// after the arrival.
func (a *agentStats) ownRequestsAtReport(c *Candidate) int {
	if !c.ReportedAt.Equal(a.reportedAt) {
		a.reportedAt = c.ReportedAt
		a.ownAtReport = c.InFlight
	}
	return a.ownAtReport
}

// silencePenalty returns the penalty for a silent agent: one with requests that
// await their first token and without progress for a long time.
func (a *agentStats) silencePenalty(now time.Time, typicalFirstToken time.Duration) time.Duration {
	if a.awaitingFirstToken == 0 {
		return 0
	}
	silent := now.Sub(a.progressAt)
	if silent < max(minSilence, silenceFactor*typicalFirstToken) {
		return 0
	}
	return silenceFactor * silent
}

// refusalDelay returns the remaining retry delay of the last refusal. It is 0 if
// the refusal does not apply to the tier, or if the agent has reported a free slot
// since.
func (a *agentStats) refusalDelay(now time.Time, tier int, c *Candidate) time.Duration {
	if tier < a.refusedTier || c.ReportedAt.After(a.refusedAt) && hasFreeSlot(c) {
		return 0
	}
	return max(0, a.refusedUntil.Sub(now))
}

// missesInterTokenTarget reports whether the agent's inter-token latency exceeds
// the target.
func (a *agentStats) missesInterTokenTarget(now time.Time, target time.Duration) bool {
	return target > 0 && a.interToken > target && now.Sub(a.interTokenAt) < interTokenTTL
}

// recordInterToken adds the mean inter-token latency of a request to the moving
// average, or starts a new average if the last observation has expired.
func (a *agentStats) recordInterToken(now time.Time, o Observation) {
	if o.Tokens < minInterTokenSample || o.FirstToken <= 0 {
		return
	}
	observed := (o.Completion - o.FirstToken) / time.Duration(o.Tokens-1)
	if now.Sub(a.interTokenAt) >= interTokenTTL {
		a.interToken = observed
	}
	a.interToken += time.Duration(interTokenGain * float64(observed-a.interToken))
	a.interTokenAt = now
}

func (r *Router) typicalCompletion(class, model string) time.Duration {
	if t, found := r.typical[workload{class, model}]; found {
		return t.completion
	}
	return defaultCompletion
}

func (r *Router) typicalFirstToken(class, model string) time.Duration {
	if t, found := r.typical[workload{class, model}]; found {
		return t.firstToken
	}
	return 0
}

// Observe records what happened to a request at the VM's agent.
func (r *Router) Observe(now time.Time, vm string, o Observation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evictUnused(now)
	a, found := r.agents[vm]
	if !found {
		a = &agentStats{slowdown: 1, slowdownAt: now}
		r.agents[vm] = a
	}
	a.usedAt = now
	switch o.Kind {
	case KindSent:
		a.sent(now)
	case KindFirstToken:
		a.firstToken(now)
	case KindCompleted:
		r.completed(now, a, o)
	case KindFailed:
		a.ended(now, o)
		a.recordSlowdown(now, failureSlowdown*max(1, a.slowdownNow(now)))
	case KindRefused:
		a.ended(now, o)
		a.refusedUntil = now.Add(min(o.RetryDelay, maxRefusalDelay))
		a.refusedAt = now
		a.refusedTier = o.Tier
	case KindCancelled:
		r.cancelled(now, a, o)
	}
}

func (a *agentStats) sent(now time.Time) {
	if a.awaitingFirstToken == 0 {
		a.progressAt = now
	}
	a.awaitingFirstToken++
}

// firstToken records the first token of a request.
func (a *agentStats) firstToken(now time.Time) {
	a.awaitingFirstToken = max(0, a.awaitingFirstToken-1)
	a.progressAt = now
}

// ended records the end of a request. The end alone is no progress, since the
// requests of a silent agent end too, by their timeout.
func (a *agentStats) ended(_ time.Time, o Observation) {
	if o.FirstToken == 0 {
		a.awaitingFirstToken = max(0, a.awaitingFirstToken-1)
	}
}

func (r *Router) completed(now time.Time, a *agentStats, o Observation) {
	a.ended(now, o)
	a.progressAt = now
	a.recordInterToken(now, o)
	t := r.typicalTimes(o)
	if t == nil || o.Completion <= 0 {
		return
	}
	if t.completion == 0 {
		t.completion = o.Completion
		t.firstToken = o.FirstToken
	}
	a.recordSlowdown(now, float64(o.Completion)/float64(max(1, t.completion)))
	t.completion += time.Duration(typicalGain * float64(o.Completion-t.completion))
	t.firstToken += time.Duration(typicalGain * float64(o.FirstToken-t.firstToken))
}

// cancelled records that the caller cancelled the request. The elapsed time is a
// lower bound of the completion time, so it can only raise the slowdown.
func (r *Router) cancelled(now time.Time, a *agentStats, o Observation) {
	a.ended(now, o)
	ratio := float64(o.Completion) / float64(r.typicalCompletion(o.Class, o.Model))
	if ratio > a.slowdownNow(now) {
		a.recordSlowdown(now, ratio)
	}
}

// typicalTimes returns the typical times of the observation's workload, which are
// zero for a new one. It returns nil for a new workload beyond maxWorkloads.
func (r *Router) typicalTimes(o Observation) *typicalTimes {
	key := workload{o.Class, o.Model}
	t, found := r.typical[key]
	if !found && len(r.typical) < maxWorkloads {
		t = &typicalTimes{}
		r.typical[key] = t
	}
	return t
}

// evictUnused removes the observations of agents that have not been used within
// agentTTL. It looks for them at most ten times per agentTTL, as it visits all
// agents.
func (r *Router) evictUnused(now time.Time) {
	if now.Sub(r.evictedAt) < agentTTL/10 {
		return
	}
	r.evictedAt = now
	for vm, a := range r.agents {
		if now.Sub(a.usedAt) > agentTTL {
			delete(r.agents, vm)
		}
	}
}
