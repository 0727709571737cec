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

var start = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

func freshAnswer(keep bool) *answer { return newAnswer(keep, clock.NewManual(start)) }

func ended() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

func TestAnswerIsWholeFromAnyOffset(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := rapid.SliceOfN(rapid.Byte(), 1, 400).Draw(t, "body")
		keep := rapid.Bool().Draw(t, "keep")
		a := freshAnswer(keep)
		a.begin(200, map[string]string{"Content-Type": "text/plain"})
		var got []byte
		rest := want
		for len(got) < len(want) {
			n := rapid.IntRange(0, len(rest)).Draw(t, "append")
			if err := a.append(context.Background(), rest[:n]); err != nil {
				t.Fatal(err)
			}
			rest = rest[n:]
			if len(rest) == 0 {
				a.finish(nil)
			}
			max := rapid.IntRange(1, 64).Draw(t, "max")
			first := a.read(ended(), int64(len(got)), 1, max)
			again := a.read(ended(), int64(len(got)), 1, max)
			if !bytes.Equal(first.data, again.data) {
				t.Fatal("reading an offset again gave other bytes")
			}
			got = append(got, first.data...)
		}
		last := a.read(ended(), int64(len(got)), 1, 1)
		if !bytes.Equal(got, want) || !last.final || last.length != int64(len(want)) {
			t.Fatalf("got %d bytes of %d, final %v", len(got), len(want), last.final)
		}
		if early := a.read(ended(), 0, 1, 1); early.lost == keep {
			t.Fatalf("bytes before the offset: lost %v, kept %v", early.lost, keep)
		}
	})
}

func TestAnswerWaitsForASlowReader(t *testing.T) {
	a := freshAnswer(false)
	if err := a.append(ended(), make([]byte, maxUnreadBytes+1)); err != nil {
		t.Fatal(err)
	}
	if err := a.append(ended(), []byte("x")); err == nil {
		t.Fatal("the answer grew past its bound")
	}
	a.read(ended(), maxUnreadBytes, 1, 1)
	if err := a.append(ended(), []byte("x")); err != nil {
		t.Fatalf("after the reader caught up: %v", err)
	}
}

func TestAnswerEndsOnce(t *testing.T) {
	a := freshAnswer(true)
	a.finish(outcome.NewUnknown(outcome.ReasonBackendServerFailed, "first"))
	a.finish(nil)
	if p := a.read(ended(), 0, 1, 1); p.refusal == nil || p.refusal.Detail != "first" {
		t.Fatalf("refusal %v, want the first end", p.refusal)
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
		"whole":                  {body: zero + one + done, want: zero + one + done},
		"without numbers":        {body: "data: x\n\n" + done, want: "data: x\n\n" + done},
		"comment lines pass":     {body: ": hello\n\n" + done, want: ": hello\n\n" + done},
		"duplicate is dropped":   {body: zero + zero + one + one + done, want: zero + one + done},
		"overlap after resuming": {body: zero + one + two + done, resumeAfter: 2, want: two + done},
		"gap":                    {body: zero + two + done, want: zero, err: errGap},
		"gap after resuming":     {body: two + done, resumeAfter: 1, err: errGap},
		"no end marker":          {body: zero + one, want: zero + one, err: errNoEndMarker},
		"broken in an event":     {body: zero + "id: 1\nda", want: zero, err: errNoEndMarker},
		"broken in the marker":   {body: zero + "data: [DO", want: zero, err: errNoEndMarker},
		"marker without its end": {body: zero + "data: [DONE]\n", want: zero, err: errNoEndMarker},
		"empty":                  {err: errNoEndMarker},
		"after the marker":       {body: zero + done + one, want: zero + done},
		"event too long":         {body: "data: " + strings.Repeat("x", maxEventBytes) + "\n\n", err: errEventLength},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			a := freshAnswer(true)
			err := copyEvents(context.Background(), a, strings.NewReader(c.body), c.resumeAfter)
			if !errors.Is(err, c.err) {
				t.Fatalf("error %v, want %v", err, c.err)
			}
			if got := string(a.read(ended(), 0, 1, 1<<20).data); got != c.want {
				t.Fatalf("got %q, want %q", got, c.want)
			}
		})
	}
}

// TestCopyEventsBrokenAnywhere breaks a stream at every byte: what was copied
// is always whole events, and only the whole stream counts as complete.
func TestCopyEventsBrokenAnywhere(t *testing.T) {
	whole := "id: 0\ndata: a\n\nid: 1\ndata: b\n\ndata: {}\n\ndata: [DONE]\n\n"
	for cut := range len(whole) {
		a := freshAnswer(true)
		body := io.MultiReader(strings.NewReader(whole[:cut]), failingReader{})
		if err := copyEvents(context.Background(), a, body, 0); err == nil {
			t.Fatalf("cut at %d: taken for whole", cut)
		}
		got := string(a.read(ended(), 0, 1, 1<<20).data)
		if got != "" && !strings.HasSuffix(got, "\n\n") || !strings.HasPrefix(whole, got) {
			t.Fatalf("cut at %d: copied %q", cut, got)
		}
	}
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

func TestWithEngineFields(t *testing.T) {
	cases := map[string]struct {
		body   string
		resume int
		want   string
	}{
		"members":       {body: `{"a":1}`, want: `{"a":1,"priority":2}`},
		"no members":    {body: `{ }`, want: `{ "priority":2}`},
		"trailing":      {body: "{\"a\":{}}\n", want: `{"a":{},"priority":2}`},
		"resume":        {body: `{"a":1}`, resume: 7, want: `{"a":1,"priority":2,"sesame_resume_after":7}`},
		"not an object": {body: `x`, want: `x`},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := string(withEngineFields([]byte(c.body), 2, c.resume)); got != c.want {
				t.Fatalf("got %s, want %s", got, c.want)
			}
		})
	}
}
