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

	"github.com/sesameswitch/sesameswitch/membudget"
)

const (
	// readBufferBytes is enough for most request heads. The buffer grows for
	// larger ones.
	readBufferBytes = 4 << 10
	// lingerTimeout is how long a connection continues to read after a refusal.
	// Closing it with unread bytes would reset it, and the caller could not
	// read the response.
	lingerTimeout = 300 * time.Millisecond
	// maxLingerBytes limits the bytes read within lingerTimeout.
	maxLingerBytes = 256 << 10
	// bodyTimeout limits the time to read a request body. It exceeds the time
	// after which callers abort a request that the server does not read.
	bodyTimeout = 10 * time.Second
)

// Request is one complete request of a caller.
type Request struct {
	Method string
	// Target is the path and query exactly as received.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody is true if the head announced a Content-Length above zero or a
	// chunked body. The chunked body may be empty.
	HasBody bool
	// Close is true if the caller asked to close the connection after the
	// response.
	Close bool
	// Received is the time at which the last byte was read.
	Received time.Time
	// Memory is what the request holds of Config.Memory, until the handler returns. The handler
	// may claim more.
	Memory *membudget.Claim
	// RemoteAddress is the network address of the caller.
	RemoteAddress string
}

// Path returns the target without its query.
func (r *Request) Path() string {
	path, _, _ := strings.Cut(r.Target, "?")
	return path
}

// conn is a connection from a caller.
type conn struct {
	server *Server
	nc     net.Conn
	br     *bufio.Reader
	// idle is true while the connection waits for the first byte of a request after its
	// first one.
	idle atomic.Bool
	// headRequest is true if the request that was read last begins as a HEAD request.
	headRequest bool
	// used is true when the first request is complete.
	used atomic.Bool
	// stateSince holds the ConnectionState and when the connection entered it.
	stateSince atomic.Int64
	// memory is what the present request holds; nil without a limit.
	memory *membudget.Claim
}

func newConn(s *Server, nc net.Conn) *conn {
	c := &conn{server: s, nc: nc, br: bufio.NewReaderSize(nc, readBufferBytes)}
	c.enter(ConnectionUnused)
	if s.cfg.Memory != nil {
		c.memory = s.cfg.Memory.NewClaim(func() { _ = nc.SetReadDeadline(time.Unix(1, 0)) }) // ends a read; fails only on a closed connection
	}
	return c
}

// releaseMemory gives back what the last request held. A buffer that its head has grown is kept,
// and counted, if it holds bytes of the next request. releaseMemory returns false if there is no
// room for it.
func (c *conn) releaseMemory() bool {
	c.memory.Release()
	if c.br.Size() == readBufferBytes {
		return true
	}
	if c.br.Buffered() > 0 {
		return c.memory.Grow(int64(c.br.Size()))
	}
	c.br = bufio.NewReaderSize(c.nc, readBufferBytes)
	return true
}

// headMethod begins a HEAD request.
const headMethod = http.MethodHead + " "

// errHeadTooLarge is returned for a request head above the size limit.
var errHeadTooLarge = errors.New("ingress: request head too large")

// serve reads and handles requests until the connection is closed.
func (c *conn) serve() {
	defer c.server.remove(c)
	defer c.memory.Release()
	defer c.nc.Close()
	for first := true; ; first = false {
		limits := c.server.cfg.Limits()
		if !c.awaitFirstByte(limits, first) {
			return
		}
		req, refusal := c.readRequest(limits)
		if refusal != nil {
			c.refuse(*refusal)
			return
		}
		if req == nil || !c.handle(req) {
			return
		}
		req.Body = nil // else kept while the connection is idle
		if !c.releaseMemory() {
			return
		}
	}
}

// awaitFirstByte waits for the first byte of a request, up to the idle timeout. The
// first request of a connection has at least the header timeout. awaitFirstByte
// returns false if the connection was closed or timed out.
func (c *conn) awaitFirstByte(limits Limits, first bool) bool {
	timeout := limits.IdleTimeout
	if first {
		timeout = max(limits.HeaderTimeout, limits.IdleTimeout)
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(timeout)) // fails only on a closed connection
	c.used.Store(!first)
	c.idle.Store(!first && c.br.Buffered() == 0)
	if !first {
		c.enter(ConnectionIdle)
	}
	_, err := c.br.Peek(1)
	c.idle.Store(false)
	c.enter(ConnectionReading)
	return err == nil
}

// readRequest reads one request. Both results are nil if the caller disconnected.
func (c *conn) readRequest(limits Limits) (*Request, *Refusal) {
	_ = c.nc.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	c.memory.Begin()
	head, err := c.head(limits.HeaderBytes)
	method, _ := c.br.Peek(min(len(headMethod), c.br.Buffered()))
	c.headRequest = string(method) == headMethod
	switch {
	case errors.Is(err, errHeadTooLarge):
		return nil, &Refusal{Status: http.StatusRequestHeaderFieldsTooLarge, Reason: "the head is too large"}
	case errors.Is(err, membudget.ErrNoRoom):
		return nil, memoryRefusal()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, &Refusal{Status: http.StatusRequestTimeout, Reason: "the head came too slowly"}
	case err != nil:
		return nil, nil //nolint:nilerr // the caller disconnected, so no response can be sent
	}
	if reason := checkHead(head); reason != "" {
		return nil, &Refusal{Status: http.StatusBadRequest, Reason: reason}
	}
	if !c.memory.Grow(parsedHeadBytes(head)) {
		return nil, memoryRefusal()
	}
	parsed, err := http.ReadRequest(c.br)
	if err != nil {
		return nil, &Refusal{Status: http.StatusBadRequest, Reason: "the head cannot be read"}
	}
	req, refusal := c.body(parsed, limits)
	if refusal != nil {
		refusal.Header = parsed.Header
	}
	return req, refusal
}

const (
	// freeHeadBytes is the part of a parsed head that is not counted: the limit of connections
	// allows for it.
	freeHeadBytes = 8 << 10
	// headerFieldBytes is what a parsed header field takes in addition to its text.
	headerFieldBytes = 128
	// sharedBodyBytes is the size above which a body counts to the share of its account.
	sharedBodyBytes = 16 << 10
)

// parsedHeadBytes returns how much memory a parsed head takes, beyond freeHeadBytes.
func parsedHeadBytes(head []byte) int64 {
	return int64(max(0, 2*len(head)+headerFieldBytes*bytes.Count(head, []byte("\n"))-freeHeadBytes))
}

// memoryRefusal is the refusal of a request for which there is no memory. Requests whose input
// has stopped give way after membudget.StallTime.
func memoryRefusal() *Refusal {
	return &Refusal{Status: http.StatusServiceUnavailable, Reason: "memory is short", RetryAfter: membudget.StallTime}
}

// evictionRefusal is the refusal of a request that had to give way while its body was read.
func (c *conn) evictionRefusal() *Refusal {
	if c.memory.Displaced() {
		return &Refusal{Status: http.StatusServiceUnavailable, Reason: "the account holds more than its share of the memory", RetryAfter: membudget.StallTime}
	}
	return &Refusal{Status: http.StatusRequestTimeout, Reason: "the body stopped while memory was short"}
}

// head returns the bytes of the request head without consuming them.
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
			size := max(min(2*c.br.Size(), limit+4), c.br.Size()+1)
			if !c.memory.Grow(int64(size)) {
				return nil, membudget.ErrNoRoom
			}
			c.growBuffer(buffered, size)
		}
		_, err := c.br.Peek(len(buffered) + 1)
		c.memory.Received(c.br.Buffered() - len(buffered))
		if err != nil {
			return nil, err
		}
	}
}

// growBuffer replaces the reader with one that has a larger buffer and starts with
// the buffered bytes.
func (c *conn) growBuffer(buffered []byte, size int) {
	data := bytes.Clone(buffered)
	c.br = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(data), c.nc), size)
	_, _ = c.br.Peek(len(data)) // cannot fail: the bytes are in memory
}

// body reads the body of a request whose head was parsed. Both results are nil if the
// caller disconnected.
func (c *conn) body(parsed *http.Request, limits Limits) (*Request, *Refusal) {
	if parsed.ContentLength > int64(limits.BodyBytes) {
		return nil, &Refusal{Status: http.StatusRequestEntityTooLarge, Reason: "the body is too large"}
	}
	if strings.EqualFold(parsed.Header.Get("Expect"), "100-continue") {
		if _, err := io.WriteString(c.nc, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, nil //nolint:nilerr // the caller disconnected
		}
	}
	if account := c.server.cfg.Account; account != nil && (parsed.ContentLength < 0 || parsed.ContentLength > sharedBodyBytes) {
		c.memory.Attribute(account(parsed))
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := membudget.ReadBody(c.memory, parsed.Body, parsed.ContentLength, limits.BodyBytes)
	switch {
	case errors.Is(err, membudget.ErrTooLarge):
		return nil, &Refusal{Status: http.StatusRequestEntityTooLarge, Reason: "the body is too large"}
	case c.memory.Evicted():
		return nil, c.evictionRefusal()
	case errors.Is(err, membudget.ErrNoRoom):
		return nil, memoryRefusal()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, &Refusal{Status: http.StatusRequestTimeout, Reason: "the body came too slowly"}
	case errors.Is(err, io.ErrUnexpectedEOF):
		return nil, nil
	case err != nil:
		return nil, &Refusal{Status: http.StatusBadRequest, Reason: "the body cannot be read"}
	case !c.memory.Complete():
		return nil, c.evictionRefusal()
	}
	return &Request{
		Method: parsed.Method, Target: parsed.RequestURI, Host: parsed.Host, Header: parsed.Header, Body: body,
		HasBody: parsed.ContentLength != 0, Close: parsed.Close,
		Received: time.Now(), Memory: c.memory, RemoteAddress: c.nc.RemoteAddr().String(),
	}, nil
}

// handle calls the handler for one request. It reports whether the connection can
// carry another request.
func (c *conn) handle(req *Request) bool {
	c.enter(ConnectionHandling)
	c.server.inFlight.Add(1)
	defer c.server.inFlight.Add(-1)
	_ = c.nc.SetReadDeadline(time.Time{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	watch := c.watch(cancel)
	w := &ResponseWriter{conn: c, ctx: ctx, keepAlive: !req.Close, toHead: c.headRequest}
	c.server.cfg.Handle(ctx, req, w)
	connected := watch.stop()
	return w.reusable() && connected
}

// disconnectWatcher detects that the caller closes the connection while a request
// is being handled.
type disconnectWatcher struct {
	conn *conn
	// done receives true if the connection is still open when the watcher ends.
	done chan bool
}

// watch starts a watcher that calls onDisconnect when the caller closes the
// connection. Until the watcher is stopped, nothing else may read from the
// connection.
func (c *conn) watch(onDisconnect func()) *disconnectWatcher {
	w := &disconnectWatcher{conn: c, done: make(chan bool, 1)}
	go func() {
		_, err := c.br.Peek(1)
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			onDisconnect()
			c.nc.Close() // also unblocks a pending write
			w.done <- false
			return
		}
		w.done <- true
	}()
	return w
}

// stop stops the watcher and reports whether the connection is still open.
func (w *disconnectWatcher) stop() bool {
	_ = w.conn.nc.SetReadDeadline(time.Unix(1, 0)) // unblocks the read
	return <-w.done
}

// refuse sends the refusal. It then discards what the caller sends until the caller
// closes the connection, or until lingerTimeout or maxLingerBytes is reached.
func (c *conn) refuse(r Refusal) {
	if c.server.cfg.OnRefusal != nil {
		c.server.cfg.OnRefusal(r)
	}
	c.memory.Release()
	header := http.Header{"Content-Type": {"text/plain; charset=utf-8"}}
	if c.server.cfg.RefusalHeader != nil {
		header = c.server.cfg.RefusalHeader(r)
	}
	w := &ResponseWriter{conn: c, ctx: context.Background(), toHead: c.headRequest}
	w.WriteResponse(r.Status, header, []byte(r.Reason+"\n"))
	if tcp, ok := c.nc.(*net.TCPConn); ok {
		_ = tcp.CloseWrite() // the caller may already have closed the connection
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, c.br, maxLingerBytes) // these bytes are not parsed as a request
}
