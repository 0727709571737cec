package testbed

import (
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// LinkState is the state of the link that a relay simulates.
type LinkState int

const (
	// LinkOpen forwards all bytes.
	LinkOpen LinkState = iota
	// LinkDown closes all connections, and new ones as soon as they are accepted.
	LinkDown
	// LinkBlackhole keeps connections open and discards all bytes in both
	// directions.
	LinkBlackhole
	// LinkDropsRequests discards the bytes sent to the target.
	LinkDropsRequests
	// LinkDropsResponses discards the bytes received from the target.
	LinkDropsResponses
	// LinkDelayed forwards the bytes of each read after linkDelay, in both
	// directions.
	LinkDelayed
)

// linkDelay is the delay of each read on a delayed link. A request and its response
// are together delayed by 300 ms or more, a considerable part of a latency target of
// one second.
const linkDelay = 150 * time.Millisecond

// Relay is a TCP proxy that simulates failures of the link between two processes.
// It listens on its own address and forwards each connection to the target.
type Relay struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	state LinkState
	// conns are the open connections from clients and to the target.
	conns map[net.Conn]struct{}
}

// NewRelay starts a relay to the target, with its link open.
func NewRelay(target string) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "testbed: relay cannot listen")
	}
	r := &Relay{listener: l, target: target, conns: make(map[net.Conn]struct{})}
	go r.acceptLoop()
	return r, nil
}

// Address returns the address on which the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// SetState changes the state of the link. LinkDown closes all connections. So does a
// change from any other state to LinkOpen, because bytes may have been discarded from
// the connections.
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

// Close stops listening and closes all connections.
func (r *Relay) Close() {
	r.listener.Close()
	r.SetState(LinkDown)
}

// acceptLoop accepts connections until the listener is closed.
func (r *Relay) acceptLoop() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.forward(client)
	}
}

// forward connects to the target and copies bytes in both directions until one of the
// connections ends. If the link is down or the target cannot be reached, it closes the
// client's connection.
func (r *Relay) forward(client net.Conn) {
	if !r.track(client) {
		client.Close()
		return
	}
	defer r.closeAndUntrack(client)
	target, err := net.DialTimeout("tcp", r.target, time.Second)
	if err != nil {
		return
	}
	if !r.track(target) {
		target.Close()
		return
	}
	defer r.closeAndUntrack(target)
	var group sync.WaitGroup
	group.Go(func() { r.copy(target, client, LinkDropsRequests) })
	group.Go(func() { r.copy(client, target, LinkDropsResponses) })
	group.Wait()
}

// track registers a connection, so that SetState can close it. It returns false if
// the link is down.
func (r *Relay) track(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state == LinkDown {
		return false
	}
	r.conns[c] = struct{}{}
	return true
}

func (r *Relay) closeAndUntrack(c net.Conn) {
	c.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}

// copy forwards the bytes of src to dst. It discards them while the link is a
// blackhole or in discardState.
func (r *Relay) copy(dst, src net.Conn, discardState LinkState) {
	defer dst.Close()
	defer src.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := src.Read(buffer)
		if err != nil {
			return
		}
		switch state := r.currentState(); state {
		case LinkBlackhole, discardState:
			continue
		case LinkDelayed:
			time.Sleep(linkDelay)
		}
		if _, err := dst.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (r *Relay) currentState() LinkState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state
}
