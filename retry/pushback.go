package retry

import (
	"sync"
	"time"
)

const (
	// MaxPushback bounds a pause that a server asks for: a damaged number must not
	// take it out for good.
	MaxPushback = 10 * time.Minute
	// maxPushbackServers limits the servers whose pauses are remembered; further ones
	// replace those that have ended.
	maxPushbackServers = 4096
)

// Incarnation identifies one start of a backend server.
type Incarnation struct {
	ID string
	// StartedAtMs is the Unix time of the start, in milliseconds; zero if unknown.
	StartedAtMs int64
}

// Pushback holds until when backend servers asked for no requests of this process. It
// is safe for concurrent use.
//
// Callers may assume that a longer pause replaces a shorter one and that a shorter one
// does not cut a longer one short. A pause holds for one incarnation of a server.
type Pushback struct {
	mu    sync.Mutex
	until map[Incarnation]time.Time
}

// NewPushback returns a Pushback without pauses.
func NewPushback() *Pushback { return &Pushback{until: make(map[Incarnation]time.Time)} }

// Ask records that a server asked for a pause, of MaxPushback at most. It returns the
// end of the pause in effect, and whether it is a new end.
func (p *Pushback) Ask(now time.Time, server Incarnation, pause time.Duration) (until time.Time, changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	until = now.Add(min(pause, MaxPushback))
	if known := p.until[server]; !until.After(known) {
		return known, false
	}
	if len(p.until) >= maxPushbackServers {
		p.removeEnded(now)
	}
	if len(p.until) >= maxPushbackServers || !until.After(now) {
		return time.Time{}, false
	}
	p.until[server] = until
	return until, true
}

// removeEnded removes the pauses that have ended. The caller holds mu.
func (p *Pushback) removeEnded(now time.Time) {
	for server, until := range p.until {
		if !until.After(now) {
			delete(p.until, server)
		}
	}
}

// Any reports whether some server's pause may not have ended.
func (p *Pushback) Any(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.until) > 0 {
		p.removeEnded(now)
	}
	return len(p.until) > 0
}

// Until returns the end of the pause of a server; ok is false if there is none.
func (p *Pushback) Until(now time.Time, server Incarnation) (until time.Time, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	until = p.until[server]
	return until, until.After(now)
}

// Returns spreads the callers that were sent away until a service is available again:
// they return one after another, as fast as it can serve them. It is safe for concurrent
// use.
type Returns struct {
	mu sync.Mutex
	// last is when the last caller was asked to return.
	last time.Time
}

// Next returns when the next caller should return: not before the service opens, and
// not before interval after the caller before.
func (r *Returns) Next(opensAt time.Time, interval time.Duration) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := r.last.Add(interval)
	if next.Before(opensAt) {
		next = opensAt
	}
	r.last = next
	return next
}
