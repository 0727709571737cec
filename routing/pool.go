package routing

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// addDemand counts the tokens of a job for the size of the pools.
func (s *serviceModel) addDemand(now time.Time, tight bool, tokens float64) {
	decay := halfLife(now.Sub(s.demandAt), demandMemory)
	s.demandAt = now
	s.demand[0] *= decay
	s.demand[1] *= decay
	s.demand[poolIndex(tight)] += tokens
}

func poolIndex(tight bool) int {
	if tight {
		return 1
	}
	return 0
}

// tightServers is how many of n servers the tight streams get.
func (s *serviceModel) tightServers(n int) int {
	total := s.demand[0] + s.demand[1]
	if n < minPoolServers || total == 0 || s.demand[1] == 0 {
		return 0
	}
	share := min(maxTightShare, tightNeed*s.demand[1]/total)
	return max(1, int(math.Round(share*float64(n))))
}

// halfLife is what is left of 1 after a time.
func halfLife(elapsed, half time.Duration) float64 {
	if elapsed <= 0 {
		return 1
	}
	return math.Exp2(-float64(elapsed) / float64(half))
}

// poolOf marks the servers of the tight pool: the first by a hash of their
// ids, so that all gateways agree and few change when servers come or go.
func poolOf(servers []Server, tightServers int) []bool {
	tight := make([]bool, len(servers))
	for range tightServers {
		best, lowest := -1, uint64(0)
		for i := range servers {
			h := mix(xxhash.Sum64String(servers[i].ID))
			if !tight[i] && (best < 0 || h < lowest) {
				best, lowest = i, h
			}
		}
		tight[best] = true
	}
	return tight
}

// owner returns the server of a pool where all gateways expect a part, or -1.
func owner(servers []Server, pool []bool, tight bool, part string) int {
	hash := xxhash.Sum64String(part)
	best, highest := -1, uint64(0)
	for i := range servers {
		if pool[i] != tight {
			continue
		}
		if h := mix(hash ^ xxhash.Sum64String(servers[i].ID)); best < 0 || h > highest {
			best, highest = i, h
		}
	}
	return best
}
