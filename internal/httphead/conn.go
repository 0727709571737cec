package httphead

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
)

// maxHeadBytes limits the heads that a Conn checks: interim ones and the final one together.
const maxHeadBytes = 64 << 10

// Conn is a connection to a server that fails when the head of a response is malformed, before
// the end of that head can be read. It serves users that read through net/http.
type Conn struct {
	net.Conn
	// mu guards the fields below.
	mu sync.Mutex
	// head holds the bytes of the present head that have arrived.
	head []byte
	// checking is true while a head is read, total counts the bytes of the heads of the present
	// response.
	checking bool
	total    int
	// err is the error of a malformed head.
	err error
}

// NewConn returns a connection that checks the first response.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c, checking: true} }

// ExpectHead makes the connection check the head of the next response. Call it before the
// request of that response is sent and after the previous response was read.
func (c *Conn) ExpectHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checking, c.total, c.head = true, 0, c.head[:0]
}

// Read implements net.Conn. It returns an error that wraps ErrMalformed if the bytes complete a
// head that CheckResponse refuses, or if heads are longer than 64 KB.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return 0, c.err
	}
	if c.checking && n > 0 {
		if c.err = c.check(p[:n]); c.err != nil {
			return 0, c.err
		}
	}
	return n, err
}

// check checks the heads that begin or continue in the data.
func (c *Conn) check(data []byte) error {
	for len(data) > 0 {
		known := len(c.head)
		c.head = append(c.head, data...)
		end := End(c.head, known)
		if end < 0 {
			if c.total+len(c.head) > maxHeadBytes {
				return malformed("the head is too long")
			}
			return nil
		}
		if err := CheckResponse(c.head[:end]); err != nil {
			return err
		}
		if StatusOf(c.head) >= firstFinalStatus {
			c.checking, c.head = false, nil
			return nil
		}
		c.total += end
		data = data[end-known:]
		c.head = c.head[:0]
	}
	return nil
}

// firstFinalStatus is the lowest status of a response that is not an interim one.
const firstFinalStatus = 200

// DialFunc opens connections, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a function that opens connections with dial and checks the heads of responses on
// them. Requests that reuse a connection need Trace.
func Dial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(conn), nil
	}
}

// Trace returns a context with which net/http lets the connection of a request check the head of
// its response.
func Trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(interface{ ExpectHead() }); ok {
			conn.ExpectHead()
		}
	}})
}
