package routing

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// The engines of a service are divided into two pools: one for its
// latency-sensitive streams and a general one for all other jobs, so that long
// prefills do not delay the events of those streams. A job may use the other pool,
// with otherPoolPenalty.

// addDemand adds the tokens of a job to the demand that determines pool sizes.
func (svc *serviceState) addDemand(now time.Time, latencySensitive bool, tokens float64) {
	decay := decayFactor(now.Sub(svc.demandAt), demandHalfLife)
	svc.demandAt = now
	svc.demand[0] *= decay
	svc.demand[1] *= decay
	svc.demand[poolIndex(latencySensitive)] += tokens
}

// poolIndex returns the index of a pool in serviceState.demand.
func poolIndex(latencySensitive bool) int {
	if latencySensitive {
		return 1
	}
	return 0
}

// poolSize returns how many of n servers form the latency-sensitive pool; 0
// means that the servers are not divided.
func (svc *serviceState) poolSize(n int) int {
	total := svc.demand[0] + svc.demand[1]
	if n < minPoolServers || total == 0 || svc.demand[1] == 0 {
		return 0
	}
	share := min(maxLatencySensitiveShare, latencySensitiveWeight*svc.demand[1]/total)
	return max(1, int(math.Round(share*float64(n))))
}

// decayFactor returns the factor of exponential decay after the elapsed time.
func decayFactor(elapsed, halfLife time.Duration) float64 {
	if elapsed <= 0 {
		return 1
	}
	return math.Exp2(-float64(elapsed) / float64(halfLife))
}

// latencySensitivePool marks the servers of a latency-sensitive pool of the size,
// which is at most their number. They are the servers with the lowest hashes of
// their IDs, so that all gateways agree and few members change when a server
// joins or leaves.
func latencySensitivePool(servers []Server, size int) []bool {
	pool := make([]bool, len(servers))
	for range size {
		best, lowest := -1, uint64(0)
		for i := range servers {
			h := mix(xxhash.Sum64String(servers[i].ID))
			if !pool[i] && (best < 0 || h < lowest) {
				best, lowest = i, h
			}
		}
		pool[best] = true
	}
	return pool
}

// homeServer returns the index of the server to which all gateways assign a
// segment by rendezvous hashing over the servers of one pool, or -1 if the pool is
// empty.
func homeServer(servers []Server, pool []bool, latencySensitive bool, segment string) int {
	hash := xxhash.Sum64String(segment)
	best, highest := -1, uint64(0)
	for i := range servers {
		if pool[i] != latencySensitive {
			continue
		}
		if h := mix(hash ^ xxhash.Sum64String(servers[i].ID)); best < 0 || h > highest {
			best, highest = i, h
		}
	}
	return best
}
