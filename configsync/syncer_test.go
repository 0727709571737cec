package configsync

import (
	"bytes"
	"testing"
	"time"

	"github.com/sesameswitch/sesameswitch/configsync/delta"
	"github.com/sesameswitch/sesameswitch/manifest"
	"github.com/sesameswitch/sesameswitch/provider"
)

func TestStartingProcessConfirmsPeerVersionDespiteStaleService(t *testing.T) {
	c := newCluster(t, 6)
	c.sources[0].publish(9)
	c.sources[0].err = nil
	c.stepAll()
	c.stepAll()
	if !c.allAt(9) {
		t.Fatalf("got versions %v, want 9 at all nodes", c.versions())
	}
	for i := range c.sources {
		c.sources[i].publish(4)
		c.sources[i].err = nil
	}
	n := c.restart(3)
	got := n.syncer.Confirm(t.Context())
	if got.Version != 9 || got.Peers == 0 || !got.Service {
		t.Fatalf("got confirmation %+v, want version 9 from peers and a valid service document", got)
	}
	if len(n.versions) != 1 {
		t.Fatalf("starting process activated versions %v, want only one", n.versions)
	}
	for range 5 {
		c.stepAll()
	}
	if !c.allAt(9) {
		t.Fatalf("got versions %v with a stale service, want 9 at all nodes", c.versions())
	}
}

func TestPausedProcessIsNotRecentlyConfirmedUntilConfirm(t *testing.T) {
	c := newCluster(t, 6)
	paused := c.nodes[2]
	c.sources[2].publish(1)
	c.sources[2].err = nil
	c.stepAll()
	paused.syncer.Confirm(t.Context())
	if !paused.syncer.RecentlyConfirmed() {
		t.Fatal("not recently confirmed after a confirmation")
	}
	c.clock.Advance(time.Hour)
	c.nodes[0].store.Apply(document(2, "d"), OriginService)
	if paused.syncer.RecentlyConfirmed() {
		t.Fatal("recently confirmed after a pause of an hour")
	}
	// A message that was sent before the pause must not confirm the version.
	paused.syncer.ObserveVersion(1, c.vms[1].Address)
	if paused.syncer.RecentlyConfirmed() {
		t.Fatal("message from before the pause confirmed the version")
	}
	if got := paused.syncer.Confirm(t.Context()); got.Version != 2 || paused.store.Version() != 2 {
		t.Fatalf("got confirmation %+v, want version 2", got)
	}
	if !paused.syncer.RecentlyConfirmed() {
		t.Fatal("not recently confirmed after the second confirmation")
	}
}

func TestReconcileConfirmsOnlyAfterPullingNewerVersion(t *testing.T) {
	c := newCluster(t, 2)
	c.nodes[0].store.Apply(document(2, "d"), OriginService)
	c.clock.Advance(time.Hour)
	c.nodes[1].syncer.reconcile(t.Context())
	if got := c.nodes[1].store.Version(); got != 2 || !c.nodes[1].syncer.RecentlyConfirmed() {
		t.Fatalf("got version %d, recently confirmed %v; want version 2, true", got, c.nodes[1].syncer.RecentlyConfirmed())
	}
}

func TestConfirmWithoutPeersKeepsActiveVersion(t *testing.T) {
	c := newCluster(t, 3)
	c.nodes[0].store.Apply(document(3, "d"), OriginService)
	c.network.Stop(c.vms[1].Address)
	c.network.Stop(c.vms[2].Address)
	got := c.nodes[0].syncer.Confirm(t.Context())
	if got.Version != 3 || got.Peers != 0 || got.Service || !c.nodes[0].syncer.RecentlyConfirmed() {
		t.Fatalf("got confirmation %+v, want version 3 without peers and service", got)
	}
}

func TestConfirmReturnsWhenServiceHangs(t *testing.T) {
	c := newCluster(t, 3)
	c.sources[0].hangs = true
	c.nodes[0].syncer.cfg.Timing.ConfirmTimeout = time.Millisecond
	if got := c.nodes[0].syncer.Confirm(t.Context()); got.Service {
		t.Fatalf("got confirmation %+v, want none by the service", got)
	}
}

func TestConfirmDoesNotCallServiceWhenPeersRespond(t *testing.T) {
	c := newCluster(t, 3)
	for _, n := range c.nodes {
		n.store.Apply(document(1, "d"), OriginService)
	}
	c.sources[0].hangs = true
	got := c.nodes[0].syncer.Confirm(t.Context())
	if got.Peers != 2 || c.sources[0].calls != 0 {
		t.Fatalf("got confirmation %+v with %d calls to the service, want 2 peers and no call", got, c.sources[0].calls)
	}
}

func TestServiceFaultKeepsActiveVersionAndBacksOff(t *testing.T) {
	valid := document(2, "d")
	faults := []struct {
		name string
		doc  provider.Document
		err  error
	}{
		{"unavailable", provider.Document{}, errUnavailable},
		{"garbage", provider.Document{Revision: 8, Body: []byte("\x00{{")}, nil},
		{"truncated", provider.Document{Revision: 8, Body: valid[:len(valid)-10]}, nil},
		{"oversize", provider.Document{Revision: 8, Body: bytes.Repeat([]byte("#"), manifest.MaxDocumentBytes+1)}, nil},
		{"stale", provider.Document{Revision: 1, Body: document(1, "d")}, nil},
		{"empty", provider.Document{Revision: 8}, nil},
	}
	for _, fault := range faults {
		t.Run(fault.name, func(t *testing.T) {
			c := newCluster(t, 1)
			n, source := c.nodes[0], c.sources[0]
			source.publish(2)
			source.err = nil
			n.syncer.watchOnce(t.Context())
			source.doc, source.err = fault.doc, fault.err
			var wait time.Duration
			for range 10 {
				wait = n.syncer.watchOnce(t.Context())
			}
			if n.store.Version() != 2 {
				t.Fatalf("version %d is active, want 2", n.store.Version())
			}
			if wait != DefaultTiming().MaxBackoff {
				t.Fatalf("got wait %v after ten failed calls, want MaxBackoff", wait)
			}
			source.publish(3)
			source.err = nil
			if wait := n.syncer.watchOnce(t.Context()); n.store.Version() != 3 || wait != DefaultTiming().MinBackoff {
				t.Fatalf("after the fault: got version %d, wait %v; want version 3, MinBackoff", n.store.Version(), wait)
			}
		})
	}
}

// TestAlternatingStaleReplicaDoesNotLowerVersion reads alternately from an
// up-to-date and a stale replica of the configuration service.
func TestAlternatingStaleReplicaDoesNotLowerVersion(t *testing.T) {
	c := newCluster(t, 1)
	n, source := c.nodes[0], c.sources[0]
	source.err = nil
	for i := range uint64(20) {
		source.publish(20 + i)
		n.syncer.watchOnce(t.Context())
		source.publish(10)
		n.syncer.watchOnce(t.Context())
		if n.store.Version() != 20+i {
			t.Fatalf("version %d is active, want %d", n.store.Version(), 20+i)
		}
	}
}

func TestConflictingDocumentsOfOneVersionAreCountedAndKept(t *testing.T) {
	c := newCluster(t, 4)
	c.nodes[0].store.Apply(document(5, "first"), OriginService)
	c.nodes[1].store.Apply(document(5, "second"), OriginService)
	c.nodes[0].syncer.exchangeVersions(t.Context(), c.vms[1].Address, new(VersionAdvert))
	if got := c.nodes[1].syncer.Counts().Conflicts.Load(); got != 1 {
		t.Fatalf("got %d conflicts, want 1", got)
	}
	for range 3 {
		c.stepAll()
	}
	if got := string(c.nodes[0].store.Document()); got != string(document(5, "first")) {
		t.Fatalf("document of version 5 was replaced by %s", got)
	}
	c.sources[2].publish(6)
	c.sources[2].err = nil
	for range 3 {
		c.stepAll()
	}
	if !c.allAt(6) {
		t.Fatalf("got versions %v, want 6 at all nodes", c.versions())
	}
}

// TestRefusedDocumentIsFetchedOnce has a peer that serves a document which this
// process refuses, as during an upgrade: a newer program accepts a manifest with a
// field that this program does not know.
func TestRefusedDocumentIsFetchedOnce(t *testing.T) {
	c := newCluster(t, 2)
	c.nodes[0].store.Apply(document(1, "d"), OriginService)
	c.nodes[1].store.Apply(document(1, "d"), OriginService)
	c.nodes[0].syncer.relayed.Store(&servedDocument{version: 9, document: delta.NewDocument([]byte("version: 9\nnew_field: 1\n"))})
	for range 10 {
		c.nodes[1].syncer.reconcile(t.Context())
	}
	if got := c.nodes[1].syncer.Counts().Pulls.Load(); got != 1 {
		t.Fatalf("refused document was fetched %d times, want once", got)
	}
	if c.nodes[1].store.Version() != 1 || c.nodes[1].syncer.newestVersion() != 1 {
		t.Fatalf("version %d is active, want 1", c.nodes[1].store.Version())
	}
	c.nodes[0].syncer.relayed.Store(nil)
	c.nodes[0].store.Apply(document(10, "d"), OriginService)
	c.nodes[1].syncer.reconcile(t.Context())
	if c.nodes[1].store.Version() != 10 {
		t.Fatalf("version %d is active after the upgrade, want 10", c.nodes[1].store.Version())
	}
}

func TestObserveVersionDropsHintsWhenQueueIsFull(t *testing.T) {
	c := newCluster(t, 1)
	for i := range uint64(2 * hintQueueSize) {
		c.nodes[0].syncer.ObserveVersion(i+1, "10.0.0.9:1")
	}
	if got := c.nodes[0].syncer.Counts().VersionHintsDropped.Load(); got != hintQueueSize {
		t.Fatalf("%d hints dropped, want as many as the queue holds", got)
	}
}
