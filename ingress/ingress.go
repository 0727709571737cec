// Package ingress serves connections of callers: it reads requests within the
// limits in force and gives each one answer.
//
// A handler may rely on a request being read whole, on its context ending soon
// after the caller hangs up, and on one request at a time for each connection.
// A caller may rely on a head with two lengths, or one that cannot be read,
// being refused with the connection closed, so that no part of a body is ever
// taken for a request, and on an answer that ends early never looking whole.
package ingress

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	// IdleTimeout closes a kept connection without a request.
	IdleTimeout time.Duration
}

// Refusal is an answer that ingress gives itself.
type Refusal struct {
	Status int
	Reason string
}

// Config configures a Server.
type Config struct {
	// Handle answers one request. It must call the Answer's methods in order
	// and return only once the answer is given.
	Handle func(ctx context.Context, r *Request, a *ResponseWriter)
	// Limits returns the limits in force.
	Limits func() Limits
	// CloseAfterResponse reports whether answers should ask callers to close.
	CloseAfterResponse func() bool
	// OnRefusal is told of each request that was refused before Handle.
	OnRefusal func(Refusal)
}

// Server accepts connections. It is safe for concurrent use.
type Server struct {
	cfg      Config
	mu       sync.Mutex
	conns    map[*conn]struct{}
	closed   bool
	inFlight atomic.Int64
}

// New returns a server.
func New(cfg Config) *Server {
	return &Server{cfg: cfg, conns: make(map[*conn]struct{})}
}

// InFlight returns how many requests are being answered.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Connections returns how many connections are open.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// acceptPause is how long Serve waits after a failed accept, as when
// descriptors run out.
const acceptPause = 50 * time.Millisecond

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			var temporary net.Error
			if errors.As(err, &temporary) {
				time.Sleep(acceptPause)
				continue
			}
			return eris.Wrap(err, "ingress: accept")
		}
		c := newConn(s, nc)
		if !s.add(c) {
			nc.Close()
			return nil
		}
		go c.serve()
	}
}

func (s *Server) add(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// CloseIdle closes the connections that wait for a request.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.idle.Load() {
			c.nc.Close()
		}
	}
}

// Close closes all connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.conns {
		c.nc.Close()
	}
}
