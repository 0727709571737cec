package gateway

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sesameswitch/sesameswitch/progress"
	"github.com/sesameswitch/sesameswitch/routes"
	"github.com/sesameswitch/sesameswitch/upstream"
)

// maxCheckDelay is how much later than planned a check for progress may run. After a longer
// delay the process itself did not run, and bytes that have arrived may not be read yet.
const maxCheckDelay = 200 * time.Millisecond

// stallWatch moves an attempt without progress to another backend server. The goroutine that
// forwards the response holds mu except while it waits for the server, so that a check may
// use the state of the request.
type stallWatch struct {
	mu     sync.Mutex
	server *Server
	req    *request
	fwd    *responseForwarder
	active *activeAttempt
	// abandon ends the attempt and closes its connection.
	abandon func(cause error)
	// open is the attempt in the fleet; nil before the request is written.
	open  *progress.Open
	timer *time.Timer
	// plannedAt is when the next check is to run.
	plannedAt time.Time
	// headRead reports whether req.runs includes the attempt.
	headRead bool
	ended    bool
	moved    bool
	// logged is the last verdict of a stalled attempt that was logged.
	logged progress.Verdict
}

// fleetOf returns the open attempts at a service.
func (s *Server) fleetOf(service string) *progress.Fleet {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.fleets[service]
	if f == nil {
		f = progress.NewFleet()
		s.fleets[service] = f
	}
	return f
}

// newStallWatch returns a watch whose lock is held by the caller.
func (s *Server) newStallWatch(req *request, fwd *responseForwarder, active *activeAttempt, abandon func(error)) *stallWatch {
	w := &stallWatch{server: s, req: req, fwd: fwd, active: active, abandon: abandon}
	w.mu.Lock()
	return w
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// written begins the watch, right before the request is written, and releases the lock until
// headArrived.
func (w *stallWatch) written(now time.Time) {
	expected := milliseconds(w.active.choice.ServiceTime + w.active.choice.Wait)
	w.open = w.server.fleetOf(w.req.service.Name).Begin(now, w.active.server.ID, expected)
	if a := w.attempt(now); a.Permitted() == progress.Move {
		w.plannedAt = now.Add(a.Limit())
		w.timer = time.AfterFunc(a.Limit(), w.check)
	}
	w.mu.Unlock()
}

// responded takes the lock again when the head of the response was read, or the exchange failed.
func (w *stallWatch) responded(now time.Time) {
	if w.open != nil {
		w.mu.Lock()
		w.open.Heard(now)
		w.headRead = true
	}
}

// read reads from the response. A byte shows progress, and so does a caller that has taken
// what was read before.
func (w *stallWatch) read(ex *upstream.Exchange, p []byte) (int, error) {
	w.open.Heard(w.server.deps.Clock.Now())
	w.mu.Unlock()
	n, err := ex.Read(p)
	w.mu.Lock()
	return n, err
}

// recordFirst records the time to the first event, or to the response.
func (w *stallWatch) recordFirst(now time.Time) {
	w.server.fleetOf(w.req.service.Name).RecordFirst(w.req.route.Name, now.Sub(w.active.writtenAt))
}

// end ends the watch and releases the lock. It reports whether the attempt was moved.
func (w *stallWatch) end() bool {
	w.ended = true
	if w.timer != nil {
		w.timer.Stop()
	}
	if w.open != nil {
		w.open.End()
	}
	w.mu.Unlock()
	return w.moved
}

// watchedReader reads the response of an attempt.
type watchedReader struct {
	watch *stallWatch
	ex    *upstream.Exchange
}

// Read implements io.Reader.
func (r watchedReader) Read(p []byte) (int, error) { return r.watch.read(r.ex, p) }

// attempt returns what is known of the attempt without its successor.
func (w *stallWatch) attempt(now time.Time) *progress.Attempt {
	req, fwd := w.req, w.fwd
	attempts, runs := req.attempts, req.runs
	if !w.headRead {
		attempts, runs = attempts+1, runs+1
	}
	slowest, rest := w.server.fleetOf(req.service.Name).Times(req.route.Name, req.route.LatencyTarget)
	if req.route.Kind != routes.Stream {
		rest = 0
	}
	return &progress.Attempt{
		Silent: w.open.Silent(now), Begun: fwd.attemptEvents() > 0, Expected: milliseconds(w.active.choice.ServiceTime + w.active.choice.Wait),
		Slowest: slowest, LongestPause: fwd.longestGap, LatencyTarget: req.route.LatencyTarget, Rest: rest, Remaining: req.deadline.Sub(now),
		Repeatable: req.route.Idempotent() && (!fwd.started || fwd.resumable()) && attempts < maxAttempts,
		Runs:       runs, MaxRuns: req.route.MaxRuns, Moved: req.moved,
	}
}

// successor returns the server that would be chosen if the attempt were moved.
func (w *stallWatch) successor() progress.Successor {
	id := w.active.server.ID
	w.req.excluded[id] = true
	chosen, usable := w.server.chooseServer(w.req)
	delete(w.req.excluded, id)
	if !usable {
		return progress.Successor{}
	}
	return progress.Successor{
		Usable: true, Full: chosen.choice.Full, ServiceTime: milliseconds(chosen.choice.ServiceTime), Wait: milliseconds(chosen.choice.Wait),
		FleetWait: milliseconds(chosen.choice.FleetWait),
	}
}

// check decides whether the attempt is moved, and when to decide again.
func (w *stallWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended || w.moved {
		return
	}
	s, now := w.server, w.server.deps.Clock.Now()
	if now.Sub(w.plannedAt) > maxCheckDelay {
		w.open.Heard(now)
	}
	a := w.attempt(now)
	if a.Silent >= a.Limit() {
		a.SlowServers, a.OpenServers = w.open.Slow(now)
	}
	d := progress.Decide(a, w.successor, func() bool { return s.takeRetry(w.req, interruptedStreamReserve) })
	if d.Verdict != progress.Progressing && d.Verdict != w.logged {
		w.logged = d.Verdict
		w.req.log.WithFields(logrus.Fields{
			"event": "attempt_stalled", "server": w.active.server.ID, "verdict": d.Verdict, "silent_ms": a.Silent.Milliseconds(), "limit_ms": d.Limit.Milliseconds(),
			"expected_ms": a.Expected.Milliseconds(), "slowest_ms": a.Slowest.Milliseconds(), "pause_ms": a.LongestPause.Milliseconds(), "target_ms": a.LatencyTarget.Milliseconds(), "rest_ms": a.Rest.Milliseconds(),
			"left_ms": a.Remaining.Milliseconds(), "runs": a.Runs, "max_runs": a.MaxRuns, "begun": a.Begun, "repeatable": a.Repeatable,
			"next_read_ms": d.Successor.ServiceTime.Milliseconds(), "next_wait_ms": d.Successor.Wait.Milliseconds(), "fleet_wait_ms": d.Successor.FleetWait.Milliseconds(),
			"next_usable": d.Successor.Usable, "next_full": d.Successor.Full, "slow_servers": a.SlowServers, "open_servers": a.OpenServers,
		}).Info("attempt has sent nothing for too long")
		s.metrics.stalled(d.Verdict)
	}
	if d.Verdict == progress.Move {
		w.moved = true
		w.abandon(upstream.ErrAbandoned)
		return
	}
	w.checkAfter(now, d.After)
}

// checkAfter plans the next check; zero means none.
func (w *stallWatch) checkAfter(now time.Time, delay time.Duration) {
	if delay > 0 {
		w.plannedAt = now.Add(delay)
		w.timer.Reset(delay)
	}
}
