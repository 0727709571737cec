package gateway

import (
	"context"
	"net"
	"net/netip"
	"sort"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/sesameswitch/sesameswitch/clock"
	"github.com/sesameswitch/sesameswitch/deployment"
	"github.com/sesameswitch/sesameswitch/routing"
)

const (
	// helloInterval is how often a gateway tells the others that it lives.
	helloInterval = 500 * time.Millisecond
	// peerTimeout is how long a gateway that is not heard counts as alive:
	// three hellos may be lost, or it may restart.
	peerTimeout = 4 * time.Second
	// maxPeers bounds what is remembered.
	maxPeers = 1024
	// maxHelloBytes is the largest datagram that passes every link whole.
	maxHelloBytes = 1400
	// hellosPerRound is how many gateways are greeted in one interval at least,
	// helloShare the part of those known: all within half of peerTimeout.
	hellosPerRound = 6
	helloShare     = 4
	// namedPerHello is how many gateways a hello names: as many as fit into a
	// datagram.
	namedPerHello = 40
	// namedWhenCalm is how many it names when no gateway was heard anew for
	// namingTime: then all know each other, and a hello is paid by its bytes. In
	// namingTime each gateway greets all others twice.
	namedWhenCalm = 2
	namingTime    = 4 * time.Second
	// minHintMemory is how long hints count at least, hintIntervals for how many
	// of their intervals.
	minHintMemory = 700 * time.Millisecond
	hintIntervals = 4
	// shareInterval is how often a gateway tells what it holds, for up to
	// shareGateways of them: prompts are read in some hundred milliseconds.
	shareInterval = 150 * time.Millisecond
	shareGateways = 24
	// maxHintBytes bounds the hints of one datagram; hintBytes and partBytes
	// are what one takes besides its names.
	maxHintBytes = 1200
	hintBytes    = 24
	partBytes    = 8
	// unknownGateways is how many gateways are assumed before others were
	// heard: a gateway alone must not use up what all may use together.
	unknownGateways = 8
	// learnTime is how long after its start a gateway assumes so.
	learnTime = 2 * time.Second
)

// hello is a datagram between gateways.
type hello struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // it tells the codec to leave names out
	From     string
	// Known are addresses of some gateways that the sender heard.
	Known []string
	// Hints are what the sender holds at backend servers.
	Hints []routing.Hint
}

// LoadHints exchanges what gateways hold at backend servers.
type LoadHints interface {
	// CollectHints returns what this gateway holds, and what it sent since the last
	// call.
	CollectHints(now time.Time) []routing.Hint
	// ApplyHints takes in another gateway's.
	// They count until the time.
	ApplyHints(now, until time.Time, from string, hints []routing.Hint)
}

// Peers knows the other gateways from datagrams. It is safe for concurrent use.
//
// A caller may rely on Live counting a gateway that sends hellos over a sound
// path within a few intervals, and no longer than peerTimeout after its last.
type Peers struct {
	address string
	log     *logrus.Entry
	clock   clock.Clock
	mu      sync.Mutex
	seeds   []string
	// heard is when each gateway was heard of last, by its address; a gateway
	// that was only named by others has the zero time.
	heard map[string]time.Time
	hints LoadHints
	// turn and nameTurn are whom to greet and to name next.
	turn, nameTurn int
	started        time.Time
	// changed is when a gateway was heard for the first time last.
	changed time.Time
}

// NewPeers returns the peers of a gateway that has heard nobody.
func NewPeers(settings *deployment.Settings, hints LoadHints, c clock.Clock, log *logrus.Entry) *Peers {
	return &Peers{
		address: settings.PeerAddress, seeds: settings.Seeds, log: log, clock: c, hints: hints,
		heard: make(map[string]time.Time), started: c.Now(), changed: c.Now(),
	}
}

// SetSeeds replaces the seeds.
func (p *Peers) SetSeeds(seeds []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seeds = seeds
}

// LiveCount implements Gateways.
func (p *Peers) LiveCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	live := p.liveAt(now)
	if now.Sub(p.started) < learnTime {
		return max(live, unknownGateways)
	}
	return live
}

// liveAt counts the gateways that were heard lately, and this one.
func (p *Peers) liveAt(now time.Time) int {
	live := 1
	for _, at := range p.heard {
		if now.Sub(at) < peerTimeout {
			live++
		}
	}
	return live
}

// Run sends and receives hellos until the context ends.
func (p *Peers) Run(ctx context.Context) {
	if p.address == "" {
		return
	}
	local, err := net.ResolveUDPAddr("udp", p.address)
	if err != nil {
		p.log.WithError(err).WithField("event", "peers_off").Error("the peer address cannot be used")
		return
	}
	conn, err := net.ListenUDP("udp", local)
	if err != nil {
		p.log.WithError(err).WithField("event", "peers_off").Error("the peer address cannot be used")
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() }) // the receiver ends
	defer stop()
	go clock.Every(ctx, helloInterval, func() { p.greet(conn) })
	go p.share(ctx, conn)
	p.receive(conn)
}

// share tells the others what this gateway holds, until the context ends.
func (p *Peers) share(ctx context.Context, conn *net.UDPConn) {
	for clock.Sleep(ctx, p.shareInterval()) {
		targets := p.live()
		if len(targets) == 0 {
			continue
		}
		for _, part := range splitHints(p.hints.CollectHints(p.clock.Now())) {
			p.send(conn, targets, hello{From: p.address, Hints: part})
		}
	}
}

// shareInterval grows with the gateways, so that each one's messages do not.
func (p *Peers) shareInterval() time.Duration {
	return shareIntervalOf(p.LiveCount())
}

func shareIntervalOf(gateways int) time.Duration {
	return shareInterval * time.Duration(1+gateways/shareGateways)
}

// live returns the gateways that were heard lately.
func (p *Peers) live() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	var live []string
	for address, at := range p.heard {
		if now.Sub(at) < peerTimeout {
			live = append(live, address)
		}
	}
	return live
}

// splitHints divides hints so that each part fits into a datagram.
func splitHints(hints []routing.Hint) [][]routing.Hint {
	var parts [][]routing.Hint
	size, from := 0, 0
	for i := range hints {
		weight := hintBytes + len(hints[i].Server)
		for _, part := range hints[i].Segments {
			weight += partBytes + len(part.ID)
		}
		if size += weight; size > maxHintBytes && i > from {
			parts = append(parts, hints[from:i])
			size, from = weight, i
		}
	}
	if from < len(hints) {
		parts = append(parts, hints[from:])
	}
	return parts
}

// greet sends a round of hellos.
func (p *Peers) greet(conn *net.UDPConn) {
	targets, message := p.round()
	p.send(conn, targets, message)
}

// send sends one message to several gateways.
func (p *Peers) send(conn *net.UDPConn, targets []string, message hello) {
	content, err := msgpack.Marshal(&message)
	if err != nil || len(content) > maxHelloBytes {
		p.log.WithError(err).WithFields(logrus.Fields{"event": "hello_failed", "bytes": len(content)}).Error("a message to other gateways cannot be sent")
		return
	}
	for _, target := range targets {
		to, err := netip.ParseAddrPort(target)
		if err != nil {
			continue // seeds were checked when they were read; a peer's word was not
		}
		_, _ = conn.WriteToUDPAddrPort(content, to) // a lost datagram is made good by the next
	}
}

// round chooses whom to greet and what to say.
func (p *Peers) round() ([]string, hello) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	var known []string
	for address, at := range p.heard {
		if !at.IsZero() && now.Sub(at) > 3*peerTimeout {
			delete(p.heard, address)
			p.log.WithFields(logrus.Fields{"event": "peer_lost", "peer": address}).Info("gateway lost")
			continue
		}
		known = append(known, address)
	}
	targets := make([]string, 0, hellosPerRound+len(p.seeds))
	for _, seed := range p.seeds {
		if _, heard := p.heard[seed]; !heard && seed != p.address {
			targets = append(targets, seed)
		}
	}
	sort.Strings(known)
	count := min(max(hellosPerRound, len(known)/helloShare+1), len(known))
	for i := range count {
		targets = append(targets, known[(p.turn+i)%len(known)])
	}
	p.turn += count
	names := namedPerHello
	if now.Sub(p.changed) > namingTime {
		names = namedWhenCalm
	}
	named := make([]string, 0, names)
	for i := range min(names, len(known)) {
		named = append(named, known[(p.nameTurn+i)%len(known)])
	}
	p.nameTurn += len(named)
	return targets, hello{From: p.address, Known: named}
}

// receive takes in hellos until the connection is closed.
func (p *Peers) receive(conn *net.UDPConn) {
	buf := make([]byte, maxHelloBytes)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if !eris.Is(err, net.ErrClosed) {
				p.log.WithError(err).WithField("event", "peers_off").Error("hellos cannot be received")
			}
			return
		}
		var message hello
		if err := msgpack.Unmarshal(buf[:n], &message); err != nil {
			p.log.WithError(err).WithField("event", "hello_unreadable").Debug("a hello was passed over")
			continue
		}
		p.take(message)
	}
}

// take notes what a hello tells.
func (p *Peers) take(message hello) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, err := netip.ParseAddrPort(message.From); err != nil || message.From == p.address {
		return
	}
	if at, known := p.heard[message.From]; !known || at.IsZero() {
		p.changed = p.clock.Now()
		p.log.WithFields(logrus.Fields{"event": "peer_heard", "peer": message.From}).Info("gateway heard")
	}
	now := p.clock.Now()
	p.heard[message.From] = now
	if len(message.Hints) > 0 {
		memory := max(minHintMemory, hintIntervals*shareIntervalOf(p.liveAt(now)))
		p.hints.ApplyHints(now, now.Add(memory), message.From, message.Hints)
	}
	for _, address := range message.Known {
		_, known := p.heard[address]
		if _, err := netip.ParseAddrPort(address); err != nil || known || address == p.address || len(p.heard) >= maxPeers {
			continue
		}
		p.heard[address] = time.Time{}
	}
}
