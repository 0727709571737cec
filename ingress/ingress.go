// Package ingress is the HTTP/1 server for callers: it reads requests within the
// active limits and writes one response to each.
//
// A handler may assume that a request was read completely, that its context is
// cancelled soon after the caller disconnects, and that a connection carries one
// request at a time. A request with an ambiguous body length or a malformed head is
// refused and its connection closed, so that body bytes are never parsed as another
// request (request smuggling). A truncated response never looks complete to the
// caller.
package ingress

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesameswitch/sesameswitch/membudget"
)

// Limits are the size and time limits on requests.
type Limits struct {
	// HeaderBytes is the maximum size of a request head: the request line, the
	// header lines and the empty line.
	HeaderBytes int
	BodyBytes   int
	// HeaderTimeout is the time from the first byte of a request to the end of
	// its head.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may wait for its next request.
	IdleTimeout time.Duration
}

// Refusal is the response to a request that this package refuses before
// Config.Handle is called. Reason is sent as the body.
type Refusal struct {
	Status int
	Reason string
	// RetryAfter is when the caller may return; zero if that is not known.
	RetryAfter time.Duration
	// Header is the header of the request; nil if it was not read.
	Header http.Header
}

// Config configures a Server.
type Config struct {
	// Handle responds to one request. It must write the head before the body,
	// and return only after the last write.
	Handle func(ctx context.Context, r *Request, w *ResponseWriter)
	// Limits returns the active limits. It is called before each request.
	Limits func() Limits
	// CloseAfterResponse, if set, is called before each response. If it returns
	// true, the response announces that the connection will be closed.
	CloseAfterResponse func() bool
	// OnRefusal, if set, is called for each request that is refused before
	// Handle is called.
	OnRefusal func(Refusal)
	// MaxConnections limits the open connections; zero means no limit. Beyond it, each new
	// connection takes the place of one that waits for its caller.
	MaxConnections int
	// OnConnectionLimit, if set, is called when a connection is closed because of
	// MaxConnections. It must not block.
	OnConnectionLimit func(closed ConnectionState)
	// Memory limits what requests hold; nil means no limit.
	Memory *membudget.Budget
	// Account, if set, returns the account of a request from its head; empty if it is not known.
	// Accounts share Memory when it is short.
	Account func(*http.Request) string
	// RefusalHeader, if set, returns the header fields of a refusal.
	RefusalHeader func(Refusal) http.Header
}

// Server serves the connections of callers. It is safe for concurrent use.
type Server struct {
	cfg      Config
	mu       sync.Mutex
	conns    map[*conn]struct{}
	closed   bool
	inFlight atomic.Int64
	// startedAt is when the server was created.
	startedAt time.Time
}

// New returns a server.
func New(cfg Config) *Server {
	return &Server{cfg: cfg, conns: make(map[*conn]struct{}), startedAt: time.Now()}
}

// InFlight returns the number of requests that are being handled.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// acceptRetryDelay is how long Serve waits after a failed accept, for instance
// when the process has run out of file descriptors.
const acceptRetryDelay = 50 * time.Millisecond

// Serve accepts connections and serves them until the listener or the server is
// closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			var netErr net.Error
			if errors.As(err, &netErr) {
				time.Sleep(acceptRetryDelay)
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

// add registers a connection. It returns false if the server was closed.
func (s *Server) add(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	if s.cfg.MaxConnections > 0 && len(s.conns) >= s.cfg.MaxConnections && !s.makeRoom() {
		c.nc.Close()
		s.reportClosed(ConnectionNew)
		return true // its goroutine ends at the first read
	}
	s.conns[c] = struct{}{}
	return true
}

// makeRoom closes one connection that waits for its caller, if there is one. The caller holds mu.
func (s *Server) makeRoom() bool {
	var victim *conn
	var best activity
	now := time.Now()
	for c := range s.conns {
		if a := c.activity(now); a.state.evictable(a.since) && (victim == nil || a.before(best)) {
			victim, best = c, a
		}
	}
	if victim == nil {
		return false
	}
	victim.nc.Close()
	delete(s.conns, victim)
	s.reportClosed(best.state)
	return true
}

func (s *Server) reportClosed(state ConnectionState) {
	if s.cfg.OnConnectionLimit != nil {
		s.cfg.OnConnectionLimit(state)
	}
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// CloseIdle closes the connections that are waiting for a further request. The caller of
// a new connection does not expect that and may have sent its first request.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.idle.Load() {
			c.nc.Close()
		}
	}
}

// firstRequestPollInterval is how often AwaitFirstRequests looks at the connections.
const firstRequestPollInterval = 10 * time.Millisecond

// AwaitFirstRequests waits until the first request of each connection is complete, but
// for timeout at most. Call it after the listener was closed: callers of connections that
// were accepted last get a response.
func (s *Server) AwaitFirstRequests(timeout time.Duration) {
	for end := time.Now().Add(timeout); time.Now().Before(end) && s.hasUnused(); {
		time.Sleep(firstRequestPollInterval)
	}
}

// hasUnused reports whether the first request of some connection is not complete.
func (s *Server) hasUnused() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if !c.used.Load() {
			return true
		}
	}
	return false
}

// Close closes all connections. Serve closes the next connection that it accepts and
// returns.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.conns {
		c.nc.Close()
	}
}
