package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

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

// withoutToken adds the cold servers for which there is no token to the excluded ones.
func (s *Server) withoutToken(excluded map[string]bool, usable []*directory.BackendServer) map[string]bool {
	now, all := s.deps.Clock.Now(), make(map[string]bool, len(excluded)+1)
	for id := range excluded {
		all[id] = true
	}
	for _, b := range usable {
		if incarnation := incarnationOf(b); s.limits.Limited(now, incarnation) && !s.limits.HasToken(now, incarnation, s.limitShare(incarnation)) {
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
