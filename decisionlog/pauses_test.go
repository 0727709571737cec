package decisionlog

import (
	"reflect"
	"testing"
	"time"
)

const pauseLog = `
{"event":"attempt_sent","request":"a","server":"i-1","time":"2026-12-04T08:00:00.000Z","vm":"edge-1"}
{"event":"attempt_ended","request":"a","server":"i-1","result":"not_run","written_ms":0,"asked_pause_ms":3000,"time":"2026-12-04T08:00:00.100Z","vm":"edge-1"}
{"event":"attempt_sent","request":"b","server":"i-1","time":"2026-12-04T08:00:00.400Z","vm":"edge-1"}
{"event":"attempt_sent","request":"c","server":"i-1","time":"2026-12-04T08:00:01.000Z","vm":"edge-2"}
{"event":"attempt_ended","request":"b","server":"i-1","result":"delivered","written_ms":900,"time":"2026-12-04T08:00:01.400Z","vm":"edge-1"}
{"event":"attempt_ended","request":"c","server":"i-1","result":"delivered","written_ms":0,"time":"2026-12-04T08:00:01.500Z","vm":"edge-2"}
{"event":"attempt_sent","request":"d","server":"i-1","time":"2026-12-04T08:00:02.000Z","vm":"edge-1"}
{"event":"attempt_ended","request":"d","server":"i-1","result":"withheld","time":"2026-12-04T08:00:02.001Z","vm":"edge-1"}
{"event":"attempt_sent","request":"e","server":"i-2","time":"2026-12-04T08:00:03.000Z","vm":"edge-2"}
{"event":"attempt_ended","request":"e","server":"i-2","result":"timed_out","written_ms":0,"time":"2026-12-04T08:00:03.100Z","vm":"edge-2"}
{"event":"late_response","server":"i-2","asked_pause_ms":1000,"time":"2026-12-04T08:00:03.110Z","vm":"edge-2"}
`

// TestPauses checks that requests count by the time at which they were written, and only
// those of the gateway that was asked.
func TestPauses(t *testing.T) {
	at := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	want := []Pause{
		{Server: "i-1", VM: "edge-1", From: at.Add(100 * time.Millisecond), Until: at.Add(3100 * time.Millisecond), Requests: 1},
		{Server: "i-2", VM: "edge-2", From: at.Add(3110 * time.Millisecond), Until: at.Add(4110 * time.Millisecond)},
	}
	if got := readLog(t, pauseLog).Pauses(500 * time.Millisecond); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
