package agent

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sesameswitch/sesameswitch/clock"
	"github.com/sesameswitch/sesameswitch/outcome"
)

var startTime = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

func newTestResponse(retain bool) *response {
	return newResponse(retain, clock.NewManual(startTime), nil, nil)
}

// endedContext returns a context that has ended, so that reads and appends do not
// wait.
func endedContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

func TestResponseIsCompleteFromAnyOffset(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := rapid.SliceOfN(rapid.Byte(), 1, 400).Draw(t, "body")
		retain := rapid.Bool().Draw(t, "keep")
		resp := newTestResponse(retain)
		resp.begin(200, map[string]string{"Content-Type": "text/plain"})
		var got []byte
		remaining := want
		for len(got) < len(want) {
			n := rapid.IntRange(0, len(remaining)).Draw(t, "append")
			if err := resp.append(context.Background(), remaining[:n]); err != nil {
				t.Fatal(err)
			}
			remaining = remaining[n:]
			if len(remaining) == 0 {
				resp.finish(nil)
			}
			maxBytes := rapid.IntRange(1, 64).Draw(t, "max")
			first := resp.read(endedContext(), int64(len(got)), 1, maxBytes)
			again := resp.read(endedContext(), int64(len(got)), 1, maxBytes)
			if !bytes.Equal(first.data, again.data) {
				t.Fatal("two reads of the same offset returned different bytes")
			}
			got = append(got, first.data...)
		}
		last := resp.read(endedContext(), int64(len(got)), 1, 1)
		if !bytes.Equal(got, want) || !last.final || last.length != int64(len(want)) {
			t.Fatalf("got %d bytes, want %d; final %v, want true", len(got), len(want), last.final)
		}
		if early := resp.read(endedContext(), 0, 1, 1); early.discarded == retain {
			t.Fatalf("read of acknowledged bytes: discarded %v, retained %v; want opposites", early.discarded, retain)
		}
	})
}

func TestAppendWaitsForSlowReader(t *testing.T) {
	resp := newTestResponse(false)
	if err := resp.append(endedContext(), make([]byte, maxUnreadBytes+1)); err != nil {
		t.Fatal(err)
	}
	if err := resp.append(endedContext(), []byte("x")); err == nil {
		t.Fatal("append succeeded with more than maxUnreadBytes unread")
	}
	resp.read(endedContext(), maxUnreadBytes, 1, 1)
	if err := resp.append(endedContext(), []byte("x")); err != nil {
		t.Fatalf("append after the reader caught up: %v", err)
	}
}

func TestResponseFinishesOnlyOnce(t *testing.T) {
	resp := newTestResponse(true)
	resp.finish(outcome.NewUnknown(outcome.ReasonBackendServerFailed, "first"))
	resp.finish(nil)
	if c := resp.read(endedContext(), 0, 1, 1); c.refusal == nil || c.refusal.Detail != "first" {
		t.Fatalf("refusal %v, want that of the first finish", c.refusal)
	}
}

func TestCopyEvents(t *testing.T) {
	const zero, one, two, done = "id: 0\ndata: a\n\n", "id: 1\ndata: b\n\n", "id: 2\ndata: c\n\n", "data: [DONE]\n\n"
	cases := map[string]struct {
		body        string
		resumeAfter int
		want        string
		err         error
	}{
		"complete":                  {body: zero + one + done, want: zero + one + done},
		"without numbers":           {body: "data: x\n\n" + done, want: "data: x\n\n" + done},
		"comment lines pass":        {body: ": hello\n\n" + done, want: ": hello\n\n" + done},
		"duplicate is dropped":      {body: zero + zero + one + one + done, want: zero + one + done},
		"overlap after resuming":    {body: zero + one + two + done, resumeAfter: 2, want: two + done},
		"gap":                       {body: zero + two + done, want: zero, err: errEventGap},
		"gap after resuming":        {body: two + done, resumeAfter: 1, err: errEventGap},
		"no end marker":             {body: zero + one, want: zero + one, err: errNoEndMarker},
		"truncated in an event":     {body: zero + "id: 1\nda", want: zero, err: errNoEndMarker},
		"truncated in the marker":   {body: zero + "data: [DO", want: zero, err: errNoEndMarker},
		"marker without blank line": {body: zero + "data: [DONE]\n", want: zero, err: errNoEndMarker},
		"empty":                     {err: errNoEndMarker},
		"event after the marker":    {body: zero + done + one, want: zero + done},
		"event too long":            {body: "data: " + strings.Repeat("x", maxEventBytes) + "\n\n", err: errEventTooLong},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			resp := newTestResponse(true)
			err := copyEvents(context.Background(), resp, strings.NewReader(c.body), c.resumeAfter)
			if !errors.Is(err, c.err) {
				t.Fatalf("got error %v, want %v", err, c.err)
			}
			if got := string(resp.read(endedContext(), 0, 1, 1<<20).data); got != c.want {
				t.Fatalf("got %q, want %q", got, c.want)
			}
		})
	}
}

// TestCopyEventsTruncatedAnywhere truncates a stream after every byte. The copy
// must contain complete events only, and every truncated stream must fail.
func TestCopyEventsTruncatedAnywhere(t *testing.T) {
	stream := "id: 0\ndata: a\n\nid: 1\ndata: b\n\ndata: {}\n\ndata: [DONE]\n\n"
	for n := range len(stream) {
		resp := newTestResponse(true)
		body := io.MultiReader(strings.NewReader(stream[:n]), failingReader{})
		if err := copyEvents(context.Background(), resp, body, 0); err == nil {
			t.Fatalf("truncated after %d bytes: got no error", n)
		}
		got := string(resp.read(endedContext(), 0, 1, 1<<20).data)
		if got != "" && !strings.HasSuffix(got, "\n\n") || !strings.HasPrefix(stream, got) {
			t.Fatalf("truncated after %d bytes: copied %q, want complete events", n, got)
		}
	}
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

func TestWithEngineFields(t *testing.T) {
	cases := map[string]struct {
		body        string
		resumeAfter int
		want        string
	}{
		"members":       {body: `{"a":1}`, want: `{"a":1,"priority":2}`},
		"no members":    {body: `{ }`, want: `{ "priority":2}`},
		"trailing":      {body: "{\"a\":{}}\n", want: `{"a":{},"priority":2}`},
		"resume":        {body: `{"a":1}`, resumeAfter: 7, want: `{"a":1,"priority":2,"sesame_resume_after":7}`},
		"not an object": {body: `x`, want: `x`},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := string(withEngineFields([]byte(c.body), 2, c.resumeAfter)); got != c.want {
				t.Fatalf("got %s, want %s", got, c.want)
			}
		})
	}
}
