package routing

import (
	"sync"
	"time"
)

const (
	// defaultPrefillRate is the rate of a current engine, in prompt tokens per
	// millisecond. It is assumed until responses show the actual rate.
	defaultPrefillRate = 60.0
	// prefillRateGain is the weight of one observation of the prefill rate.
	prefillRateGain = 0.1
	// pendingPrefillWeight is the weight of the time to prefill the pending prompts
	// in the wait of a new request. Engines interleave the prefills of several
	// prompts.
	pendingPrefillWeight = 1.0
	// unsharedCacheShare is the share of a server's KV cache that unshared tokens
	// of requests in flight may occupy. The rest is for shared segments, whose
	// eviction would cause duplicate prefill: where a fifth of each prompt is
	// unshared, these requests use several times as many shared tokens.
	unsharedCacheShare = 0.14
	// maxPendingPrefill is the limit of pending prefill at an engine, in
	// milliseconds of prefill. Requests beyond the limit wait at the gateways, where
	// the most urgent one is sent first and none occupies the KV cache.
	maxPendingPrefill = 250.0
	// rankReserve is the share by which each rank lowers a limit, to reserve capacity
	// for more urgent requests.
	rankReserve = 0.03
	// cacheOverflowWeight is the weight of a token that does not fit into the KV
	// cache relative to a token to prefill: to free capacity, a running request
	// must end, or be preempted and prefilled again.
	cacheOverflowWeight = 2.0
	// duplicatePrefillWeight is the weight of the time of a duplicate prefill, in
	// addition to the time of the request itself: a duplicate prefill delays all
	// other requests at the server and evicts segments that they share.
	duplicatePrefillWeight = 6.0
	// minTransferTokens is the least number of tokens for a KV cache transfer.
	minTransferTokens = 2000
	// transferSetup is the time to set up a KV cache transfer, in milliseconds.
	transferSetup = 5.0
	// transferPenaltyPerGB is the penalty for each gigabyte of a KV cache
	// transfer, in milliseconds: transfers are billed.
	transferPenaltyPerGB = 100.0
	// unitWeightShare is the share of the latency target at which an estimated
	// time has the weight 1; the weight is proportional to the time. The share is
	// below 1 because the estimate is a mean, and actual times vary.
	unitWeightShare = 0.4
	// minTimeWeight and maxTimeWeight bound the weight of an estimated time.
	minTimeWeight = 0.2
	maxTimeWeight = 2.0
	// duplicateWaitUnit is the median wait at the servers, in milliseconds, that
	// raises duplicatePrefillWeight by 1: the higher the load, the less duplicate
	// prefill is affordable.
	duplicateWaitUnit = 30.0
	// inFlightPenalty is the time that each request in flight at an engine adds to
	// a new one, in milliseconds: a larger batch makes the engine's steps slightly
	// longer.
	inFlightPenalty = 0.5
	// serverCrossDataCentrePenalty is the penalty for a server in another data
	// centre, in milliseconds: traffic between data centres is billed.
	serverCrossDataCentrePenalty = 20.0
	// minOtherPoolPenalty is the least penalty for a server of the other pool, in
	// milliseconds.
	minOtherPoolPenalty = 60.0
	// generalPoolPenalty is the penalty for a latency-sensitive stream at a server of
	// the general pool, in milliseconds: during most of these streams, a long prompt
	// arrives there.
	generalPoolPenalty = 1000.0
	// interferencePenalty is the penalty for each latency-sensitive stream whose
	// inter-event gap becomes too long, in milliseconds.
	interferencePenalty = 400.0
	// maxInterferencePenalty bounds the penalty for all streams of a server. Where
	// every server has many streams, moving a prompt away from its cached segments
	// delays as many streams elsewhere.
	maxInterferencePenalty = 4000.0
	// interferingPrefillTime is the time of uninterrupted prefill, in milliseconds,
	// at which the inter-event gaps of concurrent streams become too long: the
	// tokens of one event take a few engine steps, each with a chunk of a prompt.
	interferingPrefillTime = 150.0
	// failurePenalty is the penalty for a server that fails all requests, in
	// milliseconds: a failed request is useless, however early it fails.
	failurePenalty = 4000.0
	// failureHalfLife is the half-life of the observed failure rate.
	failureHalfLife = 3 * time.Second
	// failureGain is the weight of one outcome in the failure rate of a server.
	failureGain = 0.3
	// serverSlowdownHalfLife is the half-life of the observed slowdown.
	serverSlowdownHalfLife = 4 * time.Second
	// serverSlowdownGain is the weight of one observation in a server's slowdown.
	serverSlowdownGain = 0.25
	// maxServerSlowdown bounds one observation of a server's slowdown.
	maxServerSlowdown = 30.0
	// serverReportTTL is how long a server's own load report is used.
	serverReportTTL = 700 * time.Millisecond
	// maxLatencySensitiveGap is the largest gap target of a latency-sensitive
	// stream, as a multiple of the shortest target of its service.
	maxLatencySensitiveGap = 1.2
	// defaultServiceTime is the time of a request at a plain service, in
	// milliseconds. It is assumed until responses show the actual time.
	defaultServiceTime = 60.0
)

// A Scheduler chooses for one gateway among backend servers that many gateways use
// at the same time. It is designed for bursts of long prompts that share their
// first segments, mixed with latency-sensitive streams, which are those with the
// shortest targets for the inter-event gap, and for hundreds of gateways that begin at
// the same time, when no engine has cached anything. Each gateway observes only its
// own share of the traffic; it knows what others send by their load hints. A Scheduler
// is safe for concurrent use.
//
// Callers may assume that gateways which know the same servers and have equal pool
// sizes assign a new segment to the same home server without coordination, that
// the home server changes only when a server joins or leaves or a pool changes its
// size, and that Choose returns a server whenever one is not excluded. Under load a
// segment is prefilled at further servers too.
type Scheduler struct {
	mu         sync.Mutex
	dataCentre string
	servers    map[string]*serverState
	services   map[string]*serviceState
	// peers holds when the load hints of each peer gateway expire.
	peers map[string]time.Time
	// changed gets a value when a server's load has changed by urgentTokens since
	// the last hint.
	changed chan struct{}
	// livePeers is the number of peers whose hints had not expired at livePeersAt.
	livePeers   int
	livePeersAt time.Time
	// holders holds the servers of each segment.
	holders segmentIndex
	// speedsStated reports whether some server has stated its speed. Until then all servers
	// count as alike: their speeds are neither observed nor exchanged.
	speedsStated bool
	// choices is the number of choices so far.
	choices uint64
	policy  Policy
}

// NewScheduler returns a scheduler without observations for a gateway in the data
// centre.
func NewScheduler(dataCentre string) *Scheduler {
	return &Scheduler{
		dataCentre: dataCentre, servers: make(map[string]*serverState), services: make(map[string]*serviceState),
		changed: make(chan struct{}, 1), peers: make(map[string]time.Time), holders: make(segmentIndex),
	}
}

// SetPolicy replaces the policy. PolicyLeastRequests selects the server with the
// fewest requests in flight known to the gateway and never reports it as full; it
// serves as a baseline for comparisons. Any other value selects the server with
// the least estimated cost.
func (s *Scheduler) SetPolicy(policy Policy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.policy = policy
}

// serviceState is what this gateway has observed of a service over all servers.
type serviceState struct {
	// prefillRate is in tokens per millisecond.
	prefillRate float64
	// serviceTimes holds the mean time of a request by route, in milliseconds.
	serviceTimes map[string]float64
	// failureRates holds the share of requests that fail at any server, by route.
	failureRates map[string]float64
	// gapTargets holds the inter-event gap targets by route.
	gapTargets map[string]time.Duration
	// streams is the mean number of latency-sensitive streams in flight of all
	// gateways as of streamsAt, with exponential decay.
	streams   float64
	streamsAt time.Time
	// usual holds the mean times with which the speeds of servers are compared, and
	// longestPauses the mean of the longest pause of a latency-sensitive stream by route, in
	// milliseconds, at a usual server.
	usual         map[usualKey]usual
	longestPauses map[string]float64
	// candidates is the index over the servers of the last choice.
	candidates *candidates
}

// service returns the state of a service; it is created if the service is new.
func (s *Scheduler) service(name string) *serviceState {
	svc := s.services[name]
	if svc == nil {
		svc = &serviceState{
			prefillRate:  defaultPrefillRate,
			serviceTimes: make(map[string]float64),
			failureRates: make(map[string]float64),
			usual:        make(map[usualKey]usual), longestPauses: make(map[string]float64),
		}
		s.services[name] = svc
	}
	return svc
}

// SetEventGapTargets replaces the inter-event gap targets of the given services, by
// service and route.
func (s *Scheduler) SetEventGapTargets(targets map[string]map[string]time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, byRoute := range targets {
		s.service(name).gapTargets = byRoute
	}
}

// latencySensitive reports whether the job is a latency-sensitive stream: its gap
// target is among the shortest of the service, and other routes have longer ones.
func (svc *serviceState) latencySensitive(j *Job) bool {
	if j.MaxEventGap == 0 {
		return false
	}
	shortest, longest := j.MaxEventGap, j.MaxEventGap
	for _, target := range svc.gapTargets {
		shortest, longest = min(shortest, target), max(longest, target)
	}
	limit := time.Duration(maxLatencySensitiveGap * float64(shortest))
	return j.MaxEventGap <= limit && longest > limit
}

// Choose returns the server with the least estimated cost among those that are
// not excluded; the second result is false when there is none. The list is indexed
// when it is first passed: the caller must not change it afterwards, and should pass
// the same list again while the servers are the same.
func (s *Scheduler) Choose(now time.Time, j *Job, servers []Server, excluded map[string]bool) (Choice, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(servers) == 0 {
		return Choice{Index: -1}, false
	}
	if s.policy == PolicyLeastRequests {
		return s.leastInFlight(now, j, servers, excluded)
	}
	service := s.service(j.Service)
	fleet := s.candidatesOf(service, servers)
	s.choices++
	figures := fleet.fleetLoadAt(now, service)
	poolSize := service.poolSize(len(servers))
	latencySensitive := poolSize > 0 && service.latencySensitive(j)
	home, p := s.findPrefix(j, fleet, poolSize, latencySensitive)
	p.fleet = figures
	p.contenders = s.contenders(now, p.fleet.open)
	if latencySensitive {
		p.usualPause = service.longestPauses[j.Route]
	}
	best := Choice{Index: -1}
	for i := range fleet.entries {
		if len(excluded) > 0 && excluded[servers[i].ID] {
			continue
		}
		c := s.estimate(now, j, service, &fleet.entries[i], &servers[i], i == home, latencySensitive, &p)
		if j.Generates && fleet.entries[i].inPool(poolSize) != latencySensitive {
			c.Penalty += s.otherPoolPenalty(&fleet.entries[i], latencySensitive, c.ServiceTime, &p)
		}
		c.Cost = weightByTarget(j, c.ServiceTime+c.Wait) + c.Penalty
		c.Index = i
		if best.Index < 0 || c.Cost < best.Cost {
			best = c
		}
	}
	best.FleetWait, best.Peers = p.fleet.medianWait, s.livePeers
	return best, best.Index >= 0
}

// leastInFlight is Choose for PolicyLeastRequests.
func (s *Scheduler) leastInFlight(now time.Time, j *Job, servers []Server, excluded map[string]bool) (Choice, bool) {
	best := Choice{Index: -1}
	for i := range servers {
		if excluded[servers[i].ID] {
			continue
		}
		st := s.state(servers[i].ID)
		if inFlight := float64(st.load(now).inFlight); best.Index < 0 || inFlight < best.Cost {
			best = Choice{Index: i, Cost: inFlight, UncachedTokens: st.uncachedTokens(j, false)}
		}
	}
	return best, best.Index >= 0
}

// weightByTarget weights an estimated time, in milliseconds, by the job's latency
// target: far below the target a delay has little effect, near the target the
// response may be late.
func weightByTarget(j *Job, expected float64) float64 {
	if j.LatencyTarget == 0 {
		return expected
	}
	weight := expected / (unitWeightShare * milliseconds(j.LatencyTarget))
	return expected * min(maxTimeWeight, max(minTimeWeight, weight))
}

// estimate estimates the job's times and penalties at one server. If
// assumeFirstCached is true, the times are those with the job's first segment
// cached at the server; UncachedTokens still counts that segment. At an engine,
// segments are transferred from the transfer source if that costs less than their
// duplicate prefill. At a plain service, the wait is the wait for a slot and half of
// a service time in proportion to the occupancy of the slots.
func (s *Scheduler) estimate(now time.Time, j *Job, service *serviceState, st *candidate, server *Server, assumeFirstCached, latencySensitive bool, p *placement) Choice {
	l := st.load(now)
	c := Choice{}
	timeFactor := st.timeFactor(now)
	if j.Generates {
		prefillRate := service.prefillRate
		if timeFactor != 1 {
			prefillRate /= timeFactor
		}
		match := s.matchOf(st.serverState, j)
		c.UncachedTokens = match.uncached
		prefill := match.uncached
		if assumeFirstCached {
			prefill = st.uncachedTokens(j, true)
		}
		c.ServiceTime = float64(prefill) / prefillRate
		penalty := (duplicatePrefillWeight + p.fleet.medianWait/duplicateWaitUnit) * float64(max(0, prefill-p.minUncached)) / prefillRate
		source := p.transferSource(st)
		if transfer, saved := st.transferCost(j, server.DataCentre, match.prefilled, source); saved > 0 && transfer < penalty+float64(saved)/prefillRate {
			c.TransferSource = source.server.id
			c.UncachedTokens = max(0, c.UncachedTokens-saved)
			c.ServiceTime = float64(c.UncachedTokens) / prefillRate
			penalty = transfer
		}
		c.Penalty += penalty
		c.Wait = pendingPrefillWeight*float64(l.pendingPrefill)/prefillRate + inFlightPenalty*timeFactor*float64(l.inFlight)
		overflow := j.cacheOverflow(l.unsharedTokens)
		limit := maxPendingPrefill * (1 - rankReserve*float64(j.Rank))
		c.Full = overflow > 0 || (float64(l.pendingPrefill)+p.contenders*st.recentTokensNow(now))/prefillRate > limit
		c.Wait += cacheOverflowWeight * overflow / prefillRate
		c.Penalty += interference(l, latencySensitive, c.ServiceTime, prefillRate)
		if timeFactor > 1 && p.usualPause > 0 {
			c.Penalty += longPausePenalty(j, p.usualPause, timeFactor)
		}
	} else {
		serviceTime := service.meanServiceTime(j.Route) * max(st.slowdownNow(now), timeFactor)
		slots := float64(max(1, server.Slots))
		c.ServiceTime = serviceTime
		c.Wait = serviceTime * (max(0, float64(l.inFlight+1)-slots)/slots + float64(l.inFlight)/slots/2)
	}
	c.Penalty += failurePenalty * st.failureRateNow(now)
	if !st.local {
		c.Penalty += serverCrossDataCentrePenalty
	}
	return c
}

// meanServiceTime returns the mean time of a request of the route at a plain
// service, in milliseconds.
func (svc *serviceState) meanServiceTime(route string) float64 {
	if mean, ok := svc.serviceTimes[route]; ok {
		return mean
	}
	return defaultServiceTime
}

// interference returns the penalty for latency-sensitive streams that are delayed
// by concurrent prefill, at the rate in tokens per millisecond: the job itself, or the streams in flight at the server
// that the job would delay.
func interference(l load, latencySensitive bool, prefillTime, prefillRate float64) float64 {
	pending := float64(l.pendingPrefill) / prefillRate
	if latencySensitive {
		return interferencePenalty * min(1, pending/interferingPrefillTime)
	}
	return min(maxInterferencePenalty, interferencePenalty*float64(l.latencySensitive)*min(1, (prefillTime+pending)/interferingPrefillTime))
}

// otherPoolPenalty returns the penalty for a job at a server of the other pool. A
// long prompt in the latency-sensitive pool delays the streams that are there and
// those that arrive meanwhile, of which the server's present load shows only a part.
func (s *Scheduler) otherPoolPenalty(server *candidate, latencySensitive bool, prefillTime float64, p *placement) float64 {
	if latencySensitive {
		return generalPoolPenalty
	}
	missing := max(0, p.fleet.poolStreams-float64(server.latencySensitive+server.peerLoad.latencySensitive))
	return minOtherPoolPenalty + min(maxInterferencePenalty, interferencePenalty*missing*min(1, prefillTime/interferingPrefillTime))
}

// RemoveServer discards what is known about a server that has left.
func (s *Scheduler) RemoveServer(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.servers[id]
	if st == nil {
		return
	}
	for segment := range st.segments {
		s.holders.remove(segment, st)
	}
	delete(s.servers, id)
	for _, service := range s.services {
		if service.candidates == st.candidates {
			service.candidates = nil // its index holds the discarded state
		}
	}
}
