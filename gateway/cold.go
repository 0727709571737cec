package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sesameswitch/sesameswitch/admission"
	"github.com/sesameswitch/sesameswitch/clock"
	"github.com/sesameswitch/sesameswitch/directory"
	"github.com/sesameswitch/sesameswitch/limit"
	"github.com/sesameswitch/sesameswitch/retry"
	"github.com/sesameswitch/sesameswitch/routes"
)

const (
	// coldSweepInterval is how often it is checked which servers are warm.
	coldSweepInterval = 250 * time.Millisecond
	// maxColdStatements limits the servers whose statements that they are cold are
	// remembered.
	maxColdStatements = 4096
	// coldShareAge is how long a share is used before it is determined again.
	coldShareAge = 100 * time.Millisecond
	// maxColdWithheld is how often a request may lose a token that it was chosen for to
	// another one before the server is left out for it.
	maxColdWithheld = 3
)

// Reasons why a server is cold.
const (
	coldByEntry    = "entry"
	coldByResponse = "response"
	coldByDoubt    = "doubted"
)

// coldWatch holds what this gateway has learnt about cold servers apart from the directory.
type coldWatch struct {
	// changes counts the statements and doubts.
	changes atomic.Int64
	mu      sync.Mutex
	// statedUntil is until when a response stated that a server is cold.
	statedUntil map[retry.Incarnation]time.Time
	// seen holds the list of each service that was last checked.
	seen map[string]coldSeen
	// services holds the service of each cold server, for log lines.
	services map[retry.Incarnation]string
	// shares holds recent shares, by the ID of the server.
	sharesMu sync.Mutex
	shares   map[string]coldShare
}

// coldSeen identifies the knowledge by which the servers of a service were checked.
type coldSeen struct {
	list    **directory.BackendServer
	servers int
	// changes counts what responses and doubts have changed, directory what entries have.
	changes   int64
	directory uint64
	bound     limit.ColdBound
}

func (w *coldWatch) init() {
	w.statedUntil, w.seen, w.services = make(map[retry.Incarnation]time.Time), make(map[string]coldSeen), make(map[retry.Incarnation]string)
	w.shares = make(map[string]coldShare)
}

// recordCold records that a response stated for how long its server stays cold. A shorter
// time does not replace a longer one.
func (s *Server) recordCold(b *directory.BackendServer, coldFor time.Duration) {
	if coldFor <= 0 {
		return
	}
	now, until, incarnation := s.deps.Clock.Now(), s.deps.Clock.Now().Add(min(coldFor, MaxColdTime)), incarnationOf(b)
	w := &s.cold
	w.mu.Lock()
	defer w.mu.Unlock()
	for other, end := range w.statedUntil {
		if !end.After(now) {
			delete(w.statedUntil, other)
		}
	}
	if _, known := w.statedUntil[incarnation]; until.After(w.statedUntil[incarnation]) && (known || len(w.statedUntil) < maxColdStatements) {
		w.statedUntil[incarnation] = until
		w.changes.Add(1)
	}
}

// refreshCold brings the limits of the cold servers of a service up to date, if something
// has changed.
func (s *Server) refreshCold(service *routes.Service, usable []*directory.BackendServer) {
	if service == nil || service.ColdRate <= 0 || len(usable) == 0 {
		return
	}
	bounds := s.deps.Settings().Bounds
	seen := coldSeen{
		list: &usable[0], servers: len(usable), changes: s.cold.changes.Load(), directory: s.deps.Directory.ColdChanges(),
		bound: limit.ColdBound{Rate: service.ColdRate, Excess: bounds.ColdExcess, Extra: bounds.ColdExtra},
	}
	s.cold.mu.Lock()
	defer s.cold.mu.Unlock()
	if s.cold.seen[service.Name] == seen {
		return
	}
	s.cold.seen[service.Name] = seen
	now := s.deps.Clock.Now()
	for _, b := range usable {
		coldFor, reason := s.coldFor(now, b, service.ColdTime)
		s.setCold(now, b, coldFor, reason, seen.bound)
	}
}

// coldFor returns for how long a server stays cold: the longest time that the directory, its
// responses and a doubt about its incarnation give. The caller holds cold.mu.
func (s *Server) coldFor(now time.Time, b *directory.BackendServer, coldTime time.Duration) (coldFor time.Duration, reason string) {
	coldFor, reason = s.deps.View.ColdFor(b, coldTime), coldByEntry
	if stated := s.cold.statedUntil[incarnationOf(b)].Sub(now); stated > coldFor {
		coldFor, reason = stated, coldByResponse
	}
	if since, found := s.doubts.find(s.deps.Elapsed(), serverIDOf(b)); found && s.doubted(b) {
		if left := coldTime - (s.deps.Elapsed() - since); left > coldFor {
			coldFor, reason = left, coldByDoubt
		}
	}
	return coldFor, reason
}

// setCold sets the limit of a server, and logs when it becomes cold. The caller holds
// cold.mu.
func (s *Server) setCold(now time.Time, b *directory.BackendServer, coldFor time.Duration, reason string, bound limit.ColdBound) {
	incarnation := incarnationOf(b)
	entry := s.deps.Log.WithFields(logrus.Fields{"server": b.ID, "started_at_ms": b.StartedAtMs, "service": b.Service, "address": b.Address, "data_centre": b.DataCentre})
	switch s.limits.SetCold(now, incarnation, now.Add(coldFor), bound) {
	case limit.ColdBegan:
		s.cold.services[incarnation] = b.Service
		share := s.limitShare(incarnation)
		entry.WithFields(logrus.Fields{
			"event": "server_cold", "reason": reason, "cold_for_ms": coldFor.Milliseconds(), "until_ms": now.Add(coldFor).UnixMilli(), "rate_per_s": bound.Rate,
			"position": share.Position, "gateways": share.Gateways, "starting": share.Starting,
		}).Info("backend server is cold; the rate of requests to it is limited")
	case limit.ColdIgnored:
		entry.WithField("event", "server_cold_ignored").Warn("too many backend servers are cold; no limit on the rate of requests to this one")
	case limit.ColdUnchanged, limit.ColdEnded:
	}
}

// sweepCold logs which servers are warm, and updates the metrics.
func (s *Server) sweepCold() {
	if !s.limits.AnyCold() {
		return
	}
	summary := s.limits.SweepCold(s.deps.Clock.Now())
	s.metrics.coldServers.Update(int64(summary.Cold))
	s.metrics.tokensExpired.Inc(int64(summary.Expired))
	s.cold.mu.Lock()
	defer s.cold.mu.Unlock()
	for _, server := range summary.Warm {
		s.deps.Log.WithFields(logrus.Fields{"event": "server_warm", "server": server.ID, "started_at_ms": server.StartedAtMs, "service": s.cold.services[server]}).Info("backend server is warm; the rate of requests to it is not limited any more")
		delete(s.cold.services, server)
	}
}

// runColdSweep calls sweepCold periodically until the context ends.
func (d *Daemon) runColdSweep(ctx context.Context) {
	clock.Every(ctx, coldSweepInterval, d.server.sweepCold)
}

// awaitsToken reports whether a server is cold and this gateway has no token for it. The
// server would then have been sent a request: other gateways are asked for a token.
func (s *Server) awaitsToken(b *directory.BackendServer) bool {
	now, incarnation := s.deps.Clock.Now(), incarnationOf(b)
	if s.limits.HasToken(now, incarnation, s.limitShare(incarnation)) {
		return false
	}
	q, ask := s.limits.Want(now, incarnation, s.limitShare(incarnation))
	s.askTokens(incarnation, q, ask)
	return true
}

// askTokens sends a question, unless there is none.
func (s *Server) askTokens(server retry.Incarnation, q limit.Question, ask bool) {
	if ask && s.deps.Tokens != nil && s.deps.Tokens.AskTokens(server, q) {
		s.metrics.tokensAsked.Inc(int64(q.Tokens))
	}
}

// coldShare is a share that was determined some time ago.
type coldShare struct {
	limit.Share
	at time.Time
}

// coldShareOf returns this gateway's share of the limit of a server, which may be
// coldShareAge old: after an evacuation, each choice asks for the shares of many cold
// servers, and each share depends on all gateways.
func (s *Server) coldShareOf(now time.Time, server retry.Incarnation) limit.Share {
	s.cold.sharesMu.Lock()
	defer s.cold.sharesMu.Unlock()
	known, found := s.cold.shares[server.ID]
	if found && now.Sub(known.at) < coldShareAge {
		return known.Share
	}
	if len(s.cold.shares) >= maxColdStatements {
		clear(s.cold.shares)
	}
	known = coldShare{s.limitShare(server), now}
	s.cold.shares[server.ID] = known
	return known.Share
}

// withoutToken adds the cold servers for which there is no token to the excluded ones.
func (s *Server) withoutToken(excluded map[string]bool, usable []*directory.BackendServer) map[string]bool {
	now, all := s.deps.Clock.Now(), make(map[string]bool, len(excluded)+1)
	for id := range excluded {
		all[id] = true
	}
	for _, b := range usable {
		if incarnation := incarnationOf(b); s.limits.Limited(now, incarnation) && !s.limits.HasToken(now, incarnation, s.coldShareOf(now, incarnation)) {
			all[b.ID] = true
		}
	}
	return all
}

// takeToken takes the permission to send a request now to a server with a limit. If a
// borrowed token is used, others may be asked for the next one.
func (s *Server) takeToken(now time.Time, server retry.Incarnation) bool {
	share := s.limitShare(server)
	if !s.limits.Take(now, server, share) {
		return false
	}
	if s.limits.AnyCold() {
		q, ask := s.limits.Ask(now, server, share)
		s.askTokens(server, q, ask)
	}
	return true
}

// holdForToken decides whether a request for which all servers are cold and without a token
// is held, in the same way as for a full server, or refused. A request that may have run is
// held until its deadline.
func (s *Server) holdForToken(req *request, fwd *responseForwarder, chosen chosenServer) admission.GateDecision {
	now := s.deps.Clock.Now()
	wait, remaining := s.allowance(now, chosen.server).At.Sub(now), req.deadline.Sub(now)
	if fwd.started || req.runs > 0 {
		return admission.GateDecision{Action: admission.GateHold, Delay: coldHoldInterval}
	}
	d := admission.Gate{}.Decide(admission.GateRequest{
		Full: true, Waited: s.sinceReceived(req), Remaining: remaining, LatencyTarget: req.route.LatencyTarget, ExpectedWait: wait, FleetWait: remaining, Random: s.random(),
	})
	if d.Action == admission.GateSend { // the gate would now send it to a full server
		d.Action = admission.GateRefuse
	}
	return d
}

// coldHoldInterval is the time between two checks of a held request that may have run.
const coldHoldInterval = 20 * time.Millisecond

// lostToken reports whether another request took the token for which the last attempt was
// chosen, so that the server may be chosen again.
func (req *request) lostToken() bool {
	if req.withheld != withheldCold {
		return false
	}
	req.coldWithheld++
	return req.coldWithheld <= maxColdWithheld
}
