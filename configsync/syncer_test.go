package configsync

import (
	"bytes"
	"testing"
	"time"

	"github.com/sesameswitch/sesameswitch/configsync/delta"
	"github.com/sesameswitch/sesameswitch/manifest"
	"github.com/sesameswitch/sesameswitch/provider"
)

func TestStartBesideStaleService(t *testing.T) {
	c := newCluster(t, 6)
	c.sources[0].publish(9)
	c.sources[0].err = nil
	c.stepAll()
	c.stepAll()
	if !c.allAt(9) {
		t.Fatalf("versions %v", c.versions())
	}
	for i := range c.sources {
		c.sources[i].publish(4)
		c.sources[i].err = nil
	}
	n := c.restart(3)
	got := n.syncer.Confirm(t.Context())
	if got.Version != 9 || got.Peers == 0 || !got.Service {
		t.Fatalf("confirmation %+v", got)
	}
	if len(n.versions) != 1 {
		t.Fatalf("the process started with versions %v, one after another", n.versions)
	}
	for range 5 {
		c.stepAll()
	}
	if !c.allAt(9) {
		t.Fatalf("the stale service moved versions to %v", c.versions())
	}
}

func TestFrozenProcessConfirmsBeforeItServes(t *testing.T) {
	c := newCluster(t, 6)
	frozen := c.nodes[2]
	c.sources[2].publish(1)
	c.sources[2].err = nil
	c.stepAll()
	frozen.syncer.Confirm(t.Context())
	if !frozen.syncer.RecentlyConfirmed() {
		t.Fatal("not fresh after a confirmation")
	}
	c.clock.Advance(time.Hour)
	c.nodes[0].store.Apply(document(2, "d"), SourceService)
	if frozen.syncer.RecentlyConfirmed() {
		t.Fatal("fresh after an hour of pause")
	}
	// A message sent before the pause must not count as a confirmation.
	frozen.syncer.ObserveVersion(1, c.vms[1].Address)
	if frozen.syncer.RecentlyConfirmed() {
		t.Fatal("a message from the past counted as a confirmation")
	}
	if got := frozen.syncer.Confirm(t.Context()); got.Version != 2 || frozen.store.Version() != 2 {
		t.Fatalf("confirmation %+v", got)
	}
	if !frozen.syncer.RecentlyConfirmed() {
		t.Fatal("not fresh after the second confirmation")
	}
}

func TestRepairDoesNotConfirmAnOldVersion(t *testing.T) {
	c := newCluster(t, 2)
	c.nodes[0].store.Apply(document(2, "d"), SourceService)
	c.clock.Advance(time.Hour)
	c.nodes[1].syncer.reconcile(t.Context())
	if got := c.nodes[1].store.Version(); got != 2 || !c.nodes[1].syncer.RecentlyConfirmed() {
		t.Fatalf("version %d, fresh %v", got, c.nodes[1].syncer.RecentlyConfirmed())
	}
}

func TestConfirmAlone(t *testing.T) {
	c := newCluster(t, 3)
	c.nodes[0].store.Apply(document(3, "d"), SourceService)
	c.network.Stop(c.vms[1].Address)
	c.network.Stop(c.vms[2].Address)
	got := c.nodes[0].syncer.Confirm(t.Context())
	if got.Version != 3 || got.Peers != 0 || got.Service || !c.nodes[0].syncer.RecentlyConfirmed() {
		t.Fatalf("confirmation %+v", got)
	}
}

func TestConfirmIsBoundedWhenTheServiceHangs(t *testing.T) {
	c := newCluster(t, 3)
	c.sources[0].hangs = true
	c.nodes[0].syncer.cfg.Timing.ConfirmTimeout = time.Millisecond
	if got := c.nodes[0].syncer.Confirm(t.Context()); got.Service {
		t.Fatalf("confirmation %+v", got)
	}
}

func TestWokenProcessDoesNotWaitForTheService(t *testing.T) {
	c := newCluster(t, 3)
	for _, n := range c.nodes {
		n.store.Apply(document(1, "d"), SourceService)
	}
	c.sources[0].hangs = true
	got := c.nodes[0].syncer.Confirm(t.Context())
	if got.Peers != 2 || c.sources[0].calls != 0 {
		t.Fatalf("confirmation %+v with %d calls to the service", got, c.sources[0].calls)
	}
}

func TestServiceFaults(t *testing.T) {
	good := document(2, "d")
	faults := []struct {
		name string
		doc  provider.Document
		err  error
	}{
		{"down", provider.Document{}, errUnavailable},
		{"garbage", provider.Document{Revision: 8, Body: []byte("\x00{{")}, nil},
		{"half", provider.Document{Revision: 8, Body: good[:len(good)-10]}, nil},
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
			var pause time.Duration
			for range 10 {
				pause = n.syncer.watchOnce(t.Context())
			}
			if n.store.Version() != 2 {
				t.Fatalf("version %d in force", n.store.Version())
			}
			if pause != DefaultTiming().MaxBackoff {
				t.Fatalf("pause %v after ten fruitless calls", pause)
			}
			source.publish(3)
			source.err = nil
			if pause := n.syncer.watchOnce(t.Context()); n.store.Version() != 3 || pause != DefaultTiming().MinBackoff {
				t.Fatalf("after the fault: version %d, pause %v", n.store.Version(), pause)
			}
		})
	}
}

// TestFlappingReplicas reads in turn from a fresh and a stale replica.
func TestFlappingReplicas(t *testing.T) {
	c := newCluster(t, 1)
	n, source := c.nodes[0], c.sources[0]
	source.err = nil
	for i := range uint64(20) {
		source.publish(20 + i)
		n.syncer.watchOnce(t.Context())
		source.publish(10)
		n.syncer.watchOnce(t.Context())
		if n.store.Version() != 20+i {
			t.Fatalf("version %d in force, want %d", n.store.Version(), 20+i)
		}
	}
}

func TestTwoOperatorsPublishOneVersion(t *testing.T) {
	c := newCluster(t, 4)
	c.nodes[0].store.Apply(document(5, "first"), SourceService)
	c.nodes[1].store.Apply(document(5, "second"), SourceService)
	c.nodes[0].syncer.exchangeVersions(t.Context(), c.vms[1].Address, new(VersionAdvert))
	if got := c.nodes[1].syncer.Counts().Conflicts.Load(); got != 1 {
		t.Fatalf("%d conflicts counted, want 1", got)
	}
	for range 3 {
		c.stepAll()
	}
	if got := string(c.nodes[0].store.Document()); got != string(document(5, "first")) {
		t.Fatalf("the document of version 5 was replaced by %s", got)
	}
	c.sources[2].publish(6)
	c.sources[2].err = nil
	for range 3 {
		c.stepAll()
	}
	if !c.allAt(6) {
		t.Fatalf("versions %v after the higher one", c.versions())
	}
}

// TestRefusedDocumentIsFetchedOnce has a peer that hands out a document which
// this process refuses, as during an upgrade of the program.
func TestRefusedDocumentIsFetchedOnce(t *testing.T) {
	c := newCluster(t, 2)
	c.nodes[0].store.Apply(document(1, "d"), SourceService)
	c.nodes[1].store.Apply(document(1, "d"), SourceService)
	c.nodes[0].syncer.relayed.Store(&servedDocument{version: 9, document: delta.NewDocument([]byte("version: 9\nnew_field: 1\n"))})
	for range 10 {
		c.nodes[1].syncer.reconcile(t.Context())
	}
	if got := c.nodes[1].syncer.Counts().Pulls.Load(); got != 1 {
		t.Fatalf("fetched %d times", got)
	}
	if c.nodes[1].store.Version() != 1 || c.nodes[1].syncer.newestVersion() != 1 {
		t.Fatalf("version %d in force", c.nodes[1].store.Version())
	}
	c.nodes[0].syncer.relayed.Store(nil)
	c.nodes[0].store.Apply(document(10, "d"), SourceService)
	c.nodes[1].syncer.reconcile(t.Context())
	if c.nodes[1].store.Version() != 10 {
		t.Fatalf("version %d in force after the upgrade", c.nodes[1].store.Version())
	}
}

func TestHintsNeverBlock(t *testing.T) {
	c := newCluster(t, 1)
	for i := range uint64(2 * hintQueueSize) {
		c.nodes[0].syncer.ObserveVersion(i+1, "10.0.0.9:1")
	}
	if got := c.nodes[0].syncer.Counts().VersionHintsDropped.Load(); got != hintQueueSize {
		t.Fatalf("%d hints dropped", got)
	}
}
