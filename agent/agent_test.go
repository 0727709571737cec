package agent

import (
	"context"
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sesameswitch/sesameswitch/agentapi"
	"github.com/sesameswitch/sesameswitch/clock"
	"github.com/sesameswitch/sesameswitch/configsync"
	"github.com/sesameswitch/sesameswitch/idempotency"
	"github.com/sesameswitch/sesameswitch/outcome"
	"github.com/sesameswitch/sesameswitch/provider"
	"github.com/sesameswitch/sesameswitch/telemetry"
	"github.com/sesameswitch/sesameswitch/timeline"
)

const testManifest = `
version: 7
deployment: test
classes:
  - {name: urgent, tier: 1, repeatability: idempotent, targets: {whole: 10s}}
  - {name: payment, tier: 1, repeatability: at_most_once, targets: {whole: 10s}}
  - {name: lookup, tier: 4, repeatability: idempotent, targets: {whole: 10s}, floor: 0.1}
services: [{name: booking}]
accounts: [{name: acme, key_hashes: ["0000000000000000000000000000000000000000000000000000000000000000"]}]
routes:
  - {service: booking, methods: [GET], classes: [lookup, urgent]}
  - {service: booking, methods: [POST], classes: [payment]}
limits: {queue_per_agent: 4}
...
`

// backend answers a call when the test releases it.
type backend struct {
	mu      sync.Mutex
	runs    map[string]int
	entered chan string
	release chan struct{}
	err     error
}

func (b *backend) Do(ctx context.Context, call provider.Request) (*provider.Response, error) {
	id := call.Header["Sesame-Run-Id"]
	b.mu.Lock()
	b.runs[id]++
	b.mu.Unlock()
	b.entered <- id
	select {
	case <-b.release:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if b.err != nil {
		return nil, b.err
	}
	body := "answer to " + id
	return &provider.Response{Status: 200, Length: int64(len(body)), Body: io.NopCloser(strings.NewReader(body))}, nil
}

type bench struct {
	*Service
	store   *configsync.Store
	backend *backend
	clock   *clock.Manual
	agent   *Agent
}

func newBench(t *testing.T, slots int) *bench {
	t.Helper()
	c := clock.NewManual(start)
	store := configsync.NewStore(c, configsync.Hooks{})
	if _, err := store.Apply([]byte(testManifest), configsync.SourceService); err != nil {
		t.Fatal(err)
	}
	b := &backend{runs: map[string]int{}, entered: make(chan string, 64), release: make(chan struct{})}
	a := New(Config{VM: provider.VM{Name: "vm-1"}, Incarnation: "life-1", Services: []string{"booking"}, Slots: slots, KeptAnswerBytes: 1 << 20}, Dependencies{
		BackendServer: b, Configuration: store, Clock: c, Metrics: telemetry.New(),
		Timeline: timeline.New(timeline.Process{}, 1024, c),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- a.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	a.Serve()
	return &bench{Service: NewService(a), store: store, backend: b, clock: c, agent: a}
}

func (b *bench) submit(id, class string) agentapi.SubmitReply {
	return b.submitFrom("entry-1", id, class)
}

func (b *bench) submitFrom(entry, id, class string) agentapi.SubmitReply {
	args := agentapi.SubmitArgs{
		ID: id, Entry: entry, Incarnation: "life-1", Account: "acme", Class: class, Service: "booking",
		Method: "POST", Path: "/", Keyed: class == "payment",
	}
	var reply agentapi.SubmitReply
	_ = b.Submit(args, &reply)
	return reply
}

func (b *bench) read(id string, offset int64) agentapi.ReadReply {
	var reply agentapi.ReadReply
	_ = b.Read(agentapi.ReadArgs{ID: id, Account: "acme", Offset: offset, MinBytes: 1 << 16, MaxBytes: 1 << 16, Wait: time.Minute}, &reply)
	return reply
}

func (b *bench) key() string {
	return idempotency.Mint("vm-1", "life-1", "acme", start, strings.NewReader(strings.Repeat("x", 64))).String()
}

func (b *bench) runs(id string) int {
	b.backend.mu.Lock()
	defer b.backend.mu.Unlock()
	return b.backend.runs[id]
}

func TestRepeatOfAKeyJoinsTheRun(t *testing.T) {
	b := newBench(t, 2)
	key := b.key()
	if reply := b.submit(key, "payment"); !reply.Accepted || reply.Joined {
		t.Fatalf("first use: %+v", reply)
	}
	<-b.backend.entered
	if reply := b.submit(key, "payment"); !reply.Accepted || !reply.Joined {
		t.Fatalf("repeat while running: %+v", reply)
	}
	close(b.backend.release)
	first, second := b.read(key, 0), b.read(key, 0)
	if string(first.Data) != "answer to "+key || string(second.Data) != string(first.Data) || !second.Final {
		t.Fatalf("answers %q and %q", first.Data, second.Data)
	}
	if reply := b.submit(key, "payment"); !reply.Joined || b.runs(key) != 1 {
		t.Fatalf("repeat after the end: %+v, %d runs", reply, b.runs(key))
	}
}

func TestKeyOfAnotherLifeIsUnknown(t *testing.T) {
	b := newBench(t, 2)
	key := idempotency.Mint("vm-1", "life-0", "acme", start, strings.NewReader(strings.Repeat("x", 64))).String()
	reply := b.submit(key, "payment")
	if reply.Accepted || reply.Refusal.Outcome != outcome.Unknown || b.runs(key) != 0 {
		t.Fatalf("%+v, %d runs", reply.Refusal, b.runs(key))
	}
}

func TestRefusedKeyNeverRuns(t *testing.T) {
	b := newBench(t, 1)
	b.agent.Leave()
	key := b.key()
	first := b.submit(key, "payment")
	again := b.submit(key, "payment")
	if first.Refusal == nil || first.Refusal.Outcome != outcome.NotRun || again.Refusal == nil || again.Refusal.Outcome != outcome.NotRun {
		t.Fatalf("refusals %v and %v", first.Refusal, again.Refusal)
	}
	if b.runs(key) != 0 {
		t.Fatal("a refused key ran")
	}
}

func TestHigherTierTakesThePlaceOfALowerOne(t *testing.T) {
	b := newBench(t, 1)
	b.submit("running", "lookup")
	<-b.backend.entered
	for _, id := range []string{"l1", "l2", "l3", "l4", "l5", "l6"} {
		b.submit(id, "lookup")
	}
	if reply := b.submit("urgent", "urgent"); !reply.Accepted {
		t.Fatalf("the top tier was refused: %v", reply.Refusal)
	}
	close(b.backend.release)
	for range 3 {
		<-b.backend.entered
	}
	if b.runs("urgent") != 1 {
		t.Fatal("the top tier did not run first")
	}
}

func TestCancelFreesTheSlot(t *testing.T) {
	b := newBench(t, 1)
	b.submit("first", "lookup")
	<-b.backend.entered
	b.submit("second", "lookup")
	var reply agentapi.CancelReply
	_ = b.Cancel(agentapi.CancelArgs{ID: "first", Account: "acme"}, &reply)
	if id := <-b.backend.entered; !reply.Known || id != "second" {
		t.Fatalf("known %v, next run %q", reply.Known, id)
	}
	if got := b.read("first", 0); got.Refusal == nil || got.Refusal.Reason != outcome.ReasonCancelled {
		t.Fatalf("the cancelled run ended with %v", got.Refusal)
	}
	close(b.backend.release)
}

func TestCancelLeavesAKeyAlone(t *testing.T) {
	b := newBench(t, 1)
	key := b.key()
	b.submit(key, "payment")
	<-b.backend.entered
	var reply agentapi.CancelReply
	_ = b.Cancel(agentapi.CancelArgs{ID: key, Account: "acme"}, &reply)
	close(b.backend.release)
	if got := b.read(key, 0); got.Refusal != nil || len(got.Data) == 0 {
		t.Fatalf("a run that may not be repeated was cancelled: %v", got.Refusal)
	}
}

func TestLeavingHandsBackWhatWaits(t *testing.T) {
	b := newBench(t, 1)
	b.submit("running", "lookup")
	<-b.backend.entered
	b.submit("waiting", "lookup")
	b.agent.Leave()
	if got := b.read("waiting", 0); got.Refusal == nil || got.Refusal.Reason != outcome.ReasonLeaving || got.Refusal.Outcome != outcome.NotRun {
		t.Fatalf("the waiting request ended with %v", got.Refusal)
	}
	close(b.backend.release)
	if got := b.read("running", 0); got.Refusal != nil || string(got.Data) != "answer to running" {
		t.Fatalf("the running request was cut off: %v", got.Refusal)
	}
	if b.runs("waiting") != 0 {
		t.Fatal("a request that was handed back ran")
	}
}

func TestFailureOfTheBackendServer(t *testing.T) {
	cases := map[string]struct {
		err  error
		want outcome.Outcome
	}{
		"lost":     {err: errors.New("connection reset"), want: outcome.Unknown},
		"not sent": {err: unsent{}, want: outcome.NotRun},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, 1)
			b.backend.err = c.err
			close(b.backend.release)
			key := b.key()
			b.submit(key, "payment")
			first, again := b.read(key, 0), b.read(key, 0)
			if first.Refusal == nil || first.Refusal.Outcome != c.want || again.Refusal.Outcome != c.want {
				t.Fatalf("refusals %v and %v, want %s", first.Refusal, again.Refusal, c.want)
			}
			if b.submit(key, "payment"); b.runs(key) != 1 {
				t.Fatalf("%d runs", b.runs(key))
			}
		})
	}
}

type unsent struct{}

func (unsent) Error() string { return "refused" }
func (unsent) NotSent() bool { return true }

func TestUnreadRunIsGivenUp(t *testing.T) {
	b := newBench(t, 1)
	b.submitFrom("entry-gone", "abandoned", "lookup")
	<-b.backend.entered
	b.clock.Advance(readLease + time.Second)
	b.submit("next", "lookup")
	if id := <-b.backend.entered; id != "next" {
		t.Fatalf("next run %q", id)
	}
	close(b.backend.release)
}

func TestRunAtASilentBackendServerFreesItsSlot(t *testing.T) {
	b := newBench(t, 1)
	key := b.key()
	b.submit(key, "payment")
	<-b.backend.entered
	b.clock.Advance(backendSilence + time.Second)
	b.submit("next", "lookup")
	if id := <-b.backend.entered; id != "next" {
		t.Fatalf("next run %q", id)
	}
	reply := b.read(key, 0)
	if reply.Refusal == nil || reply.Refusal.Outcome != outcome.Unknown || reply.Refusal.Reason != outcome.ReasonTimeout {
		t.Fatalf("the silent run ended with %v", reply.Refusal)
	}
	if again := b.submit(key, "payment"); !again.Joined || b.runs(key) != 1 {
		t.Fatalf("repeat: %+v, %d runs", again, b.runs(key))
	}
	close(b.backend.release)
}

func TestSlowCallerOfALivingEntryIsNotGivenUp(t *testing.T) {
	b := newBench(t, 1)
	b.submit("slow", "lookup")
	<-b.backend.entered
	for range 4 {
		b.clock.Advance(readLease - time.Second)
		var reply agentapi.StatusReply
		_ = b.Status(agentapi.StatusArgs{Entry: "entry-1"}, &reply)
		b.submit("tick", "urgent")
	}
	close(b.backend.release)
	if got := b.read("slow", 0); got.Refusal != nil {
		t.Fatalf("the run of a slow caller was given up: %v", got.Refusal)
	}
}

func TestStaleClassIsRefused(t *testing.T) {
	b := newBench(t, 1)
	var reply agentapi.SubmitReply
	args := agentapi.SubmitArgs{ID: "x", Account: "acme", Class: "payment", Service: "booking"}
	_ = b.Submit(args, &reply)
	if reply.Refusal == nil || reply.Refusal.Reason != outcome.ReasonStaleConfig {
		t.Fatalf("a payment without a key: %v", reply.Refusal)
	}
	if reply := b.submit("y", "removed"); reply.Refusal == nil || reply.Refusal.Reason != outcome.ReasonStaleConfig {
		t.Fatalf("a class that is not configured: %v", reply.Refusal)
	}
}

func TestClassRemovedWhileQueued(t *testing.T) {
	b := newBench(t, 1)
	b.submit("running", "lookup")
	<-b.backend.entered
	key := b.key()
	b.submit(key, "payment")
	b.submit("waiting", "urgent")
	next := strings.NewReplacer("version: 7", "version: 8", "name: urgent", "name: other", "lookup, urgent", "lookup, other",
		"name: payment", "name: deposit", "[payment]", "[deposit]").Replace(testManifest)
	if _, err := b.store.Apply([]byte(next), configsync.SourceService); err != nil {
		t.Fatal(err)
	}
	for _, id := range []string{"waiting", key} {
		got := b.read(id, 0)
		if got.Refusal == nil || got.Refusal.Outcome != outcome.NotRun || got.Refusal.Reason != outcome.ReasonStaleConfig {
			t.Fatalf("%s ended with %v", id, got.Refusal)
		}
	}
	close(b.backend.release)
	if got := b.read("running", 0); got.Refusal != nil {
		t.Fatalf("the running request was cut off: %v", got.Refusal)
	}
	if b.runs(key) != 0 || b.runs("waiting") != 0 {
		t.Fatal("a refused request ran")
	}
}

func TestKeptAnswersAreBounded(t *testing.T) {
	k := keptAnswers{limit: 100}
	var runs []*run
	for range 5 {
		r := &run{answer: freshAnswer(true)}
		if err := r.answer.append(ended(), make([]byte, 40)); err != nil {
			t.Fatal(err)
		}
		r.answer.finish(nil)
		runs = append(runs, r)
		k.add(r)
	}
	for i, r := range runs {
		if got := r.answer.read(ended(), 0, 1, 100); got.lost != (i < 3) || !got.lost && len(got.data) != 40 {
			t.Errorf("answer %d: lost %v, %d bytes", i, got.lost, len(got.data))
		}
	}
	k.expire(func(r *run) bool { return r != runs[4] })
	if k.bytes != 40 || len(k.runs) != 1 {
		t.Errorf("%d bytes of %d runs are left", k.bytes, len(k.runs))
	}
}

func TestRepeatOfADiscardedAnswerDoesNotRun(t *testing.T) {
	b := newBench(t, 1)
	close(b.backend.release)
	key := b.key()
	b.submit(key, "payment")
	b.read(key, 0)
	b.agent.schedule.find(key, "acme").answer.discard()
	if reply := b.submit(key, "payment"); !reply.Joined {
		t.Fatalf("%+v", reply)
	}
	if got := b.read(key, 0); got.Known || b.runs(key) != 1 {
		t.Fatalf("known %v, %d runs", got.Known, b.runs(key))
	}
}
