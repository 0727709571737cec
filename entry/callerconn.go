package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync/atomic"

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
}

type connKey struct{}

// connContext stores the connection in the context of its requests.
func connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// markHandlerRunning records that a handler runs on the request's connection,
// until the returned function is called.
func markHandlerRunning(r *http.Request) (done func()) {
	c, ok := r.Context().Value(connKey{}).(*callerConn)
	if !ok {
		return func() {}
	}
	c.handlerRunning.Store(true)
	return func() {
		c.requestPending.Store(false)
		c.handlerRunning.Store(false)
	}
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
