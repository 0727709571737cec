package routing

import (
	"container/list"
	"time"
)

// maxCachedSegments bounds the number of segments and residual tokens of requests
// tracked for one server; engines cache a few hundred segments.
const maxCachedSegments = 2048

// serverState is what a gateway knows about one server from the gateway's own
// requests, the server's load reports and the load hints of peer gateways.
type serverState struct {
	id string
	// candidates is the newest index that contains the server, index its position
	// there.
	candidates *candidates
	index      int
	// match is how much of the prompt of the current choice the server has cached.
	match prefixMatch
	// holders is the index over the segments of all servers.
	holders segmentIndex
	// segments holds the segments expected in the server's prefix cache, by ID.
	segments map[string]*list.Element
	// lru holds those segments and the residual tokens of ended requests, as
	// *cachedSegment, with the least recently used one at its back.
	lru *list.List
	// cachedTokens is the number of tokens in lru.
	cachedTokens int
	// inFlight counts this gateway's requests in flight at the server.
	inFlight int
	// unsharedTokens counts the tokens of those requests that no other request
	// shares.
	unsharedTokens int
	// pendingPrefill counts the uncached prompt tokens of those requests that have
	// had no first event yet.
	pendingPrefill int
	// latencySensitive counts the latency-sensitive streams among them.
	latencySensitive int
	// speedDiffers reports whether speed may have an effect. It is read for each candidate of a
	// choice and stands next to other fields that are.
	speedDiffers bool

	// recentTokens is the number of uncached prompt tokens that this gateway sent,
	// with exponential decay, as of recentTokensAt.
	recentTokens   float64
	recentTokensAt time.Time

	// reportedAt is when the server last reported its load.
	reportedAt time.Time
	// external is the number of requests in that report beyond this gateway's own.
	external int
	// peerHints holds the last load hint of each peer that uses the server, peerLoad
	// their sum. peerHintsExpire is not later than the time when the first of them
	// expires.
	peerHints       map[string]peerHint
	peerLoad        load
	peerHintsExpire time.Time
	// residualTokens counts the tokens that requests which ended since the last
	// load hint left in the server's KV cache.
	residualTokens int
	// unadvertised are the segments to include in the next two load hints: those
	// sent to the server, prefilled by it or retracted since the last one.
	// advertised are those that the last hint included for the first time.
	unadvertised, advertised []Segment
	// advertisedPrefill is the pending prefill that the last hint showed.
	advertisedPrefill int
	// advertisements is the number of further hints after the last request ended.
	advertisements int
	// kvCacheTokens is the capacity of the KV cache in tokens; zero means unknown.
	kvCacheTokens int

	// failureRate is as of failureRateAt, see failureRateNow.
	failureRate   float64
	failureRateAt time.Time
	// slowdown is as of slowdownAt, see slowdownNow.
	slowdown   float64
	slowdownAt time.Time
	speed      serverSpeed
}

// cachedSegment is a segment expected in a server's KV cache, or the residual
// tokens of a request.
type cachedSegment struct {
	id     string // empty for residual tokens
	tokens int
	// prefilled is false while the segment has only been sent to the server.
	prefilled bool
}

// state returns the state of a server; it is created if the server is new.
func (s *Scheduler) state(id string) *serverState {
	st := s.servers[id]
	if st == nil {
		st = &serverState{id: id, holders: s.holders, segments: make(map[string]*list.Element), lru: list.New(), slowdown: 1, peerHints: make(map[string]peerHint)}
		s.servers[id] = st
	}
	return st
}

// uncachedTokens returns how many tokens of the job's prompt the server must
// prefill. If assumeFirstCached is true the first segment is taken as cached.
func (st *serverState) uncachedTokens(j *Job, assumeFirstCached bool) int {
	uncached := j.PromptTokens
	for i, segment := range j.Segments {
		if st.segments[segment.ID] == nil && (!assumeFirstCached || i > 0) {
			break
		}
		uncached -= segment.Tokens
	}
	return max(0, uncached)
}

// prefilledTokens returns the length of the longest prefix of the job's prompt
// that the server has prefilled, in tokens.
func (st *serverState) prefilledTokens(j *Job) int {
	tokens := 0
	for _, segment := range j.Segments {
		e := st.segments[segment.ID]
		if e == nil || !e.Value.(*cachedSegment).prefilled {
			break
		}
		tokens += segment.Tokens
	}
	return tokens
}

// applySegments adds the segments of a prompt to those expected in the server's
// prefix cache, or removes those that are retracted. capacity is that of the KV
// cache in tokens; zero means unknown.
func (st *serverState) applySegments(now time.Time, segments []Segment, capacity int) {
	unshared := st.load(now).unsharedTokens
	for _, segment := range segments {
		if segment.Retracted {
			st.retract(segment.ID)
			continue
		}
		if e := st.segments[segment.ID]; e != nil {
			cached := e.Value.(*cachedSegment)
			cached.prefilled = cached.prefilled || segment.Prefilled
			st.lru.MoveToFront(e)
			continue
		}
		st.holders.add(segment.ID, st)
		st.segments[segment.ID] = st.lru.PushFront(&cachedSegment{id: segment.ID, tokens: segment.Tokens, prefilled: segment.Prefilled})
		st.cachedTokens += segment.Tokens
	}
	st.evictToFit(unshared, capacity)
}

// evictToFit evicts the least recently used segments and residual tokens until the
// others fit into the KV cache together with the unshared tokens of requests in
// flight, and number at most maxCachedSegments.
func (st *serverState) evictToFit(unshared, capacity int) {
	for st.lru.Len() > maxCachedSegments || capacity > 0 && st.cachedTokens+unshared > capacity && st.lru.Len() > 0 {
		st.evictOldest()
	}
}

// addResidual adds the tokens that ended requests left in the server's KV cache.
// No other request shares them, but they evict segments that were used earlier.
func (st *serverState) addResidual(now time.Time, tokens int) {
	if tokens <= 0 {
		return
	}
	st.lru.PushFront(&cachedSegment{tokens: tokens})
	st.cachedTokens += tokens
	st.evictToFit(st.load(now).unsharedTokens, st.kvCacheTokens)
}

// evictOldest removes the least recently used segment or residual tokens.
func (st *serverState) evictOldest() {
	oldest := st.lru.Back()
	segment := oldest.Value.(*cachedSegment)
	st.lru.Remove(oldest)
	if segment.id != "" {
		delete(st.segments, segment.id)
		st.holders.remove(segment.id, st)
	}
	st.cachedTokens -= segment.tokens
}

// load is the load of a server; its fields are as in serverState, over all gateways.
type load struct {
	inFlight, unsharedTokens, pendingPrefill int
	latencySensitive                         int
}

// add adds the load of another gateway, sign times.
func (l *load) add(other load, sign int) {
	l.inFlight += sign * other.inFlight
	l.unsharedTokens += sign * other.unsharedTokens
	l.pendingPrefill += sign * other.pendingPrefill
	l.latencySensitive += sign * other.latencySensitive
}

// load returns the load of the server by the requests of all gateways, as far as
// this gateway knows them. The server's own load report can raise only inFlight.
func (st *serverState) load(now time.Time) load {
	l := load{inFlight: st.inFlight, unsharedTokens: st.unsharedTokens, pendingPrefill: st.pendingPrefill, latencySensitive: st.latencySensitive}
	st.expirePeerHints(now)
	l.add(st.peerLoad, 1)
	if now.Sub(st.reportedAt) < serverReportTTL {
		l.inFlight = max(l.inFlight, st.inFlight+st.external)
	}
	return l
}

// failureRateNow returns the share of requests that the server fails beyond the
// usual failure rate of their routes, with exponential decay to 0.
func (st *serverState) failureRateNow(now time.Time) float64 {
	if st.failureRate <= 0 {
		return 0
	}
	return st.failureRate * decayFactor(now.Sub(st.failureRateAt), failureHalfLife)
}

// slowdownNow returns how many times longer than expected the server takes, with
// exponential decay to 1.
func (st *serverState) slowdownNow(now time.Time) float64 {
	return 1 + (st.slowdown-1)*decayFactor(now.Sub(st.slowdownAt), serverSlowdownHalfLife)
}

// ReportLoad applies a server's own report of its running and waiting requests.
func (s *Scheduler) ReportLoad(now time.Time, server string, running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.state(server)
	st.reportedAt = now
	st.external = max(0, running+waiting-st.inFlight)
}
