package entry

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net/http"
	"path"
	"strings"

	"github.com/kataras/iris/v12"
	"github.com/rotisserie/eris"

	"github.com/sesameswitch/sesameswitch/agentapi"
	"github.com/sesameswitch/sesameswitch/idempotency"
	"github.com/sesameswitch/sesameswitch/manifest"
	"github.com/sesameswitch/sesameswitch/membudget"
	"github.com/sesameswitch/sesameswitch/outcome"
	"github.com/sesameswitch/sesameswitch/timeline"
)

// HTTP headers of the interface for callers.
const (
	HeaderClass          = "Sesame-Class"
	HeaderRequestID      = "Sesame-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
)

const servicePrefix = "/v1/services/"

// Handler returns the HTTP handler for callers.
func (e *Entry) Handler() (http.Handler, error) {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Post("/v1/chat/completions", e.handleChat)
	app.Post("/v1/keys", e.handleMintKey)
	app.Get("/v1/models", e.handleModels)
	app.Any(servicePrefix+"{rest:path}", e.handleService)
	app.OnAnyErrorCode(func(ctx iris.Context) {
		e.refuse(ctx, newID(), outcome.Refuse(outcome.ReasonNotFound, "no such path or method"))
	})
	if err := app.Build(); err != nil {
		return nil, eris.Wrap(err, "entry: routes")
	}
	return e.refuseUnsafePaths(app), nil
}

// refuseUnsafePaths refuses requests with unsafe paths before they are routed. A
// backend server could resolve such a path to another one than the path by which
// the route was selected.
func (e *Entry) refuseUnsafePaths(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if isUnsafePath(r.URL.Path) || isUnsafePath(r.URL.EscapedPath()) {
			writeProblem(w, newID(), badRequest("the path contains . or .. or an empty part"))
			e.metrics.countRefusal("", outcome.ReasonBadRequest)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// isUnsafePath reports whether a path is not in its shortest form (a trailing
// slash is allowed), or contains an encoded dot or separator or a backslash.
func isUnsafePath(p string) bool {
	lower := strings.ToLower(p)
	if strings.Contains(lower, "%2e") || strings.Contains(lower, "%2f") || strings.Contains(lower, "%5c") {
		return true
	}
	clean := path.Clean(p)
	return p != clean && p != clean+"/" || strings.Contains(p, "\\")
}

// caller is the account of an authenticated request, with the configuration
// that applies to the request.
type caller struct {
	config  *manifest.View
	account *manifest.ClientAccount
}

func (e *Entry) authenticate(ctx iris.Context) (caller, *outcome.Refusal) {
	config := e.activeConfig(ctx.Request().Context())
	if config == nil {
		return caller{}, outcome.Refuse(outcome.ReasonStarting, "the entry has no configuration yet")
	}
	key, found := strings.CutPrefix(ctx.GetHeader("Authorization"), "Bearer ")
	if !found {
		return caller{}, outcome.Refuse(outcome.ReasonUnauthenticated, "the bearer key is missing")
	}
	account, ok := config.Authenticate(key)
	if !ok {
		return caller{}, outcome.Refuse(outcome.ReasonUnauthenticated, "the bearer key is not known")
	}
	return caller{config: config, account: account}, nil
}

// readBody reads the body of a request, within the memory that requests may hold together. The
// connection of a refused request is closed.
func readBody(ctx iris.Context, claim *membudget.Claim, limit int64) ([]byte, *outcome.Refusal) {
	r := ctx.Request()
	body, err := membudget.ReadBody(claim, http.MaxBytesReader(ctx.ResponseWriter(), r.Body, limit), r.ContentLength, int(limit))
	complete := claim.Complete()
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge), errors.Is(err, membudget.ErrTooLarge):
		return nil, outcome.Refuse(outcome.ReasonTooLarge, "the body is too large")
	case !complete && claim.Displaced():
		ctx.Header("Connection", "close")
		return nil, outcome.Refuse(outcome.ReasonMemory, "the account holds more than its share of the memory").WithRetryAfter(membudget.StallTime)
	case !complete:
		ctx.Header("Connection", "close")
		return nil, outcome.Refuse(outcome.ReasonSlowRequest, "the body stopped while memory was short")
	case errors.Is(err, membudget.ErrNoRoom):
		ctx.Header("Connection", "close")
		return nil, outcome.Refuse(outcome.ReasonMemory, "other requests hold the memory").WithRetryAfter(membudget.StallTime)
	case err != nil:
		return nil, badRequest("the body could not be read")
	}
	if conn := requestConn(r); conn != nil {
		conn.occupied.Store(true)
	}
	return body, nil
}

// selectClass returns the class that the caller asked for, or the default class
// of the route, if the account may use it.
func selectClass(c caller, route *manifest.Route, requested string) (*manifest.Class, *outcome.Refusal) {
	name, ok := route.Class(requested)
	if !ok {
		return nil, badRequest("the class " + requested + " is not one of the route's")
	}
	class, ok := c.config.Class(name)
	if !ok {
		return nil, badRequest("the class " + name + " is not configured")
	}
	if !c.account.Allows(name) {
		return nil, outcome.Refuse(outcome.ReasonForbidden, "the account may not use the class "+name)
	}
	return class, nil
}

// handleChat serves POST /v1/chat/completions.
func (e *Entry) handleChat(ctx iris.Context) {
	e.handle(ctx, e.readChat)
}

func (e *Entry) readChat(ctx iris.Context, c caller, req *request) *outcome.Refusal {
	limits := c.config.Manifest.Limits
	body, refusal := readBody(ctx, req.memory, limits.MaxBodyBytes)
	if refusal != nil {
		return refusal
	}
	chat, refusal := decodeChat(body, limits.MaxJSONDepth)
	if refusal != nil {
		return refusal
	}
	route, ok := c.config.RouteForModel(chat.Model)
	if !ok {
		return outcome.Refuse(outcome.ReasonNotFound, "the model "+chat.Model+" is not known")
	}
	if req.class, refusal = selectClass(c, route, ctx.GetHeader(HeaderClass)); refusal != nil {
		return refusal
	}
	req.args.Model = chat.Model
	req.args.Stream = chat.Stream
	req.args.Method = http.MethodPost
	req.args.Path = "/v1/chat/completions"
	req.args.Header = map[string]string{"Content-Type": "application/json"}
	req.args.Body = body
	req.routing.PrefixHash = chat.prefixHash()
	return nil
}

// handleService serves requests to plain services.
func (e *Entry) handleService(ctx iris.Context) {
	e.handle(ctx, e.readService)
}

func (e *Entry) readService(ctx iris.Context, c caller, req *request) *outcome.Refusal {
	servicePath := strings.TrimPrefix(ctx.Request().URL.Path, servicePrefix)
	name, subpath, _ := strings.Cut(servicePath, "/")
	subpath = "/" + subpath
	if _, ok := c.config.Service(name); !ok {
		return outcome.Refuse(outcome.ReasonNotFound, "the service "+name+" is not known")
	}
	method := ctx.Method()
	route, ok := c.config.RouteForService(name, method, subpath)
	if !ok {
		return outcome.Refuse(outcome.ReasonNotFound, "no route for "+method+" "+subpath)
	}
	body, refusal := readBody(ctx, req.memory, c.config.Manifest.Limits.MaxBodyBytes)
	if refusal != nil {
		return refusal
	}
	if req.class, refusal = selectClass(c, route, ctx.GetHeader(HeaderClass)); refusal != nil {
		return refusal
	}
	req.args.Service = name
	req.args.Method = method
	req.args.Path = subpath
	if query := ctx.Request().URL.RawQuery; query != "" {
		req.args.Path += "?" + query
	}
	req.args.Header = forwardedHeaders(ctx.Request().Header)
	req.args.Body = body
	return nil
}

// forwardedHeaders returns the headers that describe the content; only these
// are forwarded to plain services.
func forwardedHeaders(h http.Header) map[string]string {
	forwarded := map[string]string{}
	for _, name := range []string{"Content-Type", "Accept", "Accept-Language"} {
		if value := h.Get(name); value != "" {
			forwarded[name] = value
		}
	}
	return forwarded
}

// handle processes one request from its receipt to its final response.
func (e *Entry) handle(ctx iris.Context, read func(iris.Context, caller, *request) *outcome.Refusal) {
	req := &request{id: newID(), receivedAt: e.deps.Clock.Now(), memory: e.newClaim(ctx.Request())}
	c, refusal := e.authenticate(ctx)
	if refusal == nil {
		req.account = c.account
		req.memory.Attribute(c.account.Name)
		refusal = read(ctx, c, req)
	}
	refusal = unknownIfKeyed(refusal, ctx.GetHeader(HeaderIdempotencyKey))
	if refusal == nil {
		refusal = e.prepare(ctx, c, req)
	}
	if refusal != nil {
		req.memory.Release()
		e.refuse(ctx, req.id, refusal)
		return
	}
	e.deps.Timeline.RecordWith(timeline.RequestReceived, req.id, "", timeline.Attributes{Class: req.class.Name, Account: req.account.Name})
	e.respond(ctx, req)
}

// unknownIfKeyed changes the outcome of a refusal to unknown when the request
// carries a valid idempotency key: the refusal depends on the state or the
// active configuration of this entry, and another entry may have let a request
// with the same key run. Refusals of malformed requests stay as they are.
func unknownIfKeyed(refusal *outcome.Refusal, key string) *outcome.Refusal {
	if refusal == nil || refusal.Reason == outcome.ReasonBadRequest {
		return refusal
	}
	if _, err := idempotency.Parse(key); err != nil {
		return refusal
	}
	return outcome.NewUnknown(refusal.Reason, refusal.Detail).WithRetryAfter(refusal.RetryAfter)
}

// prepare fills in the common arguments and the routing attributes of a request,
// applies the rate limit of the account and checks the idempotency key if the
// class needs one. An at-most-once request over the rate limit is not refused
// here; see refuseReason.
func (e *Entry) prepare(ctx iris.Context, c caller, req *request) *outcome.Refusal {
	req.retryRatio = c.config.Manifest.Limits.RetryBudget
	req.args.RequestID = req.id
	req.args.Entry = e.cfg.VM.Name
	req.args.ConfigVersion = c.config.Version()
	req.args.Account = c.account.Name
	req.args.Class = req.class.Name
	req.args.Keyed = req.keyed()
	req.routing.Tier = req.class.Tier
	req.routing.Class = req.class.Name
	req.routing.Model = req.args.Model
	req.routing.Service = req.args.Service
	req.routing.Account = c.account.Name
	if req.args.Stream {
		req.routing.InterTokenTarget = req.class.Targets.BetweenTokens
	}
	allowed, wait := e.limiter.allow(e.deps.Clock.Now(), c.account, len(e.deps.Members.Entries()))
	if !req.keyed() {
		if !allowed {
			return outcome.Refuse(outcome.ReasonRateLimited, "the account is over its limit").WithRetryAfter(wait)
		}
		return nil
	}
	if !allowed {
		req.refuseReason = outcome.ReasonRateLimited
	}
	req.args.BodySum = bodySum(&req.args)
	return req.setKey(ctx.GetHeader(HeaderIdempotencyKey))
}

func bodySum(args *agentapi.SubmitArgs) [32]byte {
	h := sha256.New()
	h.Write([]byte(args.Method + " " + args.Path + "\n"))
	h.Write(args.Body)
	return [32]byte(h.Sum(nil))
}

// setKey parses the idempotency key of the request and checks that it belongs
// to the account.
func (r *request) setKey(keyText string) *outcome.Refusal {
	if keyText == "" {
		return outcome.Refuse(outcome.ReasonKeyMissing, "the class runs at most once: get a key from POST /v1/keys and send it as "+HeaderIdempotencyKey)
	}
	key, err := idempotency.Parse(keyText)
	if err != nil {
		return outcome.Refuse(outcome.ReasonKeyInvalid, "the idempotency key was not minted here: "+err.Error())
	}
	if !key.BelongsTo(r.account.Name) {
		return outcome.Refuse(outcome.ReasonForbidden, "the idempotency key belongs to another account")
	}
	r.key, r.keyText = &key, keyText
	return nil
}

// respond serves a request that passed the checks of the entry. It returns
// before the end of a stream on a hijacked connection.
func (e *Entry) respond(ctx iris.Context, req *request) {
	e.retryBudget.SetRatio(req.retryRatio)
	e.retryBudget.RecordRequest(e.deps.Clock.Now())
	if !req.args.Stream {
		e.serveToEnd(ctx.Request().Context(), req, newBufferSink(ctx.ResponseWriter(), ctx.Request(), req))
		return
	}
	if conn, ok := hijack(ctx.ResponseWriter(), ctx.Request()); ok {
		e.hijackedStreams.Add(1)
		go e.serveHijacked(conn, req)
		return
	}
	e.serveToEnd(ctx.Request().Context(), req, newStreamSink(ctx.ResponseWriter(), req.id))
}

// serveToEnd serves a request, completes the response and records the outcome.
func (e *Entry) serveToEnd(ctx context.Context, req *request, out responseSink) {
	defer req.memory.Release()
	refusal := e.serve(ctx, req, out)
	switch err := out.end(refusal); {
	case errors.Is(err, errUnreadResponse):
		refusal = outcome.NewUnknown(outcome.ReasonMemory, err.Error())
	case err != nil:
		refusal = outcome.NewUnknown(outcome.ReasonCancelled, "the caller did not read the response in time")
	}
	e.metrics.countResponse(req, refusal, e.since(req.receivedAt))
	if refusal == nil {
		e.deps.Timeline.RecordWith(timeline.ResponseCompleted, req.id, "", timeline.Attributes{Outcome: string(outcome.Completed)})
		return
	}
	e.deps.Timeline.RecordWith(timeline.ResponseFailed, req.id, refusal.Detail, timeline.Attributes{
		Outcome: string(refusal.Outcome), Reason: string(refusal.Reason),
	})
}

func (e *Entry) serve(ctx context.Context, req *request, out sink) *outcome.Refusal {
	if req.keyed() {
		return e.serveKeyed(ctx, req, out)
	}
	return e.serveIdempotent(ctx, req, out)
}

// refuse responds to a request that the entry itself refuses.
func (e *Entry) refuse(ctx iris.Context, id string, refusal *outcome.Refusal) {
	e.metrics.countRefusal("", refusal.Reason)
	e.deps.Timeline.RecordWith(timeline.RequestRefused, id, refusal.Detail, timeline.Attributes{
		Outcome: string(refusal.Outcome), Reason: string(refusal.Reason),
	})
	writeProblem(ctx.ResponseWriter(), id, refusal)
}

// newID returns a random identifier for a request or an attempt.
func newID() string {
	var b [12]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
