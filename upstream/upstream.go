// Package upstream pools connections to backend servers and carries one HTTP
// exchange at a time on each connection.
//
// Callers may assume that Do writes a request to one connection only and never
// retries it; that no byte of a failed request has reached the backend server if
// NotSent reports true; and that a request is never sent on a connection on which
// unread bytes have arrived. A response whose head or trailer is malformed is an error. A
// further response to an earlier request of the
// connection, which arrives later, is skipped. A connection returns to the pool only
// after the request was written completely and the response, which names its request, was read
// completely.
package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"github.com/sesameswitch/sesameswitch/internal/connerror"
	"github.com/sesameswitch/sesameswitch/internal/httphead"
)

// Defaults of Config.
const (
	// DefaultDialTimeout allows several round trips between data centres and
	// one lost SYN, which TCP retransmits after one second.
	DefaultDialTimeout = 1200 * time.Millisecond
	// DefaultUserTimeout is how long sent bytes may remain unacknowledged
	// (TCP_USER_TIMEOUT). Links that lose packets recover within this time;
	// partitioned ones do not.
	DefaultUserTimeout = 2500 * time.Millisecond
	// DefaultIdleTimeout is the idle timeout of pooled connections. A backend
	// server can lower it with the Keep-Alive header.
	DefaultIdleTimeout = 10 * time.Second
	// DefaultMaxHeadBytes is the maximum size of the heads that are read for one
	// response. It is several times what callers may send.
	DefaultMaxHeadBytes = 64 << 10
	// idleTimeoutFraction is the fraction of the idle timeout during which a
	// connection is reused. The margin avoids sending a request while the
	// backend server closes the connection.
	idleTimeoutFraction = 0.8
	// bodyGracePeriod limits the time to send the rest of a request body after
	// the response is complete.
	bodyGracePeriod = 500 * time.Millisecond
	// readBufferBytes is enough for a response head and some events.
	readBufferBytes = 4 << 10
	// maxInlineBodyBytes is the largest body that Do writes itself, together
	// with the head. Socket buffers hold at least this much, so the write does
	// not block.
	maxInlineBodyBytes = 2 << 10
	// maxCopiedBodyBytes is the largest body that is copied behind the head. Larger ones are
	// sent with the head by one vectored write, so that a server that responds early finds the
	// body there.
	maxCopiedBodyBytes = 16 << 10
)

// Errors of Pool.Do. After any other error the request may have run.
var (
	// ErrNotSent means that no byte of the request was written.
	ErrNotSent = eris.New("upstream: request not sent")
	// ErrConnectionLimit means that the backend server already has the maximum
	// number of connections and that none of them is idle.
	ErrConnectionLimit = eris.New("upstream: connection limit of the backend server reached")
	// ErrHeadTooLarge means that the head of a response exceeds Config.MaxHeadBytes. The
	// request may have run.
	ErrHeadTooLarge = eris.New("upstream: response head too large")
	// ErrAbandoned is the cause with which a context is cancelled to close the connection
	// before Do returns: no late response is awaited.
	ErrAbandoned = eris.New("upstream: request abandoned")
	// ErrNotAdmitted means that Request.Admit returned false.
	ErrNotAdmitted = eris.New("upstream: request not admitted")
)

// NotSent reports whether err means that no part of the request reached the
// backend server.
func NotSent(err error) bool {
	return errors.Is(err, ErrNotSent) || errors.Is(err, ErrConnectionLimit) || errors.Is(err, ErrNotAdmitted)
}

// Config configures a Pool. Zero durations select the defaults.
type Config struct {
	DialTimeout time.Duration
	UserTimeout time.Duration
	IdleTimeout time.Duration
	// MaxHeadBytes limits the bytes of the head of a response, together with the heads
	// of the interim and surplus responses before it. Zero selects the default.
	MaxHeadBytes int64
	// OnOversizedHead, if set, is called when a server has exceeded MaxHeadBytes.
	OnOversizedHead func(address string)
	// OnMalformed, if set, is called when the head or the trailer of a response of a server is
	// malformed.
	OnMalformed func(address string, err error)
	// OnDial, if set, is called after each new connection.
	OnDial func(address string)
	// OnSurplus, if set, is called after each surplus response that was skipped.
	OnSurplus func(address string)
}

// Pool is a pool of connections to backend servers. It is safe for concurrent use.
type Pool struct {
	cfg    Config
	dialer net.Dialer
	mu     sync.Mutex
	// idle holds the idle connections by address, the most recently used last.
	idle map[string][]*conn
	// open counts the connections by address: idle, in use and being opened.
	open map[string]int
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
	if cfg.MaxHeadBytes == 0 {
		cfg.MaxHeadBytes = DefaultMaxHeadBytes
	}
	p := &Pool{cfg: cfg, idle: make(map[string][]*conn), open: make(map[string]int)}
	p.dialer = net.Dialer{
		Timeout: cfg.DialTimeout,
		// Probes detect an unreachable backend server while no sent bytes
		// await an acknowledgement; UserTimeout alone has no effect then.
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: time.Second, Interval: time.Second, Count: 3,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var setErr error
			err := raw.Control(func(fd uintptr) {
				setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(cfg.UserTimeout.Milliseconds()))
			})
			return errors.Join(err, setErr)
		},
	}
	return p
}

// Request is an HTTP request whose head is already encoded.
type Request struct {
	Address string
	Method  string
	// Head is the complete request head, including the final empty line.
	Head []byte
	Body []byte
	// MaxConnections limits the connections to the address; zero means no
	// limit.
	MaxConnections int
	// MatchesRequest, if set, reports whether a response with these headers
	// belongs to this request.
	MatchesRequest func(http.Header) bool
	// Identified, if set, reports whether a response with these headers names its request. A
	// server may send a response again, and one that does not name its request could not be
	// distinguished from a response to the next request, so its connection is not reused.
	Identified func(http.Header) bool
	// OnLateResponse, if set, is called with the head of a response that arrives within
	// lateResponseTime after the context of Do has ended.
	OnLateResponse func(status int, header http.Header)
	// Admit, if set, is called by Do right before it begins to write the request, which
	// may have waited for a connection. If it returns false, the request is not written.
	Admit func() bool
}

// Exchange is one request and its response on one connection. It ends with
// Release or Abort.
type Exchange struct {
	pool *Pool
	conn *conn
	// stopCancel detaches the connection from the context of Do. It returns
	// false if the context has already ended, or if it was called before.
	stopCancel func() bool
	// detached is true once stopCancel has returned true.
	detached bool
	// writeDone receives the result of writing the request.
	writeDone chan error
	// Response is the head of the response. Read its body with Read, not
	// through Response.Body.
	Response *http.Response
	// headRead is true if the head of the response was read.
	headRead atomic.Bool
	// unidentified is true if the response does not name its request.
	unidentified bool
	// complete is true if the response was read to its end.
	complete bool
	// closed is true if the exchange no longer owns the connection.
	closed bool
}

// Do sends a request and returns after reading the head of its response.
// Cancelling the context closes the connection, also while the body is read, so that
// the backend server can stop working on the request. Before the head was read, the
// connection is closed when the head has arrived or lateResponseTime has passed, and only
// its sending side at once: what a server states about itself in a late response still
// counts. At the deadline of the context the sending side stays open, too, as the server
// knows the deadline. Do returns at once in either case. If the context is cancelled with
// ErrAbandoned, the connection is closed before Do returns.
func (p *Pool) Do(ctx context.Context, r *Request) (*Exchange, error) {
	c := p.takeIdle(r.Address)
	if c == nil {
		var err error
		if c, err = p.dial(ctx, r.Address, r.MaxConnections); err != nil {
			return nil, err
		}
	}
	e := &Exchange{pool: p, conn: c, writeDone: make(chan error, 1)}
	e.stopCancel = context.AfterFunc(ctx, e.cancel)
	if ctx.Err() != nil {
		e.Abort()
		return nil, errors.Join(ErrNotSent, ctx.Err())
	}
	if r.Admit != nil && !r.Admit() {
		e.keepUnused()
		return nil, ErrNotAdmitted
	}
	e.writeRequest(r)
	if err := e.readResponseHead(r); err != nil {
		if ctx.Err() != nil && r.OnLateResponse != nil && !errors.Is(context.Cause(ctx), ErrAbandoned) && errors.Is(err, os.ErrDeadlineExceeded) {
			go e.awaitLateResponse(r, errors.Is(ctx.Err(), context.Canceled))
		} else {
			e.Abort()
		}
		return nil, err
	}
	e.headRead.Store(true)
	if ctx.Err() != nil { // cancel may have run before
		c.nc.Close()
	}
	return e, nil
}

// keepUnused returns a connection to the pool on which nothing was written.
func (e *Exchange) keepUnused() {
	if !e.stopCancel() {
		e.Abort()
		return
	}
	e.closed = true
	if e.conn.usableUntil.IsZero() {
		e.conn.usableUntil = time.Now().Add(time.Duration(idleTimeoutFraction * float64(e.pool.cfg.IdleTimeout)))
	}
	e.pool.addIdle(e.conn)
}

// writeRequest sends the request. A large body is sent by a separate goroutine,
// because a backend server may respond before it has read the body.
func (e *Exchange) writeRequest(r *Request) {
	message := net.Buffers{r.Head, r.Body}
	if len(r.Body) <= maxCopiedBodyBytes {
		message = net.Buffers{append(append(make([]byte, 0, len(r.Head)+len(r.Body)), r.Head...), r.Body...)}
	}
	send := func() {
		_, err := message.WriteTo(e.conn.nc)
		e.writeDone <- err
	}
	if len(r.Body) <= maxInlineBodyBytes {
		send()
		return
	}
	go send()
}

// Read reads the response body. io.EOF means that the response is complete; a
// truncated response gives another error. A response without a length or chunks ends with
// its connection: it is truncated if the connection was reset or timed out, or if its
// server refuses connections then.
func (e *Exchange) Read(p []byte) (int, error) {
	n, err := e.Response.Body.Read(p)
	if errors.Is(err, io.EOF) {
		if e.unframed() {
			if err := e.stopWriting(); connerror.BrokenBy(err) {
				return n, eris.Wrap(err, "upstream: connection broken before the end of a response without a length")
			}
			if e.serverEnded() {
				return n, eris.New("upstream: response without a length ended together with its server")
			}
		}
		if err := httphead.CheckTrailer(e.Response.Trailer); err != nil {
			if e.pool.cfg.OnMalformed != nil {
				e.pool.cfg.OnMalformed(e.conn.address, err)
			}
			return n, eris.Wrap(err, "upstream: read response trailer")
		}
		e.complete = true
		return n, io.EOF
	}
	if err != nil {
		return n, eris.Wrap(err, "upstream: response truncated")
	}
	return n, nil
}

// Unidentified reports whether the response does not name its request, so that the connection is
// not reused.
func (e *Exchange) Unidentified() bool { return e.unidentified }

// Abort closes the connection. It does nothing if the connection was already closed
// or returned to the pool.
func (e *Exchange) Abort() {
	if e.closed {
		return
	}
	e.closed = true
	e.stopCancel()
	e.pool.discard(e.conn)
}

// Release ends the exchange. It returns the connection to the pool if the connection
// can be reused, and closes it otherwise. If the request body is still being sent,
// this happens in the background, after at most bodyGracePeriod; the context of Do has no
// effect any more.
func (e *Exchange) Release() {
	if e.closed {
		return
	}
	if !e.complete || e.Response.Close || e.unframed() || e.unidentified {
		e.Abort()
		return
	}
	select {
	case err := <-e.writeDone:
		e.returnToPool(err)
	default:
		if !e.detach() {
			e.Abort()
			return
		}
		go e.awaitRequestBody()
	}
}

// detach detaches the connection from the context of Do. It returns false if the context has
// already ended.
func (e *Exchange) detach() bool {
	e.detached = e.detached || e.stopCancel()
	return e.detached
}

// unframed reports whether the response has neither a length nor chunks.
func (e *Exchange) unframed() bool {
	return e.Response.ContentLength < 0 && !isChunked(e.Response)
}

// stopWriting stops sending the request body, if it is still being sent, and returns the
// error of the write. A connection whose response ends with it is not reused.
func (e *Exchange) stopWriting() error {
	_ = e.conn.nc.SetWriteDeadline(time.Unix(1, 0)) // fails only on a closed connection, whose writes have ended
	err := <-e.writeDone
	e.writeDone <- err
	return err
}

// serverEnded reports whether the server of the exchange refuses connections.
func (e *Exchange) serverEnded() bool {
	ctx, cancel := context.WithTimeout(context.Background(), e.pool.cfg.DialTimeout)
	defer cancel()
	return e.pool.Refused(ctx, e.conn.address)
}

func isChunked(resp *http.Response) bool {
	return len(resp.TransferEncoding) > 0 && resp.TransferEncoding[0] == "chunked"
}

// awaitRequestBody waits up to bodyGracePeriod for the request body to be sent,
// then returns the connection to the pool or closes it.
func (e *Exchange) awaitRequestBody() {
	timer := time.NewTimer(bodyGracePeriod)
	defer timer.Stop()
	select {
	case err := <-e.writeDone:
		e.returnToPool(err)
	case <-timer.C:
		e.Abort()
	}
}

// returnToPool puts the connection back into the pool, or closes it if the
// request could not be written, unread bytes remain or the context has ended.
func (e *Exchange) returnToPool(writeErr error) {
	if writeErr != nil || e.conn.br.Buffered() > 0 || !e.detach() {
		e.Abort()
		return
	}
	e.closed = true
	e.conn.usableUntil = time.Now().Add(e.reuseWindow())
	e.pool.addIdle(e.conn)
}

// reuseWindow returns how long the idle connection may be reused:
// idleTimeoutFraction of the pool's idle timeout, or of the server's Keep-Alive
// timeout if that is shorter.
func (e *Exchange) reuseWindow() time.Duration {
	timeout := e.pool.cfg.IdleTimeout
	for _, field := range strings.Split(e.Response.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if strings.EqualFold(name, "timeout") && err == nil && seconds >= 0 {
			timeout = min(timeout, time.Duration(seconds)*time.Second)
		}
	}
	return time.Duration(idleTimeoutFraction * float64(timeout))
}
