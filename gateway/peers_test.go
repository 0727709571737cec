package gateway

import (
	"fmt"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/sesameswitch/sesameswitch/clock"
	"github.com/sesameswitch/sesameswitch/deployment"
	"github.com/sesameswitch/sesameswitch/retry"
	"github.com/sesameswitch/sesameswitch/routing"
)

func discardLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

func newTestPeers(c clock.Clock) *Peers {
	return NewPeers(&deployment.Settings{PeerAddress: "10.0.0.1:80", Seeds: []string{"10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80"}}, routing.NewScheduler("a"), c, discardLog())
}

// TestLiveCount checks which gateways count as live: an assumed number until
// discoveryTime has passed, then those whose last message is recent.
func TestLiveCount(t *testing.T) {
	c := clock.NewManual(epoch)
	p := newTestPeers(c)
	if got := p.LiveCount(); got != assumedGateways {
		t.Errorf("at the start: %d live gateways, want assumedGateways", got)
	}
	p.handleMessage(peerMessage{From: "10.0.0.2:80", Known: []string{"10.0.0.4:80", "10.0.0.1:80", "not an address"}})
	c.Advance(discoveryTime)
	if got := p.LiveCount(); got != 2 {
		t.Errorf("with one peer seen and another one only listed: %d live gateways, want 2", got)
	}
	targets, message := p.nextRound()
	if len(targets) != 3 || message.From != "10.0.0.1:80" {
		t.Errorf("hello targets %v, want the two seeds that are peers and the listed peer, and the own address as sender", targets)
	}
	p.handleMessage(peerMessage{From: "10.0.0.4:80"})
	p.handleMessage(peerMessage{From: "10.0.0.1:80"})
	if got := p.LiveCount(); got != 3 {
		t.Errorf("with two peers seen: %d live gateways, want 3", got)
	}
	c.Advance(peerTimeout)
	if got := p.LiveCount(); got != 1 {
		t.Errorf("after peerTimeout without messages: %d live gateways, want 1", got)
	}
	c.Advance(3 * peerTimeout)
	p.nextRound()
	if len(p.known) != 0 {
		t.Errorf("lost peers are still remembered: %v", p.known)
	}
}

// TestSplitHintsFitsDatagrams checks that many load hints are divided into
// messages of at most maxDatagramBytes, without losing any.
func TestSplitHintsFitsDatagrams(t *testing.T) {
	var hints []routing.Hint
	for i := range 200 {
		h := routing.Hint{Server: fmt.Sprintf("i-%010d", i), InFlight: 60, UnsharedTokens: 500_000, PendingPrefill: 400_000, LatencySensitive: 50, KVCacheTokens: 567_590}
		for k := range i % 17 {
			h.Segments = append(h.Segments, routing.Segment{ID: fmt.Sprintf("%08x", k), Tokens: 13_300, Prefilled: true})
		}
		hints = append(hints, h)
	}
	total := 0
	for _, batch := range splitHints(hints) {
		total += len(batch)
		content, err := msgpack.Marshal(&peerMessage{From: "10.100.200.255:65535", Hints: batch})
		if err != nil || len(content) > maxDatagramBytes {
			t.Errorf("%d hints take %d bytes, want at most maxDatagramBytes: %v", len(batch), len(content), err)
		}
		var decoded peerMessage
		if err := msgpack.Unmarshal(content, &decoded); err != nil || len(decoded.Hints) != len(batch) || decoded.Hints[0].Server != batch[0].Server {
			t.Errorf("decoded hints differ from the encoded ones: %v", err)
		}
	}
	if total != len(hints) {
		t.Errorf("batches hold %d of %d hints, want all", total, len(hints))
	}
}

func TestHintIntervalGrowsWithGateways(t *testing.T) {
	c := clock.NewManual(epoch)
	p := newTestPeers(c)
	c.Advance(time.Minute)
	if got := p.hintInterval(); got != minHintInterval {
		t.Errorf("without peers: hint interval %v, want minHintInterval", got)
	}
	for i := range 48 {
		p.handleMessage(peerMessage{From: fmt.Sprintf("10.0.1.%d:80", i)})
	}
	if got := p.hintInterval(); got != 3*minHintInterval {
		t.Errorf("49 gateways: hint interval %v, want three times minHintInterval", got)
	}
}

// TestManyGatewaysDiscoverEachOther simulates the start of 300 gateways with
// three seeds and without lost messages. Each gateway must count nearly all
// others within seconds, because its share of the retry budget depends on their
// number.
func TestManyGatewaysDiscoverEachOther(t *testing.T) {
	const n = 300
	c := clock.NewManual(epoch)
	address := func(i int) string { return fmt.Sprintf("10.0.%d.%d:80", i/250, i%250) }
	all := make(map[string]*Peers, n)
	for i := range n {
		all[address(i)] = NewPeers(&deployment.Settings{PeerAddress: address(i), Seeds: []string{address(0), address(1), address(2)}}, routing.NewScheduler("a"), c, discardLog())
	}
	for range 20 { // traffic starts 10 s after the VMs
		for i := range n {
			targets, message := all[address(i)].nextRound()
			for _, target := range targets {
				all[target].handleMessage(message)
			}
		}
		c.Advance(helloInterval)
	}
	minCount := n
	for _, p := range all {
		minCount = min(minCount, p.LiveCount())
	}
	if minCount < n*95/100 {
		t.Errorf("with %d gateways one counts only %d live ones after 10 s, want nearly all", n, minCount)
	}
}

// TestNewGatewayIsDiscoveredInStableFleet simulates a gateway that starts when a
// hundred others have long known each other. Their hellos then list only few
// peers: hellos are billed by their bytes, and with a hundred gateways the listed
// addresses made up most of the traffic between data centres. Within the time
// allowed for a start, the new gateway and all others must still count each
// other.
func TestNewGatewayIsDiscoveredInStableFleet(t *testing.T) {
	const n = 100
	c := clock.NewManual(epoch)
	address := func(i int) string { return fmt.Sprintf("10.0.%d.%d:80", i/250, i%250) }
	all := make(map[string]*Peers, n+1)
	start := func(i int) {
		all[address(i)] = NewPeers(&deployment.Settings{PeerAddress: address(i), Seeds: []string{address(0), address(1), address(2)}}, routing.NewScheduler("a"), c, discardLog())
	}
	runRounds := func(count int) (maxBytes int) {
		for range count {
			for i := range len(all) {
				targets, message := all[address(i)].nextRound()
				content, err := msgpack.Marshal(&message)
				if err != nil {
					t.Fatal(err)
				}
				maxBytes = max(maxBytes, len(content))
				for _, target := range targets {
					all[target].handleMessage(message)
				}
			}
			c.Advance(helloInterval)
		}
		return maxBytes
	}
	for i := range n {
		start(i)
	}
	runRounds(40)
	// With 340 gateways each one sends 170 hellos per second: 5 KB per second if
	// a hello has 30 bytes. The addresses in a hello alone take that much, so the
	// limit is the size of a few addresses.
	if maxBytes := runRounds(10); maxBytes > 100 {
		t.Errorf("hellos of a stable fleet take up to %d bytes, want at most 100", maxBytes)
	}
	start(n)
	runRounds(20)
	for _, p := range all {
		if live := p.LiveCount(); live < n*95/100 {
			t.Errorf("%s counts %d of %d gateways 10 s after one started, want nearly all", p.address, live, n+1)
		}
		if _, known := p.known[address(n)]; !known && p.address != address(n) {
			t.Errorf("%s does not know the new gateway", p.address)
		}
	}
}

// TestListedPeersAreDropped checks that an address that other gateways only listed
// is dropped like a peer that was lost, and is not listed to others meanwhile, so
// that gateways do not keep a dead address known to each other for ever.
func TestListedPeersAreDropped(t *testing.T) {
	c := clock.NewManual(epoch)
	p := newTestPeers(c)
	p.handleMessage(peerMessage{From: "10.0.0.2:80", Known: []string{"10.0.0.9:80"}})
	targets, message := p.nextRound()
	if !slices.Contains(targets, "10.0.0.9:80") || slices.Contains(message.Known, "10.0.0.9:80") {
		t.Errorf("targets %v, listed %v, want a hello to the listed peer, which is not listed to others", targets, message.Known)
	}
	for range 4 {
		c.Advance(peerTimeout)
		p.handleMessage(peerMessage{From: "10.0.0.2:80"})
		targets, _ = p.nextRound()
	}
	if slices.Contains(targets, "10.0.0.9:80") || len(p.known) != 1 {
		t.Errorf("targets %v and %d known peers after 4 peerTimeout, want only the live peer", targets, len(p.known))
	}
}

// relayedMessages delivers one round of load hints of each gateway as the relays
// would, without those that lost drops, and returns how many datagrams crossed from
// one data centre to another.
func relayedMessages(all map[string]*Peers, hints []routing.Hint, lost func(to string) bool) (crossed int) {
	deliver := func(from *Peers, to string, message peerMessage, relay bool) {
		receiver := all[to]
		if from.dataCentre != receiver.dataCentre {
			crossed++
		}
		if lost(to) {
			return
		}
		receiver.handleMessage(message)
		if relay {
			for _, target := range receiver.relayTargets(message) {
				if all[target].dataCentre != receiver.dataCentre {
					crossed++
				}
				all[target].handleMessage(message)
			}
		}
	}
	for _, from := range all {
		mark := dataCentreMark + from.dataCentre
		direct, relays := from.hintTargets()
		for _, to := range direct {
			deliver(from, to, peerMessage{From: from.address, Known: []string{mark}, Hints: hints}, false)
		}
		for _, to := range relays {
			deliver(from, to, peerMessage{From: from.address, Known: []string{mark, relayMark}, Hints: hints}, true)
		}
	}
	return crossed
}

// TestHintsCrossDataCentresOnce checks that the load hints of each gateway reach all
// others, that a datagram crosses to each other data centre once, and that peers
// beyond a relay that does not work get the hints again in the next round.
func TestHintsCrossDataCentresOnce(t *testing.T) {
	const dataCentres, perDataCentre = 6, 11
	c := clock.NewManual(epoch)
	all := make(map[string]*Peers)
	schedulers := make(map[string]*routing.Scheduler)
	for i := range dataCentres * perDataCentre {
		address := fmt.Sprintf("10.0.%d.%d:80", i%dataCentres, i)
		schedulers[address] = routing.NewScheduler("")
		all[address] = NewPeers(&deployment.Settings{PeerAddress: address, DataCentre: fmt.Sprintf("dc-%d", i%dataCentres)}, schedulers[address], c, discardLog())
	}
	for _, p := range all {
		for _, from := range all {
			_, hello := from.nextRound()
			p.handleMessage(hello)
		}
	}
	hints := []routing.Hint{{Server: "engine", InFlight: 1, PendingPrefill: 1}}
	inFlight := func(address string) float64 {
		s := schedulers[address]
		s.SetPolicy(routing.PolicyLeastRequests)
		choice, _ := s.Choose(c.Now(), &routing.Job{}, []routing.Server{{ID: "engine"}}, nil)
		return choice.Cost
	}
	if crossed, want := relayedMessages(all, hints, func(string) bool { return false }), len(all)*(dataCentres-1); crossed != want {
		t.Errorf("%d datagrams crossed between data centres, want %d", crossed, want)
	}
	for address := range all {
		if got := inFlight(address); got != float64(len(all)-1) {
			t.Fatalf("%s knows of %v requests, want those of all %d others", address, got, len(all)-1)
		}
	}
	c.Advance(peerTimeout / 2)
	dead := "10.0.1.1:80"
	for range 2 {
		relayedMessages(all, hints, func(to string) bool { return to == dead })
	}
	for address := range all {
		if got := inFlight(address); address != dead && got < float64(len(all)-2) {
			t.Errorf("%s knows of %v requests two rounds after a relay failed, want those of all others", address, got)
		}
	}
}

// TestMarksAreNoAddresses checks that marks in a message are taken neither as
// addresses of peers nor as a reason to relay a message without load hints.
func TestMarksAreNoAddresses(t *testing.T) {
	c := clock.NewManual(epoch)
	p := newTestPeers(c)
	p.handleMessage(peerMessage{From: "10.0.0.2:80", Known: []string{"@", "@b", relayMark}})
	if len(p.known) != 1 || p.known["10.0.0.2:80"].dataCentre != "b" {
		t.Errorf("known peers %v, want the sender in data centre b", p.known)
	}
	if targets := p.relayTargets(peerMessage{From: "10.0.0.2:80", Known: []string{relayMark}}); targets != nil {
		t.Errorf("a message without load hints is relayed to %v", targets)
	}
}

// TestSharingKeepsSilentPeers checks which gateways count as sharing limits: also
// silent ones, those that only a peer has reached, and seeds that were never reached.
func TestSharingKeepsSilentPeers(t *testing.T) {
	c := clock.NewManual(epoch)
	p := newTestPeers(c)
	expect := func(when string, gateways int, known bool) {
		t.Helper()
		if got, gotKnown := p.Sharing(); got != gateways || gotKnown != known {
			t.Errorf("%s: got %d gateways, known %v; want %d, %v", when, got, gotKnown, gateways, known)
		}
	}
	c.Advance(discoveryTime)
	expect("no peer reached", assumedGateways, false)
	p.handleMessage(peerMessage{From: "10.0.0.2:80"})
	expect("one of two seeds reached", 3, true)
	p.handleMessage(peerMessage{From: "10.0.0.4:80", Known: []string{countEntry(5)}})
	expect("a peer that knows five gateways", 5, true)
	for _, entry := range []string{countEntry(-5), countEntry(0), countMark, countMark + "five", countMark + "99999999999999999999"} {
		p.handleMessage(peerMessage{From: "10.0.0.4:80", Known: []string{entry}})
	}
	p.handleMessage(peerMessage{From: "10.0.0.4:80", Hints: []routing.Hint{{Server: "i-1"}}})
	expect("reports that are no positive number, and load hints without a report", 5, true)
	c.Advance(shareHold - time.Second)
	p.nextRound()
	expect("silent peers that are lost otherwise", 5, true)
	p.handleMessage(peerMessage{From: "10.0.0.2:80", Known: []string{countEntry(3)}})
	c.Advance(time.Second)
	p.nextRound()
	expect("a peer that was silent for shareHold", 3, true)
	p.handleMessage(peerMessage{From: "10.0.0.2:80", Known: []string{countEntry(1 << 40)}})
	expect("a report that is too large", maxSharing, true)
	single := NewPeers(&deployment.Settings{PeerAddress: "10.0.0.1:80", Seeds: []string{"10.0.0.1:80"}}, routing.NewScheduler("a"), c, discardLog())
	c.Advance(discoveryTime)
	if got, known := single.Sharing(); got != 1 || !known {
		t.Errorf("a gateway whose only seed is itself: got %d gateways, known %v; want 1, true", got, known)
	}
}

// TestSharingIsBounded checks that forged senders do not use up memory.
func TestSharingIsBounded(t *testing.T) {
	p := newTestPeers(clock.NewManual(epoch))
	for i := range maxSharing + 10 {
		p.handleMessage(peerMessage{From: fmt.Sprintf("10.%d.%d.%d:80", i>>16, i>>8&255, i&255)})
	}
	if len(p.sharing) != maxSharing {
		t.Errorf("%d senders are remembered, want maxSharing", len(p.sharing))
	}
}

// TestCountDoesNotReplaceDataCentre checks that gateways of earlier versions, which
// keep the last mark of a hello as the data centre, still find the data centre.
func TestCountDoesNotReplaceDataCentre(t *testing.T) {
	p := newTestPeers(clock.NewManual(epoch))
	p.dataCentre = "a"
	_, message := p.nextRound()
	if last := message.Known[len(message.Known)-1]; last != dataCentreMark+"a" {
		t.Errorf("the last entry of a hello is %q, want the data centre", last)
	}
	p.handleMessage(peerMessage{From: "10.0.0.2:80", Known: []string{dataCentreMark + "b", countEntry(4)}})
	if got := p.known["10.0.0.2:80"].dataCentre; got != "b" {
		t.Errorf("data centre %q of a peer that also reports a count, want b", got)
	}
}

// TestCountsGatewaysThatCannotServe checks what a gateway knows of the others: those that state in
// their hellos that they cannot confirm their configuration, those that have become silent, and
// that a message without a hello changes nothing.
func TestCountsGatewaysThatCannotServe(t *testing.T) {
	c := clock.NewManual(epoch)
	p := newTestPeers(c)
	sender := NewPeers(&deployment.Settings{PeerAddress: "10.0.0.2:80", DataCentre: "a"}, routing.NewScheduler("a"), c, discardLog())
	unable := true
	sender.Unable = func() bool { return unable }
	_, hello := sender.nextRound()
	p.handleMessage(hello)
	p.handleMessage(peerMessage{From: "10.0.0.2:80"})
	p.handleMessage(peerMessage{From: "10.0.0.3:80", Known: []string{countEntry(3), dataCentreMark + "b"}})
	if got := p.Others(); got != (retry.Others{Able: 1, Unable: 1}) || p.known["10.0.0.2:80"].dataCentre != "a" {
		t.Errorf("got %+v, want one that can serve and one that cannot", got)
	}
	unable = false
	_, hello = sender.nextRound()
	p.handleMessage(hello)
	if got := p.Others(); got != (retry.Others{Able: 2}) {
		t.Errorf("got %+v, want two that can serve", got)
	}
	c.Advance(peerTimeout)
	if got := p.Others(); got != (retry.Others{Silent: 2}) {
		t.Errorf("got %+v, want two that are silent", got)
	}
}
