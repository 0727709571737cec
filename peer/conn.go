package peer

import (
	"net"
	"sync/atomic"
	"time"
)

// Traffic counts the bytes that this process exchanged with its peers.
type Traffic struct {
	Read    atomic.Int64
	Written atomic.Int64
}

// conn is a connection on which silence ends: a read fails after the idle
// timeout and a write after the write timeout.
type conn struct {
	net.Conn
	idle    time.Duration
	write   time.Duration
	traffic *Traffic
	// readAt and wroteAt are when bytes last came and went, in Unix
	// nanoseconds.
	readAt, wroteAt atomic.Int64
}

func newConn(c net.Conn, cfg Config, traffic *Traffic) *conn {
	return &conn{Conn: c, idle: cfg.ReadTimeout, write: cfg.WriteTimeout, traffic: traffic}
}

// Read fails when nothing arrives within the idle timeout.
func (c *conn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.idle)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	c.traffic.Read.Add(int64(n))
	c.readAt.Store(time.Now().UnixNano())
	return n, err
}

// Write fails when the peer takes nothing within the write timeout.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.write)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.traffic.Written.Add(int64(n))
	c.wroteAt.Store(time.Now().UnixNano())
	return n, err
}

// quietFor returns the time since bytes last came or last went, whichever is
// longer ago.
func (c *conn) quietFor() time.Duration {
	return time.Duration(time.Now().UnixNano() - min(c.readAt.Load(), c.wroteAt.Load()))
}
