package peer

import (
	"net"
	"sync/atomic"
	"time"
)

// Traffic counts the bytes read from and written to the connections of a Pool
// or a Server.
type Traffic struct {
	Read    atomic.Int64
	Written atomic.Int64
}

// conn is a connection with a timeout on each read and each write.
type conn struct {
	net.Conn
	readTimeout  time.Duration
	writeTimeout time.Duration
	traffic      *Traffic
	// lastReadAt and lastWriteAt are when the last read and the last write
	// ended, in Unix nanoseconds.
	lastReadAt, lastWriteAt atomic.Int64
}

func newConn(c net.Conn, cfg Config, traffic *Traffic) *conn {
	return &conn{Conn: c, readTimeout: cfg.ReadTimeout, writeTimeout: cfg.WriteTimeout, traffic: traffic}
}

// Read fails when nothing arrives within the read timeout.
func (c *conn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.readTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	c.traffic.Read.Add(int64(n))
	c.lastReadAt.Store(time.Now().UnixNano())
	return n, err
}

// Write fails when the peer does not accept all bytes within the write timeout.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.traffic.Written.Add(int64(n))
	c.lastWriteAt.Store(time.Now().UnixNano())
	return n, err
}

// silentFor returns the time since the last read or the last write, whichever
// was earlier.
func (c *conn) silentFor() time.Duration {
	return time.Duration(time.Now().UnixNano() - min(c.lastReadAt.Load(), c.lastWriteAt.Load()))
}
