package decisionlog

import (
	"reflect"
	"testing"
	"time"
)

const limitLog = `
{"event":"attempt_sent","request":"a","server":"i-1","time":"2026-12-04T08:00:00.000Z","vm":"edge-1"}
{"event":"attempt_ended","request":"a","server":"i-1","result":"delivered","written_ms":0,"time":"2026-12-04T08:00:00.001Z","vm":"edge-1"}
{"event":"backend_limited","server":"i-1","limit_per_s":2.5,"time":"2026-12-04T08:00:00.002Z","vm":"edge-1"}
{"event":"attempt_sent","request":"b","server":"i-1","time":"2026-12-04T08:00:01.000Z","vm":"edge-1"}
{"event":"attempt_sent","request":"c","server":"i-1","time":"2026-12-04T08:00:01.500Z","vm":"edge-2"}
{"event":"attempt_ended","request":"b","server":"i-1","result":"delivered","written_ms":900,"time":"2026-12-04T08:00:02.000Z","vm":"edge-1"}
{"event":"backend_limited","server":"i-1","limit_per_s":1,"time":"2026-12-04T08:00:02.100Z","vm":"edge-2"}
{"event":"attempt_sent","request":"d","server":"i-1","time":"2026-12-04T08:00:03.000Z","vm":"edge-2"}
{"event":"attempt_sent","request":"e","server":"i-1","time":"2026-12-04T08:00:03.500Z","vm":"edge-2"}
{"event":"attempt_ended","request":"e","server":"i-1","result":"unsent","time":"2026-12-04T08:00:03.600Z","vm":"edge-2"}
{"event":"backend_unlimited","server":"i-1","time":"2026-12-04T08:00:04.000Z","vm":"edge-1"}
{"event":"attempt_sent","request":"f","server":"i-1","time":"2026-12-04T08:00:04.100Z","vm":"edge-1"}
{"event":"attempt_ended","request":"f","server":"i-1","result":"delivered","written_ms":0,"time":"2026-12-04T08:00:04.200Z","vm":"edge-1"}
`

// TestBusiestLimitedWindows checks that requests count by the time at which they were
// written, and only those of gateways that knew the limit when they sent them.
func TestBusiestLimitedWindows(t *testing.T) {
	l := readLog(t, limitLog)
	at := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	want := []ServerLimitWindow{{
		Server: "i-1", From: at.Add(1900 * time.Millisecond), Until: at.Add(3 * time.Second), Requests: 2, LowestLimit: 1, HighestLimit: 2.5,
		Gateways: []GatewayRequests{{"edge-1", 1}, {"edge-2", 1}},
	}}
	if got := l.BusiestLimitedWindows(4 * time.Second); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
