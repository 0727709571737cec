package soak

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/sesameswitch/sesameswitch/history"
)

// Guarantees that are checked, as reports name them.
const (
	atMostOnce            = "at most once"
	refusedNotRun         = "a request refused as not run has not run"
	completeResponse      = "a response reported as complete is complete"
	streamVersion         = "a stream goes on only at the software version that began it"
	streamsGoOn           = "streams that are taken up go on as often as new ones begin"
	eventOrder            = "the events of a stream arrive in order"
	responseReceived      = "a request receives a response"
	validRequestAccepted  = "a valid request is not refused"
	revokedKeyUnused      = "a revoked key runs no request"
	correctAccount        = "a request runs for the account of its key"
	pausedServerUnused    = "a server that asks for a pause receives at most two requests in it"
	limitedServerRate     = "a server that states a limit receives no more requests than it allows"
	leavingServerUnused   = "a server that states that it is leaving receives no new request"
	drainedServerUnused   = "a draining backend server receives no new request"
	noPlannedInterruption = "planned maintenance interrupts no request"
	versionMonotonic      = "the configuration version never decreases"
	retryBudget           = "retries stay within the budget"
	crashesContained      = "what has crashed several servers reaches at most three more"
	soundRequestServed    = "a sound request is not refused because others crash servers"
	evacuatedUnused       = "no request reaches a server of an evacuated data centre"
	coldServerRate        = "a cold server receives no more requests than it takes"
	processControl        = "processes start and stop as requested"
)

const (
	// maxRecordingDelay bounds the time from an event until the test records it.
	maxRecordingDelay = 500 * time.Millisecond
	// recoveryTime is how long after a fault responses may still be interrupted,
	// because connections and the gateways' view of backend servers must recover.
	recoveryTime = 3 * time.Second
)

// receivedRequest is a request as a backend server received it. It counts as a run
// unless it was refused.
type receivedRequest struct {
	server, service, dataCentre, account string
	// address is the address of the server, by which incarnations of the same ID differ.
	address string
	// drainingSince is when the server had started to drain, or zero if it had not.
	receivedAt, drainingSince time.Time
	// hasKey is true if the request still contained the caller's API key, which the
	// gateway must remove. refused is true if the server refused the request without
	// running it.
	hasKey, refused bool
	// misdirected is true if the request named another server.
	misdirected bool
	// statesLeaving is true if the response stated that the server is leaving.
	statesLeaving bool
	// statesLimit is true if the response stated a limit.
	statesLimit bool
	// pause is how long the server asked the gateway to send nothing; zero if it did not.
	// askedAt is when it did, at the deadline of the request if late is true.
	pause   time.Duration
	askedAt time.Time
	late    bool
}

// observations is what callers and backend servers observed. Its methods are safe
// for concurrent use.
type observations struct {
	mu    *sync.Mutex
	calls []*call
	// received maps the ID of each request to what backend servers received.
	received map[string][]receivedRequest
	// failures lists the failed steps of the test itself, such as the start of a
	// process.
	failures []Violation
	// keepLogs is true if the logs of the gateways must not be removed.
	keepLogs bool
}

func newObservations() observations {
	return observations{mu: &sync.Mutex{}, received: make(map[string][]receivedRequest)}
}

func (h *observations) addCall(c *call) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls = append(h.calls, c)
}

// addReceived records a request that a server received, and reports whether it is
// the first run of the request.
func (h *observations) addReceived(id string, r receivedRequest) (firstRun bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	firstRun = !r.refused && countRuns(h.received[id]) == 0
	h.received[id] = append(h.received[id], r)
	return firstRun
}

// addFailure records the error of a step of the test itself, unless err is nil.
// step states what the process or server should have done, for example "starts".
func (h *observations) addFailure(step string, err error) {
	if err == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failures = append(h.failures, Violation{processControl, step + ": " + err.Error()})
}

// counts returns the numbers of calls, of calls with a complete response, and of
// runs.
func (d *deployment) counts() (calls, responses, runs int) {
	for _, c := range d.history.calls {
		if c.err == nil {
			responses++
		}
	}
	for _, received := range d.history.received {
		runs += countRuns(received)
	}
	return len(d.history.calls), responses, runs
}

// countRuns returns the number of requests that were not refused.
func countRuns(received []receivedRequest) int {
	n := 0
	for _, r := range received {
		if !r.refused {
			n++
		}
	}
	return n
}

// check returns all violations in the history. It is called after all callers and
// faults have ended.
func (d *deployment) check() []Violation {
	h := &d.history
	h.mu.Lock()
	defer h.mu.Unlock()
	found := h.failures
	for _, c := range h.calls {
		found = append(found, d.checkCall(c, h.received[c.id])...)
	}
	found = append(found, d.checkVersions()...)
	found = append(found, d.checkRetryBudget()...)
	found = append(found, d.checkTakenUp()...)
	found = append(found, d.checkLeaving()...)
	found = append(found, d.checkPauses()...)
	found = append(found, d.checkLimits()...)
	found = append(found, d.checkCrashes()...)
	found = append(found, d.checkEvacuations()...)
	found = append(found, d.checkCold()...)
	h.keepLogs = len(found) > 0
	if h.keepLogs {
		// Not a violation; shows where the logs are.
		found = append(found, Violation{"logs", d.dir})
	}
	return found
}

// checkCall checks a call against the requests that backend servers received for it.
func (d *deployment) checkCall(c *call, received []receivedRequest) []Violation {
	var found []Violation
	violated := func(guarantee, format string, args ...any) {
		detail := fmt.Sprintf("%s %s by %s at %.2fs: ", c.route, c.id, c.gateway, c.startedAt.Sub(d.startedAt).Seconds()) + fmt.Sprintf(format, args...)
		found = append(found, Violation{guarantee, detail})
	}
	n := countRuns(received)
	if c.atMostOnce && n > 1 {
		violated(atMostOnce, "ran %d times, on %v", n, runServers(received))
	}
	if c.err == nil && c.atMostOnce && n > 0 && guaranteesNotRun(c.status) {
		violated(refusedNotRun, "refused with status %d, but ran on %v", c.status, runServers(received))
	}
	d.checkResponse(c, violated)
	revokedAt, wasRevoked := d.revokedAt[c.key]
	// A gateway may not have activated the version yet that adds the route of a
	// call, so status 404 is correct for such a route.
	if c.err == nil && !wasRevoked && c.routeVersion == 0 && (c.status == http.StatusUnauthorized || c.status == http.StatusNotFound || c.status == http.StatusBadRequest) {
		violated(validRequestAccepted, "refused with status %d: %q", c.status, c.body)
	}
	if wasRevoked && n > 0 && c.startedAt.After(revokedAt.Add(maxRevocationDelay)) {
		violated(revokedKeyUnused, "ran although sent %v after the revocation of %s", c.startedAt.Sub(revokedAt), c.key)
	}
	for _, r := range received {
		if r.hasKey || r.account != "acme" {
			violated(correctAccount, "arrived at %s for account %q, key forwarded: %v", r.server, r.account, r.hasKey)
		}
		if !r.drainingSince.IsZero() && !r.refused && r.receivedAt.After(r.drainingSince.Add(drainPeriod+maxRecordingDelay)) && d.undisrupted(r.drainingSince, r.receivedAt) {
			violated(drainedServerUnused, "arrived at %s %v after it started to drain", r.server, r.receivedAt.Sub(r.drainingSince))
		}
	}
	// A gateway may close an idle connection while the next request on it is under
	// way. The caller of a request that did not run must then retry it itself. A
	// response may end at the deadline that its caller stated.
	if c.err != nil && !errors.Is(c.err, errConnectionLost) && c.endedAt.Sub(c.startedAt) < c.timeout && d.undisrupted(c.startedAt, c.endedAt) && d.uncrashed(c.startedAt, c.endedAt) && (n > 0 || !c.reusedConnection) {
		violated(noPlannedInterruption, "interrupted after %v: %v, %d runs", c.endedAt.Sub(c.startedAt), c.err, n)
	}
	return found
}

// checkResponse checks the response that a caller received. Only a call without an
// error must have received the complete response; what any other call received of a
// stream must be a prefix of it.
func (d *deployment) checkResponse(c *call, violated func(guarantee, format string, args ...any)) {
	if errors.Is(c.err, os.ErrDeadlineExceeded) {
		violated(responseReceived, "no response within %v", callTimeout)
		return
	}
	if c.status != http.StatusOK {
		return
	}
	if !c.hasSeal {
		violated(completeResponse, "response has no replica seal")
	}
	if c.route != "stream" && c.route != onceRoute {
		if c.err == nil && c.body != "answer to "+c.id {
			violated(completeResponse, "%q", c.body)
		}
		return
	}
	c.checkStream(violated)
}

// guaranteesNotRun reports whether a response with the given status guarantees that
// the request has not run and will not run.
func guaranteesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// runServers returns the names of the servers that did not refuse the request.
func runServers(received []receivedRequest) []string {
	var names []string
	for _, r := range received {
		if !r.refused {
			names = append(names, r.server)
		}
	}
	return names
}

// undisrupted reports whether no disruption affects the given period: none overlaps
// it, and none ended less than recoveryTime before it.
func (d *deployment) undisrupted(from, to time.Time) bool {
	for _, disruption := range d.disruptions {
		if disruption.from.Before(to) && disruption.to.Add(recoveryTime).After(from) {
			return false
		}
	}
	return true
}

// checkVersions checks that no incarnation of a gateway loses a route that it had
// in an earlier configuration version.
func (d *deployment) checkVersions() []Violation {
	var found []Violation
	for _, c := range d.history.calls {
		if c.routeVersion == 0 || c.err != nil || c.status != http.StatusNotFound {
			continue
		}
		for _, earlier := range d.history.calls {
			if earlier.routeVersion >= c.routeVersion && earlier.gateway == c.gateway && earlier.status == http.StatusOK && earlier.endedAt.Before(c.startedAt) {
				found = append(found, Violation{versionMonotonic, fmt.Sprintf("%s had version %d and then responded to %s with status 404", c.gateway, earlier.routeVersion, c.id)})
				break
			}
		}
	}
	return found
}

// checkLeaving checks that no gateway sends a request to a server if the caller sent it
// later than drainPeriod after the gateway had passed on a response in which the server
// stated that it is leaving.
func (d *deployment) checkLeaving() []Violation {
	type pair struct{ gateway, server string }
	statedAt := make(map[pair]time.Time)
	for _, c := range d.history.calls {
		for _, r := range d.history.received[c.id] {
			known, found := statedAt[pair{c.gateway, r.server}]
			if r.statesLeaving && c.err == nil && (!found || c.endedAt.Before(known)) {
				statedAt[pair{c.gateway, r.server}] = c.endedAt
			}
		}
	}
	var found []Violation
	for _, c := range d.history.calls {
		for _, r := range d.history.received[c.id] {
			if at, stated := statedAt[pair{c.gateway, r.server}]; stated && c.startedAt.After(at.Add(drainPeriod)) {
				found = append(found, Violation{leavingServerUnused, fmt.Sprintf("%s by %s arrived at %s, sent %v after a response with the statement", c.id, c.gateway, r.server, c.startedAt.Sub(at))})
			}
		}
	}
	return found
}

const (
	// pauseReactionTime is how long after a server asked for a pause requests may still
	// arrive.
	pauseReactionTime = 500 * time.Millisecond
	// maxRequestsInPause is how many may arrive from one gateway after it.
	maxRequestsInPause = 2
)

// checkPauses checks that a server that asked a gateway for a pause receives at most
// maxRequestsInPause requests from it between pauseReactionTime after it asked and the
// end of the pause.
func (d *deployment) checkPauses() []Violation {
	type pair struct{ gateway, server string }
	received := make(map[pair][]receivedRequest)
	for _, c := range d.history.calls {
		for _, r := range d.history.received[c.id] {
			p := pair{c.gateway, r.server}
			received[p] = append(received[p], r)
		}
	}
	var found []Violation
	for p, requests := range received {
		for _, asked := range requests {
			n := 0
			if asked.late && !d.undisrupted(asked.receivedAt, asked.askedAt.Add(pauseReactionTime)) {
				continue // a partition or a pause of the gateway may have lost the response
			}
			for _, r := range requests {
				if r.receivedAt.After(asked.askedAt.Add(pauseReactionTime)) && r.receivedAt.Before(asked.askedAt.Add(asked.pause)) {
					n++
				}
			}
			if n > maxRequestsInPause {
				found = append(found, Violation{pausedServerUnused, fmt.Sprintf("%s received %d requests of %s in a pause of %v from %.2fs", p.server, n, p.gateway, asked.pause, asked.askedAt.Sub(d.startedAt).Seconds())})
			}
		}
	}
	return found
}

// retryWindow is the window of the retry budget.
const retryWindow = 10 * time.Second

// checkRetryBudget checks that each service got, in each window, at most as many
// retries as the budget allows. The requests are those that callers sent in that
// window, in the one before it or in the one half a window before it, whichever has
// most.
func (d *deployment) checkRetryBudget() []Violation {
	calls, retries := map[string][]time.Time{}, map[string][]time.Time{} // by service
	for _, c := range d.history.calls {
		service := "app"
		if c.route == "stream" || c.route == onceRoute {
			service = "llm"
		}
		calls[service] = append(calls[service], c.startedAt)
		received := d.history.received[c.id]
		for i := 1; i < len(received); i++ {
			retries[service] = append(retries[service], received[i].receivedAt)
		}
	}
	budget := history.RetryBudget{Ratio: retryRatio, Extra: d.opts.RetryExtra, Window: retryWindow}
	var found []Violation
	for service, times := range retries {
		if worst, exceeded := budget.WorstWindow(calls[service], times, d.startedAt); exceeded {
			found = append(found, Violation{retryBudget, service + ": " + worst})
		}
	}
	return found
}
