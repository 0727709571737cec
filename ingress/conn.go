package ingress

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// readBufferBytes holds most heads; a larger buffer is used for a request
	// whose head needs it.
	readBufferBytes = 4 << 10
	// lingerTimeout is how long a refused caller may go on sending before the
	// connection is closed, so that it can read its answer. Closing with unread
	// bytes would reset the connection.
	lingerTimeout = 300 * time.Millisecond
	// lingerBytes bounds what is read in that time.
	lingerBytes = 256 << 10
	// bodyTimeout bounds the time to read a body; callers abandon a request
	// that is not read much sooner.
	bodyTimeout = 10 * time.Second
)

// Request is one request of a caller, read whole.
type Request struct {
	Method string
	// Target is the path and query as they were sent, byte for byte.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody says that the head announced a body, also an empty one.
	HasBody bool
	// Close says that the caller wants the connection closed.
	Close bool
	// Received is when the last byte was read.
	Received time.Time
	// RemoteAddress is the address of the caller.
	RemoteAddress string
}

// Path returns the target without its query.
func (r *Request) Path() string {
	path, _, _ := strings.Cut(r.Target, "?")
	return path
}

// conn is one connection of a caller.
type conn struct {
	server *Server
	nc     net.Conn
	br     *bufio.Reader
	// idle says that no byte of a request has come.
	idle atomic.Bool
}

func newConn(s *Server, nc net.Conn) *conn {
	return &conn{server: s, nc: nc, br: bufio.NewReaderSize(nc, readBufferBytes)}
}

// errHeadTooLarge marks a head over the limit.
var errHeadTooLarge = errors.New("ingress: the head is too large")

// serve reads and answers requests until the connection ends.
func (c *conn) serve() {
	defer c.server.remove(c)
	defer c.nc.Close()
	for first := true; ; first = false {
		limits := c.server.cfg.Limits()
		if !c.awaitFirstByte(limits, first) {
			return
		}
		req, refusal := c.read(limits)
		if refusal != nil {
			c.refuse(*refusal)
			return
		}
		if req == nil || !c.answer(req) {
			return
		}
	}
}

// awaitFirstByte waits for a request to begin.
func (c *conn) awaitFirstByte(limits Limits, first bool) bool {
	wait := limits.IdleTimeout
	if first {
		wait = max(limits.HeaderTimeout, limits.IdleTimeout)
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(wait)) // fails only on a closed connection
	c.idle.Store(c.br.Buffered() == 0)
	_, err := c.br.Peek(1)
	c.idle.Store(false)
	return err == nil
}

// read reads one request. Both results are nil when the caller went away.
func (c *conn) read(limits Limits) (*Request, *Refusal) {
	_ = c.nc.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	head, err := c.head(limits.HeaderBytes)
	switch {
	case errors.Is(err, errHeadTooLarge):
		return nil, &Refusal{http.StatusRequestHeaderFieldsTooLarge, "the head is too large"}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, &Refusal{http.StatusRequestTimeout, "the head came too slowly"}
	case err != nil:
		return nil, nil //nolint:nilerr // the caller went away; there is nobody to answer
	}
	if reason := checkHead(head); reason != "" {
		return nil, &Refusal{http.StatusBadRequest, reason}
	}
	parsed, err := http.ReadRequest(c.br)
	if err != nil {
		return nil, &Refusal{http.StatusBadRequest, "the head cannot be read"}
	}
	return c.body(parsed, limits)
}

// head returns the bytes of the head without taking them from the reader.
func (c *conn) head(limit int) ([]byte, error) {
	for {
		buffered, _ := c.br.Peek(c.br.Buffered())
		if end := bytes.Index(buffered, []byte("\r\n\r\n")); end >= 0 {
			if end+4 > limit {
				return nil, errHeadTooLarge
			}
			return buffered[:end+4], nil
		}
		if len(buffered) >= limit {
			return nil, errHeadTooLarge
		}
		if len(buffered) == c.br.Size() {
			c.grow(buffered, min(2*c.br.Size(), limit+4))
		}
		if _, err := c.br.Peek(c.br.Buffered() + 1); err != nil {
			return nil, err
		}
	}
}

// grow replaces the reader by a larger one that begins with the bytes held.
func (c *conn) grow(held []byte, size int) {
	kept := bytes.Clone(held)
	c.br = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(kept), c.nc), max(size, 2*len(kept)))
	_, _ = c.br.Peek(len(kept)) // the bytes are in memory
}

// body reads the body of a request whose head was read.
func (c *conn) body(parsed *http.Request, limits Limits) (*Request, *Refusal) {
	if parsed.ContentLength > int64(limits.BodyBytes) {
		return nil, &Refusal{http.StatusRequestEntityTooLarge, "the body is too large"}
	}
	if strings.EqualFold(parsed.Header.Get("Expect"), "100-continue") {
		if _, err := io.WriteString(c.nc, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, nil //nolint:nilerr // the caller went away
		}
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(io.LimitReader(parsed.Body, int64(limits.BodyBytes)+1))
	switch {
	case len(body) > limits.BodyBytes:
		return nil, &Refusal{http.StatusRequestEntityTooLarge, "the body is too large"}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, &Refusal{http.StatusRequestTimeout, "the body came too slowly"}
	case errors.Is(err, io.ErrUnexpectedEOF):
		return nil, nil
	case err != nil:
		return nil, &Refusal{http.StatusBadRequest, "the body cannot be read"}
	}
	return &Request{
		Method: parsed.Method, Target: parsed.RequestURI, Host: parsed.Host, Header: parsed.Header, Body: body,
		HasBody: parsed.ContentLength != 0, Close: parsed.Close,
		Received: time.Now(), RemoteAddress: c.nc.RemoteAddr().String(),
	}, nil
}

// answer has one request answered. It returns whether the connection goes on.
func (c *conn) answer(req *Request) bool {
	c.server.inFlight.Add(1)
	defer c.server.inFlight.Add(-1)
	_ = c.nc.SetReadDeadline(time.Time{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	watch := c.watch(cancel)
	a := &ResponseWriter{conn: c, ctx: ctx, keep: !req.Close}
	c.server.cfg.Handle(ctx, req, a)
	alive := watch.stop()
	return a.finish() && alive
}

// hangUpWatch waits for the end of a connection while a request is answered.
type hangUpWatch struct {
	conn *conn
	done chan bool
}

// watch calls hungUp once the caller has closed the connection. The reader
// belongs to the watch until it is stopped.
func (c *conn) watch(hungUp func()) *hangUpWatch {
	w := &hangUpWatch{conn: c, done: make(chan bool, 1)}
	go func() {
		_, err := c.br.Peek(1)
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			hungUp()
			c.nc.Close() // a write that is blocked ends too
			w.done <- false
			return
		}
		w.done <- true
	}()
	return w
}

// stop ends the watch and reports whether the connection is still open.
func (w *hangUpWatch) stop() bool {
	_ = w.conn.nc.SetReadDeadline(time.Unix(1, 0)) // ends the read at once
	return <-w.done
}

// refuse answers a request that was not handled and closes the connection.
func (c *conn) refuse(r Refusal) {
	if c.server.cfg.OnRefusal != nil {
		c.server.cfg.OnRefusal(r)
	}
	a := &ResponseWriter{conn: c, ctx: context.Background()}
	a.WriteResponse(r.Status, http.Header{"Content-Type": {"text/plain; charset=utf-8"}}, []byte(r.Reason+"\n"))
	if tcp, ok := c.nc.(*net.TCPConn); ok {
		_ = tcp.CloseWrite() // the caller may have gone already
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, c.br, lingerBytes) // what the caller still sends is not a request
}
