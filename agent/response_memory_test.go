package agent

import (
	"bytes"
	"context"
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sesameswitch/sesameswitch/clock"
	"github.com/sesameswitch/sesameswitch/membudget"
)

// TestUnreadResponsesGiveWay checks that a response that finds no memory waits, that one which
// nobody reads gives way to it, and that the run of the latter fails if it goes on.
func TestUnreadResponsesGiveWay(t *testing.T) {
	manual := clock.NewManual(startTime)
	budget := membudget.New(1<<20, manual)
	discarded := make(chan struct{}, 1)
	content := make([]byte, 600<<10)
	unread := newResponse(false, manual, budget, func() { discarded <- struct{}{} })
	if err := unread.append(endedContext(), content[:1]); err != nil {
		t.Fatal(err)
	}
	manual.Advance(membudget.StallTime / 2)
	if err := unread.append(endedContext(), content); err != nil { // that it grows is no progress of its reader
		t.Fatal(err)
	}
	next := newResponse(false, manual, budget, func() { t.Error("the response that is read gave way") })
	if err := next.append(endedContext(), content); err == nil {
		t.Fatal("there was room for both responses")
	}
	appended := make(chan error)
	go func() { appended <- next.append(context.Background(), content) }()
	manual.Advance(membudget.StallTime / 2)
	if err := <-appended; err != nil {
		t.Fatal(err)
	}
	<-discarded
	if got := unread.read(endedContext(), 0, 1, 1); !got.discarded {
		t.Errorf("got %d bytes of a response that gave way", len(got.data))
	}
	if err := unread.append(context.Background(), content); !errors.Is(err, errUnreadResponse) {
		t.Errorf("append to a response that gave way: got %v", err)
	}
	next.finish(nil)
	if got := next.read(endedContext(), 0, 1, len(content)); !got.final || len(got.data) != len(content) {
		t.Errorf("got %d bytes of the other response, final %v", len(got.data), got.final)
	}
}

// TestDeliveredResponsesGiveWayAtOnce checks that a delivered response does not delay another one.
func TestDeliveredResponsesGiveWayAtOnce(t *testing.T) {
	manual := clock.NewManual(startTime)
	budget := membudget.New(1<<20, manual)
	content := make([]byte, 600<<10)
	for range 3 {
		resp := newResponse(false, manual, budget, func() {})
		if err := resp.append(endedContext(), content); err != nil {
			t.Fatal(err)
		}
		resp.finish(nil)
		if got := resp.read(endedContext(), 0, 1, len(content)); !got.final {
			t.Fatal("the response was not read to its end")
		}
		resp.delivered()
	}
}

// TestWaitingResponseWakesReader checks that a reader which waits for a large chunk gets the bytes
// that there are when the rest finds no memory, so that both do not wait for each other.
func TestWaitingResponseWakesReader(t *testing.T) {
	manual := clock.NewManual(startTime)
	budget := membudget.New(1<<20, manual)
	other := budget.NewClaim(func() {})
	if !other.Grow(900 << 10) {
		t.Fatal("no room")
	}
	resp := newResponse(false, manual, budget, func() {})
	if err := resp.append(endedContext(), make([]byte, 10<<10)); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = resp.append(ctx, make([]byte, 200<<10)) }() // ends with the test
	if got := resp.read(context.Background(), 0, 256<<10, 256<<10); len(got.data) != 10<<10 {
		t.Errorf("got %d bytes, want 10 KB", len(got.data))
	}
}

// TestResponseMemoryInvariants runs random sequences: what responses hold adds up and stays within
// the limit but for one, what is read is what was appended, and nothing remains in the end.
func TestResponseMemoryInvariants(t *testing.T) {
	content := make([]byte, 4<<20)
	for i := range content {
		content[i] = byte(i * 7 / 3)
	}
	rapid.Check(t, func(t *rapid.T) {
		manual := clock.NewManual(startTime)
		limit := rapid.Int64Range(64<<10, 4<<20).Draw(t, "limit")
		budget := membudget.New(limit, manual)
		responses := make([]*response, 4)
		appended, read := make([]int, len(responses)), make([]int, len(responses))
		for i := range responses {
			responses[i] = newResponse(i == 0, manual, budget, func() {})
		}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			i := rapid.IntRange(0, len(responses)-1).Draw(t, "response")
			n := rapid.IntRange(1, 256<<10).Draw(t, "bytes")
			r := responses[i]
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				if end := appended[i] + n; end <= len(content) && r.append(endedContext(), content[appended[i]:end]) == nil {
					appended[i] = end
				}
			case 2, 3:
				got := r.read(endedContext(), int64(read[i]), 1, n)
				if !got.discarded && !bytes.Equal(got.data, content[read[i]:min(read[i]+n, appended[i])]) {
					t.Fatalf("response %d: other bytes than appended at %d", i, read[i])
				}
				read[i] += len(got.data)
			case 4:
				r.delivered()
			case 5:
				manual.Advance(time.Duration(n) * 10 * time.Microsecond)
			}
			checkResponseMemory(t, budget, responses)
		}
		for _, r := range responses {
			r.discard()
		}
		if used := budget.Usage().Used; used != 0 {
			t.Fatalf("%d bytes are held after all responses were discarded", used)
		}
	})
}

// checkResponseMemory checks what responses hold of a budget.
func checkResponseMemory(t *rapid.T, budget *membudget.Budget, responses []*response) {
	var sum, largest int64
	for i, r := range responses {
		r.mu.Lock()
		allocated, size, evicted := r.allocated, int64(cap(r.data)), r.memory.Evicted()
		r.mu.Unlock()
		if evicted && i == 0 {
			t.Fatal("a retained response gave way")
		}
		if evicted {
			continue
		}
		if size > allocated {
			t.Fatalf("response %d: a buffer of %d bytes, %d are claimed", i, size, allocated)
		}
		sum, largest = sum+allocated, max(largest, allocated)
	}
	if usage := budget.Usage(); usage.Used != sum || sum-largest > usage.Limit {
		t.Fatalf("used %d, sum %d, without the largest %d, limit %d", usage.Used, sum, sum-largest, usage.Limit)
	}
}
