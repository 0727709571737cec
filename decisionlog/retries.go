package decisionlog

import (
	"sort"
	"time"
)

// RetryWindow is the time window in which a service got the most retries from all
// gateways together. The JSON output uses the names of the fields.
type RetryWindow struct {
	Service string
	// From is the time of the first retry in the window, Until that of the last.
	From, Until time.Time
	// Retries counts the attempts after the first of their request that may have
	// reached a backend server.
	Retries int
	// Gateways lists the gateways that retried or started in the window.
	Gateways []GatewayRetries
}

// GatewayRetries is what one gateway did and knew in a RetryWindow.
type GatewayRetries struct {
	VM      string
	Retries int
	// Starts is how often the process started.
	Starts int
	// FewestCounted and MostCounted are the numbers of gateways with which the
	// gateway divided the budget; zero if it decided nothing.
	FewestCounted, MostCounted int
}

// Results of attempts that did not reach a backend server.
var notReached = map[string]bool{"unsent": true, "full": true, "withheld": true}

// sentAttempt is an attempt that may have reached a backend server.
type sentAttempt struct {
	at          time.Time
	service, vm string
}

// retries returns the attempts after the first of their request, ordered by time. An
// attempt without an end counts, as its process may have ended while it was under
// way.
func (l *Log) retries() []sentAttempt {
	var sent []sentAttempt
	started := make(map[string]sentAttempt)
	reached := make(map[string]int)
	arrive := func(request string) {
		if reached[request]++; reached[request] > 1 {
			sent = append(sent, started[request])
		}
		delete(started, request)
	}
	for i := range l.Lines {
		line := &l.Lines[i]
		_, open := started[line.Request]
		switch {
		case line.Event == EventAttemptSent:
			started[line.Request] = sentAttempt{line.At, line.Text("service"), line.VM}
		case line.Event == EventAttemptEnded && open && notReached[line.Text("result")]:
			delete(started, line.Request)
		case line.Event == EventAttemptEnded && open:
			arrive(line.Request)
		}
	}
	for request := range started {
		arrive(request)
	}
	sort.Slice(sent, func(i, j int) bool { return sent[i].at.Before(sent[j].at) })
	return sent
}

// BusiestRetryWindows returns for each service the window of the given length with
// the most retries, sorted by service. Services without retries are left out. Call
// Sort first.
func (l *Log) BusiestRetryWindows(length time.Duration) []RetryWindow {
	byService := make(map[string][]sentAttempt)
	for _, attempt := range l.retries() {
		byService[attempt.service] = append(byService[attempt.service], attempt)
	}
	var windows []RetryWindow
	for service, attempts := range byService {
		busiest := busiestWindow(attempts, length)
		windows = append(windows, RetryWindow{
			Service: service, From: busiest[0].at, Until: busiest[len(busiest)-1].at,
			Retries: len(busiest), Gateways: l.gatewayRetries(service, busiest),
		})
	}
	sort.Slice(windows, func(i, j int) bool { return windows[i].Service < windows[j].Service })
	return windows
}

// busiestWindow returns the attempts of the window of the given length that has most
// of them. The attempts are ordered by time, and there is at least one.
func busiestWindow(attempts []sentAttempt, length time.Duration) []sentAttempt {
	first, last, from := 0, 0, 0
	for i := range attempts {
		for attempts[i].at.Sub(attempts[from].at) >= length {
			from++
		}
		if i-from > last-first {
			first, last = from, i
		}
	}
	return attempts[first : last+1]
}

// gatewayRetries returns what each gateway did and knew while the given retries of
// a service were sent, sorted by gateway.
func (l *Log) gatewayRetries(service string, retries []sentAttempt) []GatewayRetries {
	byVM := make(map[string]*GatewayRetries)
	of := func(vm string) *GatewayRetries {
		if byVM[vm] == nil {
			byVM[vm] = &GatewayRetries{VM: vm}
		}
		return byVM[vm]
	}
	for _, retry := range retries {
		of(retry.vm).Retries++
	}
	from, until := retries[0].at, retries[len(retries)-1].at
	for i := range l.Lines {
		line := &l.Lines[i]
		if line.At.Before(from) || line.At.After(until) {
			continue
		}
		switch {
		case line.Event == "started":
			of(line.VM).Starts++
		case line.Event == EventRetryDecided && line.Text("service") == service:
			counted, _ := line.Fields["gateways"].(float64)
			g := of(line.VM)
			g.MostCounted = max(g.MostCounted, int(counted))
			if g.FewestCounted == 0 || int(counted) < g.FewestCounted {
				g.FewestCounted = int(counted)
			}
		}
	}
	list := make([]GatewayRetries, 0, len(byVM))
	for _, g := range byVM {
		list = append(list, *g)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].VM < list[j].VM })
	return list
}
