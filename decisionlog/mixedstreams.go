package decisionlog

import (
	"sort"
	"time"
)

// StreamPart is an attempt that brought events of a stream. The JSON output uses the names
// of the fields.
type StreamPart struct {
	At      time.Time
	VM      string
	Request string
	Server  string
	// SoftwareVersion is the version that the gateway knew of the server; empty if none.
	SoftwareVersion string
	// ResumeAfter is the ID of the event after which the attempt continued the stream.
	ResumeAfter int
	// Events is the number of events that the attempt forwarded, as far as it is logged.
	Events int
}

// MixedStream is a stream with events of several software versions. The JSON output uses
// the names of the fields.
type MixedStream struct {
	// ID is the ID of the request that brought the first event.
	ID string
	// Parts are the attempts that brought events, in order.
	Parts []StreamPart
}

// MixedStreams returns the streams whose events came from backend servers of several
// software versions, in one response or over several requests of a caller, in the order of
// their first events. Call Sort first.
//
// An attempt whose end is not logged, as the gateway was killed, counts if a later request
// resumes its stream.
func (l *Log) MixedStreams() []MixedStream {
	streams := make(map[string][]StreamPart)
	open := make(map[string]StreamPart) // by request
	streamOf := make(map[string]string) // by request
	for i := range l.Lines {
		line := &l.Lines[i]
		switch line.Event {
		case EventAttemptSent:
			after, _ := line.Fields["resume_after"].(float64)
			stream := line.Request
			if first := line.Text("resumes"); first != "" && after > 0 {
				stream = first
				closeKilled(streams, open, first)
			}
			streamOf[line.Request] = stream
			open[line.Request] = StreamPart{
				At: line.At, VM: line.VM, Request: line.Request, Server: line.Text("server"), SoftwareVersion: line.Text("software_version"), ResumeAfter: int(after),
			}
		case EventAttemptEnded:
			part, isOpen := open[line.Request]
			delete(open, line.Request)
			events, _ := line.Fields["attempt_events"].(float64)
			if part.Events = int(events); isOpen && part.Events > 0 {
				streams[streamOf[line.Request]] = append(streams[streamOf[line.Request]], part)
			}
		}
	}
	var mixed []MixedStream
	for id, parts := range streams {
		if severalVersions(parts) {
			mixed = append(mixed, MixedStream{id, parts})
		}
	}
	sort.Slice(mixed, func(i, j int) bool { return mixed[i].Parts[0].At.Before(mixed[j].Parts[0].At) })
	return mixed
}

// closeKilled adds the attempt of the request that began the stream if its end is not
// logged.
func closeKilled(streams map[string][]StreamPart, open map[string]StreamPart, first string) {
	if part, isOpen := open[first]; isOpen {
		delete(open, first)
		streams[first] = append(streams[first], part)
	}
}

// severalVersions reports whether the parts are of several known software versions.
func severalVersions(parts []StreamPart) bool {
	known := ""
	for _, p := range parts {
		if known == "" {
			known = p.SoftwareVersion
		}
		if p.SoftwareVersion != "" && p.SoftwareVersion != known {
			return true
		}
	}
	return false
}
