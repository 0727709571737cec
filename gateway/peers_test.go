package gateway

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/sesameswitch/sesameswitch/clock"
	"github.com/sesameswitch/sesameswitch/deployment"
	"github.com/sesameswitch/sesameswitch/routing"
)

func quiet() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

func newTestPeers(c clock.Clock) *Peers {
	return NewPeers(&deployment.Settings{PeerAddress: "10.0.0.1:80", Seeds: []string{"10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80"}}, routing.NewScheduler("a"), c, quiet())
}

// TestLiveGateways shows whom a gateway counts: many until it had the time to
// hear them, then those that it heard lately.
func TestLiveGateways(t *testing.T) {
	c := clock.NewManual(epoch)
	p := newTestPeers(c)
	if got := p.LiveCount(); got != unknownGateways {
		t.Errorf("at the start: %d", got)
	}
	p.take(hello{From: "10.0.0.2:80", Known: []string{"10.0.0.4:80", "10.0.0.1:80", "not an address"}})
	c.Advance(learnTime)
	if got := p.LiveCount(); got != 2 {
		t.Errorf("with one that was heard and one that was named: %d", got)
	}
	targets, message := p.round()
	if len(targets) != 3 || message.From != "10.0.0.1:80" {
		t.Errorf("greets %v", targets)
	}
	p.take(hello{From: "10.0.0.4:80"})
	p.take(hello{From: "10.0.0.1:80"})
	if got := p.LiveCount(); got != 3 {
		t.Errorf("with two: %d", got)
	}
	c.Advance(peerTimeout)
	if got := p.LiveCount(); got != 1 {
		t.Errorf("after a silence: %d", got)
	}
	c.Advance(3 * peerTimeout)
	p.round()
	if len(p.heard) != 0 {
		t.Errorf("still remembered: %v", p.heard)
	}
}

// TestHintsFitIntoDatagrams shows that any number of hints is divided so that
// each message passes every link whole.
func TestHintsFitIntoDatagrams(t *testing.T) {
	var hints []routing.Hint
	for i := range 200 {
		h := routing.Hint{Server: fmt.Sprintf("i-%010d", i), InFlight: 60, UnsharedTokens: 500_000, PendingPrefill: 400_000, LatencySensitive: 50, KVCacheTokens: 567_590}
		for k := range i % 17 {
			h.Segments = append(h.Segments, routing.Segment{ID: fmt.Sprintf("%08x", k), Tokens: 13_300, Prefilled: true})
		}
		hints = append(hints, h)
	}
	total := 0
	for _, part := range splitHints(hints) {
		total += len(part)
		content, err := msgpack.Marshal(&hello{From: "10.100.200.255:65535", Hints: part})
		if err != nil || len(content) > maxHelloBytes {
			t.Errorf("%d hints take %d bytes: %v", len(part), len(content), err)
		}
		var back hello
		if err := msgpack.Unmarshal(content, &back); err != nil || len(back.Hints) != len(part) || back.Hints[0].Server != part[0].Server {
			t.Errorf("read back: %v", err)
		}
	}
	if total != len(hints) {
		t.Errorf("%d of %d hints", total, len(hints))
	}
}

func TestShareIntervalGrowsWithGateways(t *testing.T) {
	c := clock.NewManual(epoch)
	p := newTestPeers(c)
	c.Advance(time.Minute)
	if got := p.shareInterval(); got != shareInterval {
		t.Errorf("alone: %v", got)
	}
	for i := range 48 {
		p.take(hello{From: fmt.Sprintf("10.0.1.%d:80", i)})
	}
	if got := p.shareInterval(); got != 3*shareInterval {
		t.Errorf("49 gateways: %v", got)
	}
}

// TestManyGatewaysKnowEachOther replays the start of 300 gateways with three
// seeds, without lost messages: each must count nearly all within seconds, as the
// shares of the budget of repeats depend on it.
func TestManyGatewaysKnowEachOther(t *testing.T) {
	const n = 300
	c := clock.NewManual(epoch)
	address := func(i int) string { return fmt.Sprintf("10.0.%d.%d:80", i/250, i%250) }
	all := make(map[string]*Peers, n)
	for i := range n {
		all[address(i)] = NewPeers(&deployment.Settings{PeerAddress: address(i), Seeds: []string{address(0), address(1), address(2)}}, routing.NewScheduler("a"), c, quiet())
	}
	for range 20 { // traffic starts 10 s after the VMs do
		for i := range n {
			targets, message := all[address(i)].round()
			for _, target := range targets {
				all[target].take(message)
			}
		}
		c.Advance(helloInterval)
	}
	least := n
	for _, p := range all {
		least = min(least, p.LiveCount())
	}
	if least < n*95/100 {
		t.Errorf("after 10 seconds one of %d gateways counts %d", n, least)
	}
}

// TestANewcomerIsHeardInACalmFleet replays a gateway that starts when a hundred
// others have long known each other. Their hellos name few gateways then: they are
// paid by their bytes, and at a hundred gateways names were most of what crossed
// data centres. All must still count the newcomer, and it them, within the time
// that a start has.
func TestANewcomerIsHeardInACalmFleet(t *testing.T) {
	const n = 100
	c := clock.NewManual(epoch)
	address := func(i int) string { return fmt.Sprintf("10.0.%d.%d:80", i/250, i%250) }
	all := make(map[string]*Peers, n+1)
	start := func(i int) {
		all[address(i)] = NewPeers(&deployment.Settings{PeerAddress: address(i), Seeds: []string{address(0), address(1), address(2)}}, routing.NewScheduler("a"), c, quiet())
	}
	rounds := func(k int) (longest int) {
		for range k {
			for i := range len(all) {
				targets, message := all[address(i)].round()
				content, err := msgpack.Marshal(&message)
				if err != nil {
					t.Fatal(err)
				}
				longest = max(longest, len(content))
				for _, target := range targets {
					all[target].take(message)
				}
			}
			c.Advance(helloInterval)
		}
		return longest
	}
	for i := range n {
		start(i)
	}
	rounds(40)
	// At 340 gateways 170 hellos a second leave 5 KB a second for 30 bytes each;
	// addresses alone take that, so the bound is that of a few of them.
	if most := rounds(10); most > 100 {
		t.Errorf("hellos of a calm fleet take up to %d bytes", most)
	}
	start(n)
	rounds(20)
	for _, p := range all {
		if live := p.LiveCount(); live < n*95/100 {
			t.Errorf("%s counts %d of %d gateways 10 s after one came", p.address, live, n+1)
		}
		if _, heard := p.heard[address(n)]; !heard && p.address != address(n) {
			t.Errorf("%s has not heard of the newcomer", p.address)
		}
	}
}
