package entry

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"path"
	"strings"

	"github.com/kataras/iris/v12"
	"github.com/rotisserie/eris"

	"github.com/sesameswitch/sesameswitch/agentapi"
	"github.com/sesameswitch/sesameswitch/idempotency"
	"github.com/sesameswitch/sesameswitch/manifest"
	"github.com/sesameswitch/sesameswitch/outcome"
	"github.com/sesameswitch/sesameswitch/timeline"
)

// Headers of the caller interface.
const (
	HeaderClass          = "Sesame-Class"
	HeaderRequestID      = "Sesame-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
)

const servicePrefix = "/v1/services/"

// Handler returns the caller interface.
func (e *Entry) Handler() (http.Handler, error) {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Post("/v1/chat/completions", e.chat)
	app.Post("/v1/keys", e.mintKey)
	app.Get("/v1/models", e.models)
	app.Any(servicePrefix+"{rest:path}", e.service)
	app.OnAnyErrorCode(func(ctx iris.Context) {
		e.refuse(ctx, newID(), outcome.Refuse(outcome.ReasonNotFound, "no such path or method"))
	})
	if err := app.Build(); err != nil {
		return nil, eris.Wrap(err, "entry: routes")
	}
	return e.guardPath(app), nil
}

// guardPath refuses paths that climb before any route sees them.
func (e *Entry) guardPath(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if climbs(r.URL.Path) || climbs(r.URL.EscapedPath()) {
			writeProblem(w, newID(), badRequest("the path contains . or .. or an empty part"))
			e.meters.refused("", outcome.ReasonBadRequest)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// climbs reports whether a path is not in its shortest form or hides
// separators.
func climbs(p string) bool {
	lower := strings.ToLower(p)
	if strings.Contains(lower, "%2e") || strings.Contains(lower, "%2f") || strings.Contains(lower, "%5c") {
		return true
	}
	clean := path.Clean(p)
	return p != clean && p != clean+"/" || strings.Contains(p, "\\")
}

// caller is who sends a request, under which configuration.
type caller struct {
	view    *manifest.View
	account *manifest.ClientAccount
}

func (e *Entry) authenticate(ctx iris.Context) (caller, *outcome.Refusal) {
	view := e.view(ctx.Request().Context())
	if view == nil {
		return caller{}, outcome.Refuse(outcome.ReasonStarting, "the entry has no configuration yet")
	}
	key, found := strings.CutPrefix(ctx.GetHeader("Authorization"), "Bearer ")
	if !found {
		return caller{}, outcome.Refuse(outcome.ReasonUnauthenticated, "the bearer key is missing")
	}
	account, ok := view.Authenticate(key)
	if !ok {
		return caller{}, outcome.Refuse(outcome.ReasonUnauthenticated, "the bearer key is not known")
	}
	return caller{view: view, account: account}, nil
}

func readBody(ctx iris.Context, limit int64) ([]byte, *outcome.Refusal) {
	body, err := io.ReadAll(http.MaxBytesReader(ctx.ResponseWriter(), ctx.Request().Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, outcome.Refuse(outcome.ReasonTooLarge, "the body is too large")
	}
	if err != nil {
		return nil, badRequest("the body could not be read")
	}
	return body, nil
}

// classify gives a request its class.
func classify(c caller, route *manifest.Route, wanted string) (*manifest.Class, *outcome.Refusal) {
	name, ok := route.Class(wanted)
	if !ok {
		return nil, badRequest("the class " + wanted + " is not one of the route's")
	}
	class, ok := c.view.Class(name)
	if !ok {
		return nil, badRequest("the class " + name + " is not configured")
	}
	if !c.account.Allows(name) {
		return nil, outcome.Refuse(outcome.ReasonForbidden, "the account may not use the class "+name)
	}
	return class, nil
}

// chat serves POST /v1/chat/completions.
func (e *Entry) chat(ctx iris.Context) {
	e.handle(ctx, e.chatRequest)
}

func (e *Entry) chatRequest(ctx iris.Context, c caller, req *request) *outcome.Refusal {
	limits := c.view.Manifest.Limits
	body, refusal := readBody(ctx, limits.MaxBodyBytes)
	if refusal != nil {
		return refusal
	}
	chat, refusal := decodeChat(body, limits.MaxJSONDepth)
	if refusal != nil {
		return refusal
	}
	route, ok := c.view.RouteForModel(chat.Model)
	if !ok {
		return outcome.Refuse(outcome.ReasonNotFound, "the model "+chat.Model+" is not known")
	}
	if req.class, refusal = classify(c, route, ctx.GetHeader(HeaderClass)); refusal != nil {
		return refusal
	}
	req.args.Model = chat.Model
	req.args.Stream = chat.Stream
	req.args.Method = http.MethodPost
	req.args.Path = "/v1/chat/completions"
	req.args.Header = map[string]string{"Content-Type": "application/json"}
	req.args.Body = body
	req.route.PrefixHash = chat.prefixHash()
	return nil
}

// service serves the plain services.
func (e *Entry) service(ctx iris.Context) {
	e.handle(ctx, e.serviceRequest)
}

func (e *Entry) serviceRequest(ctx iris.Context, c caller, req *request) *outcome.Refusal {
	rest := strings.TrimPrefix(ctx.Request().URL.Path, servicePrefix)
	name, below, _ := strings.Cut(rest, "/")
	below = "/" + below
	if _, ok := c.view.Service(name); !ok {
		return outcome.Refuse(outcome.ReasonNotFound, "the service "+name+" is not known")
	}
	method := ctx.Method()
	route, ok := c.view.RouteForService(name, method, below)
	if !ok {
		return outcome.Refuse(outcome.ReasonNotFound, "no route for "+method+" "+below)
	}
	body, refusal := readBody(ctx, c.view.Manifest.Limits.MaxBodyBytes)
	if refusal != nil {
		return refusal
	}
	if req.class, refusal = classify(c, route, ctx.GetHeader(HeaderClass)); refusal != nil {
		return refusal
	}
	req.args.Service = name
	req.args.Method = method
	req.args.Path = below
	if query := ctx.Request().URL.RawQuery; query != "" {
		req.args.Path += "?" + query
	}
	req.args.Header = forwardedHeaders(ctx.Request().Header)
	req.args.Body = body
	return nil
}

// forwardedHeaders keeps the headers that describe the content.
func forwardedHeaders(h http.Header) map[string]string {
	kept := map[string]string{}
	for _, name := range []string{"Content-Type", "Accept", "Accept-Language"} {
		if value := h.Get(name); value != "" {
			kept[name] = value
		}
	}
	return kept
}

// handle carries one request from its arrival to its final answer.
func (e *Entry) handle(ctx iris.Context, read func(iris.Context, caller, *request) *outcome.Refusal) {
	req := &request{id: newID(), received: e.deps.Clock.Now()}
	c, refusal := e.authenticate(ctx)
	if refusal == nil {
		req.account = c.account
		refusal = read(ctx, c, req)
	}
	refusal = doubtRepeat(refusal, ctx.GetHeader(HeaderIdempotencyKey))
	if refusal == nil {
		refusal = e.identify(ctx, c, req)
	}
	if refusal != nil {
		e.refuse(ctx, req.id, refusal)
		return
	}
	e.deps.Timeline.RecordWith(timeline.RequestReceived, req.id, "", timeline.Attributes{Class: req.class.Name, Account: req.account.Name})
	e.answer(ctx, req)
}

// doubtRepeat corrects a refusal that hangs on this entry's state or on the
// configuration in force here: when the request carries a key, an entry with
// another version may have let an earlier use of the key run.
func doubtRepeat(refusal *outcome.Refusal, key string) *outcome.Refusal {
	if refusal == nil || refusal.Reason == outcome.ReasonBadRequest {
		return refusal
	}
	if _, err := idempotency.Parse(key); err != nil {
		return refusal
	}
	return outcome.Doubt(refusal.Reason, refusal.Detail).After(refusal.RetryAfter)
}

// identify completes a request with its identity: the idempotency key where
// the class needs one.
func (e *Entry) identify(ctx iris.Context, c caller, req *request) *outcome.Refusal {
	req.retryShare = c.view.Manifest.Limits.RetryBudget
	req.args.RequestID = req.id
	req.args.Entry = e.cfg.VM.Name
	req.args.ConfigVersion = c.view.Version()
	req.args.Account = c.account.Name
	req.args.Class = req.class.Name
	req.args.Keyed = req.keyed()
	req.route.Tier = req.class.Tier
	req.route.Class = req.class.Name
	req.route.Model = req.args.Model
	req.route.Service = req.args.Service
	req.route.Account = c.account.Name
	if req.args.Stream {
		req.route.InterTokenTarget = req.class.Targets.BetweenTokens
	}
	allowed, wait := e.limiter.allow(e.deps.Clock.Now(), c.account, len(e.deps.Members.Entries()))
	if !req.keyed() {
		if !allowed {
			return outcome.Refuse(outcome.ReasonRateLimited, "the account is over its limit").After(wait)
		}
		return nil
	}
	if !allowed {
		req.refuse = outcome.ReasonRateLimited
	}
	req.args.BodySum = bodySum(&req.args)
	return req.takeKey(ctx.GetHeader(HeaderIdempotencyKey))
}

func bodySum(args *agentapi.SubmitArgs) [32]byte {
	h := sha256.New()
	h.Write([]byte(args.Method + " " + args.Path + "\n"))
	h.Write(args.Body)
	return [32]byte(h.Sum(nil))
}

func (r *request) takeKey(text string) *outcome.Refusal {
	if text == "" {
		return outcome.Refuse(outcome.ReasonKeyMissing, "the class runs at most once: get a key from POST /v1/keys and send it as "+HeaderIdempotencyKey)
	}
	key, err := idempotency.Parse(text)
	if err != nil {
		return outcome.Refuse(outcome.ReasonKeyInvalid, "the idempotency key was not minted here: "+err.Error())
	}
	if !key.BelongsTo(r.account.Name) {
		return outcome.Refuse(outcome.ReasonForbidden, "the idempotency key belongs to another account")
	}
	r.key, r.keyText = &key, text
	return nil
}

// answer serves a request that was accepted at the entry. A stream goes on
// after this returns when its connection could be taken over.
func (e *Entry) answer(ctx iris.Context, req *request) {
	e.budget.SetRatio(req.retryShare)
	e.budget.RecordRequest(e.deps.Clock.Now())
	if !req.args.Stream {
		e.finish(ctx.Request().Context(), req, newBufferSink(ctx.ResponseWriter(), req.id))
		return
	}
	if conn, ok := detach(ctx.ResponseWriter(), ctx.Request()); ok {
		e.streams.Add(1)
		go e.serveDetached(conn, req)
		return
	}
	e.finish(ctx.Request().Context(), req, newStreamSink(ctx.ResponseWriter(), req.id))
}

// finish serves a request and gives the final word on it.
func (e *Entry) finish(ctx context.Context, req *request, out finalSink) {
	refusal := e.serve(ctx, req, out)
	out.end(refusal)
	e.meters.answered(req, refusal, e.since(req.received))
	if refusal == nil {
		e.deps.Timeline.RecordWith(timeline.AnswerCompleted, req.id, "", timeline.Attributes{Outcome: string(outcome.Completed)})
		return
	}
	e.deps.Timeline.RecordWith(timeline.AnswerFailed, req.id, refusal.Detail, timeline.Attributes{
		Outcome: string(refusal.Outcome), Reason: string(refusal.Reason),
	})
}

func (e *Entry) serve(ctx context.Context, req *request, out sink) *outcome.Refusal {
	if req.keyed() {
		return e.serveKeyed(ctx, req, out)
	}
	return e.serveRepeatable(ctx, req, out)
}

// refuse answers a request that got no further than the entry.
func (e *Entry) refuse(ctx iris.Context, id string, refusal *outcome.Refusal) {
	e.meters.refused("", refusal.Reason)
	e.deps.Timeline.RecordWith(timeline.RequestRefused, id, refusal.Detail, timeline.Attributes{
		Outcome: string(refusal.Outcome), Reason: string(refusal.Reason),
	})
	writeProblem(ctx.ResponseWriter(), id, refusal)
}

// newID returns a random identity of a request or attempt.
func newID() string {
	var b [12]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
