package prove

import (
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// linkState says what a relay does with traffic.
type linkState int

const (
	// linkOpen passes everything on.
	linkOpen linkState = iota
	// linkCut closes all connections and refuses new ones.
	linkCut
	// linkSilent keeps connections open and loses all bytes both ways.
	linkSilent
	// linkLosesRequests loses the bytes towards the target.
	linkLosesRequests
	// linkLosesAnswers loses the bytes from the target.
	linkLosesAnswers
)

// relay is a TCP link between processes that can be damaged while in use. It
// stands on an address of its own and passes connections on to a target.
type relay struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	state linkState
	conns map[net.Conn]struct{}
}

func newRelay(target string) (*relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "relay")
	}
	r := &relay{listener: l, target: target, conns: make(map[net.Conn]struct{})}
	go r.accept()
	return r, nil
}

func (r *relay) address() string { return r.listener.Addr().String() }

// set changes what happens to traffic. Bytes lost meanwhile stay lost, so
// connections on which any were lost are closed when the link opens again.
func (r *relay) set(state linkState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if state == linkCut || state == linkOpen && r.state != linkOpen {
		for c := range r.conns {
			c.Close()
		}
	}
	r.state = state
}

func (r *relay) close() {
	r.listener.Close()
	r.set(linkCut)
}

func (r *relay) accept() {
	for {
		from, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.join(from)
	}
}

func (r *relay) join(from net.Conn) {
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
	group.Go(func() { r.copy(to, from, linkLosesRequests) })
	group.Go(func() { r.copy(from, to, linkLosesAnswers) })
	group.Wait()
}

func (r *relay) keep(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state == linkCut {
		return false
	}
	r.conns[c] = struct{}{}
	return true
}

func (r *relay) drop(c net.Conn) {
	c.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}

// copy passes bytes on, unless the link loses them in this direction.
func (r *relay) copy(to, from net.Conn, loses linkState) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if state := r.current(); state == linkSilent || state == loses {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (r *relay) current() linkState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state
}
