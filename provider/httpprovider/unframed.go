package httpprovider

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesameswitch/sesameswitch/internal/connerror"
	"github.com/sesameswitch/sesameswitch/internal/httphead"
)

// writeErrorConn is a connection that checks the heads of responses and keeps the error of its
// first failed write.
type writeErrorConn struct {
	*httphead.Conn
	// mu is held during each write.
	mu  sync.Mutex
	err error
}

// dialWriteErrorConn returns a dial function of a transport.
func dialWriteErrorConn(dialer *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &writeErrorConn{Conn: httphead.NewConn(conn)}, nil
	}
}

// Write implements net.Conn.
func (c *writeErrorConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if c.err == nil {
		c.err = err
	}
	return n, err
}

// stopWriting ends a write in progress and returns the error of the first failed write.
func (c *writeErrorConn) stopWriting() error {
	_ = c.SetWriteDeadline(time.Unix(1, 0)) // fails only on a closed connection, whose writes have ended
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// unframedBody is a body that ends with its connection.
type unframedBody struct {
	io.ReadCloser
	conn *writeErrorConn
}

// Read implements io.Reader. io.EOF means that the server has closed the connection; a
// connection that was reset or timed out gives another error.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if writeErr := b.conn.stopWriting(); connerror.BrokenBy(writeErr) {
			return n, eris.Wrap(writeErr, "connection broken before the end of a response without a length")
		}
	}
	return n, err
}

// chunkedBody is a body in chunks, which a trailer may follow.
type chunkedBody struct {
	io.ReadCloser
	resp *http.Response
}

// Read implements io.Reader. A malformed trailer gives an error in place of io.EOF.
func (b *chunkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if trailerErr := httphead.CheckTrailer(b.resp.Trailer); trailerErr != nil {
			return n, trailerErr
		}
	}
	return n, err
}

// responseBody returns the body of a response that was received on the connection.
func responseBody(resp *http.Response, conn *writeErrorConn) io.ReadCloser {
	if len(resp.TransferEncoding) > 0 {
		return &chunkedBody{resp.Body, resp}
	}
	if resp.ContentLength >= 0 || resp.Body == http.NoBody || conn == nil {
		return resp.Body
	}
	return &unframedBody{resp.Body, conn}
}
