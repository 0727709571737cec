package timeline

import (
	"bufio"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sesameswitch/sesameswitch/clock"
)

var start = time.Date(2026, 12, 1, 9, 0, 0, 0, time.UTC)

func newRecorder(vm string, capacity int) (*Recorder, *clock.Manual) {
	c := clock.NewManual(start)
	return New(Process{VM: vm, Role: "entry", DataCentre: "lis-1", Incarnation: "i-" + vm}, capacity, c), c
}

func TestSinceReturnsNewestEventsAfterOverwrite(t *testing.T) {
	r, _ := newRecorder("a", 3)
	if got := r.Since(0, 0); got != nil {
		t.Errorf("Since on an empty recorder = %v, want nil", got)
	}
	for range 5 {
		r.Record(RunQueued, "r", "")
	}
	cases := []struct {
		since uint64
		limit int
		want  []uint64
	}{
		{0, 0, []uint64{3, 4, 5}},
		{3, 0, []uint64{4, 5}},
		{0, 2, []uint64{3, 4}},
		{5, 0, nil},
		{9, 0, nil},
	}
	for _, c := range cases {
		events := r.Since(c.since, c.limit)
		if len(events) != len(c.want) {
			t.Fatalf("Since(%d) returned %d events, want sequence numbers %v", c.since, len(events), c.want)
		}
		for i, e := range events {
			if e.Seq != c.want[i] {
				t.Errorf("Since(%d): event %d has sequence number %d, want %d", c.since, i, e.Seq, c.want[i])
			}
		}
	}
	if r.Overwritten() != 2 {
		t.Errorf("Overwritten() = %d, want 2", r.Overwritten())
	}
}

func TestHandlerFiltersEventsAndRefusesInvalidRequests(t *testing.T) {
	r, _ := newRecorder("a", 10)
	r.Record(RequestReceived, "one", "")
	r.RecordWith(RequestRefused, "two", "no room", Attributes{Class: "payment", Reason: "queue_full"})
	cases := []struct {
		method, query string
		status, lines int
	}{
		{http.MethodGet, "", 200, 2},
		{http.MethodGet, "?request=two", 200, 1},
		{http.MethodGet, "?since=2", 200, 0},
		{http.MethodGet, "?since=x", 400, 1},
		{http.MethodGet, "?follow=x", 400, 1},
		{http.MethodPost, "", 405, 1},
	}
	for _, c := range cases {
		w := httptest.NewRecorder()
		r.Handler().ServeHTTP(w, httptest.NewRequest(c.method, "/timeline"+c.query, nil))
		lines := 0
		for s := bufio.NewScanner(w.Body); s.Scan(); {
			lines++
		}
		if w.Code != c.status || lines != c.lines {
			t.Errorf("%s %q: got status %d and %d lines, want status %d and %d lines", c.method, c.query, w.Code, lines, c.status, c.lines)
		}
	}
}

func TestHandlerSendsNewEventsWithFollow(t *testing.T) {
	r, _ := newRecorder("a", 10)
	r.Record(RunStarted, "one", "")
	server := httptest.NewServer(r.Handler())
	defer server.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, server.URL+"?follow=true", nil)
	response, err := server.Client().Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	for seq := uint64(1); seq <= 3; seq++ {
		if !lines.Scan() {
			t.Fatal(lines.Err())
		}
		var e Event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil || e.Seq != seq {
			t.Fatalf("got line %q, error %v; want sequence number %d", lines.Text(), err, seq)
		}
		r.Record(RunFinished, "one", "")
	}
}

func TestMergeOrdersByTimeThenProcessThenSeq(t *testing.T) {
	a, clockA := newRecorder("a", 100)
	b, clockB := newRecorder("b", 100)
	rng := rand.New(rand.NewPCG(1, 2))
	for range 50 {
		clockA.Advance(time.Duration(rng.IntN(3)) * time.Millisecond)
		clockB.Advance(time.Duration(rng.IntN(3)) * time.Millisecond)
		a.Record(RunQueued, "", "")
		b.Record(RunStarted, "", "")
	}
	b.Record(RunFinished, "", "")
	eventsB := b.Since(0, 0)
	eventsB[20].Time = start.Add(-time.Hour)

	merged := Merge(eventsB, a.Since(10, 0), a.Since(0, 20))
	if len(merged) != 101 {
		t.Fatalf("Merge returned %d events, want 101", len(merged))
	}
	last := map[string]uint64{}
	for i, e := range merged {
		if e.Seq != last[e.Process.VM]+1 {
			t.Fatalf("event %d of VM %s directly follows event %d of that VM, want the next sequence number", e.Seq, e.Process.VM, last[e.Process.VM])
		}
		last[e.Process.VM] = e.Seq
		steppedBack := e.Process.VM == "b" && e.Seq == 21
		if i > 0 && !steppedBack && e.Time.Before(merged[i-1].Time) {
			t.Fatalf("merged event %d is earlier than the event before", i)
		}
	}
}

func BenchmarkRecord(b *testing.B) {
	r := New(Process{VM: "a"}, 4096, clock.New())
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			r.Record(RunQueued, "request", "detail")
		}
	})
}
