package eventstream

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func eventText(id int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", id, strings.Repeat("x", id%7))
}

// TestSplitterIgnoresReadBoundaries checks that a Splitter returns the same
// complete events wherever the stream is cut into reads, and no partial event.
func TestSplitterIgnoresReadBoundaries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 12).Draw(t, "events")
		var all strings.Builder
		for id := 1; id <= n; id++ {
			all.WriteString(eventText(id))
		}
		complete := all.String()
		rest := rapid.IntRange(0, len(eventText(n+1))-1).Draw(t, "rest")
		stream := complete + eventText(n + 1)[:rest]
		s, got := New(0), ""
		for len(stream) > 0 {
			cut := rapid.IntRange(1, len(stream)).Draw(t, "cut")
			returned, _, ok := s.Feed([]byte(stream[:cut]))
			if !ok {
				t.Fatal("Feed reported a valid stream as invalid")
			}
			got += string(returned)
			stream = stream[cut:]
		}
		if got != complete {
			t.Fatalf("got events %q, want %q", got, complete)
		}
		if s.PendingBytes() != rest || s.LastID() != int64(n) || s.Events() != n {
			t.Fatalf("got %d pending bytes, last ID %d, %d events", s.PendingBytes(), s.LastID(), s.Events())
		}
	})
}

func TestEventIDsMustBeConsecutive(t *testing.T) {
	for _, test := range []struct {
		name  string
		after int64
		ids   []int
		ok    bool
	}{
		{"new stream", 0, []int{1, 2, 3}, true},
		{"resumed stream", 4, []int{5, 6}, true},
		{"repeated id", 4, []int{4}, false},
		{"skipped id", 4, []int{6}, false},
		{"decreasing id", 0, []int{2, 1}, false},
	} {
		s := New(test.after)
		text := ""
		for _, id := range test.ids {
			text += eventText(id)
		}
		if _, _, ok := s.Feed([]byte(text)); ok != test.ok {
			t.Errorf("%s: got ok %v", test.name, ok)
		}
	}
}

func TestDiscardPartialDropsIncompleteEvent(t *testing.T) {
	s := New(0)
	s.Feed([]byte(eventText(1) + "id: 2\nda"))
	s.DiscardPartial()
	if returned, events, ok := s.Feed([]byte(eventText(2))); !ok || events != 1 || string(returned) != eventText(2) {
		t.Errorf("got %q, %d events, ok %v", returned, events, ok)
	}
}

func FuzzSplitter(f *testing.F) {
	f.Add([]byte(eventText(1)+eventText(2)), 3)
	f.Add([]byte("data: x\n\n\n\nid: \n\n"), 1)
	f.Fuzz(func(t *testing.T, stream []byte, cut int) {
		s := New(0)
		out := 0
		for len(stream) > 0 {
			n := min(len(stream), max(1, cut%64))
			returned, _, ok := s.Feed(stream[:n])
			out += len(returned)
			stream = stream[n:]
			if !ok {
				return
			}
			if len(returned) > 0 && !strings.HasSuffix(string(returned), "\n\n") {
				t.Fatalf("%q does not end at an event boundary", returned)
			}
		}
	})
}
