package routing

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sesameswitch/sesameswitch/agentapi"
)

const (
	// affinityFactor is applied to the estimate of the preferred agent of a
	// prefix while that agent has a free slot, as it has probably cached the prefix.
	affinityFactor = 0.85
	// maxAffinityCandidates is the largest number of candidates for which a
	// prefix has a preferred agent, as all of them are hashed to find it. Subsets
	// of agents are smaller.
	maxAffinityCandidates = 64
	// agentCrossDataCentrePenalty is added to the estimate of an agent in another
	// data centre.
	agentCrossDataCentrePenalty = 5 * time.Millisecond
	// sampleDrawFactor bounds the random draws for a sample, as a multiple of its
	// size. Draws of ineligible candidates do not count towards the size.
	sampleDrawFactor = 3
)

// Router chooses agents for an entry.
type Router struct {
	mu  sync.Mutex
	cfg Config
	rng *rand.Rand
	// roundRobinIndex is the index of the candidate that round robin visited last.
	roundRobinIndex int
	// agents holds the observations of each agent by VM.
	agents    map[string]*agentStats
	typical   map[workload]*typicalTimes
	evictedAt time.Time
}

// New returns a router without observations.
func New(cfg Config, rng *rand.Rand) *Router {
	if cfg.Policy == "" {
		cfg.Policy = PolicySesame
	}
	if cfg.SampleSize == 0 {
		cfg.SampleSize = DefaultSampleSize
	}
	return &Router{
		cfg:     cfg,
		rng:     rng,
		agents:  make(map[string]*agentStats),
		typical: make(map[workload]*typicalTimes),
	}
}

// eligible reports whether the candidate may be chosen at all.
func eligible(req *Request, c *Candidate) bool {
	return c.Allowed && c.State == agentapi.StateServing && !req.Excluded[c.VM] &&
		(!req.Begun || c.SoftwareVersion == req.SoftwareVersion)
}

// Pick returns the index of the chosen candidate; ok is false when no candidate
// is eligible.
func (r *Router) Pick(now time.Time, req *Request, candidates []Candidate) (index int, ok bool) {
	if len(candidates) == 0 {
		return -1, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch r.cfg.Policy {
	case PolicyRoundRobin:
		index = r.roundRobin(req, candidates)
	case PolicyLeastRequests:
		index = r.leastInFlight(req, candidates)
	default:
		index = r.leastCompletion(now, req, candidates)
	}
	return index, index >= 0
}

// roundRobin returns the next eligible candidate in turn, or -1.
func (r *Router) roundRobin(req *Request, candidates []Candidate) int {
	for range candidates {
		r.roundRobinIndex = (r.roundRobinIndex + 1) % len(candidates)
		if eligible(req, &candidates[r.roundRobinIndex]) {
			return r.roundRobinIndex
		}
	}
	return -1
}

// leastInFlight returns the eligible candidate with the fewest requests in
// flight, or -1. It compares all candidates and starts at a random one, so that
// ties do not always go to the same candidate.
func (r *Router) leastInFlight(req *Request, candidates []Candidate) int {
	best := -1
	i := r.rng.IntN(len(candidates))
	for range candidates {
		i = (i + 1) % len(candidates)
		if !eligible(req, &candidates[i]) {
			continue
		}
		if best < 0 || candidates[i].InFlight < candidates[best].InFlight {
			best = i
		}
	}
	return best
}

// scoredCandidate is a candidate with its estimated completion time.
type scoredCandidate struct {
	index    int
	estimate time.Duration
}

// leastCompletion returns the eligible candidate with the least estimated
// completion time, or -1. Beyond 2*SampleSize candidates it compares only the
// preferred agent of the prefix, a sample from the entry's own data centre and a
// sample of all candidates. If none of these is eligible it falls back to round
// robin.
func (r *Router) leastCompletion(now time.Time, req *Request, candidates []Candidate) int {
	best := scoredCandidate{index: -1}
	typical := r.typicalCompletion(req.Class, req.Model)
	if i := preferred(req, candidates); i >= 0 && hasFreeSlot(&candidates[i]) {
		r.consider(now, req, candidates, i, typical, &best)
		best.estimate = time.Duration(affinityFactor * float64(best.estimate))
	}
	if len(candidates) <= 2*r.cfg.SampleSize {
		r.considerAll(now, req, candidates, typical, &best)
		return best.index
	}
	r.considerSample(now, req, candidates, typical, &best, true)
	r.considerSample(now, req, candidates, typical, &best, false)
	if best.index < 0 {
		return r.roundRobin(req, candidates)
	}
	return best.index
}

// hasFreeSlot reports whether the candidate is expected to have a free slot.
func hasFreeSlot(c *Candidate) bool {
	return max(c.Running+c.Queued, c.InFlight) < max(1, c.Slots)
}

// considerAll considers all candidates and starts at a random one, so that ties
// do not always go to the same candidate.
func (r *Router) considerAll(now time.Time, req *Request, candidates []Candidate, typical time.Duration, best *scoredCandidate) {
	i := r.rng.IntN(len(candidates))
	for range candidates {
		i = (i + 1) % len(candidates)
		r.consider(now, req, candidates, i, typical, best)
	}
}

// considerSample considers up to SampleSize eligible candidates that it draws at
// random, possibly the same one twice. If local is true it skips those of other
// data centres.
func (r *Router) considerSample(now time.Time, req *Request, candidates []Candidate, typical time.Duration, best *scoredCandidate, local bool) {
	considered := 0
	for range sampleDrawFactor * r.cfg.SampleSize {
		i := r.rng.IntN(len(candidates))
		if local && candidates[i].DataCentre != r.cfg.DataCentre {
			continue
		}
		if r.consider(now, req, candidates, i, typical, best) {
			considered++
		}
		if considered == r.cfg.SampleSize {
			return
		}
	}
}

// consider replaces best by the candidate at index i if that one is eligible and
// has a lower estimate. It reports whether the candidate is eligible. The estimate
// of best itself is not computed again, as affinityFactor may have been applied.
func (r *Router) consider(now time.Time, req *Request, candidates []Candidate, i int, typical time.Duration, best *scoredCandidate) bool {
	c := &candidates[i]
	if !eligible(req, c) {
		return false
	}
	if i == best.index {
		return true
	}
	estimate := r.estimateCompletion(now, req, c, typical)
	if best.index < 0 || estimate < best.estimate {
		*best = scoredCandidate{index: i, estimate: estimate}
	}
	return true
}

// preferred returns the index of the eligible candidate that all entries prefer
// for the prefix of the request, by rendezvous hashing, or -1.
func preferred(req *Request, candidates []Candidate) int {
	if req.PrefixHash == 0 || len(candidates) > maxAffinityCandidates {
		return -1
	}
	best, highest := -1, uint64(0)
	for i := range candidates {
		if !eligible(req, &candidates[i]) {
			continue
		}
		score := mix(req.PrefixHash ^ xxhash.Sum64String(candidates[i].VM))
		if best < 0 || score > highest {
			best, highest = i, score
		}
	}
	return best
}

// mix is the 64-bit finalizer of MurmurHash3: every bit of x affects all bits of
// the result.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
