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

// callerListener hands out connections that answer a caller whose headers are
// too slow. net/http closes such a connection without a word.
type callerListener struct {
	net.Listener
	slow func()
}

// Accept waits for the next caller.
func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: c, slow: l.slow}, nil
}

// callerConn is a caller's connection.
type callerConn struct {
	net.Conn
	slow func()
	// waiting is true while bytes of a request came whose handler was not
	// called yet.
	waiting atomic.Bool
	// serving is true while a handler runs.
	serving atomic.Bool
}

type connKey struct{}

// connContext makes a request's connection known to its handler.
func connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// enter notes that a handler of the connection runs until the returned
// function is called.
func enter(r *http.Request) (leave func()) {
	c, ok := r.Context().Value(connKey{}).(*callerConn)
	if !ok {
		return func() {}
	}
	c.serving.Store(true)
	return func() {
		c.waiting.Store(false)
		c.serving.Store(false)
	}
}

// Read answers with a problem document when the headers of a request do not
// come to their end in time.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.serving.Load() {
		c.waiting.Store(true)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && !c.serving.Load() && c.waiting.Load() {
		c.slow()
		_, _ = c.Write(slowAnswer()) // the connection is closed in any case
	}
	return n, err
}

func slowAnswer() []byte {
	refusal := outcome.Refuse(outcome.ReasonSlowRequest, "the headers of the request came too slowly")
	body, err := json.Marshal(refusal.Problem(newID()))
	if err != nil {
		panic(err) // a Problem has only fields that can be encoded
	}
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: %s\r\n%s: %s\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		refusal.Status(), http.StatusText(refusal.Status()), outcome.ProblemContentType,
		outcome.HeaderOutcome, refusal.Outcome, len(body), body)
}

// headersTooLarge reports whether the headers of a request are over the
// bound.
func headersTooLarge(h http.Header) bool {
	total := 0
	for name, values := range h {
		for _, value := range values {
			total += len(name) + len(value)
		}
	}
	return total > maxHeaders
}
