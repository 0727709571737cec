package gateway

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/sesameswitch/sesameswitch/clock"
	"github.com/sesameswitch/sesameswitch/deployment"
	"github.com/sesameswitch/sesameswitch/internal/datagram"
	"github.com/sesameswitch/sesameswitch/originholder"
	"github.com/sesameswitch/sesameswitch/retry"
	"github.com/sesameswitch/sesameswitch/routing"
)

const (
	// helloInterval is the interval between two rounds of hellos.
	helloInterval = 500 * time.Millisecond
	// peerTimeout is how long a gateway counts as live after its last message. It
	// covers the loss of messages and a restart of the gateway.
	peerTimeout = 4 * time.Second
	// lostAfter is how long a peer is known without a message; until then it still
	// gets hellos.
	lostAfter = 3 * peerTimeout
	// maxPeers limits the known peers: from this number on, new addresses that
	// peers list are ignored. A gateway that sends a message is always added.
	maxPeers = 1024
	// maxDatagramBytes is the maximum size of a datagram: one of this size passes
	// every link without fragmentation.
	maxDatagramBytes = 1400
	// Each round sends hellos to one in helloRounds of the known peers, and to
	// minHellosPerRound of them at least. So each peer gets a hello within half of
	// peerTimeout.
	minHellosPerRound = 6
	helloRounds       = 4
	// maxListedPeers is the maximum number of peers that a hello lists: as many
	// as fit into a datagram.
	maxListedPeers = 40
	// stableListedPeers is the maximum if no new peer was seen for stableAfter.
	// By then each gateway has sent two hellos to all others, so that all know
	// each other, and hellos are billed by their bytes.
	stableListedPeers = 2
	stableAfter       = 4 * time.Second
	// The load hints of a peer expire after hintTTLIntervals intervals between
	// rounds of load hints, but not before minHintTTL.
	minHintTTL       = 700 * time.Millisecond
	hintTTLIntervals = 4
	// minHintInterval is the interval between two rounds of load hints in a small
	// fleet. For every gatewaysPerHintInterval gateways the interval grows by
	// minHintInterval, which is short because the prefill of a prompt takes only
	// some hundred milliseconds.
	minHintInterval         = 150 * time.Millisecond
	gatewaysPerHintInterval = 24
	// minSendInterval is the least time between two messages with changed load hints.
	minSendInterval = 10 * time.Millisecond
	// maxHintBytes limits the load hints of one datagram; the rest of
	// maxDatagramBytes is for the other fields. hintOverheadBytes and
	// segmentOverheadBytes are the encoded sizes of a hint and of a segment
	// without their IDs.
	maxHintBytes         = 1200
	hintOverheadBytes    = 24
	segmentOverheadBytes = 8
	// assumedGateways is the minimum of LiveCount during discoveryTime: a gateway
	// that has not seen its peers yet must not use up the limits that all gateways
	// share.
	assumedGateways = 8
	// Entries of peerMessage.Known that begin with dataCentreMark are no addresses:
	// one names the data centre of the sender, relayMark asks the receiver to relay
	// the message, the number after countMark is that of the gateways that share
	// limits, limitMark begins a report about the limit of a backend server, and there are
	// others about crashes, where streams began and tokens of cold servers.
	dataCentreMark = "@"
	relayMark      = dataCentreMark + "relay"
	countMark      = dataCentreMark + "gateways="
	// unableMark is in hellos of gateways that cannot confirm their configuration.
	unableMark = dataCentreMark + "unable"
	// discoveryTime is how long after its start a gateway may not yet have seen
	// all its peers.
	discoveryTime = 2 * time.Second
)

// peerMessage is a message between gateways, sent as one datagram: a hello message
// with Known, or load hints with Hints.
type peerMessage struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // makes the codec write an array without field names
	// From is the peer address of the sender.
	From string
	// Known are addresses of some peers that the sender knows, and marks.
	Known []string
	// Hints are the sender's load hints.
	Hints []routing.Hint
}

// LoadHints provides and accepts load hints: what a gateway has in flight at
// backend servers.
type LoadHints interface {
	// CollectHints returns the load hints of this gateway, with the prompt
	// segments that it sent since the last call.
	CollectHints(now time.Time) []routing.Hint
	// CollectChangedHints returns those of them that peers must know at once. Changed
	// returns a channel that gets a value when there are some.
	CollectChangedHints(now time.Time) []routing.Hint
	Changed() <-chan struct{}
	// ApplyHints applies the load hints of another gateway. They expire at the
	// time until.
	ApplyHints(now, until time.Time, from string, hints []routing.Hint)
}

// peerRecord is what is known of a peer.
type peerRecord struct {
	// knownSince is when the peer was first listed or sent its first message.
	knownSince time.Time
	// lastMessage is when its last message arrived; zero if only other gateways
	// have listed it.
	lastMessage time.Time
	// dataCentre is the data centre of the peer; empty until the peer has named it.
	dataCentre string
	// unable reports whether the peer stated in its last hello that it cannot confirm its
	// configuration.
	unable bool
}

// live reports whether the peer counts as live.
func (r peerRecord) live(now time.Time) bool {
	return !r.lastMessage.IsZero() && now.Sub(r.lastMessage) < peerTimeout
}

// lost reports whether the peer is no longer known: it has sent no message, or
// never one, for lostAfter.
func (r peerRecord) lost(now time.Time) bool {
	if r.lastMessage.IsZero() {
		return now.Sub(r.knownSince) > lostAfter
	}
	return now.Sub(r.lastMessage) > lostAfter
}

// Peers discovers the other gateways by datagrams and exchanges load hints with
// them. It is safe for concurrent use.
//
// Callers may assume that LiveCount includes a peer within a few intervals after
// the peer starts to send hellos over a working path, and for no longer than
// peerTimeout after its last message. During discoveryTime, LiveCount is at least
// assumedGateways.
//
// The live gateways are for estimates of load. Limits that must hold for all gateways
// together are divided by Sharing, which does not decrease when peers fall silent.
type Peers struct {
	address    string
	dataCentre string
	log        *logrus.Entry
	clock      clock.Clock
	mu         sync.Mutex
	seeds      []string
	// known holds the known peers by address.
	known map[string]peerRecord
	hints LoadHints
	// nextHello and nextListed are the positions in the sorted list of known peers
	// at which the next round continues to send hellos and to list peers.
	nextHello, nextListed int
	// nextRelay selects the relay in each data centre.
	nextRelay int
	// crashRound counts the rounds of repeated reports about crashes.
	crashRound int
	startedAt  time.Time
	// lastNewPeerAt is when the first message of a new peer last arrived.
	lastNewPeerAt time.Time
	// sharing holds the gateways that have sent a message within shareHold.
	sharing map[string]sharingRecord
	// reportedLive and reportedSharing are the numbers that were last logged.
	reportedLive, reportedSharing int
	// OnCount, if set before Run, is called with the numbers of live gateways and of
	// those that share limits when one has changed.
	OnCount func(live, sharing int)
	// Limits and Crashes, if set before Run, exchange the limits of backend servers and
	// what is known of requests that crash them.
	Limits  LimitExchange
	Crashes CrashExchange
	// Origins, if set before Run, exchanges where streams began, Evacuations which data centres
	// are evacuated.
	Origins OriginExchange
	// reporting serializes the reports of where streams began, so that each caller of
	// ReportOrigins waits for its own.
	reporting sync.Mutex
	// OriginHolderAddresses, if set before Run, returns the addresses of the processes beside
	// backend servers that hold where streams began, sorted.
	OriginHolderAddresses func() []string
	Evacuations           EvacuationExchange
	// Unable, if set before Run, reports whether this gateway refuses requests because it cannot
	// confirm its configuration.
	Unable func() bool
	// Tokens, if set before Run, lends and borrows tokens of cold servers.
	Tokens TokenExchange
	// conn is nil until Run listens.
	conn atomic.Pointer[net.UDPConn]
}

// NewPeers returns the peers of a gateway that knows only its seeds.
func NewPeers(settings *deployment.Settings, hints LoadHints, c clock.Clock, log *logrus.Entry) *Peers {
	return &Peers{
		address: settings.PeerAddress, dataCentre: settings.DataCentre, seeds: settings.Seeds, log: log, clock: c, hints: hints,
		known: make(map[string]peerRecord), sharing: make(map[string]sharingRecord), startedAt: c.Now(), lastNewPeerAt: c.Now(),
	}
}

// SetSeeds replaces the seeds.
func (p *Peers) SetSeeds(seeds []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seeds = seeds
}

// LiveCount returns the number of live gateways, including this one.
func (p *Peers) LiveCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	live := p.liveCountAt(now)
	if now.Sub(p.startedAt) < discoveryTime {
		return max(live, assumedGateways)
	}
	return live
}

// Others implements SharingCounter.
func (p *Peers) Others() (o retry.Others) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for _, r := range p.known {
		switch {
		case !r.live(now):
		case r.unable:
			o.Unable++
		default:
			o.Able++
		}
	}
	for address := range p.sharing {
		if !p.known[address].live(now) {
			o.Silent++
		}
	}
	return o
}

// liveCountAt returns the number of live gateways, including this one.
func (p *Peers) liveCountAt(now time.Time) int {
	live := 1
	for _, r := range p.known {
		if r.live(now) {
			live++
		}
	}
	return live
}

// Run sends and receives hellos and load hints until the context ends.
func (p *Peers) Run(ctx context.Context) {
	if p.address == "" {
		return
	}
	local, err := net.ResolveUDPAddr("udp", p.address)
	if err != nil {
		p.log.WithError(err).WithField("event", "peers_off").Error("invalid peer address; peer discovery disabled")
		return
	}
	conn, err := net.ListenUDP("udp", local)
	if err != nil {
		p.log.WithError(err).WithField("event", "peers_off").Error("cannot listen on the peer address; peer discovery disabled")
		return
	}
	p.conn.Store(conn)
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() }) // makes receive return
	defer stop()
	go clock.Every(ctx, helloInterval, func() { p.sendHellos(conn) })
	go p.sendHints(ctx, conn)
	go p.sendCrashReports(ctx, conn)
	go p.sendOrigins(ctx, conn)
	p.receive(conn)
}

// sendHellos sends one round of hellos.
func (p *Peers) sendHellos(conn *net.UDPConn) {
	p.reportCounts()
	targets, message := p.nextRound()
	p.send(conn, targets, message)
	for _, reports := range p.repeatedCrashMessages() {
		p.send(conn, targets, reports)
	}
}

// reportCounts logs the numbers of live gateways and of those that share limits if
// one of them has changed.
func (p *Peers) reportCounts() {
	live := p.LiveCount()
	sharing, known := p.Sharing()
	p.mu.Lock()
	previousLive, previousSharing := p.reportedLive, p.reportedSharing
	p.reportedLive, p.reportedSharing = live, sharing
	p.mu.Unlock()
	if live == previousLive && sharing == previousSharing {
		return
	}
	p.log.WithFields(logrus.Fields{
		"event": "gateways_counted", "gateways": live, "previous": previousLive, "sharing": sharing, "previous_sharing": previousSharing, "known": known,
	}).Info("number of gateways changed")
	if p.OnCount != nil {
		p.OnCount(live, sharing)
	}
}

// send sends a message to several gateways.
func (p *Peers) send(conn *net.UDPConn, targets []string, message peerMessage) {
	content, err := msgpack.Marshal(&message)
	if err != nil || len(content) > maxDatagramBytes {
		p.log.WithError(err).WithFields(logrus.Fields{"event": "hello_failed", "bytes": len(content)}).Error("message to peer gateways cannot be encoded or is too large; not sent")
		return
	}
	for _, target := range targets {
		to, err := netip.ParseAddrPort(target)
		if err != nil {
			continue // not reached: seeds are validated with the settings, other addresses in handleMessage
		}
		_, _ = conn.WriteToUDPAddrPort(content, to) // the next message makes up for a lost one
	}
}

// nextRound returns the targets and the message of the next round of hellos: the
// seeds that are not known yet, and the next part of the known peers. It removes
// lost peers. The message lists only peers that have sent messages to this gateway,
// so that a dead address is not passed on in circles.
func (p *Peers) nextRound() ([]string, peerMessage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	p.forgetSharing(now)
	var known, seen []string
	for address, r := range p.known {
		if r.lost(now) {
			delete(p.known, address)
			p.log.WithFields(logrus.Fields{"event": "peer_lost", "peer": address, "seen": !r.lastMessage.IsZero()}).Info("peer gateway lost")
			continue
		}
		known = append(known, address)
		if !r.lastMessage.IsZero() {
			seen = append(seen, address)
		}
	}
	targets := make([]string, 0, minHellosPerRound+len(p.seeds))
	for _, seed := range p.seeds {
		if _, isKnown := p.known[seed]; !isKnown && seed != p.address {
			targets = append(targets, seed)
		}
	}
	sort.Strings(known)
	sort.Strings(seen)
	count := min(max(minHellosPerRound, len(known)/helloRounds+1), len(known))
	for i := range count {
		targets = append(targets, known[(p.nextHello+i)%len(known)])
	}
	p.nextHello += count
	maxListed := maxListedPeers
	if now.Sub(p.lastNewPeerAt) > stableAfter {
		maxListed = stableListedPeers
	}
	listed := make([]string, 0, maxListed)
	for i := range min(maxListed, len(seen)) {
		listed = append(listed, seen[(p.nextListed+i)%len(seen)])
	}
	p.nextListed += len(listed)
	listed = append(listed, p.limitEntries(now)...)
	listed = append(listed, p.evacuationEntries()...)
	if p.Unable != nil && p.Unable() {
		listed = append(listed, unableMark)
	}
	return targets, peerMessage{From: p.address, Known: append(listed, countEntry(p.ownCount()), dataCentreMark+p.dataCentre)}
}

// receive handles messages until the connection is closed.
func (p *Peers) receive(conn *net.UDPConn) {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if !eris.Is(err, net.ErrClosed) {
				p.log.WithError(err).WithField("event", "peers_off").Error("cannot receive messages of peer gateways; peer discovery disabled")
			}
			return
		}
		var message peerMessage
		if err := datagram.Unmarshal(buf[:n], &message); err != nil {
			p.log.WithError(err).WithField("event", "hello_unreadable").Debug("undecodable message of a peer gateway ignored")
			continue
		}
		if !slices.Contains(message.Known, originholder.Mark) {
			p.handleMessage(message)
		}
		p.applyOriginEntries(conn, p.clock.Now(), message)
		p.applyTokenEntries(conn, message)
		p.relay(conn, message)
	}
}

// handleMessage applies a message: it records the sender and the listed peers,
// and applies the load hints and the reports about limits and crashes.
func (p *Peers) handleMessage(message peerMessage) {
	if _, err := netip.ParseAddrPort(message.From); err != nil || message.From == p.address {
		return
	}
	now := p.clock.Now()
	p.recordMessage(now, message)
	p.applyLimitEntries(now, message) // without mu, which Position needs
	p.applyCrashEntries(now, message)
	p.applyEvacuationEntries(message)
}

// recordMessage records the sender and the listed peers of a message, and applies the
// load hints.
func (p *Peers) recordMessage(now time.Time, message peerMessage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	sender, isKnown := p.known[message.From]
	if !isKnown {
		sender.knownSince = now
	}
	if sender.lastMessage.IsZero() {
		p.lastNewPeerAt = now
		p.log.WithFields(logrus.Fields{"event": "peer_heard", "peer": message.From}).Info("new peer gateway seen")
	}
	sender.lastMessage = now
	for _, entry := range message.Known {
		if name, isMark := strings.CutPrefix(entry, dataCentreMark); isMark && entry != relayMark && entry != unableMark && !strings.HasPrefix(entry, countMark) && !isReportEntry(entry) {
			sender.dataCentre = name
		}
	}
	if message.gatewayCount() > 0 { // a hello
		sender.unable = slices.Contains(message.Known, unableMark)
	}
	p.known[message.From] = sender
	p.recordSharing(now, message)
	if len(message.Hints) > 0 {
		ttl := max(minHintTTL, hintTTLIntervals*hintIntervalFor(p.liveCountAt(now)))
		attachSpeeds(message)
		p.hints.ApplyHints(now, now.Add(ttl), message.From, message.Hints)
	}
	for _, address := range message.Known {
		_, isKnown := p.known[address]
		if _, err := netip.ParseAddrPort(address); err != nil || isKnown || address == p.address || len(p.known) >= maxPeers {
			continue
		}
		p.known[address] = peerRecord{knownSince: now}
	}
}
