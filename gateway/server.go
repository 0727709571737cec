package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sesameswitch/sesameswitch/clock"
	"github.com/sesameswitch/sesameswitch/deployment"
	"github.com/sesameswitch/sesameswitch/directory"
	"github.com/sesameswitch/sesameswitch/ingress"
	"github.com/sesameswitch/sesameswitch/internal/mutation"
	"github.com/sesameswitch/sesameswitch/retry"
	"github.com/sesameswitch/sesameswitch/routes"
	"github.com/sesameswitch/sesameswitch/routing"
	"github.com/sesameswitch/sesameswitch/telemetry"
	"github.com/sesameswitch/sesameswitch/upstream"
)

const (
	// revokeMargin is taken off the bound for keys that were taken away, for
	// the time between two readings of the clock.
	revokeMargin = 150 * time.Millisecond
	// freshAge is how old a view may be for a request to be refused for what
	// the view lacks.
	freshAge = 250 * time.Millisecond
	// retiredAge is how old a view may be for a request to be refused for what
	// an earlier configuration had: a watch is answered within it.
	retiredAge = 2400 * time.Millisecond
	// defaultDeadline is for requests without a deadline or a timeout.
	defaultDeadline = 30 * time.Second
	// startRetryAfter is when to come back to a gateway without a view.
	startRetryAfter = 300 * time.Millisecond
	// minRetryAfter is the least time to come back after a refusal.
	minRetryAfter = 100 * time.Millisecond
)

// GatewayCounter tells how many gateways share what the deployment allows.
type GatewayCounter interface {
	// LiveCount is how many are believed to be alive, this one included.
	LiveCount() int
}

// Dependencies are the parts that a gateway works with.
type Dependencies struct {
	Codec     Codec
	View      *View
	Directory *directory.Directory
	Scheduler *routing.Scheduler
	Pool      *upstream.Pool
	Gateways  GatewayCounter
	Clock     clock.Clock
	Metrics   *telemetry.Metrics
	Log       *logrus.Entry
	// Settings returns the settings in force.
	Settings func() *deployment.Settings
	Seed     uint64
}

// Server answers the requests of callers.
type Server struct {
	deps   Dependencies
	meters *meters
	mu     sync.Mutex
	rng    *rand.Rand
	// budgets holds the budget of repeats of each service.
	budgets map[string]*retry.WindowBudget
}

// NewServer returns a server.
func NewServer(deps Dependencies) *Server {
	return &Server{
		deps: deps, meters: newMeters(deps.Metrics),
		rng:     rand.New(rand.NewPCG(deps.Seed, 3)), //nolint:gosec // not for secrets
		budgets: make(map[string]*retry.WindowBudget),
	}
}

// budget returns the budget of repeats of a service.
func (s *Server) budget(service string) *retry.WindowBudget {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.budgets[service]
	if b == nil {
		bounds := s.deps.Settings().Bounds
		b = retry.NewWindowBudget(bounds.RetryRatio, bounds.RetryExtra, bounds.RetryWindow)
		s.budgets[service] = b
	}
	return b
}

// request is one request of a caller under way.
type request struct {
	*RequestInfo
	in       *ingress.Request
	out      *ingress.ResponseWriter
	table    *routes.Table
	route    *routes.Route
	account  *routes.ClientAccount
	service  *routes.Service
	job      routing.Job
	received time.Time
	// until is when the final answer is due.
	until    time.Time
	excluded map[string]bool
	// sends counts the sends that reached a backend server, runs those that
	// may have run there.
	sends, runs int
	log         *logrus.Entry
}

// Handle answers one request.
func (s *Server) Handle(ctx context.Context, in *ingress.Request, out *ingress.ResponseWriter) {
	received := s.deps.Clock.Now()
	call, err := s.deps.Codec.DecodeRequest(in)
	if err != nil {
		s.deps.Log.WithError(err).WithField("event", "request_refused").Info("the request cannot be read")
		s.meters.refused("", "bad_request")
		out.WriteResponse(http.StatusBadRequest, s.deps.Codec.RefusalHeader(&RequestInfo{}, 0), []byte(err.Error()+"\n"))
		return
	}
	req := &request{RequestInfo: call, in: in, out: out, received: received, excluded: make(map[string]bool)}
	req.log = s.deps.Log.WithFields(logrus.Fields{"request": call.ID})
	if refusal := s.admit(ctx, req); refusal != nil {
		s.refuse(req, refusal)
		return
	}
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(req.until.Sub(s.deps.Clock.Now())))
	defer cancel()
	s.serve(ctx, req)
}

// Refuse answers a request that is not looked at as not run.
func (s *Server) Refuse(in *ingress.Request, out *ingress.ResponseWriter, reason string, retryAfter time.Duration) {
	call, err := s.deps.Codec.DecodeRequest(in)
	if err != nil {
		call = &RequestInfo{} // the answer is the same, but for its id
	}
	req := &request{RequestInfo: call, in: in, out: out, received: s.deps.Clock.Now(), log: s.deps.Log.WithField("request", call.ID)}
	s.refuse(req, refuse(http.StatusServiceUnavailable, reason).after(retryAfter))
}

// admit finds the route, the account and the service of a request.
func (s *Server) admit(ctx context.Context, req *request) *refusal {
	req.table = s.deps.View.Table()
	if req.table == nil {
		return refuse(http.StatusServiceUnavailable, "no_configuration").after(startRetryAfter)
	}
	if refusal := s.identify(req); refusal != nil {
		if s.retired(req) {
			return refusal
		}
		if !s.deps.View.Refresh(ctx, freshAge) {
			return refuse(http.StatusServiceUnavailable, "configuration_unconfirmed").after(startRetryAfter)
		}
		req.table = s.deps.View.Table()
		if refusal := s.identify(req); refusal != nil {
			return refusal
		}
	}
	if req.table.NeedsKey(req.route) && !s.keysConfirmed() {
		return refuse(http.StatusServiceUnavailable, "keys_unconfirmed").after(startRetryAfter)
	}
	wait := defaultDeadline
	if req.route.Timeout > 0 {
		wait = req.route.Timeout
	}
	if req.Timeout > 0 {
		wait = min(wait, req.Timeout)
	}
	req.until = req.received.Add(wait)
	req.service = req.table.Service(req.route.ChooseService(req.ID))
	req.job = job(req)
	return nil
}

// identify finds the route and the account in the request's table.
func (s *Server) identify(req *request) *refusal {
	req.route = req.table.Lookup(hostName(req.in.Host), req.in.Path())
	if req.route == nil {
		return refuse(http.StatusNotFound, "no_route")
	}
	req.account = nil
	if !req.table.NeedsKey(req.route) {
		return nil
	}
	req.account = req.table.Authenticate(req.APIKey)
	if req.account == nil {
		return refuse(http.StatusUnauthorized, "unknown_key")
	}
	return nil
}

// retired reports whether the request asks for what an earlier configuration
// had, so that the one in force is newer than what the caller knows.
func (s *Server) retired(req *request) bool {
	if s.deps.View.Age() > retiredAge {
		return false
	}
	if req.route == nil {
		return req.table.RetiredRoute(hostName(req.in.Host), req.in.Path())
	}
	return req.table.RetiredKey(req.APIKey)
}

// Guards that a test build can switch off.
const (
	// GuardAtMostOnce keeps a request that is not idempotent from a second run.
	GuardAtMostOnce mutation.Guard = "gateway.once"
	// GuardKeyRevocation refuses keys that were not confirmed within their bound.
	GuardKeyRevocation mutation.Guard = "gateway.keys"
)

// keysConfirmed reports whether the keys in force were confirmed within the
// bound for keys that were taken away.
func (s *Server) keysConfirmed() bool {
	bounds := s.deps.Settings().Bounds
	return !bounds.StrictRevocation || mutation.Off(GuardKeyRevocation) || s.deps.View.Age() < bounds.MaxRevocationDelay-revokeMargin
}

// job describes the request for the choice of a server.
func job(req *request) routing.Job {
	j := routing.Job{Route: req.route.Name, Service: req.service.Name, LatencyTarget: req.route.LatencyTarget}
	if req.service.Engine == nil {
		return j
	}
	j.Generates = true
	j.Segments, j.PromptTokens, j.OutputTokens = req.Segments, req.PromptTokens, req.OutputTokens
	j.MaxEventGap = req.route.MaxEventGap
	j.Rank = req.urgency()
	engine := req.service.Engine
	j.KVCacheTokens, j.TokenBytes = engine.KVCacheTokens, engine.KVBytesPerToken
	if engine.KVBytesPerToken > 0 {
		j.TransferRate = engine.TransferBytesPerMs / engine.KVBytesPerToken
	}
	return j
}

// urgency is the request's rank at a backend server, from 0 to 9. The account's
// priority goes before the route's.
func (req *request) urgency() int {
	rank := min(req.route.Priority, accountStep-1)
	if req.account != nil {
		rank += accountStep * req.account.Priority
	}
	return min(rank, leastUrgent)
}

const (
	// accountStep is how many ranks of routes there are for each rank of
	// accounts.
	accountStep = 3
	leastUrgent = 9
)

// Ready reports whether callers can be served.
func (s *Server) Ready() bool {
	return s.deps.View.Table() != nil && s.deps.View.Listed() && s.keysConfirmed()
}

// refusal is an answer of the gateway's own.
type refusal struct {
	status     int
	reason     string
	retryAfter time.Duration
}

func refuse(status int, reason string) *refusal { return &refusal{status: status, reason: reason} }

func (r *refusal) after(wait time.Duration) *refusal {
	r.retryAfter = wait
	return r
}

// refuse gives the final answer to a request that was not completed.
func (s *Server) refuse(req *request, r *refusal) {
	fields := logrus.Fields{
		"event": "request_refused", "status": r.status, "reason": r.reason, "sends": req.sends, "runs": req.runs,
		"view_age_ms": s.deps.View.Age().Milliseconds(), "after_ms": s.since(req).Milliseconds(),
		"retry_after_ms": r.retryAfter.Milliseconds(),
	}
	if req.table != nil {
		fields["version"] = req.table.Version
	}
	kind := ""
	if req.route != nil {
		kind = req.route.Name
		fields["route"] = kind
	}
	req.log.WithFields(fields).Info("request refused")
	s.meters.refused(kind, r.reason)
	req.out.WriteResponse(r.status, s.deps.Codec.RefusalHeader(req.RequestInfo, r.retryAfter), []byte(r.reason+"\n"))
}

func (s *Server) since(req *request) time.Duration { return s.deps.Clock.Now().Sub(req.received) }
