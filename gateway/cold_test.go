package gateway

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sesameswitch/sesameswitch/admission"
	"github.com/sesameswitch/sesameswitch/clock"
	"github.com/sesameswitch/sesameswitch/deployment"
	"github.com/sesameswitch/sesameswitch/directory"
	"github.com/sesameswitch/sesameswitch/limit"
	"github.com/sesameswitch/sesameswitch/retry"
	"github.com/sesameswitch/sesameswitch/routes"
	"github.com/sesameswitch/sesameswitch/routing"
	"github.com/sesameswitch/sesameswitch/telemetry"
)

// tokenRecorder keeps the questions that a gateway asks.
type tokenRecorder struct{ asked []limit.Question }

func (r *tokenRecorder) AskTokens(_ retry.Incarnation, q limit.Question) bool {
	r.asked = append(r.asked, q)
	return true
}

// coldTest is a gateway, one of 16, in front of the servers i-0 and i-1 of a service.
type coldTest struct {
	*Server
	clock   *clock.Manual
	asker   *tokenRecorder
	service *routes.Service
	dir     *directory.Directory
}

func newColdTest(coldRate float64, coldFor ...time.Duration) *coldTest {
	c := &coldTest{clock: clock.NewManual(epoch), asker: &tokenRecorder{}, dir: directory.New(), service: &routes.Service{Name: "app", ColdRate: coldRate, ColdTime: 5 * time.Second}}
	elapsed := func() time.Duration { return c.clock.Now().Sub(epoch) + time.Minute }
	for i, d := range coldFor {
		c.write(i, uint64(i+1), d, elapsed()) //nolint:gosec // small
	}
	view := NewView(nil, c.dir, elapsed, func() time.Duration { return 0 }, discardLog(), func(string) {}, func(*routes.Table) {})
	settings := &deployment.Settings{PeerAddress: "10.0.0.1:80", Bounds: deployment.Bounds{ColdExcess: 1.5, ColdExtra: 5}}
	for i := range 15 {
		settings.Seeds = append(settings.Seeds, fmt.Sprintf("10.0.1.%d:80", i))
	}
	scheduler := routing.NewScheduler("a")
	c.Server = NewServer(Dependencies{
		Directory: c.dir, View: view, Scheduler: scheduler, Gateways: NewPeers(settings, scheduler, c.clock, discardLog()), Tokens: c.asker,
		Clock: c.clock, Elapsed: elapsed, Metrics: telemetry.New(), Log: discardLog(), Settings: func() *deployment.Settings { return settings },
	})
	return c
}

// write writes the entry of a server.
func (c *coldTest) write(i int, revision uint64, coldFor, elapsed time.Duration) {
	b := &directory.BackendServer{ID: fmt.Sprintf("i-%d", i), Service: "app", Address: fmt.Sprintf("10.0.2.%d:80", i), StartedAtMs: 1, Slots: 8, ColdFor: coldFor}
	c.dir.Apply(time.Unix(0, int64(elapsed)), []directory.Change{{ID: b.ID, Revision: revision, Server: b}}, revision)
}

func (c *coldTest) request() *request {
	return &request{
		RequestInfo: &RequestInfo{}, service: c.service, route: &routes.Route{Name: "r", LatencyTarget: time.Second}, job: routing.Job{Service: "app"},
		received: c.clock.Now(), deadline: c.clock.Now().Add(10 * time.Second), excluded: make(map[string]bool), log: discardLog(),
	}
}

// TestColdServerIsChosenWithoutToken guards against requests that wait for a cold server
// although another one is warm, or are sent to it without a token, and against gateways that
// do not ask for tokens. This gateway has just started, so it has none.
func TestColdServerIsChosenWithoutToken(t *testing.T) {
	for _, test := range []struct {
		name    string
		rate    float64
		coldFor []time.Duration
		want    string
		asks    int
	}{
		{"one of two is cold", 4, []time.Duration{time.Second, 0}, "i-1", 1},
		{"all are cold", 4, []time.Duration{time.Second, time.Second}, "waits", 1},
		{"no limit is configured", 0, []time.Duration{time.Second, time.Second}, "i-0", 0},
		{"none is cold", 4, []time.Duration{0, 0}, "i-0", 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newColdTest(test.rate, test.coldFor...)
			chosen, ok := c.chooseServer(c.request())
			got := "waits"
			if !chosen.awaitsToken {
				got = chosen.server.ID
			}
			if !ok || got != test.want || len(c.asker.asked) != test.asks {
				t.Errorf("got %v, %s, and %d questions, want %s and %d", ok, got, len(c.asker.asked), test.want, test.asks)
			}
			if chosen.awaitsToken {
				req := c.request()
				if d := c.holdForToken(req, &responseForwarder{}, chosen); d.Action != admission.GateHold {
					t.Errorf("got %v for a request that has just arrived, want that it is held", d.Action)
				}
				c.clock.Advance(time.Second)
				if d := c.holdForToken(req, &responseForwarder{}, chosen); d.Action != admission.GateRefuse {
					t.Errorf("got %v for a request that is late, want that it is refused", d.Action)
				}
			}
		})
	}
}

// TestBorrowedTokenIsNotUsed guards against a request that was chosen for a cold server and
// is written without a token, or withheld although one was borrowed meanwhile.
func TestBorrowedTokenIsNotUsed(t *testing.T) {
	c := newColdTest(4, time.Second)
	req := c.request()
	chosen, _ := c.chooseServer(req)
	send := func() (bool, string) {
		active := &activeAttempt{chosenServer: chosen}
		return c.admitSend(req, active), active.withheld
	}
	if sent, reason := send(); sent || reason != withheldCold {
		t.Fatalf("sent %v, reason %q, want that it is withheld by the cold server", sent, reason)
	}
	c.ApplyLentTokens(incarnationOf(chosen.server), c.asker.asked[0].ID, 1)
	if sent, reason := send(); !sent {
		t.Errorf("withheld for %q, want that it is sent", reason)
	}
	if sent, _ := send(); sent {
		t.Error("two requests are sent for one token")
	}
}

// TestLongestColdTimeApplies checks the sources from which a gateway learns that a server is
// cold, and that the limit ends a second after the longest of them.
func TestLongestColdTimeApplies(t *testing.T) {
	for _, test := range []struct {
		name  string
		learn func(c *coldTest, b *directory.BackendServer)
		want  time.Duration
	}{
		{"entry", func(*coldTest, *directory.BackendServer) {}, time.Second},
		{"longer response", func(c *coldTest, b *directory.BackendServer) { c.recordCold(b, 2*time.Second) }, 2 * time.Second},
		{"shorter response", func(c *coldTest, b *directory.BackendServer) {
			c.recordCold(b, 2*time.Second)
			c.recordCold(b, time.Millisecond)
		}, 2 * time.Second},
		{"doubt", func(c *coldTest, b *directory.BackendServer) { c.doubt(serverIDOf(b), c.clock.Now(), "") }, 5 * time.Second},
		{"doubt and a new entry", func(c *coldTest, b *directory.BackendServer) {
			c.doubt(serverIDOf(b), c.clock.Now(), "")
			c.clock.Advance(4 * time.Second)
			c.write(0, 9, 3*time.Second, c.deps.Elapsed())
		}, 7 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newColdTest(4, time.Second)
			start, usable := c.clock.Now(), c.dir.Usable("app")
			c.refreshCold(c.service, usable)
			test.learn(c, usable[0])
			c.refreshCold(c.service, c.dir.Usable("app"))
			for c.clock.Now().Sub(start) < time.Minute && c.limits.AnyCold() {
				c.clock.Advance(50 * time.Millisecond)
				c.sweepCold()
			}
			if got := c.clock.Now().Sub(start) - time.Second; got != test.want {
				t.Errorf("the server was cold for %v, want %v", got, test.want)
			}
		})
	}
}

// TestQuestionsGoToHolders guards against questions to gateways that have no tokens, and
// against token entries that a receiver takes for something else or accepts though damaged.
func TestQuestionsGoToHolders(t *testing.T) {
	const gateways, holders = 68, 3
	var all []*Peers
	var seeds []string
	for i := range gateways {
		seeds = append(seeds, fmt.Sprintf("10.0.1.%d:80", i))
	}
	for _, address := range seeds {
		all = append(all, NewPeers(&deployment.Settings{PeerAddress: address, Seeds: seeds}, routing.NewScheduler("a"), clock.NewManual(epoch), discardLog()))
	}
	for _, p := range all {
		var want []string
		for _, other := range all {
			if position, _ := other.Position("i-1"); position < holders && other != p {
				want = append(want, other.address)
			}
		}
		got := p.Holders("i-1", holders)
		slices.Sort(got)
		slices.Sort(want)
		if !slices.Equal(got, want) {
			t.Fatalf("got %v, want %v", got, want)
		}
	}
	message := tokenMessage{retry.Incarnation{ID: "i-1/with a slash", StartedAtMs: 7}, epoch.UnixMicro(), 2}
	entry := message.encode(tokenAskMark)
	if got, valid := parseTokenMessage(strings.TrimPrefix(entry, tokenAskMark)); !valid || got != message || !isReportEntry(entry) {
		t.Errorf("got %+v from %q, want %+v", got, entry, message)
	}
	for _, text := range []string{"", "1/1/1", "1/1/1/", "x y/1/1/i", "1/0/1/i", "1/-1/1/i", "1/65/1/i", "1/1/x/i"} {
		if m, valid := parseTokenMessage(text); valid {
			t.Errorf("%q: got %+v, want an error", text, m)
		}
	}
}
