package gateway

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/sesameswitch/sesameswitch/clock"
	"github.com/sesameswitch/sesameswitch/deployment"
	"github.com/sesameswitch/sesameswitch/limit"
	"github.com/sesameswitch/sesameswitch/retry"
	"github.com/sesameswitch/sesameswitch/routing"
)

// limitRecorder keeps the reports that a gateway sends and has received.
type limitRecorder struct {
	sent     []limit.Report
	received []limit.Report
}

func (r *limitRecorder) LimitReports(time.Time) []limit.Report { return r.sent }

func (r *limitRecorder) ApplyLimitReport(_ time.Time, _ string, report limit.Report) {
	r.received = append(r.received, report)
}

// TestEndOfLimitIsNotLearnt guards against gateways that leave a recovered server unused
// because only another gateway got the responses without a limit: each of 68 gateways must
// learn of it within peerTimeout.
func TestEndOfLimitIsNotLearnt(t *testing.T) {
	const gateways = 68
	c := clock.NewManual(epoch)
	address := func(i int) string { return fmt.Sprintf("10.0.1.%d:80", i) }
	all, recorders := make(map[string]*Peers), make([]*limitRecorder, gateways)
	for i := range gateways {
		recorders[i] = &limitRecorder{}
		all[address(i)] = NewPeers(&deployment.Settings{PeerAddress: address(i), Seeds: []string{address(0), address(1)}}, routing.NewScheduler("a"), c, discardLog())
		all[address(i)].Limits = recorders[i]
	}
	rounds := func(n int) {
		for range n {
			for i := range gateways {
				targets, message := all[address(i)].nextRound()
				for _, target := range targets {
					all[target].handleMessage(message)
				}
			}
			c.Advance(helloInterval)
		}
	}
	rounds(20)
	report := limit.Report{Server: retry.Incarnation{ID: "i-1/with a slash", StartedAtMs: 7}, Age: 3 * time.Millisecond}
	recorders[5].sent = []limit.Report{report}
	rounds(int(peerTimeout / helloInterval))
	for i, r := range recorders {
		if i != 5 && !slices.Contains(r.received, report) {
			t.Errorf("gateway %d has not learnt that the limit has ended", i)
		}
	}
	if got := all[address(1)].known[address(5)].dataCentre; got != "" {
		t.Errorf("got data centre %q from a report", got)
	}
}

// TestInvalidLimitReportsAreIgnored checks that damaged reports change nothing, and that
// the reports of a hello fit into a datagram.
func TestInvalidLimitReportsAreIgnored(t *testing.T) {
	for _, text := range []string{"", "1", "1/2/3", "1/2/3/", "x/2/3/i", "1/x/3/i", "1/2/x/i", "NaN/2/3/i", "Inf/2/3/i", "1/99999999999/3/i"} {
		if r, valid := parseLimitReport(text); valid {
			t.Errorf("%q: got %+v, want an error", text, r)
		}
	}
	servers := limit.NewServers()
	for _, r := range []limit.Report{{Rate: -1}, {Rate: 1, Age: -time.Second}, {Rate: 1, Age: time.Hour}} {
		if _, changed := servers.Apply(epoch, r); changed || servers.Any() {
			t.Errorf("%+v was applied", r)
		}
	}
	many := &limitRecorder{}
	for i := range 100 {
		many.sent = append(many.sent, limit.Report{Server: retry.Incarnation{ID: fmt.Sprintf("i-%d", i), StartedAtMs: 1764800000000}, Rate: 4.9})
	}
	p := NewPeers(&deployment.Settings{PeerAddress: "10.0.0.1:80"}, routing.NewScheduler("a"), clock.NewManual(epoch), discardLog())
	p.Limits = many
	size := 0
	for _, entry := range p.limitEntries(epoch) {
		size += len(entry) + 1
	}
	if size == 0 || size > maxLimitReportBytes {
		t.Errorf("the reports have %d bytes, want some, and at most %d", size, maxLimitReportBytes)
	}
}

// TestReportOfLimitBlocksGateway guards against a gateway that stops when a peer reports a
// limit, because it applies the report while it holds a lock that the log line needs.
func TestReportOfLimitBlocksGateway(t *testing.T) {
	sim := newBudgetSimulation(2)
	from, to := sim.gateways[0], sim.gateways[1]
	from.peers.Limits, to.peers.Limits = from.server, to.server
	server := retry.Incarnation{ID: "i-1", StartedAtMs: 7}
	from.server.limits.Stated(sim.clock.Now(), server, 2)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, message := from.peers.nextRound()
		to.peers.handleMessage(message)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second): // only to detect a hang
		t.Fatal("the gateway is blocked")
	}
	if a := to.server.limits.Next(sim.clock.Now(), server, limit.Share{Gateways: 2}); !a.Limited {
		t.Error("the reported limit is not known")
	}
}
