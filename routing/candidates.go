package routing

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// fleetInterval is how long the figures over all candidates of a service are used.
// They change little while one request is placed.
const fleetInterval = 10 * time.Millisecond

// candidates is the index over the servers of one service. Choose compares many
// servers for each request, so that all that does not depend on the request is
// prepared here: a choice looks up no server by its ID and allocates nothing.
type candidates struct {
	// servers is the list from which the index was built.
	servers []Server
	// entries has the same order as servers.
	entries []candidate
	// pendingPrefill and sources, with an element for each software version, are scratch space.
	pendingPrefill []int
	sources        []transferSource

	// fleet holds the figures over all candidates as of fleetAt.
	fleet   fleetLoad
	fleetAt time.Time
	// ranked holds the indexes of all entries in the order of poolRank.
	ranked []int
	// slownesses is scratch space for compareSpeeds, which last ran at speedsAt.
	slownesses []float64
	speedsAt   time.Time
}

// candidate is a server with what is known about it.
type candidate struct {
	*serverState
	// idHash is the hash of the server's ID.
	idHash uint64
	// poolRank is the position of the server in the order of speed classes and hashes in
	// which servers are assigned to the latency-sensitive pool.
	poolRank int
	// version is the index of the server's software version, or unknownVersion.
	version int
	// local reports whether the server is in the gateway's data centre.
	local bool
}

// unknownVersion is the version of servers that state none.
const unknownVersion = -1

// inPool reports whether the server is in the latency-sensitive pool of this size.
func (c *candidate) inPool(poolSize int) bool { return c.poolRank < poolSize }

// fleetLoad holds figures over all candidates of a service.
type fleetLoad struct {
	// medianWait is the median of the time to prefill the pending prompts, in
	// milliseconds. The median ignores a single overloaded server.
	medianWait float64
	// open is the number of servers below the limit of pending prefill.
	open int
	// poolStreams is the mean number of latency-sensitive streams at a server of
	// their pool.
	poolStreams float64
}

// candidatesOf returns the index over a list of servers. It is built again when
// the list is another one, or when the state of a server was discarded.
func (s *Scheduler) candidatesOf(service *serviceState, servers []Server) *candidates {
	c := service.candidates
	if c != nil && len(c.servers) == len(servers) && &c.servers[0] == &servers[0] {
		return c
	}
	c = &candidates{servers: servers, entries: make([]candidate, len(servers)), pendingPrefill: make([]int, len(servers)), ranked: make([]int, len(servers)), slownesses: make([]float64, 0, len(servers))}
	versions := map[string]int{"": unknownVersion}
	for i := range servers {
		version, known := versions[servers[i].SoftwareVersion]
		if !known {
			version = len(versions) - 1
			versions[servers[i].SoftwareVersion] = version
		}
		st := s.state(servers[i].ID)
		st.candidates, st.index = c, i
		st.speed.reset(servers[i].StartedAtMs)
		st.updateSpeedDiffers()
		c.entries[i] = candidate{serverState: st, idHash: xxhash.Sum64String(servers[i].ID), version: version, local: servers[i].DataCentre == s.dataCentre}
		c.ranked[i] = i
	}
	c.rankForPool()
	c.sources = make([]transferSource, len(versions)-1)
	service.candidates = c
	return c
}

// rankForPool orders the servers for the latency-sensitive pool.
func (c *candidates) rankForPool() {
	slices.SortFunc(c.ranked, func(a, b int) int {
		x, y := &c.entries[a], &c.entries[b]
		return cmp.Or(cmp.Compare(x.speed.class, y.speed.class), cmp.Compare(mix(x.idHash), mix(y.idHash)), cmp.Compare(a, b))
	})
	for rank, i := range c.ranked {
		c.entries[i].poolRank = rank
	}
}

// fleetLoadAt returns the figures over all candidates, at most fleetInterval old. It
// also updates the streams from which the size of the latency-sensitive pool is
// computed.
func (c *candidates) fleetLoadAt(now time.Time, service *serviceState) fleetLoad {
	if age := now.Sub(c.fleetAt); age >= 0 && age < fleetInterval {
		return c.fleet
	}
	c.compareSpeeds(now)
	c.fleet, c.fleetAt = fleetLoad{}, now
	streams := 0
	for i := range c.entries {
		l := c.entries[i].load(now)
		streams += l.latencySensitive
		c.pendingPrefill[i] = l.pendingPrefill
		if float64(l.pendingPrefill) <= maxPendingPrefill*service.prefillRate {
			c.fleet.open++
		}
	}
	slices.Sort(c.pendingPrefill)
	c.fleet.medianWait = float64(c.pendingPrefill[len(c.pendingPrefill)/2]) / service.prefillRate
	service.recordStreams(now, streams, len(c.entries))
	c.fleet.poolStreams = float64(streams) / float64(max(1, service.poolSize(len(c.entries))))
	return c.fleet
}

// homeServer returns the index of the server to which all gateways assign a
// segment by rendezvous hashing over the servers of one pool, or -1 if the pool is
// empty.
func (c *candidates) homeServer(poolSize int, latencySensitive bool, segment string) int {
	hash := xxhash.Sum64String(segment)
	best, highest := -1, uint64(0)
	for i := range c.entries {
		if c.entries[i].inPool(poolSize) != latencySensitive {
			continue
		}
		if h := mix(hash ^ c.entries[i].idHash); best < 0 || h > highest {
			best, highest = i, h
		}
	}
	return best
}
