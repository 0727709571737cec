package entry

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/sesameswitch/sesameswitch/agent"
	"github.com/sesameswitch/sesameswitch/agentapi"
	"github.com/sesameswitch/sesameswitch/clock"
	"github.com/sesameswitch/sesameswitch/configsync"
	"github.com/sesameswitch/sesameswitch/manifest"
	"github.com/sesameswitch/sesameswitch/membership"
	"github.com/sesameswitch/sesameswitch/outcome"
	"github.com/sesameswitch/sesameswitch/peer"
	"github.com/sesameswitch/sesameswitch/provider"
	"github.com/sesameswitch/sesameswitch/retry"
	"github.com/sesameswitch/sesameswitch/telemetry"
	"github.com/sesameswitch/sesameswitch/timeline"
)

const (
	testKey  = "secret"
	otherKey = "secret-2"
)

// manifestText returns the manifest of the test deployment; limits is added to
// the fields of the account acme.
func manifestText(limits string) []byte {
	hash := func(key string) string {
		sum := sha256.Sum256([]byte(key))
		return hex.EncodeToString(sum[:])
	}
	return fmt.Appendf(nil, `
version: 1
deployment: test
classes:
  - {name: chat, tier: 1, repeatability: idempotent, targets: {first_token: 20s}}
  - {name: payment, tier: 1, repeatability: at_most_once, targets: {whole: 20s}}
  - {name: lookup, tier: 3, repeatability: idempotent, targets: {whole: 20s}}
models: [{name: m, max_tokens: 100}]
services: [{name: booking}]
accounts:
  - {name: acme, key_hashes: [%q]%s}
  - {name: other, key_hashes: [%q], classes: [lookup]}
routes:
  - {model: m, classes: [chat]}
  - {service: booking, methods: [POST], path_prefix: /payments, classes: [payment]}
  - {service: booking, methods: [GET], classes: [lookup]}
limits: {max_body_bytes: 4096, max_json_depth: 8}
...
`, hash(testKey), limits, hash(otherKey))
}

// scriptedServer is a backend server whose responses are set by the test.
type scriptedServer struct {
	// softwareVersion is what its agent states.
	softwareVersion string

	mu   sync.Mutex
	runs int
	// respond returns the response to the n-th run, counted from 1.
	respond func(n int, req provider.Request) (*provider.Response, error)
	// cancelled, when set, makes a run last until it is cancelled; the channel is
	// then closed.
	cancelled chan struct{}
}

func (s *scriptedServer) Do(ctx context.Context, req provider.Request) (*provider.Response, error) {
	s.mu.Lock()
	s.runs++
	n := s.runs
	s.mu.Unlock()
	resp, err := s.respond(n, req)
	if s.cancelled != nil {
		resp.Body = &unendingBody{Reader: resp.Body, ctx: ctx, cancelled: s.cancelled}
	}
	return resp, err
}

// unendingBody is a body that does not end until its run is cancelled.
type unendingBody struct {
	io.Reader
	ctx       context.Context
	cancelled chan struct{}
}

func (b *unendingBody) Read(p []byte) (int, error) {
	if n, _ := b.Reader.Read(p); n > 0 {
		return n, nil
	}
	<-b.ctx.Done()
	close(b.cancelled)
	return 0, b.ctx.Err()
}

func (b *unendingBody) Close() error { return nil }

func (s *scriptedServer) runCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs
}

func bodyResponse(text string) *provider.Response {
	return &provider.Response{Status: 200, Length: -1, Body: io.NopCloser(strings.NewReader(text))}
}

// fakeNetwork passes calls to agents in this process and can make them fail.
type fakeNetwork struct {
	mu     sync.Mutex
	agents map[string]*agent.RPCService
	// failCall, when set, returns whether a call fails before it reaches the
	// agent, and whether its reply is lost after the agent executed it.
	failCall func(address, method string) (notSent, replyLost bool)
}

func (n *fakeNetwork) Call(_ context.Context, address, method string, args, reply any) error {
	n.mu.Lock()
	service, ok := n.agents[address]
	notSent, replyLost := false, false
	if n.failCall != nil {
		notSent, replyLost = n.failCall(address, method)
	}
	n.mu.Unlock()
	if !ok || notSent {
		return eris.Wrap(peer.ErrNotSent, address)
	}
	if err := dispatch(service, method, args, reply); err != nil || !replyLost {
		return err
	}
	return eris.Wrap(peer.ErrConnectionLost, address)
}

func dispatch(service *agent.RPCService, method string, args, reply any) error {
	switch method {
	case agentapi.MethodSubmit:
		return service.Submit(args.(agentapi.SubmitArgs), reply.(*agentapi.SubmitReply))
	case agentapi.MethodRead:
		return service.Read(args.(agentapi.ReadArgs), reply.(*agentapi.ReadReply))
	case agentapi.MethodCancel:
		return service.Cancel(args.(agentapi.CancelArgs), reply.(*agentapi.CancelReply))
	default:
		return service.Status(args.(agentapi.StatusArgs), reply.(*agentapi.StatusReply))
	}
}

// testDeployment is a deployment in one process: agents with scripted servers,
// and two entries.
type testDeployment struct {
	network  *fakeNetwork
	handlers []http.Handler
	entries  []*Entry
	agents   []*agent.Agent
}

func newTestDeployment(t testing.TB, manifest []byte, servers ...*scriptedServer) *testDeployment {
	t.Helper()
	d := &testDeployment{network: &fakeNetwork{agents: map[string]*agent.RPCService{}}}
	var vms []provider.VM
	for i, s := range servers {
		vm := provider.VM{Name: fmt.Sprintf("agent-%d", i+1), Address: fmt.Sprintf("agent-%d:1", i+1), Role: provider.RoleAgent, State: provider.VMLive}
		vms = append(vms, vm)
		d.addAgent(t, manifest, vm, s)
	}
	for i := range 2 {
		d.addEntry(t, manifest, fmt.Sprintf("entry-%d", i+1), vms)
	}
	return d
}

func discardingLogger() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func newStore(t testing.TB, manifest []byte) *configsync.Store {
	t.Helper()
	store := configsync.NewStore(clock.New(), configsync.Hooks{})
	if _, err := store.Apply(manifest, configsync.OriginService); err != nil {
		t.Fatal(err)
	}
	return store
}

func (d *testDeployment) addAgent(t testing.TB, manifest []byte, vm provider.VM, s *scriptedServer) {
	c := clock.New()
	a := agent.New(agent.Config{
		VM: vm, Incarnation: agentapi.Incarnation("life-of-" + vm.Name),
		Models: []string{"m"}, Services: []string{"booking"}, SoftwareVersion: s.softwareVersion, Slots: 8, StoredResponseBytes: 1 << 20,
	}, agent.Dependencies{
		BackendServer: s, Configuration: newStore(t, manifest), Clock: c, Metrics: telemetry.New(),
		Timeline: timeline.New(timeline.Process{}, 256, c),
	})
	runInBackground(t, a.Run)
	a.Serve()
	for a.Status().State != agentapi.StateServing {
		runtime.Gosched()
	}
	d.agents = append(d.agents, a)
	d.network.agents[vm.Address] = agent.NewRPCService(a)
}

func (d *testDeployment) addEntry(t testing.TB, manifest []byte, name string, vms []provider.VM) {
	t.Helper()
	c := clock.New()
	self := provider.VM{Name: name, Role: provider.RoleEntry, State: provider.VMLive}
	members := membership.NewTable(self, c)
	members.Apply(append([]provider.VM{self}, vms...))
	e := New(Config{VM: self, SubsetSize: 8, Seed: 1}, Dependencies{
		Peers: d.network, Configuration: newStore(t, manifest), Members: members, Clock: c,
		Metrics: telemetry.New(), Timeline: timeline.New(timeline.Process{}, 256, c), Log: discardingLogger(),
	})
	e.agents.applyMembership(members.Agents())
	e.agents.sendHeartbeats(context.Background())
	handler, err := e.Handler()
	if err != nil {
		t.Fatal(err)
	}
	d.handlers = append(d.handlers, handler)
	d.entries = append(d.entries, e)
}

func runInBackground(t testing.TB, task func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- task(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
}

// do sends one request to an entry.
func (d *testDeployment) do(entry int, method, path, body string, header ...string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+testKey)
	for i := 0; i < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	d.handlers[entry].ServeHTTP(w, request)
	return w
}

// mint gets an idempotency key for a payment from the first entry.
func (d *testDeployment) mint(t *testing.T) string {
	t.Helper()
	w := d.do(0, http.MethodPost, "/v1/keys", `{"class":"payment","service":"booking"}`)
	var reply keyResponse
	if err := json.Unmarshal(w.Body.Bytes(), &reply); err != nil || reply.Key == "" {
		t.Fatalf("mint returned no key: %s", w.Body)
	}
	return reply.Key
}

// pay sends a payment, which runs at most once, to an entry.
func (d *testDeployment) pay(entry int, key, body string) *httptest.ResponseRecorder {
	return d.do(entry, http.MethodPost, "/v1/services/booking/payments", body, HeaderIdempotencyKey, key)
}

// outcomeOf returns the outcome in the trailer or else in the headers.
func outcomeOf(w *httptest.ResponseRecorder) outcome.Outcome {
	if o := w.Result().Trailer.Get(outcome.HeaderOutcome); o != "" {
		return outcome.Outcome(o)
	}
	return outcome.Outcome(w.Result().Header.Get(outcome.HeaderOutcome))
}

// eventsText returns the numbered events from first up to, but without, end.
func eventsText(first, end int) string {
	var text strings.Builder
	for i := first; i < end; i++ {
		fmt.Fprintf(&text, "id: %d\ndata: t%d\n\n", i, i)
	}
	return text.String()
}

const (
	doneEvent  = "data: [DONE]\n\n"
	streamBody = `{"model":"m","stream":true,"messages":[]}`
)

func TestBrokenStreamResumesAtAnotherAgent(t *testing.T) {
	breakingServer := &scriptedServer{respond: func(int, provider.Request) (*provider.Response, error) { return bodyResponse(eventsText(0, 3)), nil }}
	resumingServer := &scriptedServer{respond: func(_ int, req provider.Request) (*provider.Response, error) {
		if !bytes.Contains(req.Body, []byte(`"sesame_resume_after":3`)) {
			return bodyResponse(eventsText(0, 6) + doneEvent), nil
		}
		return bodyResponse(eventsText(3, 6) + doneEvent), nil
	}}
	for _, servers := range [][]*scriptedServer{{breakingServer, resumingServer}, {resumingServer, breakingServer}} {
		d := newTestDeployment(t, manifestText(""), servers...)
		for range 4 {
			w := d.do(0, http.MethodPost, "/v1/chat/completions", streamBody)
			if got := w.Body.String(); got != eventsText(0, 6)+doneEvent || outcomeOf(w) != outcome.Completed {
				t.Fatalf("outcome %s, got %q, want a completed stream of 6 events", outcomeOf(w), got)
			}
		}
	}
}

// TestBrokenStreamResumesAtOtherSoftwareVersion guards against a stream that an entry continues at
// an engine of another software version.
func TestBrokenStreamResumesAtOtherSoftwareVersion(t *testing.T) {
	engine := func(version string) *scriptedServer {
		return &scriptedServer{softwareVersion: version, respond: func(_ int, req provider.Request) (*provider.Response, error) {
			if bytes.Contains(req.Body, []byte(`"sesame_resume_after":3`)) {
				return bodyResponse(eventsText(3, 6) + doneEvent), nil
			}
			return bodyResponse(eventsText(0, 3)), nil
		}}
	}
	for name, test := range map[string]struct {
		versions []string
		want     outcome.Outcome
	}{
		"other versions only":      {[]string{"v1", "v2", "v3"}, outcome.Unknown},
		"one of the same version":  {[]string{"v1", "v2", "v1", "v2"}, outcome.Completed},
		"no version is configured": {[]string{"", ""}, outcome.Completed},
	} {
		var engines []*scriptedServer
		for _, version := range test.versions {
			engines = append(engines, engine(version))
		}
		d := newTestDeployment(t, manifestText(""), engines...)
		runs := func() map[string]int { // by version
			byVersion := make(map[string]int)
			for _, e := range engines {
				byVersion[e.softwareVersion] += e.runCount()
			}
			return byVersion
		}
		for range 4 {
			before := runs()
			w := d.do(0, http.MethodPost, "/v1/chat/completions", streamBody)
			if got := outcomeOf(w); got != test.want {
				t.Errorf("%s: outcome %s, want %s", name, got, test.want)
			}
			versions := 0
			for version, n := range runs() {
				if n > before[version] {
					versions++
				}
			}
			if versions != 1 {
				t.Errorf("%s: a stream ran at %d versions, want one", name, versions)
			}
		}
	}
}

func TestBrokenStreamHasResumeWindowAfterItsTarget(t *testing.T) {
	class := &manifest.Class{Tier: manifest.TopTier, Targets: manifest.Targets{FirstToken: time.Second}}
	r := &request{class: class, receivedAt: time.Unix(100, 0), args: agentapi.SubmitArgs{Stream: true}}
	afterTarget := time.Unix(110, 0)
	if remaining := r.targetRemaining(afterTarget); remaining != time.Millisecond || r.maxQueueTime(remaining) == 0 {
		t.Fatalf("before its first token: %v remaining, want 1ms and a queue limit", remaining)
	}
	r.resuming = true
	if remaining := r.targetRemaining(afterTarget); remaining != resumeWindow || r.maxQueueTime(remaining) != 0 {
		t.Fatalf("after its first token: %v remaining, want the resume window and no queue limit", remaining)
	}
}

func TestBrokenStreamEndsWithErrorEvent(t *testing.T) {
	breakingServer := &scriptedServer{respond: func(int, provider.Request) (*provider.Response, error) { return bodyResponse(eventsText(0, 3)), nil }}
	d := newTestDeployment(t, manifestText(""), breakingServer)
	w := d.do(0, http.MethodPost, "/v1/chat/completions", streamBody)
	got := w.Body.String()
	if !strings.HasPrefix(got, eventsText(0, 3)+"event: error\ndata: {") || strings.Contains(got, "[DONE]") || outcomeOf(w) != outcome.Unknown {
		t.Fatalf("outcome %s, got %q, want 3 events, an error event and the outcome unknown", outcomeOf(w), got)
	}
}

func TestConcurrentUseOfKeyAtTwoEntriesRunsOnce(t *testing.T) {
	s := &scriptedServer{respond: func(n int, _ provider.Request) (*provider.Response, error) {
		return bodyResponse(fmt.Sprint("run ", n)), nil
	}}
	d := newTestDeployment(t, manifestText(""), s)
	key := d.mint(t)
	var responses [8]string
	var group sync.WaitGroup
	for i := range responses {
		group.Go(func() { responses[i] = d.pay(i%2, key, "{}").Body.String() })
	}
	group.Wait()
	for _, got := range responses {
		if got != "run 1" || s.runCount() != 1 {
			t.Fatalf("responses %q, %d runs, want 1 run and its response to all", responses, s.runCount())
		}
	}
}

// TestKeyedRequestCompletesAfterLostReply makes the first call of a method fail
// before it is sent and loses the reply to the second. The request must
// complete with one run.
func TestKeyedRequestCompletesAfterLostReply(t *testing.T) {
	s := &scriptedServer{respond: func(n int, _ provider.Request) (*provider.Response, error) {
		return bodyResponse(fmt.Sprint("run ", n)), nil
	}}
	for _, method := range []string{agentapi.MethodSubmit, agentapi.MethodRead} {
		d := newTestDeployment(t, manifestText(""), s)
		key := d.mint(t)
		failures := 0
		d.network.failCall = func(_, m string) (notSent, replyLost bool) {
			if m != method || failures == 2 {
				return false, false
			}
			failures++
			return failures == 1, failures == 2
		}
		before := s.runCount()
		w := d.pay(0, key, "{}")
		if outcomeOf(w) != outcome.Completed || s.runCount() != before+1 {
			t.Fatalf("reply of %s lost: outcome %s, %d runs, want completed and 1 run", method, outcomeOf(w), s.runCount()-before)
		}
	}
}

func TestKeyOfUnknownAgentIsNotReportedAsNotRun(t *testing.T) {
	s := &scriptedServer{respond: func(int, provider.Request) (*provider.Response, error) { return bodyResponse("x"), nil }}
	withAgent, withoutAgent := newTestDeployment(t, manifestText(""), s, s), newTestDeployment(t, manifestText(""), s)
	for range 8 {
		key := withAgent.mint(t)
		w := withoutAgent.pay(0, key, "{}")
		if got := outcomeOf(w); got == outcome.NotRun {
			t.Fatalf("outcome %s, want any other: the request may have run at the agent of its key", got)
		}
	}
}

func TestOutcomeIsNotRunOnlyIfNoAttemptRan(t *testing.T) {
	failingServer := &scriptedServer{respond: func(int, provider.Request) (*provider.Response, error) { return nil, eris.New("reset") }}
	d := newTestDeployment(t, manifestText(""), failingServer, failingServer)
	d.agents[1].StartDraining()
	for range 3 {
		w := d.do(0, http.MethodGet, "/v1/services/booking/x", "")
		if w.Code < 500 || outcomeOf(w) != outcome.Unknown {
			t.Fatalf("attempt failed: status %d, outcome %s, want status 500 or above and unknown", w.Code, outcomeOf(w))
		}
	}
	d.agents[0].StartDraining()
	w := d.do(1, http.MethodGet, "/v1/services/booking/x", "")
	if w.Code != http.StatusServiceUnavailable || outcomeOf(w) != outcome.NotRun || w.Header().Get("Retry-After") == "" {
		t.Fatalf("all agents drain: status %d, outcome %s, headers %v, want 503, not_run and Retry-After", w.Code, outcomeOf(w), w.Header())
	}
}

// TestRetryBudgetBoundsRetryStorm sends many requests while every backend server
// fails. Without the retry budget, each request would be attempted several times.
// The budget allows one retry per ten requests, and the guaranteed rate over its
// window of 10 s.
func TestRetryBudgetBoundsRetryStorm(t *testing.T) {
	failingServer := &scriptedServer{respond: func(int, provider.Request) (*provider.Response, error) { return nil, eris.New("reset") }}
	d := newTestDeployment(t, manifestText(""), failingServer, failingServer, failingServer)
	const requests = 500
	for range requests {
		w := d.do(0, http.MethodGet, "/v1/services/booking/x", "")
		if w.Code < 500 || outcomeOf(w) == outcome.NotRun && w.Header().Get("Retry-After") == "" {
			t.Fatalf("status %d, outcome %s, headers %v, want status 500 or above, and Retry-After if not_run", w.Code, outcomeOf(w), w.Header())
		}
	}
	if maxRuns := requests + requests/10 + minRetriesPerSecond*10; failingServer.runCount() > maxRuns {
		t.Fatalf("%d runs of %d requests, want at most %d", failingServer.runCount(), requests, maxRuns)
	}
}

// TestLastAttemptTakesNoRetry checks that a request that has used all its attempts
// takes no further retry from the budget.
func TestLastAttemptTakesNoRetry(t *testing.T) {
	failingServer := &scriptedServer{respond: func(int, provider.Request) (*provider.Response, error) { return nil, eris.New("reset") }}
	for _, servers := range []int{1, 2, maxAttempts, maxAttempts + 1} {
		d := newTestDeployment(t, manifestText(""), slices.Repeat([]*scriptedServer{failingServer}, servers)...)
		d.do(0, http.MethodGet, "/v1/services/booking/x", "")
		runs := min(servers, maxAttempts)
		left := 0
		for d.entries[0].retryBudget.TryRetry(time.Now()) {
			left++
		}
		fresh := 0
		for budget := retry.NewBudget(0, minRetriesPerSecond); budget.TryRetry(time.Now()); {
			fresh++
		}
		if taken := fresh - left; taken > runs-1 {
			t.Errorf("%d servers: %d retries taken for %d runs, want at most %d", servers, taken, runs, runs-1)
		}
	}
}

func TestRateLimitSealsUnusedKey(t *testing.T) {
	s := &scriptedServer{respond: func(n int, _ provider.Request) (*provider.Response, error) {
		return bodyResponse(fmt.Sprint("run ", n)), nil
	}}
	d := newTestDeployment(t, manifestText(", requests_per_second: 0.001, burst: 2"), s)
	usedKey, unusedKey := d.mint(t), d.mint(t)
	if w := d.pay(0, usedKey, "{}"); outcomeOf(w) != outcome.Completed {
		t.Fatalf("first use of the key: %s, want completed", w.Body)
	}
	if w := d.pay(0, usedKey, "{}"); outcomeOf(w) != outcome.Completed {
		t.Fatalf("key that ran, used again over the limit: %s, want completed", w.Body)
	}
	if w := d.pay(0, unusedKey, "{}"); outcomeOf(w) != outcome.NotRun || w.Code != http.StatusTooManyRequests {
		t.Fatalf("unused key over the limit: status %d, %s, want 429 and not_run", w.Code, w.Body)
	}
	if w := d.pay(1, unusedKey, "{}"); outcomeOf(w) != outcome.NotRun || s.runCount() != 1 {
		t.Fatalf("sealed key: %s, %d runs, want not_run and 1 run", w.Body, s.runCount())
	}
}

func TestInvalidRequestsAreRefused(t *testing.T) {
	s := &scriptedServer{respond: func(int, provider.Request) (*provider.Response, error) { return bodyResponse("x"), nil }}
	d := newTestDeployment(t, manifestText(""), s)
	const chat, pay, get = "/v1/chat/completions", "/v1/services/booking/payments", "/v1/services/booking/catalogue"
	const post = http.MethodPost
	key := d.mint(t)
	cases := map[string]struct {
		method, path, body string
		header             []string
		status             int
		reason             outcome.Reason
	}{
		"no bearer key":         {post, chat, streamBody, []string{"Authorization", ""}, 401, outcome.ReasonUnauthenticated},
		"wrong bearer key":      {post, chat, streamBody, []string{"Authorization", "Bearer x"}, 401, outcome.ReasonUnauthenticated},
		"body too large":        {post, chat, strings.Repeat("x", 4097), nil, 413, outcome.ReasonTooLarge},
		"not JSON":              {post, chat, "x", nil, 400, outcome.ReasonBadRequest},
		"too deep":              {post, chat, `{"model":"m","messages":[[[[[[[[[[]]]]]]]]]]}`, nil, 400, outcome.ReasonBadRequest},
		"unknown model":         {post, chat, `{"model":"z","messages":[]}`, nil, 404, outcome.ReasonNotFound},
		"unknown class":         {post, chat, streamBody, []string{HeaderClass, "z"}, 400, outcome.ReasonBadRequest},
		"unknown service":       {http.MethodGet, "/v1/services/z/x", "", nil, 404, outcome.ReasonNotFound},
		"no such route":         {http.MethodDelete, pay, "", nil, 404, outcome.ReasonNotFound},
		"no such path":          {http.MethodGet, "/v2/x", "", nil, 404, outcome.ReasonNotFound},
		"path with dot segment": {http.MethodGet, "/v1/services/booking/../x", "", nil, 400, outcome.ReasonBadRequest},
		"class not allowed":     {post, chat, streamBody, []string{"Authorization", "Bearer " + otherKey}, 403, outcome.ReasonForbidden},
		"no key":                {post, pay, "{}", nil, 400, outcome.ReasonKeyMissing},
		"not a minted key":      {post, pay, "{}", []string{HeaderIdempotencyKey, "0197c9e2-7b3a-7000-8000-000000000000"}, 400, outcome.ReasonKeyInvalid},
		"truncated key":         {post, pay, "{}", []string{HeaderIdempotencyKey, key[:len(key)-1]}, 400, outcome.ReasonKeyInvalid},
		"mint without class":    {post, "/v1/keys", `{"service":"booking"}`, nil, 400, outcome.ReasonBadRequest},
		"mint not JSON":         {post, "/v1/keys", `x`, nil, 400, outcome.ReasonBadRequest},
		"mint without service":  {post, "/v1/keys", `{"class":"payment"}`, nil, 400, outcome.ReasonBadRequest},
		"valid lookup":          {http.MethodGet, get, "", nil, 200, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			before := s.runCount()
			w := d.do(0, c.method, c.path, c.body, c.header...)
			if w.Code != c.status {
				t.Fatalf("status %d, want %d: %s", w.Code, c.status, w.Body)
			}
			if c.reason == "" {
				return
			}
			var problem outcome.Problem
			if err := json.Unmarshal(w.Body.Bytes(), &problem); err != nil || problem.Reason != c.reason || problem.Detail == "" {
				t.Fatalf("problem %s, want reason %s", w.Body, c.reason)
			}
			if w.Header().Get("Content-Type") != outcome.ProblemContentType || s.runCount() != before {
				t.Fatalf("headers %v, %d runs, want a problem document and no run", w.Header(), s.runCount()-before)
			}
		})
	}
}

func TestKeyReusedForAnotherBodyIsRefused(t *testing.T) {
	s := &scriptedServer{respond: func(int, provider.Request) (*provider.Response, error) { return bodyResponse("x"), nil }}
	d := newTestDeployment(t, manifestText(""), s)
	key := d.mint(t)
	if w := d.pay(0, key, `{"amount":1}`); outcomeOf(w) != outcome.Completed {
		t.Fatalf("first use of the key: %s, want completed", w.Body)
	}
	if w := d.pay(1, key, `{"amount":2}`); w.Code != http.StatusConflict {
		t.Fatalf("key with another body: status %d, want 409: %s", w.Code, w.Body)
	}
	if s.runCount() != 1 {
		t.Fatalf("%d runs, want 1", s.runCount())
	}
}
