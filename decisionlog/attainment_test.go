package decisionlog

import (
	"maps"
	"strings"
	"testing"
	"time"
)

// TestAttainment checks how requests are counted: in time, late, without an answer by reason,
// unfinished, and in the window of their arrival at the gateway.
func TestAttainment(t *testing.T) {
	const lines = `
{"event":"attempt_sent","request":"a","server":"i-1","uncached_tokens":3000,"time":"2026-12-04T08:00:00.000Z","vm":"edge-1"}
{"event":"answer_completed","request":"a","first_ms":200,"pause_ms":40,"target_ms":300,"gap_target_ms":250,"time":"2026-12-04T08:00:03.000Z","vm":"edge-1"}
{"event":"attempt_sent","request":"b","server":"i-2","uncached_tokens":5000,"time":"2026-12-04T08:00:01.000Z","vm":"edge-1"}
{"event":"answer_completed","request":"b","first_ms":301,"pause_ms":400,"target_ms":300,"gap_target_ms":250,"time":"2026-12-04T08:00:03.000Z","vm":"edge-1"}
{"event":"answer_completed","request":"c","first_ms":9,"pause_ms":251,"target_ms":300,"gap_target_ms":250,"time":"2026-12-04T08:00:01.500Z","vm":"edge-2"}
{"event":"request_refused","request":"d","reason":"engines_full","no_answer":"refused","time":"2026-12-04T08:00:01.600Z","vm":"edge-2"}
{"event":"caller_gone","request":"e","no_answer":"caller_left","time":"2026-12-04T08:00:01.700Z","vm":"edge-2"}
{"event":"attempt_sent","request":"f","server":"i-1","uncached_tokens":0,"time":"2026-12-04T08:00:02.100Z","vm":"edge-2"}
{"event":"answer_completed","request":"d","first_ms":20,"time":"2026-12-04T08:00:02.200Z","vm":"edge-1"}
`
	log := &Log{}
	if err := log.Read("test", strings.NewReader(lines)); err != nil {
		t.Fatal(err)
	}
	log.Sort()
	windows := log.Attainment(2 * time.Second)
	if len(windows) != 2 {
		t.Fatalf("got %d windows, want 2", len(windows))
	}
	w := windows[0]
	if w.Requests != 5 || w.InTime != 1 || w.LateFirst != 1 || w.LateGap != 1 || !maps.Equal(w.NoAnswer, map[string]int{"engines_full": 1, "caller_left": 1}) || w.Unfinished != 0 || w.PrefillTokens != 8000 || w.Engines != 2 {
		t.Errorf("got %+v", w)
	}
	if share, bound := w.Share(), w.Bound(1, 2*time.Second); share != 0.2 || bound != 0.5 {
		t.Errorf("got share %v and bound %v, want 0.2 and 0.5", share, bound)
	}
	if w := windows[1]; w.Requests != 2 || w.InTime != 1 || w.Unfinished != 1 || w.Bound(1, time.Second) != 1 {
		t.Errorf("got %+v", w)
	}
	if windows := (&Log{}).Attainment(time.Second); len(windows) != 0 {
		t.Errorf("an empty log has %d windows", len(windows))
	}
}
