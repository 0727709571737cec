package directory

import (
	"slices"
	"testing"
	"time"
)

var epoch = time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)

func readyEntry(id string, revision uint64) Change {
	return Change{ID: id, Revision: revision, Server: &BackendServer{ID: id, Service: "app", Address: "10.0.0.1:" + id, StartedAtMs: 1}}
}

func drainingEntry(id string, revision uint64) Change {
	c := readyEntry(id, revision)
	c.Server.Draining = true
	return c
}

func removedEntry(id string, revision uint64) Change {
	return Change{ID: id, Revision: revision, Removed: true}
}

func usableIDs(d *Directory) string {
	ids := ""
	for _, s := range d.Usable("app") {
		ids += s.ID
	}
	return ids
}

func TestApplyEntryVersions(t *testing.T) {
	restarted := readyEntry("a", 9)
	restarted.Server.StartedAtMs = 2
	tests := []struct {
		name    string
		changes []Change
		want    string
	}{
		{"two entries", []Change{readyEntry("a", 1), readyEntry("b", 2)}, "ab"},
		{"one of two starts to drain", []Change{readyEntry("a", 1), readyEntry("b", 2), drainingEntry("a", 3)}, "b"},
		{"an older version does not replace a newer one", []Change{drainingEntry("a", 3), readyEntry("a", 2)}, ""},
		{"a draining incarnation never becomes ready again", []Change{drainingEntry("a", 3), readyEntry("a", 4)}, ""},
		{"a new incarnation with the same ID is usable", []Change{drainingEntry("a", 3), restarted}, "a"},
		{"removed", []Change{readyEntry("a", 1), removedEntry("a", 2)}, ""},
		{"undecodable entry", []Change{readyEntry("a", 1), {ID: "a", Revision: 2}}, ""},
		{"draining, undecodable, ready again", []Change{drainingEntry("a", 1), {ID: "a", Revision: 2}, readyEntry("a", 3)}, ""},
		{"draining, undecodable, restarted", []Change{drainingEntry("a", 1), {ID: "a", Revision: 2}, restarted}, "a"},
		{"decodable again", []Change{readyEntry("a", 1), {ID: "a", Revision: 2}, readyEntry("a", 3)}, "a"},
	}
	for _, test := range tests {
		d := New()
		for i := range test.changes {
			d.Apply(epoch, test.changes[i:i+1], test.changes[i].Revision)
		}
		if got := usableIDs(d); got != test.want {
			t.Errorf("%s: usable servers %q, want %q", test.name, got, test.want)
		}
	}
}

func TestReplaceAppliesCompleteListing(t *testing.T) {
	d := New()
	d.Apply(epoch, []Change{readyEntry("a", 1), readyEntry("b", 2), readyEntry("c", 9)}, 9)
	if _, accepted := d.Replace(epoch, []Change{readyEntry("a", 1)}, 5); accepted {
		t.Error("a listing older than the directory was accepted")
	}
	events, accepted := d.Replace(epoch, []Change{readyEntry("a", 1), readyEntry("c", 12)}, 10)
	if !accepted || usableIDs(d) != "ac" {
		t.Errorf("usable servers %q after the listing, want \"ac\" from an accepted listing", usableIDs(d))
	}
	if d.Revision() != 10 {
		t.Errorf("revision %d after the listing, want 10: later pages of a listing may hold newer entries, so the watch must continue from the revision at which the listing began", d.Revision())
	}
	removed := 0
	for _, e := range events {
		if e.State == StateRemoved {
			removed++
		}
	}
	if removed != 1 {
		t.Errorf("%d servers removed, want 1: %+v", removed, events)
	}
}

// TestLeaseExpiryDuringStoreOutage checks that entries removed just after an
// outage of the store stay usable for LeaseExpiryGrace: their leases expired
// only because they could not be renewed, and live servers register again.
func TestLeaseExpiryDuringStoreOutage(t *testing.T) {
	d := New()
	d.Apply(epoch, []Change{readyEntry("a", 1), readyEntry("b", 2), drainingEntry("c", 3)}, 3)
	d.StoreRecovered(epoch.Add(10 * time.Second))
	at := func(ms int) time.Time { return epoch.Add(10*time.Second + time.Duration(ms)*time.Millisecond) }
	d.Apply(at(10), []Change{removedEntry("a", 4), removedEntry("b", 5), removedEntry("c", 6)}, 6)
	if got := usableIDs(d); got != "ab" {
		t.Fatalf("usable servers %q just after the store's recovery, want \"ab\"", got)
	}
	reregistered := readyEntry("a", 7)
	d.Apply(at(1000), []Change{reregistered}, 7)
	d.Sweep(at(1900))
	if got := usableIDs(d); got != "ab" {
		t.Errorf("usable servers %q before the grace period ends, want \"ab\"", got)
	}
	d.Sweep(at(2000))
	if got := usableIDs(d); got != "a" {
		t.Errorf("usable servers %q after the grace period, want \"a\"", got)
	}
	d.Apply(at(5000), []Change{removedEntry("a", 8)}, 8)
	if got := usableIDs(d); got != "" {
		t.Errorf("usable servers %q, want none: a removal while the store is available takes effect immediately", got)
	}
}

func TestIsUsableDistinguishesIncarnations(t *testing.T) {
	d := New()
	d.Apply(epoch, []Change{readyEntry("a", 1)}, 1)
	old := d.Usable("app")[0]
	if !d.IsUsable(old) {
		t.Error("a ready server is not usable")
	}
	restarted := readyEntry("a", 2)
	restarted.Server.StartedAtMs = 5
	d.Apply(epoch, []Change{restarted}, 2)
	if d.IsUsable(old) {
		t.Error("an earlier incarnation of a restarted server is still usable")
	}
}

// TestUsableListStaysTheSame checks that renewals of entries do not change the list
// of usable servers, which its readers index, and that every other change does.
func TestUsableListStaysTheSame(t *testing.T) {
	d := New()
	d.Apply(epoch, []Change{readyEntry("a", 1), readyEntry("b", 2)}, 2)
	first := d.Usable("app")
	renewed := readyEntry("a", 3)
	renewed.Server.ColdFor = time.Second
	d.Apply(epoch, []Change{renewed, readyEntry("b", 4)}, 4)
	if renewedList := d.Usable("app"); &renewedList[0] != &first[0] {
		t.Error("a renewal changed the list")
	}
	moved := readyEntry("a", 5)
	moved.Server.Address = "10.0.0.9:80"
	restarted := readyEntry("a", 6)
	restarted.Server.StartedAtMs = 2
	for _, change := range []Change{moved, restarted, drainingEntry("a", 7)} {
		before := d.Usable("app")
		d.Apply(epoch, []Change{change}, change.Revision)
		if after := d.Usable("app"); &after[0] == &before[0] {
			t.Errorf("change %+v kept the list", change.Server)
		}
	}
}

// TestLeavingServerStaysOut checks that an incarnation that has stated that it is
// leaving stays out whatever its entry says, and that its next incarnation does not.
func TestLeavingServerStaysOut(t *testing.T) {
	restarted := readyEntry("a", 9)
	restarted.Server.StartedAtMs = 2
	for _, test := range []struct {
		name          string
		before, after []Change
		want          string
	}{
		{"entry unchanged", []Change{readyEntry("a", 1), readyEntry("b", 2)}, nil, "b"},
		{"entry renewed", []Change{readyEntry("a", 1)}, []Change{readyEntry("a", 2)}, ""},
		{"entry removed and written again", []Change{readyEntry("a", 1)}, []Change{removedEntry("a", 2), readyEntry("a", 3)}, ""},
		{"entry removed before and written again", []Change{readyEntry("a", 1), removedEntry("a", 2)}, []Change{readyEntry("a", 3)}, ""},
		{"entry undecodable and decodable again", []Change{readyEntry("a", 1), {ID: "a", Revision: 2}}, []Change{readyEntry("a", 3)}, ""},
		{"restarted after", []Change{readyEntry("a", 1)}, []Change{restarted}, "a"},
		{"restarted before", []Change{readyEntry("a", 1), restarted}, nil, "a"},
	} {
		d := New()
		d.Apply(epoch, test.before, 9)
		_, first := d.MarkLeaving(epoch, readyEntry("a", 1).Server)
		_, again := d.MarkLeaving(epoch, readyEntry("a", 1).Server)
		d.Apply(epoch, test.after, 10)
		if got := usableIDs(d); got != test.want || first != (test.name != "restarted before") || again {
			t.Errorf("%s: usable servers %q, want %q; changed %v, then %v", test.name, got, test.want, first, again)
		}
	}
}

// TestSupersededServerIsNotUsable replays a loss of power of all servers, which start again at
// their addresses under other IDs before the leases of their former entries expire. Requests to
// a former entry would be refused by the server that listens there now.
func TestSupersededServerIsNotUsable(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	entry := func(id, address string, revision uint64, startedAtMs int64) Change {
		return Change{ID: id, Revision: revision, Server: &BackendServer{ID: id, Service: "llm", Address: address, StartedAtMs: startedAtMs}}
	}
	before := []Change{entry("a", "10.0.0.1:80", 1, 100), entry("b", "10.0.0.2:80", 2, 100)}
	for _, test := range []struct {
		name    string
		changes []Change
		want    []string
	}{
		{"started again", []Change{entry("c", "10.0.0.1:80", 3, 200)}, []string{"b", "c"}},
		{"all started again", []Change{entry("c", "10.0.0.1:80", 3, 200), entry("d", "10.0.0.2:80", 4, 200)}, []string{"c", "d"}},
		{"the new one leaves", []Change{entry("c", "10.0.0.1:80", 3, 200), {ID: "c", Revision: 4, Removed: true}}, []string{"b"}},
		{"the former one still writes its entry", []Change{entry("c", "10.0.0.1:80", 3, 200), entry("a", "10.0.0.1:80", 4, 100)}, []string{"a", "b", "c"}},
		{"the new one states an earlier start", []Change{entry("c", "10.0.0.1:80", 3, 50)}, []string{"a", "b", "c"}},
		{"the new one states no start", []Change{entry("c", "10.0.0.1:80", 3, 0)}, []string{"a", "b", "c"}},
		{"an entry that names no server", []Change{{ID: "x", Revision: 3}}, []string{"a", "b"}},
	} {
		d := New()
		d.Replace(now, before, 2)
		former := d.Usable("llm")[0]
		d.Apply(now, test.changes, 4)
		var got []string
		for _, s := range d.Usable("llm") {
			got = append(got, s.ID)
		}
		if !slices.Equal(got, test.want) || d.IsUsable(former) != slices.Contains(test.want, "a") {
			t.Errorf("%s: usable %v, want %v; the former server is usable: %v", test.name, got, test.want, d.IsUsable(former))
		}
	}
}
