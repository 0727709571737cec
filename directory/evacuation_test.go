package directory

import (
	"math"
	"slices"
	"testing"
	"time"
)

// entryIn returns a ready entry of a server in the data centre.
func entryIn(dataCentre, id string, revision uint64) Change {
	c := readyEntry(id, revision)
	c.Server.DataCentre = dataCentre
	return c
}

// TestEvacuation guards against servers of an evacuated data centre that become usable by
// another way than the removal of the key: an old change, a listing that began earlier, or a
// replaced server.
func TestEvacuation(t *testing.T) {
	evacuate := func(revision uint64) func(*Directory) {
		return func(d *Directory) { d.ApplyEvacuations(epoch, []Evacuation{{DataCentre: "dc-a", Revision: revision}}) }
	}
	end := func(revision uint64) func(*Directory) {
		return func(d *Directory) {
			d.ApplyEvacuations(epoch, []Evacuation{{DataCentre: "dc-a", Revision: revision, Ended: true}})
		}
	}
	list := func(revision uint64, restored bool, listed ...Evacuation) func(*Directory) {
		return func(d *Directory) { d.ReplaceEvacuations(epoch, listed, revision, restored) }
	}
	for _, test := range []struct {
		name   string
		steps  []func(*Directory)
		usable []string
	}{
		{"evacuated", []func(*Directory){evacuate(10)}, []string{"b"}},
		{"written again", []func(*Directory){evacuate(10), evacuate(11)}, []string{"b"}},
		{"ended", []func(*Directory){evacuate(10), end(11)}, []string{"a", "b"}},
		{"evacuated again", []func(*Directory){evacuate(10), end(11), evacuate(12)}, []string{"b"}},
		{"end of an earlier evacuation", []func(*Directory){evacuate(10), end(9)}, []string{"b"}},
		{"replayed change that has ended", []func(*Directory){evacuate(10), end(11), evacuate(10)}, []string{"a", "b"}},
		{"listed", []func(*Directory){list(10, false, Evacuation{DataCentre: "dc-a", Revision: 9})}, []string{"b"}},
		{"listing without the key", []func(*Directory){evacuate(10), list(12, false)}, []string{"a", "b"}},
		{"listing that began before the key", []func(*Directory){evacuate(10), list(9, false)}, []string{"b"}},
		{"restored store without the key", []func(*Directory){evacuate(10), list(5, true)}, []string{"a", "b"}},
		{"restored store with the key", []func(*Directory){evacuate(10), list(5, true, Evacuation{DataCentre: "dc-a", Revision: 4})}, []string{"b"}},
		{"evacuated again after a restore", []func(*Directory){evacuate(10), list(5, true), evacuate(6)}, []string{"b"}},
		{"server joins later", []func(*Directory){evacuate(10), func(d *Directory) { d.Apply(epoch, []Change{entryIn("dc-a", "c", 11)}, 11) }}, []string{"b"}},
		{"unknown data centre", []func(*Directory){func(d *Directory) { d.ApplyEvacuations(epoch, []Evacuation{{DataCentre: "dc-x", Revision: 10}}) }}, []string{"a", "b"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := New()
			servers := []Change{entryIn("dc-a", "a", 1), entryIn("dc-b", "b", 2)}
			d.Apply(epoch, servers, 2)
			for _, step := range test.steps {
				step(d)
			}
			var usable []string
			for _, s := range d.Usable("app") {
				usable = append(usable, s.ID)
			}
			if !slices.Equal(usable, test.usable) {
				t.Errorf("usable: got %v, want %v", usable, test.usable)
			}
			if got := d.IsUsable(servers[0].Server); got != slices.Contains(test.usable, "a") {
				t.Errorf("IsUsable: got %v, but Usable has %v", got, usable)
			}
			if got := d.Evacuated("app"); got == slices.Contains(test.usable, "a") {
				t.Errorf("Evacuated: got %v, but usable are %v", got, usable)
			}
		})
	}
}

// TestColdFor guards against a server that counts as warm right after an evacuation because
// its entry is older, or as cold for longer than its newest entry says.
func TestColdFor(t *testing.T) {
	const coldTime = 3 * time.Second
	cold := entryIn("dc-a", "a", 3)
	cold.Server.ColdFor = 2 * time.Second
	d := New()
	check := func(what string, after, want time.Duration) {
		t.Helper()
		if got := d.ColdFor(epoch.Add(after), cold.Server, coldTime); got != want {
			t.Errorf("%s: got %v, want %v", what, got, want)
		}
	}
	d.Apply(epoch, []Change{cold}, 3)
	check("stated", 500*time.Millisecond, 1500*time.Millisecond)
	check("after the stated time", 4*time.Second, 0)
	d.Apply(epoch, []Change{entryIn("dc-a", "a", 4)}, 4)
	check("stated no longer", 500*time.Millisecond, 0)
	d.ApplyEvacuations(epoch, []Evacuation{{DataCentre: "dc-a", Revision: 5}})
	d.ApplyEvacuations(epoch.Add(8*time.Second), []Evacuation{{DataCentre: "dc-a", Revision: 9, Ended: true}})
	check("after an evacuation", 9*time.Second, 2*time.Second)
	d.Apply(epoch.Add(10*time.Second), []Change{entryIn("dc-a", "a", 10)}, 10)
	check("entry written after the evacuation", 10*time.Second, 0)
	before := d.ColdChanges()
	cold.Revision = 11
	d.Apply(epoch.Add(11*time.Second), []Change{cold}, 11)
	check("cold again in the same incarnation", 11*time.Second, 2*time.Second)
	if d.ColdChanges() == before {
		t.Error("no change is shown of a server that is cold again")
	}
	other := *cold.Server
	other.StartedAtMs = 99
	if got := d.ColdFor(epoch, &other, coldTime); got != 0 {
		t.Errorf("another incarnation: got %v, want 0", got)
	}
}

// TestManyEvacuations checks that keys which name no data centre do not use up memory.
func TestManyEvacuations(t *testing.T) {
	d := New()
	for i := range 2 * maxEvacuations {
		d.ApplyEvacuations(epoch, []Evacuation{{DataCentre: string(rune(i + math.MaxInt16)), Revision: 1}})
	}
	if n := len(d.evacuations); n > maxEvacuations {
		t.Errorf("%d data centres are remembered, at most %d expected", n, maxEvacuations)
	}
}
