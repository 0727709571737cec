package peer

import (
	"net"
	"net/rpc"
	"sync"

	"github.com/rotisserie/eris"
)

// Server serves the calls of peers.
type Server struct {
	cfg     Config
	rpc     *rpc.Server
	traffic Traffic

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
}

// NewServer returns a server without methods, except for the heartbeat; Register
// adds methods.
func NewServer(cfg Config) *Server {
	s := &Server{cfg: cfg, rpc: rpc.NewServer(), conns: map[net.Conn]struct{}{}}
	if err := s.rpc.RegisterName("Peer", pinger{}); err != nil {
		panic(err) // pinger always has a suitable method
	}
	return s
}

// Register adds the methods of a receiver under a service name. It fails when
// the receiver has no suitable methods or the name is taken.
func (s *Server) Register(name string, receiver any) error {
	return eris.Wrapf(s.rpc.RegisterName(name, receiver), "peer: register %s", name)
}

// Traffic returns the counters of bytes on accepted connections.
func (s *Server) Traffic() *Traffic { return &s.traffic }

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		c, err := l.Accept()
		if err != nil {
			return eris.Wrap(err, "peer: accept")
		}
		if !s.track(c) {
			c.Close()
			continue
		}
		go s.serveConn(c)
	}
}

// track records an accepted connection so that Close can close it. It returns
// false when the server is closed.
func (s *Server) track(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

func (s *Server) serveConn(c net.Conn) {
	s.rpc.ServeConn(newConn(c, s.cfg, &s.traffic))
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// Close closes all accepted connections; later ones are closed on acceptance.
// It does not close the listener.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.conns {
		c.Close()
	}
}
