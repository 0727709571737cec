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
	"github.com/sesameswitch/sesameswitch/telemetry"
	"github.com/sesameswitch/sesameswitch/timeline"
)

const (
	testKey  = "secret"
	otherKey = "secret-2"
)

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

// server is a backend server whose answers the test scripts.
type server struct {
	mu   sync.Mutex
	runs int
	// answer writes what the server says to its n-th run, counted from 1.
	answer func(n int, call provider.Request) (*provider.Response, error)
	// cancelled, when set, makes each run go on until it is cancelled.
	cancelled chan struct{}
}

func (s *server) Do(ctx context.Context, call provider.Request) (*provider.Response, error) {
	s.mu.Lock()
	s.runs++
	n := s.runs
	s.mu.Unlock()
	reply, err := s.answer(n, call)
	if s.cancelled != nil {
		reply.Body = &endless{Reader: reply.Body, ctx: ctx, cancelled: s.cancelled}
	}
	return reply, err
}

// endless is a body that goes on until its run is cancelled.
type endless struct {
	io.Reader
	ctx       context.Context
	cancelled chan struct{}
}

func (e *endless) Read(p []byte) (int, error) {
	if n, _ := e.Reader.Read(p); n > 0 {
		return n, nil
	}
	<-e.ctx.Done()
	close(e.cancelled)
	return 0, e.ctx.Err()
}

func (e *endless) Close() error { return nil }

func (s *server) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs
}

func body(text string) *provider.Response {
	return &provider.Response{Status: 200, Length: -1, Body: io.NopCloser(strings.NewReader(text))}
}

// network carries calls to agents in this process and can lose them.
type network struct {
	mu     sync.Mutex
	agents map[string]*agent.Service
	// lose, when set, says whether a call fails after the agent carried it
	// out, and whether one fails before.
	lose func(address, method string) (before, after bool)
}

func (n *network) Call(_ context.Context, address, method string, args, reply any) error {
	n.mu.Lock()
	service, ok := n.agents[address]
	before, after := false, false
	if n.lose != nil {
		before, after = n.lose(address, method)
	}
	n.mu.Unlock()
	if !ok || before {
		return eris.Wrap(peer.ErrNotSent, address)
	}
	if err := dispatch(service, method, args, reply); err != nil || !after {
		return err
	}
	return eris.Wrap(peer.ErrConnectionLost, address)
}

func dispatch(service *agent.Service, method string, args, reply any) error {
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

// bench is a deployment in one process: agents before scripted servers and
// two entries.
type bench struct {
	network *network
	entries []http.Handler
	list    []*Entry
	agents  []*agent.Agent
}

func newBench(t testing.TB, manifest []byte, servers ...*server) *bench {
	t.Helper()
	b := &bench{network: &network{agents: map[string]*agent.Service{}}}
	var vms []provider.VM
	for i, s := range servers {
		vm := provider.VM{Name: fmt.Sprintf("agent-%d", i+1), Address: fmt.Sprintf("agent-%d:1", i+1), Role: provider.RoleAgent, State: provider.VMLive}
		vms = append(vms, vm)
		b.addAgent(t, manifest, vm, s)
	}
	for i := range 2 {
		b.addEntry(t, manifest, fmt.Sprintf("entry-%d", i+1), vms)
	}
	return b
}

func quiet() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func storeOf(t testing.TB, manifest []byte) *configsync.Store {
	t.Helper()
	store := configsync.NewStore(clock.New(), configsync.Hooks{})
	if _, err := store.Apply(manifest, configsync.SourceService); err != nil {
		t.Fatal(err)
	}
	return store
}

func (b *bench) addAgent(t testing.TB, manifest []byte, vm provider.VM, s *server) {
	c := clock.New()
	a := agent.New(agent.Config{
		VM: vm, Incarnation: agentapi.Incarnation("life-of-" + vm.Name),
		Models: []string{"m"}, Services: []string{"booking"}, Slots: 8, KeptAnswerBytes: 1 << 20,
	}, agent.Dependencies{
		BackendServer: s, Configuration: storeOf(t, manifest), Clock: c, Metrics: telemetry.New(),
		Timeline: timeline.New(timeline.Process{}, 256, c),
	})
	run(t, a.Run)
	a.Serve()
	for a.Status().State != agentapi.StateServing {
		runtime.Gosched()
	}
	b.agents = append(b.agents, a)
	b.network.agents[vm.Address] = agent.NewService(a)
}

func (b *bench) addEntry(t testing.TB, manifest []byte, name string, vms []provider.VM) {
	t.Helper()
	c := clock.New()
	self := provider.VM{Name: name, Role: provider.RoleEntry, State: provider.VMLive}
	members := membership.NewTable(self, c)
	members.Apply(append([]provider.VM{self}, vms...))
	e := New(Config{VM: self, SubsetSize: 8, Seed: 1}, Dependencies{
		Peers: b.network, Configuration: storeOf(t, manifest), Members: members, Clock: c,
		Metrics: telemetry.New(), Timeline: timeline.New(timeline.Process{}, 256, c), Log: quiet(),
	})
	e.agents.update(members.Agents())
	e.agents.beat(context.Background())
	handler, err := e.Handler()
	if err != nil {
		t.Fatal(err)
	}
	b.entries = append(b.entries, handler)
	b.list = append(b.list, e)
}

func run(t testing.TB, duty func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- duty(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
}

// do sends one request through an entry.
func (b *bench) do(entry int, method, path, body string, header ...string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+testKey)
	for i := 0; i < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	b.entries[entry].ServeHTTP(w, request)
	return w
}

func (b *bench) mint(t *testing.T) string {
	t.Helper()
	w := b.do(0, http.MethodPost, "/v1/keys", `{"class":"payment","service":"booking"}`)
	var reply keyReply
	if err := json.Unmarshal(w.Body.Bytes(), &reply); err != nil || reply.Key == "" {
		t.Fatalf("no key: %s", w.Body)
	}
	return reply.Key
}

func (b *bench) pay(entry int, key, body string) *httptest.ResponseRecorder {
	return b.do(entry, http.MethodPost, "/v1/services/booking/payments", body, HeaderIdempotencyKey, key)
}

func outcomeOf(w *httptest.ResponseRecorder) outcome.Outcome {
	if o := w.Result().Trailer.Get(outcome.HeaderOutcome); o != "" {
		return outcome.Outcome(o)
	}
	return outcome.Outcome(w.Result().Header.Get(outcome.HeaderOutcome))
}

func events(first, end int) string {
	var text strings.Builder
	for i := first; i < end; i++ {
		fmt.Fprintf(&text, "id: %d\ndata: t%d\n\n", i, i)
	}
	return text.String()
}

const (
	done       = "data: [DONE]\n\n"
	streamBody = `{"model":"m","stream":true,"messages":[]}`
)

func TestStreamGoesOnAtAnotherAgent(t *testing.T) {
	breaks := &server{answer: func(int, provider.Request) (*provider.Response, error) { return body(events(0, 3)), nil }}
	resumes := &server{answer: func(_ int, call provider.Request) (*provider.Response, error) {
		if !bytes.Contains(call.Body, []byte(`"sesame_resume_after":3`)) {
			return body(events(0, 6) + done), nil
		}
		return body(events(3, 6) + done), nil
	}}
	for _, servers := range [][]*server{{breaks, resumes}, {resumes, breaks}} {
		b := newBench(t, manifestText(""), servers...)
		for range 4 {
			w := b.do(0, http.MethodPost, "/v1/chat/completions", streamBody)
			if got := w.Body.String(); got != events(0, 6)+done || outcomeOf(w) != outcome.Completed {
				t.Fatalf("outcome %s, got %q", outcomeOf(w), got)
			}
		}
	}
}

func TestBrokenStreamMayWaitPastItsTarget(t *testing.T) {
	class := &manifest.Class{Tier: manifest.TopTier, Targets: manifest.Targets{FirstToken: time.Second}}
	r := &request{class: class, received: time.Unix(100, 0), args: agentapi.SubmitArgs{Stream: true}}
	late := time.Unix(110, 0)
	if left := r.targetLeft(late); left != time.Millisecond || r.queueFor(left) == 0 {
		t.Fatalf("before its first token: %v left", left)
	}
	r.resuming = true
	if left := r.targetLeft(late); left != resumeWithin || r.queueFor(left) != 0 {
		t.Fatalf("after its first token: %v left", left)
	}
}

func TestBrokenStreamEndsInAnErrorEvent(t *testing.T) {
	breaks := &server{answer: func(int, provider.Request) (*provider.Response, error) { return body(events(0, 3)), nil }}
	b := newBench(t, manifestText(""), breaks)
	w := b.do(0, http.MethodPost, "/v1/chat/completions", streamBody)
	got := w.Body.String()
	if !strings.HasPrefix(got, events(0, 3)+"event: error\ndata: {") || strings.Contains(got, "[DONE]") || outcomeOf(w) != outcome.Unknown {
		t.Fatalf("outcome %s, got %q", outcomeOf(w), got)
	}
}

func TestKeyThroughTwoEntriesAtOnceRunsOnce(t *testing.T) {
	s := &server{answer: func(n int, _ provider.Request) (*provider.Response, error) { return body(fmt.Sprint("run ", n)), nil }}
	b := newBench(t, manifestText(""), s)
	key := b.mint(t)
	var answers [8]string
	var all sync.WaitGroup
	for i := range answers {
		all.Go(func() { answers[i] = b.pay(i%2, key, "{}").Body.String() })
	}
	all.Wait()
	for _, got := range answers {
		if got != "run 1" || s.count() != 1 {
			t.Fatalf("answers %q, %d runs", answers, s.count())
		}
	}
}

func TestKeySurvivesALostReply(t *testing.T) {
	s := &server{answer: func(n int, _ provider.Request) (*provider.Response, error) { return body(fmt.Sprint("run ", n)), nil }}
	for _, method := range []string{agentapi.MethodSubmit, agentapi.MethodRead} {
		b := newBench(t, manifestText(""), s)
		key := b.mint(t)
		lost := 0
		b.network.lose = func(_, m string) (before, after bool) {
			if m != method || lost == 2 {
				return false, false
			}
			lost++
			return lost == 1, lost == 2
		}
		before := s.count()
		w := b.pay(0, key, "{}")
		if outcomeOf(w) != outcome.Completed || s.count() != before+1 {
			t.Fatalf("%s lost: outcome %s, %d runs", method, outcomeOf(w), s.count()-before)
		}
	}
}

func TestKeyOfAnAgentThatIsGoneIsUnknown(t *testing.T) {
	s := &server{answer: func(int, provider.Request) (*provider.Response, error) { return body("x"), nil }}
	gone, stays := newBench(t, manifestText(""), s, s), newBench(t, manifestText(""), s)
	for range 8 {
		key := gone.mint(t)
		w := stays.pay(0, key, "{}")
		if got := outcomeOf(w); got == outcome.NotRun {
			t.Fatalf("outcome %s for a key that may have run elsewhere", got)
		}
	}
}

func TestRefusalIsNotRunOnlyIfNothingRan(t *testing.T) {
	fails := &server{answer: func(int, provider.Request) (*provider.Response, error) { return nil, eris.New("reset") }}
	b := newBench(t, manifestText(""), fails, fails)
	b.agents[1].Leave()
	for range 3 {
		w := b.do(0, http.MethodGet, "/v1/services/booking/x", "")
		if w.Code < 500 || outcomeOf(w) != outcome.Unknown {
			t.Fatalf("status %d, outcome %s", w.Code, outcomeOf(w))
		}
	}
	b.agents[0].Leave()
	w := b.do(1, http.MethodGet, "/v1/services/booking/x", "")
	if w.Code != http.StatusServiceUnavailable || outcomeOf(w) != outcome.NotRun || w.Header().Get("Retry-After") == "" {
		t.Fatalf("status %d, outcome %s, headers %v", w.Code, outcomeOf(w), w.Header())
	}
}

// TestRetryStormIsBounded lets callers repeat at once what fails everywhere.
func TestRetryStormIsBounded(t *testing.T) {
	fails := &server{answer: func(int, provider.Request) (*provider.Response, error) { return nil, eris.New("reset") }}
	b := newBench(t, manifestText(""), fails, fails, fails)
	const requests = 500
	for range requests {
		w := b.do(0, http.MethodGet, "/v1/services/booking/x", "")
		if w.Code < 500 || outcomeOf(w) == outcome.NotRun && w.Header().Get("Retry-After") == "" {
			t.Fatalf("status %d, outcome %s, headers %v", w.Code, outcomeOf(w), w.Header())
		}
	}
	if most := requests + requests/10 + minRetriesPerSecond*10; fails.count() > most {
		t.Fatalf("%d runs of %d requests, at most %d are allowed", fails.count(), requests, most)
	}
}

func TestLimitSealsAKeyInsteadOfGuessing(t *testing.T) {
	s := &server{answer: func(n int, _ provider.Request) (*provider.Response, error) { return body(fmt.Sprint("run ", n)), nil }}
	b := newBench(t, manifestText(", requests_per_second: 0.001, burst: 2"), s)
	ran, fresh := b.mint(t), b.mint(t)
	if w := b.pay(0, ran, "{}"); outcomeOf(w) != outcome.Completed {
		t.Fatalf("first use: %s", w.Body)
	}
	if w := b.pay(0, ran, "{}"); outcomeOf(w) != outcome.Completed {
		t.Fatalf("repeat over the limit of a key that ran: %s", w.Body)
	}
	if w := b.pay(0, fresh, "{}"); outcomeOf(w) != outcome.NotRun || w.Code != http.StatusTooManyRequests {
		t.Fatalf("new key over the limit: %d %s", w.Code, w.Body)
	}
	if w := b.pay(1, fresh, "{}"); outcomeOf(w) != outcome.NotRun || s.count() != 1 {
		t.Fatalf("sealed key: %s, %d runs", w.Body, s.count())
	}
}

func TestBadInput(t *testing.T) {
	s := &server{answer: func(int, provider.Request) (*provider.Response, error) { return body("x"), nil }}
	b := newBench(t, manifestText(""), s)
	const chat, pay, get = "/v1/chat/completions", "/v1/services/booking/payments", "/v1/services/booking/catalogue"
	const post = http.MethodPost
	key := b.mint(t)
	cases := map[string]struct {
		method, path, body string
		header             []string
		status             int
		reason             outcome.Reason
	}{
		"no bearer key":       {post, chat, streamBody, []string{"Authorization", ""}, 401, outcome.ReasonUnauthenticated},
		"wrong bearer key":    {post, chat, streamBody, []string{"Authorization", "Bearer x"}, 401, outcome.ReasonUnauthenticated},
		"body too large":      {post, chat, strings.Repeat("x", 4097), nil, 413, outcome.ReasonTooLarge},
		"not JSON":            {post, chat, "x", nil, 400, outcome.ReasonBadRequest},
		"too deep":            {post, chat, `{"model":"m","messages":[[[[[[[[[[]]]]]]]]]]}`, nil, 400, outcome.ReasonBadRequest},
		"unknown model":       {post, chat, `{"model":"z","messages":[]}`, nil, 404, outcome.ReasonNotFound},
		"unknown class":       {post, chat, streamBody, []string{HeaderClass, "z"}, 400, outcome.ReasonBadRequest},
		"unknown service":     {http.MethodGet, "/v1/services/z/x", "", nil, 404, outcome.ReasonNotFound},
		"no such route":       {http.MethodDelete, pay, "", nil, 404, outcome.ReasonNotFound},
		"no such path":        {http.MethodGet, "/v2/x", "", nil, 404, outcome.ReasonNotFound},
		"path that climbs":    {http.MethodGet, "/v1/services/booking/../x", "", nil, 400, outcome.ReasonBadRequest},
		"class not allowed":   {post, chat, streamBody, []string{"Authorization", "Bearer " + otherKey}, 403, outcome.ReasonForbidden},
		"no key":              {post, pay, "{}", nil, 400, outcome.ReasonKeyMissing},
		"key not minted here": {post, pay, "{}", []string{HeaderIdempotencyKey, "0197c9e2-7b3a-7000-8000-000000000000"}, 400, outcome.ReasonKeyInvalid},
		"key cut short":       {post, pay, "{}", []string{HeaderIdempotencyKey, key[:len(key)-1]}, 400, outcome.ReasonKeyInvalid},
		"mint without class":  {post, "/v1/keys", `{"service":"booking"}`, nil, 400, outcome.ReasonBadRequest},
		"mint not JSON":       {post, "/v1/keys", `x`, nil, 400, outcome.ReasonBadRequest},
		"mint for nothing":    {post, "/v1/keys", `{"class":"payment"}`, nil, 400, outcome.ReasonBadRequest},
		"lookup path is fine": {http.MethodGet, get, "", nil, 200, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			before := s.count()
			w := b.do(0, c.method, c.path, c.body, c.header...)
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
			if w.Header().Get("Content-Type") != outcome.ProblemContentType || s.count() != before {
				t.Fatalf("headers %v, %d runs", w.Header(), s.count()-before)
			}
		})
	}
}

func TestKeyOfAnotherAccountOrBody(t *testing.T) {
	s := &server{answer: func(int, provider.Request) (*provider.Response, error) { return body("x"), nil }}
	b := newBench(t, manifestText(""), s)
	key := b.mint(t)
	if w := b.pay(0, key, `{"amount":1}`); outcomeOf(w) != outcome.Completed {
		t.Fatalf("first use: %s", w.Body)
	}
	if w := b.pay(1, key, `{"amount":2}`); w.Code != http.StatusConflict {
		t.Fatalf("another body: %d %s", w.Code, w.Body)
	}
	if s.count() != 1 {
		t.Fatalf("%d runs", s.count())
	}
}
