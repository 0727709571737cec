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
	"github.com/sesameswitch/sesameswitch/limit"
	"github.com/sesameswitch/sesameswitch/origin"
	"github.com/sesameswitch/sesameswitch/progress"
	"github.com/sesameswitch/sesameswitch/quarantine"
	"github.com/sesameswitch/sesameswitch/retry"
	"github.com/sesameswitch/sesameswitch/routes"
	"github.com/sesameswitch/sesameswitch/routing"
	"github.com/sesameswitch/sesameswitch/telemetry"
	"github.com/sesameswitch/sesameswitch/upstream"
)

const (
	// revocationMargin is subtracted from the time limit for key revocations. It
	// covers the time between two readings of the clock.
	revocationMargin = 150 * time.Millisecond
	// maxUnknownViewAge is the maximum age of the view for refusing a request
	// whose route or key the view lacks. An older view is refreshed first.
	maxUnknownViewAge = 250 * time.Millisecond
	// maxRetiredViewAge is the maximum age of the view for refusing a request
	// whose route or key only an earlier configuration had. A watch of the store
	// returns within this time, which is watchTimeout.
	maxRetiredViewAge = 2400 * time.Millisecond
	// defaultTimeout applies if the route sets no timeout. A caller can only
	// shorten the timeout of a request.
	defaultTimeout = 30 * time.Second
	// startRetryAfter is the retry delay if the gateway has no configuration.
	startRetryAfter = 300 * time.Millisecond
	// minRetryAfter is the minimum of retryDelay and the upper bound of jitter.
	minRetryAfter = 100 * time.Millisecond
)

// SharingCounter returns the number of gateways that share the limits of the
// deployment.
type SharingCounter interface {
	// Sharing returns the number of gateways, including this one, that may be using
	// their share of a limit, whether or not this gateway can reach them now. known is
	// false if this gateway has never reached another one although there should be
	// some; the number is then an assumption.
	Sharing() (gateways int, known bool)
	// Position returns the position of this gateway, from 0, in an order of these
	// gateways, and their number. The order differs from key to key, and is the same at
	// all gateways that know each other.
	Position(key string) (position, gateways int)
	// Others counts the other gateways by whether they can serve requests.
	Others() retry.Others
}

// Dependencies are the components that a Server uses.
type Dependencies struct {
	Codec     Codec
	View      *View
	Directory *directory.Directory
	Scheduler *routing.Scheduler
	Pool      *upstream.Pool
	Gateways  SharingCounter
	// Origins asks other gateways where streams began; nil if there are none.
	Origins OriginAsker
	// Tokens asks other gateways for tokens of cold servers; nil if there are none.
	Tokens TokenAsker
	Clock  clock.Clock
	// Elapsed also advances while the VM is suspended.
	Elapsed clock.Elapsed
	Metrics *telemetry.Metrics
	Log     *logrus.Entry
	// Settings returns the active settings.
	Settings func() *deployment.Settings
	// Seed is the seed of the random jitter of retry delays.
	Seed uint64
}

// Server handles the requests of callers.
type Server struct {
	deps    Dependencies
	metrics *gatewayMetrics
	// mu protects rng, retryBudgets, returns, candidateLists and fleets.
	mu  sync.Mutex
	rng *rand.Rand
	// startedAt is when the server was created.
	startedAt time.Time
	pauses    *clock.Pauses
	// invalidFields limits the log lines about invalid header fields.
	invalidFields logInterval
	// retryBudgets holds the retry budget of each service.
	retryBudgets map[string]*retry.WindowBudget
	// pushback holds which backend servers asked for a pause, returns when the callers
	// of each service return after one.
	pushback *retry.Pushback
	returns  map[string]*retry.Returns
	// limits holds the rates to which backend servers limit all gateways.
	limits *limit.Servers
	// crashes holds the servers that may have crashed, quarantine the requests that are
	// kept away from servers because they crash them.
	crashes    *crashWatch
	quarantine *quarantine.Register
	// origins holds where streams began, inquiries the questions to other gateways about it.
	origins   *origin.Register
	inquiries *inquiries
	// doubts holds the servers of which it is not known what listens at their address.
	doubts *doubts
	// cold holds what is known of cold servers.
	cold coldWatch
	// candidateLists holds the last list of candidates of each service.
	candidateLists map[string]candidateList
	// fleets holds the open attempts at the servers of each service.
	fleets map[string]*progress.Fleet
}

// NewServer returns a server.
func NewServer(deps Dependencies) *Server {
	s := &Server{
		deps: deps, metrics: newGatewayMetrics(deps.Metrics), startedAt: deps.Clock.Now(), pauses: clock.NewPauses(deps.Elapsed),
		rng:          rand.New(rand.NewPCG(deps.Seed, 3)), //nolint:gosec // not for secrets
		retryBudgets: make(map[string]*retry.WindowBudget), candidateLists: make(map[string]candidateList), fleets: make(map[string]*progress.Fleet),
		pushback: retry.NewPushback(), returns: make(map[string]*retry.Returns), limits: limit.NewServers(),
		crashes: newCrashWatch(), quarantine: quarantine.New(), origins: origin.NewRegister(), inquiries: newInquiries(), doubts: newDoubts(),
	}
	s.cold.init()
	return s
}

// retryBudget returns the retry budget of a service. Its window is longer than the
// stated one by the time that a request may be under way to a backend server.
func (s *Server) retryBudget(service string) *retry.WindowBudget {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.retryBudgets[service]
	if b == nil {
		bounds := s.deps.Settings().Bounds
		b = retry.NewWindowBudget(bounds.RetryRatio, bounds.RetryExtra, bounds.RetryWindow+upstream.DefaultUserTimeout, s.startedAt)
		s.retryBudgets[service] = b
	}
	return b
}

// recordRequest counts a request for the retry budget of its service. A request that
// may have waited while the process did not run pays for no retry: its caller sent it
// in an earlier window than the one in which it would be retried.
func (s *Server) recordRequest(service string) {
	if !s.pauses.CatchingUp() {
		s.retryBudget(service).RecordRequest(s.deps.Clock.Now())
	}
}

// checkPause logs and counts that the process did not run for some time.
func (s *Server) checkPause() {
	if pause := s.pauses.Check(); pause > 0 {
		s.metrics.pauses.Inc(1)
		s.deps.Log.WithFields(logrus.Fields{"event": "process_paused", "paused_ms": pause.Milliseconds()}).Warn("the process did not run for some time")
	}
}

// request is a caller's request in flight.
type request struct {
	*RequestInfo
	in      *ingress.Request
	out     *ingress.ResponseWriter
	table   *routes.Table
	route   *routes.Route
	account *routes.ClientAccount
	service *routes.Service
	job     routing.Job
	// content identifies what is asked: requests with the same method, host, target and body
	// have the same.
	content  string
	traits   []quarantine.Trait
	received time.Time
	// deadline is the deadline of the final response.
	deadline time.Time
	// continuation limits the servers at which a stream that has begun may go on; nil before
	// its first event.
	continuation *continuation
	// originRecorded reports whether it was recorded where the stream began.
	originRecorded bool
	// excluded holds the IDs of the backend servers that were already tried.
	excluded map[string]bool
	// trialOf is the rule of the quarantine of which the next attempt is a trial; empty if
	// it is none.
	trialOf string
	// reservedRetry is the budget that allowed a retry which is not sent yet; nil if
	// there is none.
	reservedRetry *retry.WindowBudget
	// attempts counts the attempts that reached a backend server, runs those of
	// them that the backend server may have run.
	attempts, runs int
	// withheld is why the last attempt was not sent; empty if it was. coldWithheld counts
	// the attempts that found no token of a cold server any more.
	withheld     string
	coldWithheld int
	// rechosen counts the attempts whose server was found to have restarted before anything
	// was sent.
	rechosen int
	// moved reports whether an attempt was moved because it made no progress.
	moved bool
	log   *logrus.Entry
}

// Handle serves one request until its final response is sent or the caller
// disconnects.
func (s *Server) Handle(ctx context.Context, in *ingress.Request, out *ingress.ResponseWriter) {
	received := s.deps.Clock.Now()
	info, err := s.deps.Codec.DecodeRequest(in)
	if err != nil {
		s.refuseUnreadable(&request{out: out, log: s.deps.Log}, err)
		return
	}
	req := &request{RequestInfo: info, in: in, out: out, received: received, excluded: make(map[string]bool)}
	req.log = s.deps.Log.WithFields(logrus.Fields{"request": info.ID})
	if refusal := s.admit(ctx, req); refusal != nil {
		s.refuse(req, refusal)
		return
	}
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(req.deadline.Sub(s.deps.Clock.Now())))
	defer cancel()
	if refusal := s.limitTakenUpStream(ctx, req); refusal != nil {
		s.refuse(req, refusal)
		return
	}
	s.serve(ctx, req)
}

// Refuse refuses a request with status 503, before any attempt.
func (s *Server) Refuse(in *ingress.Request, out *ingress.ResponseWriter, reason string, retryAfter time.Duration) {
	info, err := s.deps.Codec.DecodeRequest(in)
	if err != nil {
		info = &RequestInfo{} // the response differs only in the missing request ID
	}
	req := &request{RequestInfo: info, in: in, out: out, received: s.deps.Clock.Now(), log: s.deps.Log.WithField("request", info.ID)}
	s.refuse(req, newRefusal(http.StatusServiceUnavailable, reason).withRetryAfter(retryAfter))
}

// admit determines the route, account, service and deadline of a request, or
// returns why the request is refused. Before a request with an unknown route or
// key is refused, the view is refreshed, because a newer configuration may have
// the route or key.
func (s *Server) admit(ctx context.Context, req *request) *refusal {
	req.table = s.deps.View.Table()
	if req.table == nil {
		return newRefusal(http.StatusServiceUnavailable, "no_configuration").withRetryAfter(startRetryAfter)
	}
	if refusal := s.identify(req); refusal != nil {
		if s.retired(req) {
			return refusal
		}
		if !s.deps.View.Refresh(ctx, maxUnknownViewAge) {
			return newRefusal(http.StatusServiceUnavailable, "configuration_unconfirmed").withRetryAfter(retry.ElsewhereDelay(s.deps.Gateways.Others()))
		}
		req.table = s.deps.View.Table()
		if refusal := s.identify(req); refusal != nil {
			return refusal
		}
	}
	if req.table.NeedsKey(req.route) && !s.keysConfirmed() {
		s.deps.View.AwaitListing(ctx)
		req.table = s.deps.View.Table()
		if refusal := s.identify(req); refusal != nil {
			return refusal
		}
	}
	if req.table.NeedsKey(req.route) && !s.keysConfirmed() {
		return newRefusal(http.StatusServiceUnavailable, "keys_unconfirmed").withRetryAfter(retry.ElsewhereDelay(s.deps.Gateways.Others()))
	}
	timeout := defaultTimeout
	if req.route.Timeout > 0 {
		timeout = req.route.Timeout
	}
	if req.Timeout > 0 {
		timeout = min(timeout, req.Timeout)
	}
	req.deadline = req.received.Add(timeout)
	req.service = req.table.Service(req.route.ChooseService(req.ID))
	req.job = newJob(req)
	req.content = contentOf(req.in)
	req.traits = newTraits(req)
	return nil
}

// identify looks up the route and the account in the request's table.
func (s *Server) identify(req *request) *refusal {
	req.route = req.table.Lookup(hostName(req.in.Host), req.in.Path())
	if req.route == nil {
		return newRefusal(http.StatusNotFound, "no_route")
	}
	req.account = nil
	if !req.table.NeedsKey(req.route) {
		return nil
	}
	req.account = req.table.Authenticate(req.APIKey)
	if req.account == nil {
		return newRefusal(http.StatusUnauthorized, "unknown_key")
	}
	return nil
}

// retired reports whether the request uses a route or key that an earlier
// configuration had and the active one lacks. A refresh would not help then: the
// caller's information is older than the active configuration. The result is false
// if the view is older than maxRetiredViewAge.
func (s *Server) retired(req *request) bool {
	if s.deps.View.Age() > maxRetiredViewAge {
		return false
	}
	if req.route == nil {
		return req.table.RetiredRoute(hostName(req.in.Host), req.in.Path())
	}
	return req.table.RetiredKey(req.APIKey)
}

// Guards that a test build can switch off.
const (
	// GuardAtMostOnce prevents a second run of a request that is not idempotent.
	GuardAtMostOnce mutation.Guard = "gateway.once"
	// GuardKeyRevocation refuses requests with a key if the keys were not
	// confirmed within the time limit for revocations.
	GuardKeyRevocation mutation.Guard = "gateway.keys"
	// GuardStreamVersion keeps a stream at the software version that began it.
	GuardStreamVersion mutation.Guard = "gateway.stream_version"
)

// keysConfirmed reports whether the active keys were confirmed within the time
// limit for key revocations. Without StrictRevocation this is not required, and
// the result is true.
func (s *Server) keysConfirmed() bool {
	bounds := s.deps.Settings().Bounds
	return !bounds.StrictRevocation || mutation.Off(GuardKeyRevocation) || s.deps.View.Age() < bounds.MaxRevocationDelay-revocationMargin
}

// unableToConfirm reports whether this gateway refuses requests because it cannot confirm its
// configuration. Other gateways are informed.
func (s *Server) unableToConfirm() bool {
	return s.deps.View.Table() == nil || !s.keysConfirmed() || s.deps.View.Unreachable()
}

// othersServe reports whether callers are better served by other gateways: this one cannot
// confirm its configuration, and another one can. Open connections would stay here otherwise.
func (s *Server) othersServe() bool { return s.unableToConfirm() && s.deps.Gateways.Others().Serve() }

// newJob describes the request for the scheduler.
func newJob(req *request) routing.Job {
	j := routing.Job{Route: req.route.Name, Service: req.service.Name, LatencyTarget: req.route.LatencyTarget}
	if req.service.Engine == nil {
		return j
	}
	j.Generates = true
	j.Segments, j.PromptTokens, j.OutputTokens = req.Segments, req.PromptTokens, req.OutputTokens
	j.MaxEventGap = req.route.MaxEventGap
	j.Rank = req.rank()
	engine := req.service.Engine
	j.KVCacheTokens, j.TokenBytes = engine.KVCacheTokens, engine.KVBytesPerToken
	if engine.KVBytesPerToken > 0 {
		j.TransferRate = engine.TransferBytesPerMs / engine.KVBytesPerToken
	}
	return j
}

// rank returns the rank of the request at a backend server, from 0 for the
// most urgent to 9. The account's priority takes precedence over the route's.
func (req *request) rank() int {
	rank := min(req.route.Priority, ranksPerAccountPriority-1)
	if req.account != nil {
		rank += ranksPerAccountPriority * req.account.Priority
	}
	return min(rank, lowestRank)
}

const (
	// ranksPerAccountPriority is the number of ranks for each priority of
	// accounts. Each rank is for one priority of routes; the last one is also for
	// all lower priorities.
	ranksPerAccountPriority = 3
	// lowestRank is the rank of the least urgent requests.
	lowestRank = 9
)

// Ready reports whether the gateway can serve callers.
func (s *Server) Ready() bool {
	return s.deps.View.Table() != nil && s.deps.View.Listed() && s.keysConfirmed()
}

// refusal is a final response that the gateway itself generates.
type refusal struct {
	status     int
	reason     string
	retryAfter time.Duration
}

func newRefusal(status int, reason string) *refusal { return &refusal{status: status, reason: reason} }

func (r *refusal) withRetryAfter(delay time.Duration) *refusal {
	r.retryAfter = delay
	return r
}

// refuse sends a refusal as the final response to a request.
func (s *Server) refuse(req *request, r *refusal) {
	fields := logrus.Fields{
		"event": "request_refused", "status": r.status, "reason": r.reason, "sends": req.attempts, "runs": req.runs,
		"view_age_ms": s.deps.View.Age().Milliseconds(), "after_ms": s.sinceReceived(req).Milliseconds(),
		"retry_after_ms": r.retryAfter.Milliseconds(), "no_answer": s.recordNoAnswer(req, r.reason, false),
	}
	if req.table != nil {
		fields["version"] = req.table.Version
	}
	route := ""
	if req.route != nil {
		route = req.route.Name
		fields["route"] = route
	}
	req.log.WithFields(fields).Info("request refused")
	s.metrics.refused(route, r.reason)
	req.out.WriteResponse(r.status, s.deps.Codec.RefusalHeader(req.RequestInfo, r.retryAfter), []byte(r.reason+"\n"))
}

func (s *Server) sinceReceived(req *request) time.Duration {
	return s.deps.Clock.Now().Sub(req.received)
}
