package limit

import (
	"sync"
	"time"

	"github.com/sesameswitch/sesameswitch/retry"
)

const (
	// minServerRate and maxServerRate bound the rate that a backend server states, in
	// requests per second. A server that is never sent a request cannot raise its
	// limit.
	minServerRate = 0.05
	maxServerRate = 1e6
	// maxLimitedServers limits the servers whose limits are remembered.
	maxLimitedServers = 4096
	// limitHold is how long a limit that no response has stated again is remembered if
	// there are maxLimitedServers.
	limitHold = 10 * time.Minute
	// limitEndHold is the least time since the last response that stated a limit after
	// which a response without one may end it.
	limitEndHold = 4 * time.Second
	// limitEndResponses is how many responses in a row must state no limit to end it.
	limitEndResponses = 2
)

// Servers holds the rates to which backend servers limit all gateways together. It is
// safe for concurrent use.
//
// Callers may assume that a limit holds from the response that states it until several
// later responses of the same incarnation state none.
type Servers struct {
	mu      sync.Mutex
	servers map[retry.Incarnation]*serverLimit
}

// serverLimit is what is known of the limit of one server.
type serverLimit struct {
	// rate is in requests per second; zero if there is no limit.
	rate float64
	// statedAt is when a response last stated the limit.
	statedAt time.Time
	// without counts the responses since then that stated none.
	without int
}

// NewServers returns a Servers without limits.
func NewServers() *Servers { return &Servers{servers: make(map[retry.Incarnation]*serverLimit)} }

// Stated records that a response stated a limit, in requests per second. It returns
// the limit in effect, and whether it has changed.
func (l *Servers) Stated(now time.Time, server retry.Incarnation, perSecond float64) (rate float64, changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.servers[server]
	if s == nil {
		if len(l.servers) >= maxLimitedServers {
			l.removeOld(now)
		}
		if len(l.servers) >= maxLimitedServers {
			return 0, false
		}
		s = &serverLimit{}
		l.servers[server] = s
	}
	rate = min(max(perSecond, minServerRate), maxServerRate)
	changed = s.rate != rate
	s.rate, s.statedAt, s.without = rate, now, 0
	return rate, changed
}

// NotStated records that the response to a request that was sent at the given time
// stated no limit. It reports whether this ends the limit of the server.
func (l *Servers) NotStated(sentAt time.Time, server retry.Incarnation) (ended bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.servers[server]
	if s == nil || s.rate == 0 || !sentAt.After(s.statedAt) {
		return false
	}
	s.without++
	if s.without < limitEndResponses || sentAt.Sub(s.statedAt) < limitEndHold {
		return false
	}
	s.rate = 0
	return true
}

// removeOld removes the servers without a limit, and those that have not stated it for
// limitHold. The caller holds mu.
func (l *Servers) removeOld(now time.Time) {
	for server, s := range l.servers {
		if s.rate == 0 || now.Sub(s.statedAt) > limitHold {
			delete(l.servers, server)
		}
	}
}
