package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/sesameswitch/sesameswitch/platform/standin"
	"github.com/sesameswitch/sesameswitch/testbed"
)

const (
	// eventsPerStream is the number of events in each complete stream.
	eventsPerStream = 6
	// drainListenTime is how long a draining server still accepts requests. It
	// exceeds drainPeriod plus maxRecordingDelay, so that requests that arrive too
	// late are detected.
	drainListenTime = drainPeriod + 1500*time.Millisecond
	// minAskedPause and maxAskedPause bound the pause that a server asks for.
	minAskedPause = 300 * time.Millisecond
	maxAskedPause = 6 * time.Second
	// lateRefusalDelay is how long after the deadline of the gateway a late refusal
	// arrives, as on a link with a delay.
	lateRefusalDelay = 5 * time.Millisecond
	// limitHold is how much longer than other faults a limit is stated.
	limitHold = 5 * time.Second
)

// limitRates are the rates, in requests per second, to which servers limit all gateways
// together.
var limitRates = [variantCount]float64{0.5, 1, 3, 8, 25}

// limitPeriod is a period in which all responses of a server state a limit.
type limitPeriod struct {
	server string
	rate   float64
	from   time.Time
	to     time.Time
}

// server is a simulated backend server behind a link that faults can impair.
type server struct {
	*standin.Replica
	service, dataCentre string
	link                *testbed.Relay
	// stop is closed when the server closes.
	stop chan struct{}

	mu sync.Mutex
	// activeFault is the kind of the current fault, or empty.
	activeFault string
	// drainingSince is when the server started to drain, or zero.
	drainingSince time.Time
	// leaving reports whether its responses state that it is leaving.
	leaving bool
	// left reports whether its entry was removed.
	left bool
	// crashed reports whether it has crashed.
	crashed bool
	// superseded reports whether a restarted server with the same ID writes the entry.
	superseded bool
	// limit is the rate that its responses state, in requests per second; zero if none.
	limit float64
}

// stateLines sets the header lines of the server's responses. The caller holds mu.
func (s *server) stateLines() {
	var lines []string
	if s.leaving {
		lines = append(lines, headerLeaving+": 1")
	}
	if s.limit > 0 {
		lines = append(lines, fmt.Sprintf("%s: %g", headerLimit, s.limit))
	}
	s.SetHeaderLines(lines...)
}

// Header fields in which a server states something about itself.
const (
	headerLeaving = "Server-Leaving"
	headerLimit   = "Server-Limit"
)

// addServer starts a backend server of a service and registers it.
func (d *deployment) addServer(service string) error {
	d.mu.Lock()
	n := len(d.servers)
	d.mu.Unlock()
	return d.startServer(&server{
		Replica: &standin.Replica{ID: fmt.Sprintf("%s-%d", service, n), SoftwareVersion: softwareVersions[n%len(softwareVersions)]},
		service: service, dataCentre: d.dataCentreOf(n),
	}, 0)
}

// startServer starts a backend server with the ID, version, service and data centre of the
// template and registers it. It is cold for the given time.
func (d *deployment) startServer(template *server, coldFor time.Duration) error {
	replica, err := standin.NewReplica(template.ID)
	if err != nil {
		return err
	}
	replica.SoftwareVersion = template.SoftwareVersion
	link, err := testbed.NewRelay(replica.Address())
	if err != nil {
		replica.Close()
		return err
	}
	s := &server{Replica: replica, service: template.service, dataCentre: template.dataCentre, link: link, stop: make(chan struct{})}
	if coldFor > 0 {
		d.startCold(s, coldFor, time.Time{})
	}
	replica.SetScript(func(e *standin.Exchange) bool { return d.handleRequest(s, e) })
	go s.discardReceived()
	d.mu.Lock()
	d.servers = append(d.servers, s)
	d.mu.Unlock()
	d.register(s)
	return nil
}

// registeredState returns the state in the registry entry of the server; empty if the
// entry was removed.
func (s *server) registeredState() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.left:
		return ""
	case !s.drainingSince.IsZero():
		return "draining"
	default:
		return "ready"
	}
}

// register writes the registry entry of a server, with the address of its link, or
// removes it if the server has left.
func (d *deployment) register(s *server) {
	d.registryMu.Lock()
	defer d.registryMu.Unlock()
	s.mu.Lock()
	superseded := s.superseded
	s.mu.Unlock()
	if superseded {
		return
	}
	state := s.registeredState()
	if state == "" {
		d.store.Remove("servers/" + s.ID)
		return
	}
	entry := strings.Replace(string(s.RegistryEntry(s.service, s.dataCentre, state)), s.Address(), s.link.Address(), 1)
	d.store.Put("servers/"+s.ID, []byte(entry))
}

// discardReceived empties the channel of received requests, which the soak test does
// not use, until the server closes. The replica would block on a full channel.
func (s *server) discardReceived() {
	for {
		select {
		case <-s.Received():
		case <-s.stop:
			return
		}
	}
}

func (s *server) close() {
	s.link.Close()
	s.Close()
	select {
	case <-s.stop:
	default:
		close(s.stop)
	}
}

func (s *server) state() (activeFault string, drainingSince time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.activeFault, s.drainingSince
}

// injectAtServer injects a fault into a backend server or its link and clears it.
func (d *deployment) injectAtServer(f Fault) {
	d.mu.Lock()
	s := d.servers[(f.Target*2+f.Variant)%len(d.servers)]
	d.mu.Unlock()
	set := func(kind string) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.activeFault = kind
	}
	switch f.Kind {
	case ServerLinkFault:
		linkState := []testbed.LinkState{testbed.LinkDown, testbed.LinkBlackhole, testbed.LinkDropsResponses, testbed.LinkDropsRequests, testbed.LinkDelayed}[f.Variant]
		d.disrupt(f, func() { s.link.SetState(linkState) }, func() { s.link.SetState(testbed.LinkOpen) })
	case ServerDrains:
		d.drainServer(s)
	case ServerLeaves:
		d.leave(s, f.Variant%2 == 0)
	case ServerRestartsCold:
		d.restartCold(s, f)
	case ServerLimits:
		d.limitRate(s, limitRates[f.Variant], f.For+limitHold)
	case ServerAsksLate: // interrupts no response
		set(f.Kind)
		time.Sleep(f.For)
		set("")
	default:
		d.disrupt(f, func() { set(f.Kind) }, func() { set("") })
	}
}

// drainServer drains a server, starts a replacement, and removes the drained server.
// It is planned work, not a disruption. It does nothing if the server is already
// draining.
func (d *deployment) drainServer(s *server) {
	s.mu.Lock()
	going := s.leaving || s.left || !s.drainingSince.IsZero()
	s.mu.Unlock()
	if going {
		return
	}
	s.mu.Lock()
	s.drainingSince = time.Now()
	s.mu.Unlock()
	d.register(s)
	d.history.addFailure("backend server starts", d.addServer(s.service))
	time.Sleep(drainListenTime)
	s.mu.Lock()
	s.left = true
	s.mu.Unlock()
	d.register(s)
	s.close()
}

// leave starts a replacement of a server and lets its responses state that it is
// leaving. Its entry is removed at the same time, or still states that it is ready until
// it closes. It does nothing if the server is already going.
func (d *deployment) leave(s *server, removeEntry bool) {
	s.mu.Lock()
	going := s.leaving || s.left || !s.drainingSince.IsZero()
	s.left = s.left || removeEntry
	s.mu.Unlock()
	if going {
		return
	}
	d.history.addFailure("backend server starts", d.addServer(s.service))
	s.mu.Lock()
	s.leaving = true
	s.stateLines()
	s.mu.Unlock()
	d.register(s)
	time.Sleep(drainListenTime)
	s.mu.Lock()
	s.left = true
	s.mu.Unlock()
	d.register(s)
	s.close()
}

// limitRate lets all responses of a server state a limit for some time. It does nothing
// if they do already.
func (d *deployment) limitRate(s *server, rate float64, duration time.Duration) {
	set := func(limit float64) (previous float64) {
		s.mu.Lock()
		defer s.mu.Unlock()
		previous = s.limit
		if previous == 0 || limit == 0 {
			s.limit = limit
			s.stateLines()
		}
		return previous
	}
	from := time.Now()
	if set(rate) > 0 {
		return
	}
	time.Sleep(min(duration, time.Until(d.startedAt.Add(d.opts.Duration))))
	set(0)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.limits = append(d.limits, limitPeriod{server: s.ID, rate: rate, from: from, to: time.Now()})
}

// handleRequest records the arrival of a request at a server and responds to it
// according to the active fault. It reports whether the connection stays usable.
func (d *deployment) handleRequest(s *server, e *standin.Exchange) bool {
	activeFault, drainingSince := s.state()
	if d.allRefuse {
		activeFault = ServerRefuses
	}
	r := receivedRequest{
		server: s.ID, service: s.service, dataCentre: s.dataCentre, address: s.Address(), misdirected: e.ExpectedReplica() != s.ID, receivedAt: time.Now(), drainingSince: drainingSince, account: e.Tenant(), hasKey: e.HasKey(),
		refused: activeFault == ServerRefuses || e.ExpectedReplica() != s.ID, statesLeaving: e.HeaderLine(headerLeaving) != "", statesLimit: e.HeaderLine(headerLimit) != "",
	}
	r.askedAt = r.receivedAt
	r.late = activeFault == ServerAsksLate && e.TimeRemaining() <= shortCallTimeout
	if r.late {
		r.askedAt = r.receivedAt.Add(e.TimeRemaining() + lateRefusalDelay)
	}
	if (activeFault == ServerAsksPause || r.late) && !r.refused {
		r.refused, r.pause = true, minAskedPause+time.Duration(rand.Int64N(int64(maxAskedPause-minAskedPause)))
	}
	id := e.RequestID()
	firstRun := d.history.addReceived(id, r)
	if r.pause > 0 {
		time.Sleep(time.Until(r.askedAt))
		e.Refuse(503, fmt.Sprintf("Retry-After: %.3f", r.pause.Seconds()))
		return true
	}
	if r.refused {
		// Status 421 refuses a request that was sent to another replica.
		e.Refuse(map[bool]int{true: 503, false: 421}[activeFault == ServerRefuses])
		return true
	}
	time.Sleep(time.Duration(2+rand.IntN(15)) * time.Millisecond)
	if cause := crashCause(e); cause != "" {
		d.crash(s, e, cause)
		return false
	}
	if activeFault == ServerErrors && rand.IntN(2) == 0 {
		e.Respond(500, "failed "+id)
		return true
	}
	truncate := activeFault == ServerTruncates && rand.IntN(2) == 0 || d.cutsFirstRuns && firstRun && isAtMostOnce(e.Target)
	if s.service == "llm" {
		return writeStream(e, id, s.SoftwareVersion, truncate)
	}
	if truncate {
		e.WriteHead(200, "Content-Length: 400")
		e.Write("answer")
		e.Reset()
		return false
	}
	e.Respond(200, "answer to "+id)
	return true
}

// writeStream sends the events that follow the last one that the client received.
// If truncate is true, it sends one complete event and resets the connection in the
// middle of the next one, if any. It reports whether the connection stays usable.
func writeStream(e *standin.Exchange, id, version string, truncate bool) bool {
	last := e.ResumeAfter()
	e.WriteStreamHead()
	for n := last + 1; n <= eventsPerStream; n++ {
		event := streamEvent(n, id, version)
		if truncate && n > last+1 {
			e.WriteChunk(event[:len(event)/2])
			e.Reset()
			return false
		}
		e.WriteChunk(event)
		time.Sleep(time.Duration(rand.IntN(8)) * time.Millisecond)
	}
	e.EndChunks()
	return true
}
