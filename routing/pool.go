package routing

import (
	"math"
	"time"
)

// The engines of a service are divided into two pools: one for its
// latency-sensitive streams and a general one for all other jobs, so that long
// prefills do not delay the events of those streams. A job may use the other pool,
// with a penalty. The latency-sensitive pool consists of the servers with the lowest
// hashes of their IDs, so that all gateways agree and few members change when a
// server joins or leaves.
//
// Its size follows the streams of all gateways that are in flight. A gateway's own
// requests would be too few: with many gateways, each would have another size, and
// long prompts of one would be sent to servers that another keeps for streams.

const (
	// streamsPerPoolServer is the number of streams in flight for which the pool has
	// one server.
	streamsPerPoolServer = 14.0
	// poolHalfLife is the half-life of the number of streams from which the size of
	// the pool is computed.
	poolHalfLife = time.Second
	// initialPoolShare is the share of servers in the latency-sensitive pool before
	// any stream is known.
	initialPoolShare = 0.165
	// minPoolServers is the least number of servers that are divided into pools.
	minPoolServers = 4
	// maxPoolShare bounds the share of servers in the latency-sensitive pool, as the
	// other jobs need KV cache capacity for their segments.
	maxPoolShare = 0.34
)

// recordStreams records the number of latency-sensitive streams in flight at all of
// n servers.
func (svc *serviceState) recordStreams(now time.Time, streams, n int) {
	if svc.streamsAt.IsZero() {
		svc.streams, svc.streamsAt = initialPoolShare*float64(n)*streamsPerPoolServer, now
		return
	}
	svc.streams = float64(streams) + (svc.streams-float64(streams))*decayFactor(now.Sub(svc.streamsAt), poolHalfLife)
	svc.streamsAt = now
}

// poolSize returns how many of n servers form the latency-sensitive pool; 0
// means that the servers are not divided.
func (svc *serviceState) poolSize(n int) int {
	if n < minPoolServers {
		return 0
	}
	return max(1, int(math.Round(min(maxPoolShare*float64(n), svc.streams/streamsPerPoolServer))))
}

// decayFactor returns the factor of exponential decay after the elapsed time.
func decayFactor(elapsed, halfLife time.Duration) float64 {
	if elapsed <= 0 {
		return 1
	}
	return math.Exp2(-float64(elapsed) / float64(halfLife))
}
