package decisionlog

import (
	"sort"
	"time"
)

// ServerLimitWindow is the time window in which a backend server that stated a limit
// got the most requests from the gateways that knew of it. The JSON output uses the
// names of the fields.
type ServerLimitWindow struct {
	Server string
	// From is the time of the first request in the window, Until that of the last.
	From, Until time.Time
	// Requests counts the attempts that may have reached the server.
	Requests int
	// LowestLimit and HighestLimit are the limits, in requests per second, that the
	// gateways knew when they sent those requests.
	LowestLimit, HighestLimit float64
	// Gateways lists the gateways that sent them.
	Gateways []GatewayRequests
}

// GatewayRequests is the number of requests that one gateway sent.
type GatewayRequests struct {
	VM       string
	Requests int
}

// limitedAttempt is an attempt that a gateway sent to a server whose limit it knew.
type limitedAttempt struct {
	sentAttempt
	limit float64
}

// BusiestLimitedWindows returns for each backend server that stated a limit the window
// of the given length with the most requests of gateways that knew the limit when they
// sent them, sorted by server. Call Sort first.
func (l *Log) BusiestLimitedWindows(length time.Duration) []ServerLimitWindow {
	var windows []ServerLimitWindow
	for server, attempts := range l.limitedAttempts() {
		sent := make([]sentAttempt, len(attempts))
		for i := range attempts {
			sent[i] = attempts[i].sentAttempt
		}
		busiest := busiestWindow(sent, length)
		w := ServerLimitWindow{Server: server, From: busiest[0].at, Until: busiest[len(busiest)-1].at, Requests: len(busiest)}
		byVM := make(map[string]int)
		for _, a := range attempts {
			if a.at.Before(w.From) || a.at.After(w.Until) {
				continue
			}
			byVM[a.vm]++
			w.HighestLimit = max(w.HighestLimit, a.limit)
			if w.LowestLimit == 0 || a.limit < w.LowestLimit {
				w.LowestLimit = a.limit
			}
		}
		for vm, requests := range byVM {
			w.Gateways = append(w.Gateways, GatewayRequests{vm, requests})
		}
		sort.Slice(w.Gateways, func(i, j int) bool { return w.Gateways[i].VM < w.Gateways[j].VM })
		windows = append(windows, w)
	}
	sort.Slice(windows, func(i, j int) bool { return windows[i].Server < windows[j].Server })
	return windows
}

// limitedAttempts returns for each server the attempts that gateways which knew its
// limit sent to it, ordered by time. Attempts that reached no server are left out.
func (l *Log) limitedAttempts() map[string][]limitedAttempt {
	type belief struct{ vm, server string }
	limits := make(map[belief]float64)
	open := make(map[string]limitedAttempt) // by request
	byServer := make(map[string][]limitedAttempt)
	arrive := func(request, server string) {
		byServer[server] = append(byServer[server], open[request])
		delete(open, request)
	}
	openServer := make(map[string]string)
	for i := range l.Lines {
		line := &l.Lines[i]
		b := belief{line.VM, line.Text("server")}
		attempt, isOpen := open[line.Request]
		switch {
		case line.Event == EventServerLimited:
			limits[b], _ = line.Fields["limit_per_s"].(float64)
		case line.Event == EventServerUnlimited:
			delete(limits, b)
		case line.Event == EventAttemptSent && limits[b] > 0:
			open[line.Request] = limitedAttempt{sentAttempt{line.At, line.Text("service"), line.VM}, limits[b]}
			openServer[line.Request] = b.server
		case line.Event == EventAttemptEnded && isOpen && notReached[line.Text("result")]:
			delete(open, line.Request)
		case line.Event == EventAttemptEnded && isOpen:
			if written, ok := line.Fields["written_ms"].(float64); ok {
				attempt.at = attempt.at.Add(time.Duration(written) * time.Millisecond)
				open[line.Request] = attempt
			}
			arrive(line.Request, b.server)
		}
	}
	for request := range open {
		arrive(request, openServer[request])
	}
	for _, attempts := range byServer {
		sort.Slice(attempts, func(i, j int) bool { return attempts[i].at.Before(attempts[j].at) })
	}
	return byServer
}
