// Package directory holds what a gateway knows about the backend servers, built
// from versions of their registry entries. It does no I/O; the time is passed
// in. A Directory is safe for concurrent use.
//
// Callers may assume the following. An older version of an entry never replaces
// a newer one. After a draining version, each one of the same incarnation counts as
// draining, so a draining server does not become usable again before it restarts,
// also if a version between them cannot be decoded. A ready server whose entry is removed shortly after
// an outage of the store stays usable until LeaseExpiryGrace after the store's
// recovery. After a restore of the store from an older copy the same holds for entries
// that the copy lacks, and an incarnation that was removed before does not become usable
// because the copy still has its entry. A server is not usable once another one has started at its
// address and has written its entry: all servers of a data centre that lost power are listed
// twice for seconds. No server of an evacuated data centre is usable from
// the change or listing that reports the evacuation until one that reports its end.
package directory

import (
	"slices"
	"sort"
	"sync"
	"time"
)

// LeaseExpiryGrace is how long after a recovery of the store an entry whose
// lease expired during the outage stays usable. The platform guarantees that
// live backend servers register again within this time.
const LeaseExpiryGrace = 2 * time.Second

// leaseIntervals is the number of heartbeat intervals without a heartbeat after which the lease
// of an entry expires.
const leaseIntervals = 3

// LeaseExpiryOutage returns the length of the shortest outage of the store in which the lease of
// a live backend server expires, for a heartbeat interval: its last heartbeat before the outage
// is up to one interval old.
func LeaseExpiryOutage(heartbeat time.Duration) time.Duration {
	return (leaseIntervals - 1) * heartbeat
}

// BackendServer describes one incarnation of a backend server. A value is
// immutable once the directory has returned it.
type BackendServer struct {
	// ID identifies the backend server in the registry. Its Address may later
	// belong to another server.
	ID         string
	Service    string
	Address    string
	DataCentre string
	// SoftwareVersion is the version of the server's software; empty if unknown.
	SoftwareVersion string
	// Slots is the number of requests that the server runs concurrently.
	Slots    int
	Draining bool
	// StartedAtMs is the Unix time of the server's start, in milliseconds; zero
	// if unknown. It distinguishes the incarnations of a server.
	StartedAtMs int64
	// ColdFor is how long the server stays cold after it wrote this version of its entry;
	// zero if it is not cold.
	ColdFor time.Duration
}

// Change is one version of a registry entry, or its removal.
type Change struct {
	ID string
	// Revision is the store revision of the version or of the removal.
	Revision uint64
	// Server is nil if the entry was removed or cannot be decoded.
	Server *BackendServer
	// Removed reports whether the entry was removed.
	Removed bool
}

const (
	// removedHold is how long a removed incarnation is remembered. A backup from which
	// the store is restored is expected to be more recent.
	removedHold = 10 * time.Minute
	// maxRemoved limits the remembered incarnations.
	maxRemoved = 4096
)

// removedServer is an incarnation whose entry was removed.
type removedServer struct {
	startedAtMs int64
	draining    bool
	removedAt   time.Time
}

// record is the state of one registry entry.
type record struct {
	server   *BackendServer
	revision uint64
	// firstVersion is the software version that the incarnation which started at
	// versionStartedAtMs stated first.
	firstVersion       string
	versionStartedAtMs int64
	// writtenAt is when the newest version of the entry was applied.
	writtenAt time.Time
	// superseded reports whether another server has taken the address over since the entry was
	// last written.
	superseded bool
	// coldUntil is until when the server is cold according to its entry.
	coldUntil time.Time
	// draining reports whether the incarnation that started at drainingStartedAtMs
	// has announced that it is draining. An undecodable version does not undo it.
	draining            bool
	drainingStartedAtMs int64
	// leaseExpiredAt is when the entry was first reported as removed after an
	// outage of the store; zero if it was not.
	leaseExpiredAt time.Time
}

// Event reports the state of a backend server after a change of its entry. The
// state may be the same as before.
type Event struct {
	ID    string
	State State
	// Server is the newest version, the last one before a removal; nil if it
	// cannot be decoded.
	Server *BackendServer
}

// State is the state of a backend server as last observed.
type State string

// States of a backend server. The values are part of logged event names.
// StateLeaseExpired is the state of an entry that was removed shortly after a
// recovery of the store and stays usable until the end of LeaseExpiryGrace.
// StateUnusable is the state of an entry that cannot be decoded.
const (
	StateReady        State = "ready"
	StateDraining     State = "draining"
	StateRemoved      State = "gone"
	StateLeaseExpired State = "lapsed"
	StateUnusable     State = "unusable"
)

// Directory holds the backend servers of all services.
type Directory struct {
	mu      sync.RWMutex
	records map[string]*record
	// byAddress holds, for each address, the entry of the server that took it over last.
	byAddress map[string]*record
	// byService holds the usable backend servers by service. It is rebuilt
	// after each change; its slices are immutable.
	byService map[string][]*BackendServer
	revision  uint64
	// storeRecoveredAt is when the store last recovered. An entry removed
	// within LeaseExpiryGrace of that time counts as a lease expired by the
	// outage.
	storeRecoveredAt time.Time
	// removed holds the last removed incarnation of each ID.
	removed map[string]removedServer
	// versions holds the software versions of entries that were replaced or removed.
	versions versionHistory
	// evacuations holds the data centres that are, or were, evacuated.
	evacuations map[string]*evacuationState
	// coldChanges counts the changes of how long servers stay cold.
	coldChanges uint64
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{records: make(map[string]*record), byAddress: make(map[string]*record), byService: make(map[string][]*BackendServer), removed: make(map[string]removedServer), versions: newVersionHistory(), evacuations: make(map[string]*evacuationState)}
}

// Revision returns the newest store revision that was applied.
func (d *Directory) Revision() uint64 {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.revision
}

// StoreRecovered records that the store responds again after an outage in which leases may have
// expired, which was not shorter than LeaseExpiryOutage.
func (d *Directory) StoreRecovered(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.storeRecoveredAt = now
}

// Apply applies changes in the order in which the store reported them, and
// returns the resulting events. The changes must be complete up to the revision.
func (d *Directory) Apply(now time.Time, changes []Change, revision uint64) []Event {
	d.mu.Lock()
	defer d.mu.Unlock()
	var events []Event
	for i := range changes {
		events = d.applyChange(now, &changes[i], events)
	}
	d.revision = max(d.revision, revision)
	d.rebuildIndex()
	return events
}

// MarkLeaving records that an incarnation of a backend server has stated that it is
// leaving: from then on it counts as draining, whatever its entry states, also if the
// entry is removed and listed again. It returns false if that was known.
func (d *Directory) MarkLeaving(now time.Time, s *BackendServer) (Event, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	event := Event{ID: s.ID, State: StateDraining, Server: s}
	r := d.records[s.ID]
	switch {
	case r == nil:
		known := d.removed[s.ID]
		if known.draining && known.startedAtMs == s.StartedAtMs || len(d.removed) >= maxRemoved {
			return Event{}, false
		}
		d.removed[s.ID] = removedServer{s.StartedAtMs, true, now}
		return event, true
	case r.server != nil && r.server.StartedAtMs != s.StartedAtMs: // restarted meanwhile
		return Event{}, false
	case r.draining && r.drainingStartedAtMs == s.StartedAtMs:
		return Event{}, false
	}
	r.draining, r.drainingStartedAtMs = true, s.StartedAtMs
	if r.server != nil {
		leaving := *r.server
		leaving.Draining = true
		r.server = &leaving
		d.rebuildIndex()
	}
	return event, true
}

// Replace applies a complete listing that began at the revision. Known entries
// that it lacks are removed, unless they are newer than the listing. Replace
// refuses a listing older than the directory and then returns false.
func (d *Directory) Replace(now time.Time, changes []Change, revision uint64) ([]Event, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if revision < d.revision {
		return nil, false
	}
	return d.replace(now, changes, revision), true
}

// Restore applies a complete listing of a store that was restored from an older copy:
// its revisions are not comparable with those before. Ready servers that the listing
// lacks are treated as after an outage. An entry of an incarnation that was removed
// before is not usable until the server writes it again. Restore accepts any revision.
func (d *Directory) Restore(now time.Time, changes []Change, revision uint64) ([]Event, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.storeRecoveredAt = now
	d.revision = 0
	for _, r := range d.records {
		r.revision = 0
	}
	restored := slices.Clone(changes)
	for i := range restored {
		c := &restored[i]
		if removed, found := d.removed[c.ID]; found && c.Server != nil && d.records[c.ID] == nil && removed.startedAtMs == c.Server.StartedAtMs {
			c.Server = nil
		}
	}
	return d.replace(now, restored, revision), true
}

// replace applies a complete listing. The caller holds mu.
func (d *Directory) replace(now time.Time, changes []Change, revision uint64) []Event {
	var events []Event
	listed := make(map[string]bool, len(changes))
	for i := range changes {
		listed[changes[i].ID] = true
		events = d.applyChange(now, &changes[i], events)
	}
	for id, r := range d.records {
		if !listed[id] && r.revision <= revision {
			missing := Change{ID: id, Revision: revision, Removed: true}
			events = d.applyChange(now, &missing, events)
		}
	}
	d.revision = revision
	d.versions.completeSince = now
	d.rebuildIndex()
	return events
}

// applyChange applies one change and appends the resulting event. A removal is
// applied whatever its revision.
func (d *Directory) applyChange(now time.Time, c *Change, events []Event) []Event {
	r := d.records[c.ID]
	if r != nil && c.Revision <= r.revision && !c.Removed {
		return events
	}
	if r == nil {
		if c.Removed {
			return events
		}
		removed := d.removed[c.ID]
		r = &record{draining: removed.draining, drainingStartedAtMs: removed.startedAtMs}
		d.records[c.ID] = r
	}
	r.revision = max(r.revision, c.Revision)
	if c.Removed {
		return d.remove(now, c.ID, r, events)
	}
	r.leaseExpiredAt, r.writtenAt, r.superseded = time.Time{}, now, false
	d.versions.ended(now, r.server)
	r.server = c.Server
	if c.Server != nil {
		d.recordCold(now, r, c.Server)
		stillDraining := r.draining && r.drainingStartedAtMs == c.Server.StartedAtMs
		if stillDraining && !c.Server.Draining {
			draining := *c.Server
			draining.Draining = true
			r.server = &draining
		}
		r.draining, r.drainingStartedAtMs = r.server.Draining, c.Server.StartedAtMs
		r.checkVersion()
		d.recordAddress(r)
	}
	return append(events, Event{ID: c.ID, State: stateOf(r.server), Server: r.server})
}

func stateOf(s *BackendServer) State {
	switch {
	case s == nil:
		return StateUnusable
	case s.Draining:
		return StateDraining
	default:
		return StateReady
	}
}

// remove deletes an entry. Within LeaseExpiryGrace of a recovery of the store it
// only marks the entry of a ready server, whose lease may have expired because
// the store was unavailable.
func (d *Directory) remove(now time.Time, id string, r *record, events []Event) []Event {
	expiredByOutage := !d.storeRecoveredAt.IsZero() && now.Sub(d.storeRecoveredAt) < LeaseExpiryGrace
	if expiredByOutage && r.server != nil && !r.server.Draining {
		if r.leaseExpiredAt.IsZero() {
			r.leaseExpiredAt = now
			events = append(events, Event{ID: id, State: StateLeaseExpired, Server: r.server})
		}
		return events
	}
	return d.delete(now, id, r, events)
}

// delete deletes an entry and remembers its incarnation.
func (d *Directory) delete(now time.Time, id string, r *record, events []Event) []Event {
	delete(d.records, id)
	if r.server != nil && d.byAddress[r.server.Address] == r {
		delete(d.byAddress, r.server.Address)
	}
	d.versions.ended(now, r.server)
	if r.server != nil && len(d.removed) < maxRemoved {
		d.removed[id] = removedServer{r.server.StartedAtMs, r.draining, now}
	}
	return append(events, Event{ID: id, State: StateRemoved, Server: r.server})
}

// Sweep removes the entries whose leases expired during an outage and that were
// not registered again within LeaseExpiryGrace. It forgets removed incarnations after
// removedHold.
func (d *Directory) Sweep(now time.Time) []Event {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, removed := range d.removed {
		if now.Sub(removed.removedAt) >= removedHold {
			delete(d.removed, id)
		}
	}
	if d.storeRecoveredAt.IsZero() || now.Sub(d.storeRecoveredAt) < LeaseExpiryGrace {
		return nil
	}
	var events []Event
	for id, r := range d.records {
		if r.leaseExpiredAt.IsZero() {
			continue
		}
		events = d.delete(now, id, r, events)
	}
	if events != nil {
		d.rebuildIndex()
	}
	return events
}

// recordAddress notes which of two servers has an address. After a crash or a loss of power a
// server may start again there under another ID, seconds before the lease of its former entry
// expires: the server that started earlier and wrote its entry earlier must have ended.
func (d *Directory) recordAddress(r *record) {
	newest := d.byAddress[r.server.Address]
	if newest != nil && newest != r && newest.server != nil && newest.server.Address == r.server.Address {
		earlier, later := newest, r
		if r.revision < newest.revision {
			earlier, later = r, newest
		}
		earlier.superseded = earlier.server.StartedAtMs > 0 && earlier.server.StartedAtMs < later.server.StartedAtMs
		r = later
	}
	d.byAddress[r.server.Address] = r
}

// usable reports whether new requests may be sent to the server of the entry.
func (d *Directory) usable(r *record) bool {
	return r.server != nil && !r.server.Draining && !r.superseded && !d.isEvacuated(r.server.DataCentre)
}

// rebuildIndex rebuilds byService, each list sorted by ID.
func (d *Directory) rebuildIndex() {
	byService := make(map[string][]*BackendServer, len(d.byService))
	for _, r := range d.records {
		if d.usable(r) {
			byService[r.server.Service] = append(byService[r.server.Service], r.server)
		}
	}
	for service, servers := range byService {
		sort.Slice(servers, func(i, j int) bool { return servers[i].ID < servers[j].ID })
		if known := d.byService[service]; slices.EqualFunc(known, servers, interchangeable) {
			byService[service] = known
		}
	}
	d.byService = byService
}

// interchangeable reports whether two versions differ in nothing that matters to a
// new request.
func interchangeable(a, b *BackendServer) bool {
	return a.ID == b.ID && a.Address == b.Address && a.DataCentre == b.DataCentre && a.SoftwareVersion == b.SoftwareVersion && a.Slots == b.Slots && a.StartedAtMs == b.StartedAtMs
}

// Usable returns the backend servers of a service that may get new requests,
// sorted by ID. The slice must not be modified. It is the same one until a server
// that new requests can be sent to joins, leaves or changes.
func (d *Directory) Usable(service string) []*BackendServer {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.byService[service]
}

// WrittenSince reports whether this incarnation of the backend server has written its entry
// and the directory learnt of it after the given time.
func (d *Directory) WrittenSince(s *BackendServer, at time.Time) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	r := d.records[s.ID]
	return r != nil && r.server != nil && r.server.StartedAtMs == s.StartedAtMs && r.writtenAt.After(at)
}

// IsUsable reports whether this incarnation of the backend server may still get
// new requests at its address.
func (d *Directory) IsUsable(s *BackendServer) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	r := d.records[s.ID]
	return r != nil && d.usable(r) && r.server.StartedAtMs == s.StartedAtMs && r.server.Address == s.Address
}
