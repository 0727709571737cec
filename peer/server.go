package peer

import (
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Server serves the calls of peers.
type Server struct {
	cfg     Config
	rpc     *rpc.Server
	traffic Traffic

	mu     sync.Mutex
	conns  map[*serverConn]struct{}
	closed bool
}

// serverConn is an accepted connection.
type serverConn struct {
	*conn
	cfg Config
	// mu guards frames.
	mu     sync.Mutex
	frames frames
	// acceptedAt is the time of acceptance.
	acceptedAt time.Time
}

func newServerConn(c net.Conn, cfg Config, traffic *Traffic) *serverConn {
	s := &serverConn{conn: newConn(c, cfg, traffic), cfg: cfg, frames: frames{maxBytes: cfg.MaxMessageBytes, patience: cfg.ReadTimeout}, acceptedAt: time.Now()}
	if cfg.Memory != nil {
		s.frames.memory = cfg.Memory.NewClaim(func() {
			c.Close()
			cfg.refused(c, errStopped)
		})
	}
	return s
}

// Read also fails when a message is too large or finds no memory.
func (c *serverConn) Read(p []byte) (int, error) {
	n, err := c.conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if frameErr := c.frames.arrived(p[:n]); frameErr != nil {
		c.cfg.refused(c, frameErr)
		return 0, frameErr
	}
	return n, err
}

// proven reports whether a complete message has arrived. A connection whose message waits for
// memory counts as proven.
func (c *serverConn) proven() bool {
	if !c.mu.TryLock() {
		return true
	}
	defer c.mu.Unlock()
	return c.frames.messages > 0
}

// NewServer returns a server without methods, except for the heartbeat; Register
// adds methods.
func NewServer(cfg Config) *Server {
	s := &Server{cfg: cfg, rpc: rpc.NewServer(), conns: map[*serverConn]struct{}{}}
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
		accepted := newServerConn(c, s.cfg, &s.traffic)
		if !s.track(accepted) {
			c.Close()
			continue
		}
		go s.serveConn(accepted)
	}
}

// track records an accepted connection so that Close can close it. It returns
// false when the server is closed, or has too many connections.
func (s *Server) track(c *serverConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.cfg.MaxConnections > 0 && len(s.conns) >= s.cfg.MaxConnections && !s.makeRoom() {
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

// makeRoom closes the first of the connections on which no message has arrived, if there is one.
// The caller holds mu.
func (s *Server) makeRoom() bool {
	var victim *serverConn
	for c := range s.conns {
		if !c.proven() && (victim == nil || c.acceptedAt.Before(victim.acceptedAt)) {
			victim = c
		}
	}
	if victim == nil {
		return false
	}
	victim.Close()
	delete(s.conns, victim)
	s.cfg.refused(victim, errTooManyConnections)
	return true
}

// Reasons for closing a connection in favour of another one.
var (
	errTooManyConnections = eris.New("peer: too many connections")
	errStopped            = eris.New("peer: a message has stopped while memory was short")
)

// refused reports a connection that is closed because of the limits.
func (c *Config) refused(conn net.Conn, err error) {
	if c.OnRefused != nil {
		c.OnRefused(conn.RemoteAddr(), err)
	}
}

func (s *Server) serveConn(c *serverConn) {
	s.rpc.ServeConn(c)
	c.Close() // a message may still wait for memory
	c.frames.memory.Release()
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
