package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesameswitch/sesameswitch/membudget"
	"github.com/sesameswitch/sesameswitch/outcome"
)

// callerListener wraps the accepted connections in callerConn, which responds to
// a caller whose request headers arrive too slowly. net/http would close such a
// connection without a response.
type callerListener struct {
	net.Listener
	onSlowHeaders func()
}

// Accept waits for the next connection.
func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: c, onSlowHeaders: l.onSlowHeaders}, nil
}

// callerConn is a caller's connection.
type callerConn struct {
	net.Conn
	onSlowHeaders func()
	// requestPending is true from the first bytes of a request until its handler
	// returns.
	requestPending atomic.Bool
	// handlerRunning is true while the handler of a request runs.
	handlerRunning atomic.Bool
	// occupied is true while the handler of a complete request runs, hijacked once a stream has
	// taken the connection from the HTTP server.
	occupied, hijacked atomic.Bool
	// current is the exchange of the present request; nil before the first one that claims memory.
	current atomic.Pointer[exchange]
}

// exchange is one request and its response on a connection. It breaks off when the request has to
// give way. It is safe for concurrent use.
type exchange struct {
	conn net.Conn
	mu   sync.Mutex
	// responding is true from the first write of the response on, ended after the last.
	responding, ended bool
	gaveWay           bool
}

// errUnreadResponse means that a caller did not read its response while memory was short.
var errUnreadResponse = eris.New("entry: the caller did not read the response while memory was short")

// giveWay makes reading the rest of the request fail, or writing the rest of the response.
func (x *exchange) giveWay() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.ended {
		return
	}
	x.gaveWay = true
	setDeadline := x.conn.SetReadDeadline
	if x.responding {
		setDeadline = x.conn.SetWriteDeadline
	}
	_ = setDeadline(time.Unix(1, 0)) // fails only on a closed connection
}

// allowWrite gives the next write of the response callerWriteTimeout.
func (x *exchange) allowWrite() error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.gaveWay {
		return errUnreadResponse
	}
	x.responding = true
	return x.conn.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
}

// end ends the exchange. After a broken write the connection cannot be used again. end returns an
// error if the response had to give way.
func (x *exchange) end(writeErr error) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.ended = true
	if x.gaveWay {
		return errUnreadResponse
	}
	if writeErr != nil {
		return writeErr
	}
	return x.conn.SetWriteDeadline(time.Time{})
}

// callerConnOf returns the connection of a caller that the HTTP server uses; nil if it is not one
// of a callerListener.
func callerConnOf(c net.Conn) *callerConn {
	if limited, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = limited.NetConn()
	}
	caller, _ := c.(*callerConn)
	return caller
}

// occupied reports whether the connection has a complete request, so that it is not closed in
// favour of another caller.
func occupied(c net.Conn) bool {
	caller := callerConnOf(c)
	return caller != nil && (caller.occupied.Load() || caller.hijacked.Load())
}

type connKey struct{}

// connContext stores the connection in the context of its requests.
func connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, callerConnOf(c))
}

// markHandlerRunning records that a handler runs on the request's connection,
// until the returned function is called.
func markHandlerRunning(r *http.Request) (done func()) {
	c := requestConn(r)
	if c == nil {
		return func() {}
	}
	c.handlerRunning.Store(true)
	return func() {
		c.requestPending.Store(false)
		c.handlerRunning.Store(false)
		c.occupied.Store(false)
	}
}

// requestConn returns the connection of a request; nil if it is not known.
func requestConn(r *http.Request) *callerConn {
	c, _ := r.Context().Value(connKey{}).(*callerConn)
	return c
}

// currentExchange returns the exchange of a request; nil if its connection is not known.
func currentExchange(r *http.Request) *exchange {
	if conn := requestConn(r); conn != nil {
		return conn.current.Load()
	}
	return nil
}

// newClaim returns the claim of a request on the memory of the entry. If the request has to give
// way, its exchange breaks off.
func (e *Entry) newClaim(r *http.Request) *membudget.Claim {
	conn := requestConn(r)
	if e.memory == nil || conn == nil {
		return nil
	}
	x := &exchange{conn: conn}
	conn.current.Store(x)
	claim := e.memory.NewClaim(x.giveWay)
	claim.Begin()
	return claim
}

// Read reads from the connection. It writes a problem document to the caller when
// the headers of a request are incomplete at the read deadline.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.handlerRunning.Load() {
		c.requestPending.Store(true)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && !c.handlerRunning.Load() && c.requestPending.Load() {
		c.onSlowHeaders()
		_, _ = c.Write(slowHeadersResponse()) // the connection is closed in any case
	}
	return n, err
}

func slowHeadersResponse() []byte {
	refusal := outcome.Refuse(outcome.ReasonSlowRequest, "the headers of the request came too slowly")
	body, err := json.Marshal(refusal.Problem(newID()))
	if err != nil {
		panic(err) // a Problem has only fields that can be encoded
	}
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: %s\r\n%s: %s\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		refusal.Status(), http.StatusText(refusal.Status()), outcome.ProblemContentType,
		outcome.HeaderOutcome, refusal.Outcome, len(body), body)
}

// headersTooLarge reports whether the headers of a request exceed the limit.
func headersTooLarge(h http.Header) bool {
	total := 0
	for name, values := range h {
		for _, value := range values {
			total += len(name) + len(value)
		}
	}
	return total > maxRequestHeaderBytes
}
