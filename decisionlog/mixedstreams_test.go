package decisionlog

import (
	"reflect"
	"testing"
)

const mixedLog = `
{"event":"attempt_sent","request":"a","server":"i-1","software_version":"v1","resume_after":0,"resumes":"","time":"2026-12-04T08:00:00.000Z","vm":"edge-1"}
{"event":"attempt_ended","request":"a","server":"i-1","attempt_events":3,"result":"may_have_run","time":"2026-12-04T08:00:00.100Z","vm":"edge-1"}
{"event":"attempt_sent","request":"a","server":"i-2","software_version":"v2","resume_after":3,"resumes":"","time":"2026-12-04T08:00:00.101Z","vm":"edge-1"}
{"event":"attempt_ended","request":"a","server":"i-2","attempt_events":2,"result":"delivered","time":"2026-12-04T08:00:00.300Z","vm":"edge-1"}
{"event":"attempt_sent","request":"b","server":"i-1","software_version":"v1","resume_after":0,"resumes":"","time":"2026-12-04T08:00:01.000Z","vm":"edge-1"}
{"event":"attempt_sent","request":"c","server":"i-2","software_version":"v2","resume_after":4,"resumes":"b","time":"2026-12-04T08:00:02.000Z","vm":"edge-2"}
{"event":"attempt_ended","request":"c","server":"i-2","attempt_events":1,"result":"delivered","time":"2026-12-04T08:00:02.300Z","vm":"edge-2"}
{"event":"attempt_sent","request":"d","server":"i-1","software_version":"v1","resume_after":0,"resumes":"","time":"2026-12-04T08:00:03.000Z","vm":"edge-1"}
{"event":"attempt_ended","request":"d","server":"i-1","attempt_events":0,"result":"may_have_run","time":"2026-12-04T08:00:03.100Z","vm":"edge-1"}
{"event":"attempt_sent","request":"d","server":"i-2","software_version":"v2","resume_after":0,"resumes":"","time":"2026-12-04T08:00:03.101Z","vm":"edge-1"}
{"event":"attempt_ended","request":"d","server":"i-2","attempt_events":9,"result":"delivered","time":"2026-12-04T08:00:03.300Z","vm":"edge-1"}
`

// TestMixedStreams checks that a stream counts if its events came from several versions, in
// one response or over several requests, and that a retry before the first event does not.
func TestMixedStreams(t *testing.T) {
	type part struct {
		request, version string
		after, events    int
	}
	got := make(map[string][]part)
	for _, stream := range readLog(t, mixedLog).MixedStreams() {
		for _, p := range stream.Parts {
			got[stream.ID] = append(got[stream.ID], part{p.Request, p.SoftwareVersion, p.ResumeAfter, p.Events})
		}
	}
	want := map[string][]part{
		"a": {{"a", "v1", 0, 3}, {"a", "v2", 3, 2}},
		"b": {{"b", "v1", 0, 0}, {"c", "v2", 4, 1}},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
