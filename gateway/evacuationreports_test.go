package gateway

import (
	"strings"
	"testing"
	"time"

	"github.com/sesameswitch/sesameswitch/clock"
	"github.com/sesameswitch/sesameswitch/directory"
	"github.com/sesameswitch/sesameswitch/routes"
	"github.com/sesameswitch/sesameswitch/storeera"
)

// TestEvacuationIsLearntFromPeers guards against a gateway that the store does not serve and
// that goes on to send requests to an evacuated data centre, or takes its servers for warm
// after the evacuation.
func TestEvacuationIsLearntFromPeers(t *testing.T) {
	server := &directory.BackendServer{ID: "a", Service: "app", DataCentre: "dc-a", Address: "10.0.0.1:80", StartedAtMs: 1}
	newView := func() *View {
		now := time.Minute
		v := NewView(nil, directory.New(), clock.Elapsed(func() time.Duration { return now }), func() time.Duration { return 0 }, discardLog(), func(string) {}, func(*routes.Table) {})
		v.directory.Apply(time.Unix(0, int64(now)), []directory.Change{{ID: "a", Revision: 3, Server: server}}, 3)
		return v
	}
	tell := func(from, to *View) {
		for _, r := range from.EvacuationReports() {
			parsed, valid := parseEvacuationReport(strings.TrimPrefix(evacuationEntry(r), evacuationMark))
			if !valid || parsed != r {
				t.Fatalf("got %+v from %q, want %+v", parsed, evacuationEntry(r), r)
			}
			to.ApplyEvacuationReport(parsed)
		}
	}
	served, cut, restarted := newView(), newView(), newView()
	served.directory.ApplyEvacuations(time.Unix(60, 0), []directory.Evacuation{{DataCentre: "dc-a", Revision: 10}})
	tell(served, cut)
	if cut.directory.IsUsable(server) {
		t.Error("a gateway that was told of the evacuation still uses the server")
	}
	served.directory.ApplyEvacuations(time.Unix(59, 0), []directory.Evacuation{{DataCentre: "dc-a", Revision: 12, Ended: true}})
	for name, v := range map[string]*View{"cut off": cut, "restarted": restarted} {
		tell(served, v)
		if got := v.ColdFor(server, 3*time.Second); !v.directory.IsUsable(server) || got != 2*time.Second {
			t.Errorf("%s: usable %v, cold for %v, want a usable server that is cold for 2 s", name, v.directory.IsUsable(server), got)
		}
	}
	tell(cut, served)
	cut.ApplyEvacuationReport(EvacuationReport{Evacuation: directory.Evacuation{DataCentre: "dc-a", Revision: 99}, Era: storeera.Era{Number: 2, Stated: true}})
	if !cut.directory.IsUsable(server) || !served.directory.IsUsable(server) {
		t.Error("a report of another era, or of an older revision, was applied")
	}
	for _, text := range []string{"", "-/1/-", "-/1/-/", "x/1/-/dc", "-/-1/-/dc", "-/1/-5/dc", "-/1/99999999999/dc"} {
		if r, valid := parseEvacuationReport(text); valid {
			t.Errorf("%q: got %+v, want an error", text, r)
		}
	}
}
