package directory

import (
	"math"
	"slices"
	"time"
)

// versionHold is how long the version of an entry that was replaced or removed is
// remembered. It bounds the span of SoleVersion.
const versionHold = 15 * time.Minute

// versionHistory holds which software versions have served.
type versionHistory struct {
	// lastListed holds when an entry with a version was last replaced or removed, by service
	// and version.
	lastListed map[string]map[string]time.Time
	// completeSince is the time of the last complete listing, or when the applied history of the
	// store began: what came and went before it may be missing. It is zero before the first
	// listing.
	completeSince time.Time
}

func newVersionHistory() versionHistory {
	return versionHistory{lastListed: make(map[string]map[string]time.Time)}
}

// ended records that the entry was replaced or removed; server may be nil.
func (h *versionHistory) ended(now time.Time, server *BackendServer) {
	if server == nil {
		return
	}
	byVersion := h.lastListed[server.Service]
	if byVersion == nil {
		byVersion = make(map[string]time.Time)
		h.lastListed[server.Service] = byVersion
	}
	byVersion[server.SoftwareVersion] = now
	for version, at := range byVersion {
		if now.Sub(at) > versionHold {
			delete(byVersion, version)
		}
	}
}

// checkVersion makes the software version of the server unknown if its incarnation first stated
// another one: a process does not change its software while it runs, so that one of the two
// entries is damaged.
func (r *record) checkVersion() {
	s := r.server
	if s.StartedAtMs == 0 || s.StartedAtMs != r.versionStartedAtMs {
		r.firstVersion, r.versionStartedAtMs = s.SoftwareVersion, s.StartedAtMs
		return
	}
	if s.SoftwareVersion != r.firstVersion {
		unknown := *s
		unknown.SoftwareVersion = ""
		r.server = &unknown
	}
}

// Versions tells how many software versions of a service have served during a span.
type Versions int

// VersionsUnknown: the directory does not cover the span. OneVersion: all servers stated the
// same one. SeveralVersions: there were several, or one that is not stated.
const (
	VersionsUnknown Versions = iota
	OneVersion
	SeveralVersions
)

// SoleVersion returns whether all servers of the service that were listed during the span
// before now, also draining ones, had the same software version, and which one. It does not
// know for a span that reaches beyond the first listing and the history that was applied: the
// servers that are left show nothing about those that have been removed.
func (d *Directory) SoleVersion(now time.Time, service string, span time.Duration) (string, Versions) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	sole, found := "", false
	differs := func(version string) bool {
		if !found {
			sole, found = version, true
		}
		return version != sole || version == ""
	}
	for _, r := range d.records {
		if r.server != nil && r.server.Service == service && differs(r.server.SoftwareVersion) {
			return "", SeveralVersions
		}
	}
	for version, at := range d.versions.lastListed[service] {
		if now.Sub(at) <= span && differs(version) {
			return "", SeveralVersions
		}
	}
	covered := now.Sub(d.versions.completeSince) >= span && span <= versionHold
	if !found || d.versions.completeSince.IsZero() || !covered {
		return "", VersionsUnknown
	}
	return sole, OneVersion
}

// shortestHeartbeatShare is the share of the stated heartbeat interval that an interval between
// two writes of an entry lasts at least.
const shortestHeartbeatShare = 0.9

// HistoryDepth returns how many revisions of the store before the newest one a history needs
// at least to cover the span, if each server writes its entry once in a heartbeat interval.
func (d *Directory) HistoryDepth(span, heartbeat time.Duration) uint64 {
	d.mu.RLock()
	defer d.mu.RUnlock()
	writes := math.Ceil(span.Seconds()/(shortestHeartbeatShare*heartbeat.Seconds())) + 2
	return uint64(writes) * uint64(len(d.records))
}

// ApplyHistory applies all changes of the store from an earlier revision up to at least the
// directory's, in their order, to the software versions that have served; now is when they were
// read. Nothing else changes. The changes have no times: the history reaches back as far as
// half of the servers have written their entries. It returns how far that is, which is zero
// if a server was removed whose version the history does not show.
func (d *Directory) ApplyHistory(now time.Time, changes []Change, heartbeat time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	writes := make(map[string]int)
	for i := range changes {
		c := &changes[i]
		if c.Removed && writes[c.ID] == 0 {
			return 0
		}
		if !c.Removed {
			writes[c.ID]++
			d.versions.ended(now, c.Server)
		}
	}
	var counts []int
	for id, r := range d.records {
		if r.server != nil {
			counts = append(counts, writes[id])
		}
	}
	if len(counts) == 0 || d.versions.completeSince.IsZero() {
		return 0
	}
	slices.Sort(counts)
	intervals := max(counts[(len(counts)-1)/2]-1, 0)
	covered := time.Duration(float64(intervals) * shortestHeartbeatShare * float64(heartbeat))
	if since := now.Add(-covered); since.Before(d.versions.completeSince) {
		d.versions.completeSince = since
	}
	return covered
}
