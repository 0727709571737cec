package directory

import (
	"slices"
	"strings"
	"time"
)

// Evacuation reports that a data centre is evacuated, or that this has ended: while it is
// evacuated, no request may be sent to its backend servers.
type Evacuation struct {
	DataCentre string
	// Revision is the store revision at which the evacuation, or its end, was written.
	Revision uint64
	// Ended reports whether the evacuation has ended, Age how long ago this became known.
	Ended bool
	Age   time.Duration
}

// EvacuationEvent reports that a data centre was evacuated, or that this has ended.
type EvacuationEvent struct {
	Evacuation
	// Servers is the number of backend servers known in the data centre. It is zero if the
	// operator named a data centre that does not exist; the evacuation then has no effect.
	Servers int
}

// endedHold is how long the end of an evacuation is reported to other gateways. It is longer
// than servers stay cold after it, and than a gateway is usually cut off from the store.
const endedHold = 30 * time.Second

// maxEvacuations limits the evacuated data centres that are remembered, in case the store
// holds many keys by mistake. A deployment has some ten data centres.
const maxEvacuations = 1024

// evacuationState is what is known of one data centre.
type evacuationState struct {
	evacuated bool
	// revision is that of the last change.
	revision uint64
	// endedAt is when the end of the last evacuation was applied; zero if there was none.
	endedAt time.Time
}

// ApplyEvacuations applies changes in the order in which the store reported them.
func (d *Directory) ApplyEvacuations(now time.Time, changes []Evacuation) []EvacuationEvent {
	if len(changes) == 0 {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.applyEvacuations(now, changes)
}

// Evacuations returns the evacuated data centres, and those whose evacuation has ended within
// endedHold, sorted by name.
func (d *Directory) Evacuations(now time.Time) []Evacuation {
	d.mu.RLock()
	defer d.mu.RUnlock()
	var known []Evacuation
	for name, state := range d.evacuations {
		e := Evacuation{DataCentre: name, Revision: state.revision, Ended: !state.evacuated}
		if e.Ended {
			e.Age = max(0, now.Sub(state.endedAt))
		}
		if e.Age <= endedHold {
			known = append(known, e)
		}
	}
	slices.SortFunc(known, func(a, b Evacuation) int { return strings.Compare(a.DataCentre, b.DataCentre) })
	return known
}

// ReplaceEvacuations applies a complete listing of the evacuated data centres that began at
// the revision. An evacuation that the listing lacks has ended, unless it is newer than the
// listing. If the store was restored from an older copy, revisions show nothing, and the
// listing replaces all that was known.
func (d *Directory) ReplaceEvacuations(now time.Time, listed []Evacuation, revision uint64, restored bool) []EvacuationEvent {
	d.mu.Lock()
	defer d.mu.Unlock()
	changes := make([]Evacuation, 0, len(listed))
	found := make(map[string]bool, len(listed))
	for _, e := range listed {
		found[e.DataCentre] = true
		changes = append(changes, e)
	}
	for name, state := range d.evacuations {
		if restored {
			state.revision = 0
		}
		if state.evacuated && !found[name] && state.revision <= revision {
			changes = append(changes, Evacuation{DataCentre: name, Revision: revision, Ended: true})
		}
	}
	return d.applyEvacuations(now, changes)
}

// applyEvacuations applies changes and rebuilds the index if one has an effect. The caller
// holds mu.
func (d *Directory) applyEvacuations(now time.Time, changes []Evacuation) []EvacuationEvent {
	var events []EvacuationEvent
	for _, c := range changes {
		state := d.evacuations[c.DataCentre]
		if state == nil {
			if len(d.evacuations) >= maxEvacuations {
				continue
			}
			state = &evacuationState{}
			d.evacuations[c.DataCentre] = state
		}
		if c.Revision < state.revision {
			continue
		}
		isNew := state.revision == 0
		state.revision = c.Revision
		if state.evacuated == !c.Ended && (!isNew || !c.Ended) {
			continue
		}
		state.evacuated = !c.Ended
		if c.Ended {
			state.endedAt = now.Add(-c.Age)
		}
		events = append(events, EvacuationEvent{Evacuation: c, Servers: d.serversIn(c.DataCentre)})
	}
	if events != nil {
		d.coldChanges++
		d.rebuildIndex()
	}
	return events
}

// serversIn returns the number of known backend servers of a data centre. The caller holds mu.
func (d *Directory) serversIn(dataCentre string) int {
	n := 0
	for _, r := range d.records {
		if r.server != nil && r.server.DataCentre == dataCentre {
			n++
		}
	}
	return n
}

// isEvacuated reports whether a data centre is evacuated. The caller holds mu.
func (d *Directory) isEvacuated(dataCentre string) bool {
	state := d.evacuations[dataCentre]
	return state != nil && state.evacuated
}

// Evacuated reports whether some servers of the service would be usable if no data centre
// were evacuated.
func (d *Directory) Evacuated(service string) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	for _, r := range d.records {
		if r.server != nil && r.server.Service == service && !r.server.Draining && d.isEvacuated(r.server.DataCentre) {
			return true
		}
	}
	return false
}

// coldTolerance is the change of the time until which a server is cold that counts as none:
// entries are read some time after they were written.
const coldTolerance = 300 * time.Millisecond

// recordCold records until when a server is cold according to a new version of its entry. The
// caller holds mu.
func (d *Directory) recordCold(now time.Time, r *record, s *BackendServer) {
	until := now.Add(s.ColdFor)
	wasCold := r.coldUntil.After(now) || r.server != nil && r.server.StartedAtMs != s.StartedAtMs
	if s.ColdFor > 0 && until.Sub(r.coldUntil).Abs() > coldTolerance || s.ColdFor == 0 && wasCold {
		d.coldChanges++
	}
	if state := d.evacuations[s.DataCentre]; state != nil && !state.endedAt.IsZero() {
		d.coldChanges++ // the entry may be the first one after the evacuation
	}
	r.coldUntil = until
}

// ColdChanges returns a number that changes whenever ColdFor may return something else than a
// time that has become shorter since.
func (d *Directory) ColdChanges() uint64 {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.coldChanges
}

// ColdFor returns for how long the incarnation of a backend server is expected to stay cold.
// A server whose data centre was evacuated may have become cold before the end of the
// evacuation: it counts as cold for coldTime from the end, until it writes its entry again.
func (d *Directory) ColdFor(now time.Time, s *BackendServer, coldTime time.Duration) time.Duration {
	d.mu.RLock()
	defer d.mu.RUnlock()
	r := d.records[s.ID]
	if r == nil || r.server == nil || r.server.StartedAtMs != s.StartedAtMs {
		return 0
	}
	cold := max(0, r.coldUntil.Sub(now))
	if state := d.evacuations[s.DataCentre]; state != nil && !state.endedAt.IsZero() && r.revision < state.revision {
		cold = max(cold, state.endedAt.Add(coldTime).Sub(now))
	}
	return cold
}
