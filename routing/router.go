package routing

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sesameswitch/sesameswitch/agentapi"
)

const (
	// affinityFactor is how much less the preferred agent of a prefix counts
	// while it has a free slot, for the prompt tokens that it has cached.
	affinityFactor = 0.85
	// maxAffinity is the most candidates among which a prefix has a preferred
	// agent; subsets are smaller.
	maxAffinity = 64
	// remotePenalty is what an agent in another data centre counts more.
	remotePenalty = 5 * time.Millisecond
	// probesPerChoice is how many random candidates are looked at to find one
	// that is fit.
	probesPerChoice = 3
)

// Router chooses agents.
type Router struct {
	mu       sync.Mutex
	cfg      Config
	rng      *rand.Rand
	turn     int
	agents   map[string]*agent
	expected map[kindOfWork]*expectation
	swept    time.Time
}

// New returns a router that has seen nothing.
func New(cfg Config, rng *rand.Rand) *Router {
	if cfg.Policy == "" {
		cfg.Policy = PolicySesame
	}
	if cfg.SampleSize == 0 {
		cfg.SampleSize = DefaultSampleSize
	}
	return &Router{
		cfg:      cfg,
		rng:      rng,
		agents:   make(map[string]*agent),
		expected: make(map[kindOfWork]*expectation),
	}
}

// fit reports whether the candidate may be chosen at all.
func fit(req *Request, c *Candidate) bool {
	return c.Allowed && c.State == agentapi.StateServing && !req.Excluded[c.VM]
}

// Pick returns the index of the chosen candidate; ok is false when none is
// fit.
func (r *Router) Pick(now time.Time, req *Request, candidates []Candidate) (index int, ok bool) {
	if len(candidates) == 0 {
		return -1, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch r.cfg.Policy {
	case PolicyRoundRobin:
		index = r.next(req, candidates)
	case PolicyLeastRequests:
		index = r.least(req, candidates)
	default:
		index = r.best(now, req, candidates)
	}
	return index, index >= 0
}

// next returns the fit candidate whose turn it is, or -1.
func (r *Router) next(req *Request, candidates []Candidate) int {
	for range candidates {
		r.turn = (r.turn + 1) % len(candidates)
		if fit(req, &candidates[r.turn]) {
			return r.turn
		}
	}
	return -1
}

// least returns the fit candidate with the fewest requests outstanding, or
// -1. It looks at all, from a random one on.
func (r *Router) least(req *Request, candidates []Candidate) int {
	best := -1
	at := r.rng.IntN(len(candidates))
	for range candidates {
		at = (at + 1) % len(candidates)
		if !fit(req, &candidates[at]) {
			continue
		}
		if best < 0 || candidates[at].Outstanding < candidates[best].Outstanding {
			best = at
		}
	}
	return best
}

// choice is the best candidate so far.
type choice struct {
	index int
	cost  time.Duration
}

// best returns the candidate with the least estimated completion among the
// preferred one of the prefix, a few of the entry's own data centre and a few
// of all.
func (r *Router) best(now time.Time, req *Request, candidates []Candidate) int {
	picked := choice{index: -1}
	expected := r.expectedWhole(req.Class, req.Model)
	if at := preferred(req, candidates); at >= 0 && hasRoom(&candidates[at]) {
		r.weigh(now, req, candidates, at, expected, &picked)
		picked.cost = time.Duration(affinityFactor * float64(picked.cost))
	}
	if len(candidates) <= 2*r.cfg.SampleSize {
		r.weighAll(now, req, candidates, expected, &picked)
		return picked.index
	}
	r.probe(now, req, candidates, expected, &picked, true)
	r.probe(now, req, candidates, expected, &picked, false)
	if picked.index < 0 {
		return r.next(req, candidates)
	}
	return picked.index
}

// hasRoom reports whether the candidate seems to have a free slot.
func hasRoom(c *Candidate) bool {
	return max(c.Running+c.Queued, c.Outstanding) < max(1, c.Slots)
}

// weighAll weighs all candidates, from a random one on.
func (r *Router) weighAll(now time.Time, req *Request, candidates []Candidate, expected time.Duration, picked *choice) {
	at := r.rng.IntN(len(candidates))
	for range candidates {
		at = (at + 1) % len(candidates)
		r.weigh(now, req, candidates, at, expected, picked)
	}
}

// probe weighs a few random candidates, only local ones if so asked.
func (r *Router) probe(now time.Time, req *Request, candidates []Candidate, expected time.Duration, picked *choice, local bool) {
	weighed := 0
	for range probesPerChoice * r.cfg.SampleSize {
		at := r.rng.IntN(len(candidates))
		if local && candidates[at].DataCentre != r.cfg.DataCentre {
			continue
		}
		if r.weigh(now, req, candidates, at, expected, picked) {
			weighed++
		}
		if weighed == r.cfg.SampleSize {
			return
		}
	}
}

// weigh takes the candidate if it is fit and better than the one picked. It
// reports whether the candidate is fit.
func (r *Router) weigh(now time.Time, req *Request, candidates []Candidate, at int, expected time.Duration, picked *choice) bool {
	c := &candidates[at]
	if !fit(req, c) {
		return false
	}
	if at == picked.index {
		return true
	}
	cost := r.completion(now, req, c, expected)
	if picked.index < 0 || cost < picked.cost {
		*picked = choice{index: at, cost: cost}
	}
	return true
}

// preferred returns the candidate that all entries prefer for the request's
// prefix, by rendezvous hashing, or -1.
func preferred(req *Request, candidates []Candidate) int {
	if req.PrefixHash == 0 || len(candidates) > maxAffinity {
		return -1
	}
	best, highest := -1, uint64(0)
	for i := range candidates {
		if !fit(req, &candidates[i]) {
			continue
		}
		score := mix(req.PrefixHash ^ xxhash.Sum64String(candidates[i].VM))
		if best < 0 || score > highest {
			best, highest = i, score
		}
	}
	return best
}

// mix spreads the bits of x.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
