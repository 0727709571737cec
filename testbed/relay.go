package testbed

import (
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// LinkState says what a relay does with traffic.
type LinkState int

const (
	// LinkOpen passes everything on.
	LinkOpen LinkState = iota
	// LinkDown closes all connections and refuses new ones.
	LinkDown
	// LinkBlackhole keeps connections open and loses all bytes both ways.
	LinkBlackhole
	// LinkDropsRequests loses the bytes towards the target.
	LinkDropsRequests
	// LinkDropsResponses loses the bytes from the target.
	LinkDropsResponses
	// LinkDelayed passes everything on, each piece after linkDelay.
	LinkDelayed
)

// linkDelay is how long a slow link holds each piece: a good part of a goal of a
// second.
const linkDelay = 150 * time.Millisecond

// Relay is a TCP link between processes that can be damaged while in use. It
// stands on an address of its own and passes connections on to a target.
type Relay struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	state LinkState
	conns map[net.Conn]struct{}
}

// NewRelay returns an open relay to a target.
func NewRelay(target string) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "relay")
	}
	r := &Relay{listener: l, target: target, conns: make(map[net.Conn]struct{})}
	go r.accept()
	return r, nil
}

// Address is where the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// SetState changes what happens to traffic. Bytes lost meanwhile stay lost, so
// connections on which any were lost are closed when the link opens again.
func (r *Relay) SetState(state LinkState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if state == LinkDown || state == LinkOpen && r.state != LinkOpen {
		for c := range r.conns {
			c.Close()
		}
	}
	r.state = state
}

// Close ends the relay and all its connections.
func (r *Relay) Close() {
	r.listener.Close()
	r.SetState(LinkDown)
}

func (r *Relay) accept() {
	for {
		from, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.join(from)
	}
}

func (r *Relay) join(from net.Conn) {
	if !r.keep(from) {
		from.Close()
		return
	}
	defer r.drop(from)
	to, err := net.DialTimeout("tcp", r.target, time.Second)
	if err != nil {
		return
	}
	if !r.keep(to) {
		to.Close()
		return
	}
	defer r.drop(to)
	var group sync.WaitGroup
	group.Go(func() { r.copy(to, from, LinkDropsRequests) })
	group.Go(func() { r.copy(from, to, LinkDropsResponses) })
	group.Wait()
}

func (r *Relay) keep(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state == LinkDown {
		return false
	}
	r.conns[c] = struct{}{}
	return true
}

func (r *Relay) drop(c net.Conn) {
	c.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}

// copy passes bytes on, unless the link loses them in this direction.
func (r *Relay) copy(to, from net.Conn, loses LinkState) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		switch state := r.current(); state {
		case LinkBlackhole, loses:
			continue
		case LinkDelayed:
			time.Sleep(linkDelay)
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (r *Relay) current() LinkState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state
}
