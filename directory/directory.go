// Package directory is a gateway's knowledge of the backend servers, built from
// versions of their registry entries. It does no I/O; time is passed in. A
// Directory is safe for concurrent use.
//
// A caller may rely on an older version of an entry never undoing a newer one,
// on a backend server that was once draining never being offered again under
// the same start, and on entries that vanished while the store was away staying
// usable until LapseGrace after its return.
package directory

import (
	"sort"
	"sync"
	"time"
)

// LeaseExpiryGrace is how long after the store's return an entry that lapsed during
// the outage stays usable; the platform promises live ones back within it.
const LeaseExpiryGrace = 2 * time.Second

// BackendServer is one start of a replica. Values are not changed once they
// were handed out.
type BackendServer struct {
	// ID names one start of a process; its address may belong to another
	// one later.
	ID         string
	Service    string
	Address    string
	DataCentre string
	Slots      int
	Draining   bool
	// StartedAtMs is the Unix millisecond of its start; zero is unknown.
	StartedAtMs int64
	// WarmUpUntil is when it reaches its full speed.
	WarmUpUntil time.Time
}

// Change is one version of an entry of the registry.
type Change struct {
	ID       string
	Revision uint64
	// Server is nil when the entry was removed or names no backend server.
	Server *BackendServer
	// Removed says that the entry is gone; otherwise a nil Server means that
	// it cannot be read.
	Removed bool
}

type record struct {
	server   *BackendServer
	revision uint64
	// lapsedAt is when the entry was found missing after an outage; zero is
	// not missing.
	lapsedAt time.Time
}

// Event tells what the directory believes after a change.
type Event struct {
	ID     string
	State  State
	Server *BackendServer
}

// State is what the directory holds of a backend server.
type State string

// Beliefs.
const (
	StateReady        State = "ready"
	StateDraining     State = "draining"
	StateRemoved      State = "gone"
	StateLeaseExpired State = "lapsed"
	StateUnusable     State = "unusable"
)

// Directory holds the backend servers.
type Directory struct {
	mu      sync.RWMutex
	records map[string]*record
	// byService is rebuilt after each change; its slices are never changed.
	byService map[string][]*BackendServer
	revision  uint64
	// backAt is when the store came back; within LapseGrace of it entries
	// that are missing count as lapsed.
	backAt time.Time
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{records: make(map[string]*record), byService: make(map[string][]*BackendServer)}
}

// Revision returns the newest revision that was taken in.
func (d *Directory) Revision() uint64 {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.revision
}

// StoreRecovered notes that the store answers again after it was away.
func (d *Directory) StoreRecovered(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.backAt = now
}

// Apply takes in versions of entries that the store told in order, complete up
// to the revision.
func (d *Directory) Apply(now time.Time, changes []Change, revision uint64) []Event {
	d.mu.Lock()
	defer d.mu.Unlock()
	var events []Event
	for i := range changes {
		events = d.take(now, &changes[i], events)
	}
	d.revision = max(d.revision, revision)
	d.index()
	return events
}

// Replace takes in a whole listing that began at the revision. Entries that it
// lacks are gone, unless they are newer than the listing. A listing older than
// what is known is refused.
func (d *Directory) Replace(now time.Time, changes []Change, revision uint64) ([]Event, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if revision < d.revision {
		return nil, false
	}
	var events []Event
	listed := make(map[string]bool, len(changes))
	for i := range changes {
		listed[changes[i].ID] = true
		events = d.take(now, &changes[i], events)
	}
	for id, r := range d.records {
		if !listed[id] && r.revision <= revision {
			missing := Change{ID: id, Revision: revision, Removed: true}
			events = d.take(now, &missing, events)
		}
	}
	d.revision = revision
	d.index()
	return events, true
}

// take applies one version of an entry.
func (d *Directory) take(now time.Time, c *Change, events []Event) []Event {
	r := d.records[c.ID]
	if r != nil && c.Revision <= r.revision && !c.Removed {
		return events
	}
	if r == nil {
		if c.Removed {
			return events
		}
		r = &record{}
		d.records[c.ID] = r
	}
	r.revision = max(r.revision, c.Revision)
	if c.Removed {
		return d.remove(now, c.ID, r, events)
	}
	before := r.server
	r.lapsedAt = time.Time{}
	r.server = c.Server
	if c.Server != nil && before != nil && before.Draining && before.StartedAtMs == c.Server.StartedAtMs && !c.Server.Draining {
		kept := *c.Server
		kept.Draining = true
		r.server = &kept
	}
	return append(events, Event{ID: c.ID, State: belief(r.server), Server: r.server})
}

func belief(s *BackendServer) State {
	switch {
	case s == nil:
		return StateUnusable
	case s.Draining:
		return StateDraining
	default:
		return StateReady
	}
}

// remove takes an entry out, or keeps it for a while if it may have lapsed only
// because the store was away.
func (d *Directory) remove(now time.Time, id string, r *record, events []Event) []Event {
	lapsed := !d.backAt.IsZero() && now.Sub(d.backAt) < LeaseExpiryGrace
	if lapsed && r.server != nil && !r.server.Draining {
		if r.lapsedAt.IsZero() {
			r.lapsedAt = now
			events = append(events, Event{ID: id, State: StateLeaseExpired, Server: r.server})
		}
		return events
	}
	delete(d.records, id)
	return append(events, Event{ID: id, State: StateRemoved, Server: r.server})
}

// Sweep removes the entries that lapsed and did not come back in time.
func (d *Directory) Sweep(now time.Time) []Event {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.backAt.IsZero() || now.Sub(d.backAt) < LeaseExpiryGrace {
		return nil
	}
	var events []Event
	for id, r := range d.records {
		if r.lapsedAt.IsZero() {
			continue
		}
		delete(d.records, id)
		events = append(events, Event{ID: id, State: StateRemoved, Server: r.server})
	}
	if events != nil {
		d.index()
	}
	return events
}

// index rebuilds the lists by service.
func (d *Directory) index() {
	byService := make(map[string][]*BackendServer, len(d.byService))
	for _, r := range d.records {
		if r.server != nil && !r.server.Draining {
			byService[r.server.Service] = append(byService[r.server.Service], r.server)
		}
	}
	for _, servers := range byService {
		sort.Slice(servers, func(i, j int) bool { return servers[i].ID < servers[j].ID })
	}
	d.byService = byService
}

// Usable returns the backend servers of a service that may get new work, in
// the order of their ids. The slice must not be changed.
func (d *Directory) Usable(service string) []*BackendServer {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.byService[service]
}

// IsUsable reports whether the start of a backend server may still get work.
func (d *Directory) IsUsable(s *BackendServer) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	r := d.records[s.ID]
	return r != nil && r.server != nil && !r.server.Draining && r.server.StartedAtMs == s.StartedAtMs && r.server.Address == s.Address
}
