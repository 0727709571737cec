package decisionlog

import (
	"strings"
	"testing"
	"time"
)

const sample = `
  -9.8294 edge-1 {"event":"config_accepted","time":"2026-12-03T08:00:00.000Z","version":7,"vm":"edge-1"}
  0.1 edge-1 {"event":"backend_ready","server":"i-1","service":"app","time":"2026-12-03T08:00:01.000Z","vm":"edge-1"}
{"event":"backend_ready","server":"i-2","service":"app","time":"2026-12-03T08:00:01.000Z","vm":"edge-1"}
{"event":"attempt_sent","request":"a","route":"r","server":"i-1","time":"2026-12-03T08:00:02.000Z","version":7,"vm":"edge-1"}
{"event":"store_lost","time":"2026-12-03T08:00:02.100Z","vm":"edge-1","age_ms":900}
{"event":"attempt_ended","request":"a","result":"may_have_run","cause":"reset","server":"i-1","time":"2026-12-03T08:00:02.200Z","vm":"edge-1"}
{"event":"request_refused","request":"a","route":"r","status":502,"reason":"outcome_unknown","time":"2026-12-03T08:00:02.300Z","vm":"edge-1"}
{"event":"backend_gone","server":"i-1","time":"2026-12-03T08:00:05.000Z","vm":"edge-1"}
{"event":"answer_completed","request":"b","route":"r","status":200,"after_ms":12,"time":"2026-12-03T08:00:06.000Z","vm":"edge-2"}
{"event":"log_lines_dropped","dropped":41,"time":"2026-12-03T08:00:06.000Z"}
{"event":"attempt_sent","requ
garbage
{"no":"event","time":"2026-12-03T08:00:06.000Z"}
`

func readLog(t *testing.T, text string) *Log {
	t.Helper()
	l := &Log{}
	if err := l.Read("sample", strings.NewReader(text)); err != nil {
		t.Fatal(err)
	}
	l.Sort()
	return l
}

func TestExplainListsLinesStatesAndCause(t *testing.T) {
	l := readLog(t, sample)
	e := l.Explain("a")
	if e == nil || len(e.Lines) != 3 {
		t.Fatalf("explanation %+v, want 3 lines", e)
	}
	if want := "refused with 502: outcome_unknown; before: may_have_run at i-1 reset"; e.Cause != want {
		t.Errorf("cause %q, want %q", e.Cause, want)
	}
	var events []string
	for _, line := range e.Beliefs {
		events = append(events, line.Event+line.Text("server"))
	}
	if got := strings.Join(events, " "); got != "config_accepted backend_readyi-1 store_lost" {
		t.Errorf("states %q; want the last ones before the end of the request, without those of other servers", got)
	}
	if l.Explain("nobody") != nil {
		t.Error("got an explanation of a request that no line mentions, want nil")
	}
}

func TestUnreadableLinesAreCountedAndListed(t *testing.T) {
	l := readLog(t, sample)
	if l.Unreadable != 3 || l.FirstUnreadable[0] != "sample:12" {
		t.Errorf("%d unreadable lines, the first %v; want 3, the first sample:12", l.Unreadable, l.FirstUnreadable)
	}
}

func TestSummarizeCountsEventsInWindow(t *testing.T) {
	s := readLog(t, sample).Summarize(time.Time{}, time.Time{})
	if s.Dropped != 41 || len(s.Outcomes) != 2 || s.Outcomes[0].Key != "r answer_completed 200" || s.Attempts[0].Key != "i-1 may_have_run" {
		t.Errorf("summary %+v, want 41 dropped lines, 2 outcomes and the most frequent ones first", s)
	}
	at := time.Date(2026, 12, 3, 8, 0, 5, 0, time.UTC)
	if s := readLog(t, sample).Summarize(at, time.Time{}); s.Lines != 3 {
		t.Errorf("%d lines from %v, want 3", s.Lines, at)
	}
}

func FuzzRead(f *testing.F) {
	f.Add(sample)
	f.Add(retryLog)
	f.Fuzz(func(t *testing.T, text string) {
		l := &Log{}
		if err := l.Read("fuzz", strings.NewReader(text)); err != nil {
			return
		}
		l.Sort()
		for _, line := range l.Lines {
			if line.Event == "" {
				t.Error("a line without an event was accepted")
			}
			l.Explain(line.Request)
		}
		l.Summarize(time.Time{}, time.Time{})
		l.BusiestRetryWindows(time.Second)
	})
}
