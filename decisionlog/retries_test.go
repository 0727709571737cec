package decisionlog

import (
	"reflect"
	"testing"
	"time"
)

const retryLog = `
{"event":"attempt_sent","request":"a","service":"app","time":"2026-12-03T08:00:00.000Z","vm":"edge-1"}
{"event":"attempt_ended","request":"a","result":"not_run","time":"2026-12-03T08:00:00.001Z","vm":"edge-1"}
{"event":"retry_decided","request":"a","service":"app","gateways":4,"time":"2026-12-03T08:00:00.002Z","vm":"edge-1"}
{"event":"attempt_sent","request":"a","service":"app","time":"2026-12-03T08:00:00.003Z","vm":"edge-1"}
{"event":"attempt_ended","request":"a","result":"unsent","time":"2026-12-03T08:00:01.000Z","vm":"edge-1"}
{"event":"attempt_sent","request":"a","service":"app","time":"2026-12-03T08:00:01.001Z","vm":"edge-1"}
{"event":"attempt_ended","request":"a","result":"not_run","time":"2026-12-03T08:00:01.100Z","vm":"edge-1"}
{"event":"started","time":"2026-12-03T08:00:02.000Z","vm":"edge-2"}
{"event":"attempt_sent","request":"b","service":"app","time":"2026-12-03T08:00:03.000Z","vm":"edge-2"}
{"event":"attempt_ended","request":"b","result":"not_run","time":"2026-12-03T08:00:03.001Z","vm":"edge-2"}
{"event":"retry_decided","request":"b","service":"app","gateways":1,"time":"2026-12-03T08:00:03.002Z","vm":"edge-2"}
{"event":"attempt_sent","request":"b","service":"app","time":"2026-12-03T08:00:03.003Z","vm":"edge-2"}
{"event":"attempt_sent","request":"c","service":"app","time":"2026-12-03T08:00:20.000Z","vm":"edge-2"}
{"event":"attempt_ended","request":"c","result":"not_run","time":"2026-12-03T08:00:20.001Z","vm":"edge-2"}
{"event":"attempt_sent","request":"c","service":"app","time":"2026-12-03T08:00:20.002Z","vm":"edge-2"}
{"event":"attempt_ended","request":"c","result":"delivered","time":"2026-12-03T08:00:20.003Z","vm":"edge-2"}
`

// TestBusiestRetryWindows checks that retries are counted over all gateways, without
// attempts that reached no server and with those that a process did not end.
func TestBusiestRetryWindows(t *testing.T) {
	l := readLog(t, retryLog)
	at := time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)
	want := []RetryWindow{{
		Service: "app", From: at.Add(1001 * time.Millisecond), Until: at.Add(3003 * time.Millisecond), Retries: 2,
		Gateways: []GatewayRetries{
			{VM: "edge-1", Retries: 1},
			{VM: "edge-2", Retries: 1, Starts: 1, FewestCounted: 1, MostCounted: 1},
		},
	}}
	if got := l.BusiestRetryWindows(10 * time.Second); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
