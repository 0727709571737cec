package directory

import "time"

// versionHold is how long the version of an entry that was replaced or removed is
// remembered. It bounds the span of SoleVersion.
const versionHold = 15 * time.Minute

// versionHistory holds which software versions have served.
type versionHistory struct {
	// lastListed holds when an entry with a version was last replaced or removed, by service
	// and version.
	lastListed map[string]map[string]time.Time
	// completeSince is the time of the last complete listing: what came and went before it may
	// be missing. It is zero before the first listing.
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
// know for a span that reaches beyond the last complete listing: the servers that are left,
// however long they have run, show nothing about those that have been removed.
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
