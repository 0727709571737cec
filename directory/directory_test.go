package directory

import (
	"testing"
	"time"
)

var epoch = time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)

func ready(id string, revision uint64) Change {
	return Change{ID: id, Revision: revision, Server: &BackendServer{ID: id, Service: "app", Address: "10.0.0.1:" + id, StartedAtMs: 1}}
}

func draining(id string, revision uint64) Change {
	c := ready(id, revision)
	c.Server.Draining = true
	return c
}

func removed(id string, revision uint64) Change {
	return Change{ID: id, Revision: revision, Removed: true}
}

func usable(d *Directory) string {
	ids := ""
	for _, b := range d.Usable("app") {
		ids += b.ID
	}
	return ids
}

func TestVersionsOfEntries(t *testing.T) {
	restarted := ready("a", 9)
	restarted.Server.StartedAtMs = 2
	tests := []struct {
		name    string
		changes []Change
		want    string
	}{
		{"two entries", []Change{ready("a", 1), ready("b", 2)}, "ab"},
		{"one leaves", []Change{ready("a", 1), ready("b", 2), draining("a", 3)}, "b"},
		{"an older version does not undo it", []Change{draining("a", 3), ready("a", 2)}, ""},
		{"a start that was draining stays so", []Change{draining("a", 3), ready("a", 4)}, ""},
		{"a new start under its id is new", []Change{draining("a", 3), restarted}, "a"},
		{"removed", []Change{ready("a", 1), removed("a", 2)}, ""},
		{"bytes of another writer", []Change{ready("a", 1), {ID: "a", Revision: 2}}, ""},
		{"and back", []Change{ready("a", 1), {ID: "a", Revision: 2}, ready("a", 3)}, "a"},
	}
	for _, test := range tests {
		d := New()
		for i := range test.changes {
			d.Apply(epoch, test.changes[i:i+1], test.changes[i].Revision)
		}
		if got := usable(d); got != test.want {
			t.Errorf("%s: %q, want %q", test.name, got, test.want)
		}
	}
}

func TestListing(t *testing.T) {
	d := New()
	d.Apply(epoch, []Change{ready("a", 1), ready("b", 2), ready("c", 9)}, 9)
	if _, fresh := d.Replace(epoch, []Change{ready("a", 1)}, 5); fresh {
		t.Error("a listing older than what is known was taken")
	}
	events, fresh := d.Replace(epoch, []Change{ready("a", 1), ready("c", 12)}, 10)
	if !fresh || usable(d) != "ac" {
		t.Errorf("%q after the listing", usable(d))
	}
	if d.Revision() != 10 {
		t.Errorf("the watch goes on from %d; pages are no snapshot", d.Revision())
	}
	gone := 0
	for _, e := range events {
		if e.State == StateRemoved {
			gone++
		}
	}
	if gone != 1 {
		t.Errorf("%d gone: %+v", gone, events)
	}
}

// TestEntriesThatLapsedWhileTheStoreWasAway covers hazard 11.
func TestEntriesThatLapsedWhileTheStoreWasAway(t *testing.T) {
	d := New()
	d.Apply(epoch, []Change{ready("a", 1), ready("b", 2), draining("c", 3)}, 3)
	d.StoreRecovered(epoch.Add(10 * time.Second))
	at := func(ms int) time.Time { return epoch.Add(10*time.Second + time.Duration(ms)*time.Millisecond) }
	d.Apply(at(10), []Change{removed("a", 4), removed("b", 5), removed("c", 6)}, 6)
	if got := usable(d); got != "ab" {
		t.Fatalf("%q just after the store's return", got)
	}
	back := ready("a", 7)
	d.Apply(at(1000), []Change{back}, 7)
	d.Sweep(at(1900))
	if got := usable(d); got != "ab" {
		t.Errorf("%q before the grace is over", got)
	}
	d.Sweep(at(2000))
	if got := usable(d); got != "a" {
		t.Errorf("%q after the grace", got)
	}
	d.Apply(at(5000), []Change{removed("a", 8)}, 8)
	if got := usable(d); got != "" {
		t.Errorf("%q: a removal while the store is stable is final", got)
	}
}

func TestPresentNamesOneStart(t *testing.T) {
	d := New()
	d.Apply(epoch, []Change{ready("a", 1)}, 1)
	old := d.Usable("app")[0]
	if !d.IsUsable(old) {
		t.Error("not present")
	}
	next := ready("a", 2)
	next.Server.StartedAtMs = 5
	d.Apply(epoch, []Change{next}, 2)
	if d.IsUsable(old) {
		t.Error("an earlier start counts as present")
	}
}
