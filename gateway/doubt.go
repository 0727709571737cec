package gateway

import (
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sesameswitch/sesameswitch/directory"
	"github.com/sesameswitch/sesameswitch/quarantine"
)

const (
	// entryDelay is how long a version of a registry entry may take until this gateway has
	// read it, which is the time of a watch.
	entryDelay = watchTimeout
	// maxDoubt is how long an incarnation that refused connections and that is still listed is
	// in doubt at most. The lease of a server that has ended expires earlier.
	maxDoubt = 10 * time.Second
	// maxDoubts limits the incarnations in doubt.
	maxDoubts = 4096
)

// doubts holds the incarnations of backend servers that refused connections: whatever listens
// at their address now may be another software version than the registry states. A server that
// writes its entry again has not ended.
type doubts struct {
	mu sync.Mutex
	// since is in the time of the View.
	since map[quarantine.ServerID]time.Duration
}

func newDoubts() *doubts { return &doubts{since: make(map[quarantine.ServerID]time.Duration)} }

// add records that an incarnation refused connections at the given time. It returns false if
// that was known.
func (d *doubts) add(now, at time.Duration, server quarantine.ServerID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for other, since := range d.since {
		if now-since > maxDoubt {
			delete(d.since, other)
		}
	}
	since, known := d.since[server]
	if now-at <= maxDoubt && (known || len(d.since) < maxDoubts) {
		d.since[server] = max(since, at)
	}
	return !known && now-at <= maxDoubt
}

// find returns since when an incarnation has been in doubt.
func (d *doubts) find(now time.Duration, server quarantine.ServerID) (since time.Duration, found bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	since, found = d.since[server]
	return since, found && now-since <= maxDoubt
}

// doubt records that the incarnation refused connections at the given time of the clock; peer
// is the gateway that reported it, or empty.
func (s *Server) doubt(server quarantine.ServerID, at time.Time, peer string) {
	now := s.deps.Elapsed()
	if s.doubts.add(now, now-s.deps.Clock.Now().Sub(at), server) {
		s.cold.changes.Add(1)
		id, startedAtMs, _ := strings.Cut(string(server), "@")
		s.deps.Log.WithFields(logrus.Fields{"event": "backend_doubted", "server": id, "started_at_ms": startedAtMs, "peer": peer}).Info("backend server refused connections; no stream goes on there until its entry is written again")
	}
}

// doubted reports whether it is not known which software version listens at the address of
// the server.
func (s *Server) doubted(b *directory.BackendServer) bool {
	since, found := s.doubts.find(s.deps.Elapsed(), serverIDOf(b))
	return found && !s.deps.Directory.WrittenSince(b, time.Unix(0, int64(since+entryDelay)))
}
