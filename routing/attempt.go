package routing

import "time"

// Result is how an attempt ended.
type Result string

// Results.
const (
	// Succeeded means that the response was complete.
	Succeeded Result = "succeeded"
	// Failed means that the server failed the request.
	Failed Result = "failed"
	// Refused means that the server did not run the request.
	Refused Result = "refused"
	// Cancelled means that no caller waited for the response any more.
	Cancelled Result = "cancelled"
	// NotSent means that no byte of the request reached the server.
	NotSent Result = "unreachable"
	// ConnectionLimit means that this gateway has reached its connection limit at
	// the server.
	ConnectionLimit Result = "full"
	// Withheld means that the request was not sent because the server would not take it
	// now.
	Withheld Result = "withheld"
)

// Attempt tracks one request sent to one server. It is used by one goroutine.
type Attempt struct {
	scheduler *Scheduler
	job       *Job
	server    string
	sentAt    time.Time
	// uncachedTokens is the number of prompt tokens that the server was expected to
	// prefill.
	uncachedTokens int
	// expectedMs is the expected time in milliseconds: to the first event at an
	// engine, not including baseFirstEventTime, or to the response at a plain service.
	expectedMs float64
	// unshared is the number of tokens that no other request shares.
	unshared int
	// prefilling reports whether the prompt counts as pending prefill.
	prefilling       bool
	latencySensitive bool
	// transferred reports whether segments were transferred from another server.
	transferred bool
	ended       bool
	// added are the segments that the server was not known to have cached.
	added []Segment
	// started reports whether the response has had its first event.
	started bool
	// startedAtMs is the incarnation of the server.
	startedAtMs int64
	// undelayed reports whether hardly any prefill was pending when the job was sent.
	undelayed bool
	// overloaded reports whether much prefill was pending at the first event.
	overloaded bool
	// inFlight and stated are the requests in flight and the stated slowness, as its natural
	// logarithm, at the first event.
	inFlight int
	stated   float64
	pauses   pauses
}

// StartAttempt records that a job is sent to the chosen server.
func (s *Scheduler) StartAttempt(now time.Time, j *Job, server string, c Choice) *Attempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.state(server)
	a := &Attempt{
		scheduler: s, job: j, server: server, sentAt: now, uncachedTokens: c.UncachedTokens, expectedMs: c.ServiceTime + c.Wait,
		unshared: j.unsharedPromptTokens() + j.OutputTokens, prefilling: j.Generates, transferred: c.TransferSource != "",
		startedAtMs: st.speed.startedAtMs,
	}
	st.inFlight++
	if !j.Generates {
		return a
	}
	a.undelayed = !a.transferred && st.load(now).pendingPrefill <= maxPendingForSpeed
	st.unsharedTokens += a.unshared
	st.pendingPrefill += c.UncachedTokens
	s.notifyIfUrgent(st)
	st.recentTokens = st.recentTokensNow(now) + float64(c.UncachedTokens)
	st.recentTokensAt = now
	st.kvCacheTokens = j.KVCacheTokens
	for _, segment := range j.Segments {
		if st.segments[segment.ID] == nil {
			a.added = append(a.added, segment)
		}
	}
	st.unadvertised = append(st.unadvertised, j.Segments...)
	st.applySegments(now, j.Segments, j.KVCacheTokens)
	if a.latencySensitive = s.service(j.Service).latencySensitive(j); a.latencySensitive {
		st.latencySensitive++
	}
	return a
}

// FirstEvent records the first event of the response, which shows that the server
// has prefilled the prompt. The prefill rate is computed only if no other request
// was in flight, since concurrent requests lengthen the prefill.
func (a *Attempt) FirstEvent(now time.Time) {
	a.scheduler.mu.Lock()
	defer a.scheduler.mu.Unlock()
	st := a.scheduler.state(a.server)
	a.started = true
	a.endPrefill(st)
	a.markPrefilled(now, st)
	took := milliseconds(now.Sub(a.sentAt))
	service := a.scheduler.service(a.job.Service)
	if a.uncachedTokens > minPrefillSample && st.load(now).inFlight == 1 {
		service.recordPrefillRate(float64(a.uncachedTokens) / max(1, took-baseFirstEventTime))
	}
	st.recordSlowdown(now, took, a.expectedMs+baseFirstEventTime)
	a.observeFirstEvent(now, st, service)
	a.pauses.last = now
}

const (
	// minPrefillSample is the least number of uncached tokens from which the
	// prefill rate is computed.
	minPrefillSample = 2000
	// maxPrefillDeviation is the factor to the known prefill rate above or below
	// which an observation is an outlier.
	maxPrefillDeviation = 1.5
	// baseFirstEventTime is the time to the first event without any prefill, in
	// milliseconds: network transit and a few engine steps.
	baseFirstEventTime = 25.0
)

// recordPrefillRate adds an observed prefill rate, in tokens per millisecond.
// Outliers are ignored, as they do not show the rate of the engine: they result
// from segments that were cached without the gateway's knowledge, or from the
// prompts of other gateways.
func (svc *serviceState) recordPrefillRate(observed float64) {
	if observed < svc.prefillRate/maxPrefillDeviation || observed > svc.prefillRate*maxPrefillDeviation {
		return
	}
	svc.prefillRate += prefillRateGain * (observed - svc.prefillRate)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// recordSlowdown adds the ratio of observed to expected time, both in
// milliseconds. A ratio up to slowdownTolerance counts as 1.
func (st *serverState) recordSlowdown(now time.Time, took, expected float64) {
	ratio := min(maxServerSlowdown, max(1, took/max(1, expected)/slowdownTolerance))
	st.slowdown = st.slowdownNow(now)
	st.slowdown += serverSlowdownGain * (ratio - st.slowdown)
	st.slowdownAt = now
}

// slowdownTolerance is the multiple of the expected time up to which a server
// does not count as slow.
const slowdownTolerance = 2.0

// retractSegments retracts the segments that the attempt added and the server did
// not prefill. The next load hint retracts them at the peers.
func (a *Attempt) retractSegments(st *serverState) {
	for _, segment := range a.added {
		if st.retract(segment.ID) {
			segment.Retracted = true
			st.unadvertised = append(st.unadvertised, segment)
		}
	}
}

// retract removes a segment unless the server has prefilled it. It reports whether
// the segment was removed.
func (st *serverState) retract(id string) bool {
	e := st.segments[id]
	if e == nil || e.Value.(*cachedSegment).prefilled {
		return false
	}
	st.lru.Remove(e)
	st.cachedTokens -= e.Value.(*cachedSegment).tokens
	delete(st.segments, id)
	st.holders.remove(id, st)
	return true
}

// markPrefilled records that the server has prefilled all segments of the prompt.
func (a *Attempt) markPrefilled(now time.Time, st *serverState) {
	if len(a.job.Segments) == 0 || a.job.PromptTokens-a.uncachedTokens >= a.job.PromptTokens-a.job.unsharedPromptTokens() && !a.transferred {
		return // the server had cached all segments before
	}
	segments := make([]Segment, len(a.job.Segments))
	for i, segment := range a.job.Segments {
		segments[i] = segment
		segments[i].Prefilled = true
	}
	st.applySegments(now, segments, a.job.KVCacheTokens)
	st.unadvertised = append(st.unadvertised, segments...)
}

// endPrefill removes the job's prompt from the pending prefill, if not yet done.
func (a *Attempt) endPrefill(st *serverState) {
	if a.prefilling {
		a.prefilling = false
		st.pendingPrefill = max(0, st.pendingPrefill-a.uncachedTokens)
		a.scheduler.notifyIfUrgent(st)
	}
}

// Ended records the end of the attempt. Only the first call has an effect.
func (a *Attempt) Ended(now time.Time, result Result) {
	a.scheduler.mu.Lock()
	defer a.scheduler.mu.Unlock()
	if a.ended {
		return
	}
	a.ended = true
	st := a.scheduler.state(a.server)
	a.endPrefill(st)
	st.inFlight = max(0, st.inFlight-1)
	if a.job.Generates {
		st.unsharedTokens = max(0, st.unsharedTokens-a.unshared)
		if a.started {
			st.residualTokens += a.unshared
			st.addResidual(now, a.unshared)
		}
	}
	if a.latencySensitive {
		st.latencySensitive = max(0, st.latencySensitive-1)
	}
	if !a.started && (result == Refused || result == NotSent || result == ConnectionLimit || result == Withheld) {
		a.retractSegments(st)
	}
	service := a.scheduler.service(a.job.Service)
	a.observePauses(now, st, service)
	switch result {
	case Succeeded:
		a.succeeded(now, st, service)
	case Failed, NotSent:
		st.recordOutcome(now, 1-service.failureRates[a.job.Route])
		if result == Failed {
			service.recordOutcome(a.job.Route, 1)
		}
	case Refused:
		st.recordOutcome(now, refusalWeight)
	case Cancelled, ConnectionLimit, Withheld:
	}
}

const (
	// refusalWeight is the weight of a refusal relative to a failure: the server
	// is full or draining, and the request can be sent elsewhere.
	refusalWeight = 0.5
	// routeFailureGain is the weight of one outcome in the usual failure rate of
	// a route.
	routeFailureGain = 0.02
)

// succeeded records a complete response. At a plain service its time is an
// observation of the service time; at an engine FirstEvent has recorded the times.
func (a *Attempt) succeeded(now time.Time, st *serverState, service *serviceState) {
	st.recordOutcome(now, 0)
	service.recordOutcome(a.job.Route, 0)
	if a.job.Generates {
		return
	}
	took := milliseconds(now.Sub(a.sentAt))
	st.recordSlowdown(now, took, a.expectedMs)
	mean, known := service.serviceTimes[a.job.Route]
	if !known {
		mean = defaultServiceTime
	}
	service.serviceTimes[a.job.Route] = mean + serviceTimeGain*(min(took, maxServiceTimeRatio*mean)-mean)
}

const (
	// serviceTimeGain is the weight of one observation in the mean service time
	// of a route.
	serviceTimeGain = 0.05
	// maxServiceTimeRatio bounds one observation as a multiple of the mean, so that
	// a single slow response has a limited effect.
	maxServiceTimeRatio = 4.0
)
