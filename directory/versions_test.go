package directory

import (
	"testing"
	"time"
)

// TestSoleVersion checks that a service counts as having one version only if no server had
// another one during the span, also if it has left, is draining, was restarted with another
// version or states none, and if the directory covers the span.
func TestSoleVersion(t *testing.T) {
	const span = 8 * time.Second
	start := time.Unix(1_000_000, 0)
	server := func(id, version string, startedAtMs int64) *BackendServer {
		return &BackendServer{ID: id, Service: "llm", Address: "10.0.0.1:80", SoftwareVersion: version, StartedAtMs: startedAtMs}
	}
	draining := server("b", "v2", 1)
	draining.Draining = true
	for _, test := range []struct {
		name    string
		changes []Change
		after   time.Duration
		want    Versions
	}{
		{"one version", nil, span, OneVersion},
		{"listed for a shorter time", nil, span - 1, VersionsUnknown},
		{"another version joins", []Change{{ID: "b", Revision: 2, Server: server("b", "v2", 1)}}, span, SeveralVersions},
		{"the other one is draining", []Change{{ID: "b", Revision: 2, Server: draining}}, span, SeveralVersions},
		{"the other one has left", []Change{{ID: "b", Revision: 2, Server: server("b", "v2", 1)}, {ID: "b", Revision: 3, Removed: true}}, span, SeveralVersions},
		{"the other one left before the span", []Change{{ID: "b", Revision: 2, Server: server("b", "v2", 1)}, {ID: "b", Revision: 3, Removed: true}}, span + time.Second + 1, OneVersion},
		{"restarted with another version", []Change{{ID: "a", Revision: 2, Server: server("a", "v2", 2)}}, span, SeveralVersions},
		{"a server states no version", []Change{{ID: "b", Revision: 2, Server: server("b", "", 1)}}, span, SeveralVersions},
	} {
		d := New()
		d.Replace(start, []Change{{ID: "a", Revision: 1, Server: server("a", "v1", 1)}}, 1)
		d.Apply(start.Add(time.Second), test.changes, 3)
		if version, got := d.SoleVersion(start.Add(test.after), "llm", span); got != test.want || got == OneVersion && version != "v1" {
			t.Errorf("%s: got %q %v, want %v", test.name, version, got, test.want)
		}
	}
	if _, got := New().SoleVersion(start, "llm", span); got != VersionsUnknown {
		t.Errorf("without a listing: got %v, want VersionsUnknown", got)
	}
}

// TestOldServersDoNotShowSoleVersion checks that a directory that was just listed does not
// conclude from servers that have run for long that one version alone has served: the last
// servers of another one may have left without successors.
func TestOldServersDoNotShowSoleVersion(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	d := New()
	d.Replace(now, []Change{{ID: "a", Revision: 1, Server: &BackendServer{ID: "a", Service: "llm", SoftwareVersion: "v2", StartedAtMs: 1}}}, 1)
	if version, got := d.SoleVersion(now, "llm", 8*time.Second); got != VersionsUnknown {
		t.Errorf("got %q %v, want VersionsUnknown", version, got)
	}
}

// TestListingEndsVersionHistory checks that a complete listing, before which servers may have
// come and gone unseen, starts the span anew.
func TestListingEndsVersionHistory(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	d := New()
	changes := []Change{{ID: "a", Revision: 1, Server: &BackendServer{ID: "a", Service: "llm", SoftwareVersion: "v1"}}}
	d.Replace(start, changes, 1)
	d.Replace(start.Add(time.Minute), changes, 2)
	if _, got := d.SoleVersion(start.Add(time.Minute+time.Second), "llm", 8*time.Second); got != VersionsUnknown {
		t.Errorf("got %v, want VersionsUnknown", got)
	}
}

// TestVersionChangesWithoutRestart guards against a damaged entry that states another software
// version for the same incarnation: its version is unknown until the first one is stated again.
func TestVersionChangesWithoutRestart(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	d := New()
	revision := uint64(0)
	version := func(stated string, startedAtMs int64) string {
		revision++
		c := Change{ID: "a", Revision: revision, Server: &BackendServer{ID: "a", Service: "llm", SoftwareVersion: stated, StartedAtMs: startedAtMs}}
		if stated == "unreadable" {
			c.Server = nil
		}
		d.Apply(now, []Change{c}, revision)
		if usable := d.Usable("llm"); len(usable) > 0 {
			return usable[0].SoftwareVersion
		}
		return "not usable"
	}
	for i, step := range []struct {
		stated      string
		startedAtMs int64
		want        string
	}{
		{"v1", 1, "v1"}, {"v2", 1, ""}, {"v2", 1, ""}, {"unreadable", 1, "not usable"}, {"v2", 1, ""}, {"v1", 1, "v1"}, {"", 1, ""}, {"v1", 1, "v1"},
		{"v2", 2, "v2"}, {"v1", 2, ""}, {"v3", 0, "v3"}, {"v4", 0, "v4"}, // a server that does not state its start may have restarted
	} {
		if got := version(step.stated, step.startedAtMs); got != step.want {
			t.Errorf("step %d: an entry states %q, start %d: got version %q, want %q", i, step.stated, step.startedAtMs, got, step.want)
		}
	}
}
