package eventstream

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func event(id int) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", id, strings.Repeat("x", id%7)) }

// TestCutsDoNotMatter shows that whole events come out the same however the bytes
// are cut, and never a part of one.
func TestCutsDoNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 12).Draw(t, "events")
		var all strings.Builder
		for id := 1; id <= n; id++ {
			all.WriteString(event(id))
		}
		whole := all.String()
		rest := rapid.IntRange(0, len(event(n+1))-1).Draw(t, "rest")
		stream := whole + event(n + 1)[:rest]
		s, got := New(0), ""
		for len(stream) > 0 {
			cut := rapid.IntRange(1, len(stream)).Draw(t, "cut")
			part, _, ok := s.Feed([]byte(stream[:cut]))
			if !ok {
				t.Fatal("a sound stream was refused")
			}
			got += string(part)
			stream = stream[cut:]
		}
		if got != whole {
			t.Fatalf("%q, want %q", got, whole)
		}
		if s.PendingBytes() != rest || s.LastID() != int64(n) || s.Events() != n {
			t.Fatalf("pending %d, last %d, events %d", s.PendingBytes(), s.LastID(), s.Events())
		}
	})
}

func TestOrderOfIDs(t *testing.T) {
	for _, test := range []struct {
		name  string
		after int64
		ids   []int
		ok    bool
	}{
		{"from the start", 0, []int{1, 2, 3}, true},
		{"goes on", 4, []int{5, 6}, true},
		{"again", 4, []int{4}, false},
		{"a gap", 4, []int{6}, false},
		{"back", 0, []int{2, 1}, false},
	} {
		s := New(test.after)
		text := ""
		for _, id := range test.ids {
			text += event(id)
		}
		if _, _, ok := s.Feed([]byte(text)); ok != test.ok {
			t.Errorf("%s: %v", test.name, ok)
		}
	}
}

func TestDropForgetsAPart(t *testing.T) {
	s := New(0)
	s.Feed([]byte(event(1) + "id: 2\nda"))
	s.DiscardPartial()
	if part, events, ok := s.Feed([]byte(event(2))); !ok || events != 1 || string(part) != event(2) {
		t.Errorf("%q %d %v", part, events, ok)
	}
}

func FuzzSplitter(f *testing.F) {
	f.Add([]byte(event(1)+event(2)), 3)
	f.Add([]byte("data: x\n\n\n\nid: \n\n"), 1)
	f.Fuzz(func(t *testing.T, stream []byte, cut int) {
		s := New(0)
		out := 0
		for len(stream) > 0 {
			n := min(len(stream), max(1, cut%64))
			part, _, ok := s.Feed(stream[:n])
			out += len(part)
			stream = stream[n:]
			if !ok {
				return
			}
			if len(part) > 0 && !strings.HasSuffix(string(part), "\n\n") {
				t.Fatalf("%q is no whole event", part)
			}
		}
	})
}
