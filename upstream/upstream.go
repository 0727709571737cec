// Package upstream keeps connections to backend servers and carries one
// request at a time on each.
//
// A caller may rely on a request being written to one connection only and never
// again by itself, on Exchange telling whether any byte of it may have reached
// the backend server, and on an answer being read only from a connection that
// had nothing left over from an earlier one. A connection goes back to the pool
// only when the request was written whole and the answer was read whole.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// Defaults of Config.
const (
	// DefaultDialTimeout is several round trips between data centres, with one
	// lost opening packet (sent again after a second).
	DefaultDialTimeout = 1200 * time.Millisecond
	// DefaultUserTimeout is how long sent bytes may stay unacknowledged: a
	// link that loses packets recovers within it, a path that is cut does not.
	DefaultUserTimeout = 2500 * time.Millisecond
	// DefaultIdleTimeout is how long an unused connection is kept when the
	// backend server does not say.
	DefaultIdleTimeout = 10 * time.Second
	// idleShare is the part of a told idle time that a connection is used.
	idleShare = 0.8
	// bodyGrace is how long the rest of a request's body may take once the
	// answer is whole.
	bodyGrace = 500 * time.Millisecond
	// readBufferBytes holds a head and some events.
	readBufferBytes = 4 << 10
	// inlineBodyBytes is the largest body that is written together with the
	// head by the caller's goroutine; links hold at least as much.
	inlineBodyBytes = 2 << 10
)

// Errors of Exchange. Every other error means that the request may have run.
var (
	// ErrNotSent marks a request of which no byte was written.
	ErrNotSent = eris.New("upstream: the request was not sent")
	// ErrConnectionLimit marks a request that found all connections in use.
	ErrConnectionLimit = eris.New("upstream: all connections to the backend server are in use")
)

// NotSent reports whether the failed request certainly did not reach the
// backend server.
func NotSent(err error) bool { return errors.Is(err, ErrNotSent) || errors.Is(err, ErrConnectionLimit) }

// Config configures a Pool. Zero fields take the defaults.
type Config struct {
	DialTimeout time.Duration
	UserTimeout time.Duration
	IdleTimeout time.Duration
	// OnDial is told of each new connection.
	OnDial func(address string)
}

// Pool keeps the connections. It is safe for concurrent use.
type Pool struct {
	cfg    Config
	dialer net.Dialer
	mu     sync.Mutex
	idle   map[string][]*conn
	open   map[string]int
}

// New returns an empty pool.
func New(cfg Config) *Pool {
	if cfg.DialTimeout == 0 {
		cfg.DialTimeout = DefaultDialTimeout
	}
	if cfg.UserTimeout == 0 {
		cfg.UserTimeout = DefaultUserTimeout
	}
	if cfg.IdleTimeout == 0 {
		cfg.IdleTimeout = DefaultIdleTimeout
	}
	p := &Pool{cfg: cfg, idle: make(map[string][]*conn), open: make(map[string]int)}
	p.dialer = net.Dialer{
		Timeout: cfg.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: time.Second, Interval: time.Second, Count: 3,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(cfg.UserTimeout.Milliseconds()))
			})
			return errors.Join(err, failed)
		},
	}
	return p
}

// conn is one connection to a backend server.
type conn struct {
	nc      net.Conn
	br      *bufio.Reader
	address string
	// usableUntil is when the backend server may close it for idleness.
	usableUntil time.Time
}

// take returns a kept connection that is sound, or nil.
func (p *Pool) take(address string) *conn {
	for {
		p.mu.Lock()
		kept := p.idle[address]
		if len(kept) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := kept[len(kept)-1]
		p.idle[address] = kept[:len(kept)-1]
		p.mu.Unlock()
		if time.Now().Before(c.usableUntil) && c.quiet() {
			return c
		}
		p.drop(c)
	}
}

// quiet reports whether a kept connection is open and has no byte waiting: what
// came after a whole answer belongs to no request.
func (c *conn) quiet() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	tcp, ok := c.nc.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var one [1]byte
	err = raw.Control(func(fd uintptr) {
		_, _, got := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(got, unix.EAGAIN)
	})
	return err == nil && quiet
}

func (p *Pool) drop(c *conn) {
	c.nc.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[c.address]--
	if p.open[c.address] <= 0 {
		delete(p.open, c.address)
	}
}

// reserve counts a connection that is about to be opened.
func (p *Pool) reserve(address string, limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if limit > 0 && p.open[address] >= limit {
		return false
	}
	p.open[address]++
	return true
}

// dial opens a connection.
func (p *Pool) dial(ctx context.Context, address string, limit int) (*conn, error) {
	if !p.reserve(address, limit) {
		return nil, ErrConnectionLimit
	}
	nc, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.drop(&conn{nc: noConn{}, address: address})
		return nil, errors.Join(ErrNotSent, err)
	}
	if p.cfg.OnDial != nil {
		p.cfg.OnDial(address)
	}
	return &conn{nc: nc, br: bufio.NewReaderSize(nc, readBufferBytes), address: address}, nil
}

// noConn stands for a connection that was never opened.
type noConn struct{ net.Conn }

func (noConn) Close() error { return nil }

// Sweep closes kept connections that are no longer usable. Keep says which
// addresses are still in use.
func (p *Pool) Sweep(keep func(address string) bool) {
	now := time.Now()
	p.mu.Lock()
	var ended []*conn
	for address, kept := range p.idle {
		left := kept[:0]
		for _, c := range kept {
			if keep(address) && now.Before(c.usableUntil) {
				left = append(left, c)
			} else {
				ended = append(ended, c)
			}
		}
		p.idle[address] = left
		if len(left) == 0 {
			delete(p.idle, address)
		}
	}
	p.mu.Unlock()
	for _, c := range ended {
		p.drop(c)
	}
}

// OpenConnections returns how many connections to the address are open.
func (p *Pool) OpenConnections(address string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open[address]
}

// Request is what is sent.
type Request struct {
	Address string
	Method  string
	// Head is the whole head with its empty line.
	Head []byte
	Body []byte
	// MaxConnections bounds the connections to the address; zero is no bound.
	MaxConnections int
	// MatchesRequest reports whether an answer's head belongs to this request.
	MatchesRequest func(http.Header) bool
}

// Exchange is one request under way.
type Exchange struct {
	pool    *Pool
	conn    *conn
	stop    func() bool
	written chan error
	// Response is the head of the answer; its Body must not be used, Read is.
	Response *http.Response
	whole    bool
	closed   bool
}

// maxInterim bounds the informational answers before the final one.
const maxInterim = 8

// Do sends a request and returns once the head of its answer was read. Ending
// the context closes the connection, which ends the work at the backend
// server.
func (p *Pool) Do(ctx context.Context, r *Request) (*Exchange, error) {
	c := p.take(r.Address)
	if c == nil {
		var err error
		if c, err = p.dial(ctx, r.Address, r.MaxConnections); err != nil {
			return nil, err
		}
	}
	e := &Exchange{pool: p, conn: c, written: make(chan error, 1)}
	e.stop = context.AfterFunc(ctx, func() { c.nc.Close() })
	if ctx.Err() != nil {
		e.Abort()
		return nil, errors.Join(ErrNotSent, ctx.Err())
	}
	e.write(r)
	if err := e.readHead(r); err != nil {
		e.Abort()
		return nil, err
	}
	return e, nil
}

// write sends the request. A large body is sent by a goroutine of its own, as a
// backend server may answer before it has read it.
func (e *Exchange) write(r *Request) {
	all := append(append(make([]byte, 0, len(r.Head)+len(r.Body)), r.Head...), r.Body...)
	send := func() {
		_, err := e.conn.nc.Write(all)
		e.written <- err
	}
	if len(r.Body) <= inlineBodyBytes {
		send()
		return
	}
	go send()
}

// readHead reads the head of the answer.
func (e *Exchange) readHead(r *Request) error {
	for range maxInterim {
		answer, err := http.ReadResponse(e.conn.br, &http.Request{Method: r.Method}) //nolint:bodyclose // closing it would read on; Done or Abort ends the connection
		if err != nil {
			return eris.Wrap(err, "upstream: no answer")
		}
		if answer.StatusCode >= http.StatusContinue && answer.StatusCode < http.StatusOK {
			continue
		}
		if r.MatchesRequest != nil && !r.MatchesRequest(answer.Header) {
			return eris.New("upstream: the answer belongs to another request")
		}
		e.Response = answer
		return nil
	}
	return eris.New("upstream: too many interim answers")
}

// Read reads the answer's body. io.EOF means that it is whole.
func (e *Exchange) Read(p []byte) (int, error) {
	n, err := e.Response.Body.Read(p)
	if errors.Is(err, io.EOF) {
		e.whole = true
		return n, io.EOF
	}
	if err != nil {
		return n, eris.Wrap(err, "upstream: the answer ended early")
	}
	return n, nil
}

// Abort closes the connection.
func (e *Exchange) Abort() {
	if e.closed {
		return
	}
	e.closed = true
	e.stop()
	e.pool.drop(e.conn)
}

// Release ends the exchange. The connection is kept if it can carry another
// request; the rest of a body that is still being sent goes on for a while.
func (e *Exchange) Release() {
	if e.closed {
		return
	}
	if !e.whole || e.Response.Close || e.Response.ContentLength < 0 && !chunked(e.Response) {
		e.Abort()
		return
	}
	select {
	case err := <-e.written:
		e.keep(err)
	default:
		go e.awaitBody()
	}
}

func chunked(answer *http.Response) bool {
	return len(answer.TransferEncoding) > 0 && answer.TransferEncoding[0] == "chunked"
}

// awaitBody gives the rest of the request's body some time.
func (e *Exchange) awaitBody() {
	timer := time.NewTimer(bodyGrace)
	defer timer.Stop()
	select {
	case err := <-e.written:
		e.keep(err)
	case <-timer.C:
		e.Abort()
	}
}

// keep puts the connection back.
func (e *Exchange) keep(writeErr error) {
	if writeErr != nil || e.conn.br.Buffered() > 0 || !e.stop() {
		e.Abort()
		return
	}
	e.closed = true
	e.conn.usableUntil = time.Now().Add(e.idleTime())
	e.pool.mu.Lock()
	defer e.pool.mu.Unlock()
	e.pool.idle[e.conn.address] = append(e.pool.idle[e.conn.address], e.conn)
}

// idleTime is how long the connection may be used after this answer.
func (e *Exchange) idleTime() time.Duration {
	idle := e.pool.cfg.IdleTimeout
	for _, field := range strings.Split(e.Response.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if strings.EqualFold(name, "timeout") && err == nil && seconds >= 0 {
			idle = min(idle, time.Duration(seconds)*time.Second)
		}
	}
	return time.Duration(idleShare * float64(idle))
}
