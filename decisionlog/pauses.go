package decisionlog

import (
	"sort"
	"time"
)

// Pause is a period for which a backend server asked a gateway for no requests. The JSON
// output uses the names of the fields.
type Pause struct {
	Server, VM  string
	From, Until time.Time
	// Requests counts the attempts of the gateway that were written to the server later
	// than the given reaction time after From and before Until.
	Requests int
}

// Pauses returns the periods in which backend servers asked gateways for no requests,
// those with the most requests first. It counts the requests from reaction after the
// begin of each. A response asks for a pause whether or not the gateway recorded it. Call
// Sort first.
func (l *Log) Pauses(reaction time.Duration) []Pause {
	type pair struct{ vm, server string }
	written := make(map[pair][]time.Time)
	sent := make(map[string]time.Time) // by request
	var pauses []Pause
	for i := range l.Lines {
		line := &l.Lines[i]
		p := pair{line.VM, line.Text("server")}
		switch line.Event {
		case EventAttemptSent:
			sent[line.Request] = line.At
		case EventAttemptEnded, EventLateResponse:
			if after, ok := line.Fields["written_ms"].(float64); ok && line.Event == EventAttemptEnded {
				written[p] = append(written[p], sent[line.Request].Add(time.Duration(after)*time.Millisecond))
			}
			if asked, ok := line.Fields["asked_pause_ms"].(float64); ok {
				pauses = append(pauses, Pause{Server: p.server, VM: p.vm, From: line.At, Until: line.At.Add(time.Duration(asked) * time.Millisecond)})
			}
		}
	}
	for i := range pauses {
		pause := &pauses[i]
		for _, at := range written[pair{pause.VM, pause.Server}] {
			if at.After(pause.From.Add(reaction)) && at.Before(pause.Until) {
				pause.Requests++
			}
		}
	}
	sort.SliceStable(pauses, func(i, j int) bool { return pauses[i].Requests > pauses[j].Requests })
	return pauses
}
