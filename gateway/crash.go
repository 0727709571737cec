package gateway

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sesameswitch/sesameswitch/directory"
	"github.com/sesameswitch/sesameswitch/quarantine"
	"github.com/sesameswitch/sesameswitch/retry"
)

const (
	// crashGatherTime is how long after the first broken connection to a backend server
	// the others are awaited that a crash breaks.
	crashGatherTime = 20 * time.Millisecond
	// crashCheckTime limits the check whether a backend server still listens.
	crashCheckTime = 500 * time.Millisecond
	// crashMemory is how long a crash is remembered. Attempts that end later in the same way
	// are part of it.
	crashMemory = time.Second
	// recheckTime is how long a server that still listened is not checked again.
	recheckTime = 100 * time.Millisecond
	// maxExposures limits the attempts that are reported of one crash.
	maxExposures = 16
	// reasonQuarantined is the reason of a refusal because requests like this one crash
	// backend servers.
	reasonQuarantined = "quarantined"
)

// brokenAttempt is an attempt whose connection broke before it had made progress.
type brokenAttempt struct {
	request  string
	exposure quarantine.Exposure
}

// suspectedCrash is a backend server to which connections broke.
type suspectedCrash struct {
	at       time.Time
	attempts []brokenAttempt
	// checked reports whether it is known if the server crashed; crashed whether it did.
	checked, crashed bool
}

// crashWatch holds the backend servers that may have crashed.
type crashWatch struct {
	mu        sync.Mutex
	suspected map[retry.Incarnation]*suspectedCrash
}

func newCrashWatch() *crashWatch {
	return &crashWatch{suspected: make(map[retry.Incarnation]*suspectedCrash)}
}

// add records a broken connection; attempt is nil if its attempt had made progress. isNew
// reports whether the server must be checked. If it is already known that the server has
// crashed, crashedAt is when.
func (w *crashWatch) add(now time.Time, server retry.Incarnation, attempt *brokenAttempt) (isNew bool, crashedAt time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for other, c := range w.suspected {
		if age := now.Sub(c.at); c.crashed && age > crashMemory || c.checked && !c.crashed && age > recheckTime {
			delete(w.suspected, other)
		}
	}
	c := w.suspected[server]
	if c == nil {
		c = &suspectedCrash{at: now}
		w.suspected[server] = c
		isNew = true
	}
	if c.crashed {
		return false, c.at
	}
	if attempt != nil && !c.checked {
		c.attempts = append(c.attempts, *attempt)
	}
	return isNew, time.Time{}
}

// close records the result of the check, and returns when the first connection broke, the
// attempts that may have caused the crash, which are those whose response had begun or, if
// there are none, all, and how many attempts had made no progress.
func (w *crashWatch) close(server retry.Incarnation, crashed bool) (at time.Time, attempts []brokenAttempt, broken int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.suspected[server]
	c.checked, c.crashed = true, crashed
	for _, a := range c.attempts {
		if a.exposure.Begun {
			attempts = append(attempts, a)
		}
	}
	if len(attempts) == 0 {
		attempts = c.attempts
	}
	broken, c.attempts = len(c.attempts), nil
	return c.at, attempts[:min(len(attempts), maxExposures)], broken
}

// suspectCrash records that the connection of an attempt broke. A server that was about to
// leave may end at any time.
func (s *Server) suspectCrash(req *request, fwd *responseForwarder, active *activeAttempt) {
	if !s.deps.Directory.IsUsable(active.server) {
		return
	}
	var broken *brokenAttempt
	if fwd.attemptEvents() == 0 && (fwd.splitter != nil || !fwd.started) {
		begun := fwd.status >= http.StatusOK
		broken = &brokenAttempt{request: req.ID, exposure: quarantine.Exposure{Traits: req.traits, SentAt: active.writtenAt, Begun: begun}}
	}
	now := s.deps.Clock.Now()
	isNew, crashedAt := s.crashes.add(now, incarnationOf(active.server), broken)
	switch {
	case isNew:
		go s.checkCrash(active.server)
	case !crashedAt.IsZero() && broken != nil && broken.exposure.Begun:
		s.recordCrash(active.server, crashedAt, []brokenAttempt{*broken}, 1)
	}
}

// checkCrash finds out whether a backend server to which a connection broke has crashed:
// it then refuses connections.
func (s *Server) checkCrash(server *directory.BackendServer) {
	time.Sleep(crashGatherTime)
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTime)
	defer cancel()
	crashed := s.deps.Pool.Refused(ctx, server.Address)
	at, attempts, broken := s.crashes.close(incarnationOf(server), crashed)
	if !crashed {
		s.deps.Log.WithFields(logrus.Fields{"event": "backend_listens", "server": server.ID, "address": server.Address, "broken": broken}).Info("backend server still listens after a connection to it broke")
		return
	}
	s.metrics.crashes.Inc(1)
	s.recordCrash(server, at, attempts, broken)
}

// recordCrash records a crash, the attempts that may have caused it, and how many attempts
// had made no progress.
func (s *Server) recordCrash(server *directory.BackendServer, at time.Time, attempts []brokenAttempt, broken int) {
	now := s.deps.Clock.Now()
	s.doubt(serverIDOf(server), at, "")
	crash := quarantine.Crash{Server: serverIDOf(server), At: at, Broken: broken}
	var requests []string
	for _, a := range attempts {
		requests = append(requests, a.request)
		if len(a.exposure.Traits) > 0 {
			crash.Exposures = append(crash.Exposures, a.exposure)
		}
	}
	if len(crash.Exposures) == 0 {
		crash.Exposures = []quarantine.Exposure{quarantine.NoExposure(url.PathEscape(server.Service), at)}
	}
	s.deps.Log.WithFields(logrus.Fields{
		"event": "backend_crashed", "server": server.ID, "started_at_ms": server.StartedAtMs, "service": server.Service, "address": server.Address,
		"after_ms": now.Sub(at).Milliseconds(), "suspects": requests,
	}).Warn("backend server refuses connections after connections to it broke")
	s.logQuarantine(s.quarantine.RecordCrash(now, crash), "")
}

// serverIDOf identifies the incarnation of a backend server in reports.
func serverIDOf(b *directory.BackendServer) quarantine.ServerID {
	return quarantine.ServerID(b.ID + "@" + strconv.FormatInt(b.StartedAtMs, 10))
}

// recordSound records that a backend server completed a response to the request, or has
// made progress with it for some time.
func (s *Server) recordSound(req *request) {
	if len(req.traits) > 0 {
		s.logQuarantine(s.quarantine.RecordSuccess(s.deps.Clock.Now(), req.traits), "")
	}
}

// logQuarantine logs and counts changes; peer is the gateway that reported them, or empty.
func (s *Server) logQuarantine(changes []quarantine.Change, peer string) {
	for _, c := range changes {
		s.metrics.quarantineChanges.Inc(1)
		fields := logrus.Fields{"event": string(c.Kind), "traits": c.Traits, "crashes": c.Crashes, "for_ms": c.Hold.Milliseconds()}
		if peer != "" {
			fields["peer"] = peer
		}
		s.deps.Log.WithFields(fields).Warn("requests that crash backend servers: quarantine changed")
	}
	if len(changes) > 0 {
		s.metrics.quarantined.Update(int64(s.quarantine.Active()))
	}
}

// decideQuarantine decides whether the request may be sent.
func (s *Server) decideQuarantine(req *request) quarantine.Decision {
	d, changes := s.quarantine.Decide(s.deps.Clock.Now(), req.traits, req.trialOf)
	s.logQuarantine(changes, "")
	if !d.Blocked && d.Rule != "" && req.trialOf == "" {
		req.trialOf = d.Rule
		req.log.WithFields(logrus.Fields{"event": "quarantine_trial", "traits": d.Traits}).Info("request sent as a trial, although requests like it have crashed backend servers")
	}
	return d
}

// finishQuarantined ends a request that must not be sent. If no backend server has run it,
// its caller is informed when one like it may be sent again.
func (s *Server) finishQuarantined(req *request, fwd *responseForwarder, d quarantine.Decision) {
	s.metrics.quarantineRefusals.Inc(1)
	hold := d.Until.Sub(s.deps.Clock.Now())
	req.log.WithFields(logrus.Fields{"event": "request_quarantined", "traits": d.Traits, "for_ms": hold.Milliseconds(), "sends": req.attempts, "runs": req.runs}).Info("requests like this one crash backend servers")
	if req.runs == 0 && !fwd.started && fwd.failure == nil {
		s.refuse(req, newRefusal(http.StatusServiceUnavailable, reasonQuarantined).withRetryAfter(hold+s.jitter()))
		return
	}
	s.finishUnsuccessful(req, fwd, reasonQuarantined)
}
