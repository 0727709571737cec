package upstream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"golang.org/x/sys/unix"
)

// conn is one connection to a backend server.
type conn struct {
	nc       net.Conn
	received *headReader
	br       *bufio.Reader
	address  string
	// usableUntil is the time until which the idle connection may be reused. The
	// backend server is expected to close it later.
	usableUntil time.Time
	// answered reports whether a response with these headers belongs to the last
	// request that was answered on this connection; nil if there was none, or if a
	// further response to it could not be delimited.
	answered func(http.Header) bool
}

// takeIdle removes a reusable idle connection from the pool and returns it, or
// nil if there is none.
func (p *Pool) takeIdle(address string) *conn {
	for {
		p.mu.Lock()
		conns := p.idle[address]
		if len(conns) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := conns[len(conns)-1]
		p.idle[address] = conns[:len(conns)-1]
		p.mu.Unlock()
		if time.Now().Before(c.usableUntil) && c.reusable() {
			return c
		}
		p.discard(c)
	}
}

// reusable reports whether an idle connection is open and has no unread bytes.
// Bytes after a complete response belong to no request, so a connection with
// such bytes must not be reused.
func (c *conn) reusable() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	tcp, ok := c.nc.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	var buf [1]byte
	err = raw.Control(func(fd uintptr) {
		_, _, peekErr := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		reusable = errors.Is(peekErr, unix.EAGAIN)
	})
	return err == nil && reusable
}

// discard closes a connection and no longer counts it as open.
func (p *Pool) discard(c *conn) {
	c.nc.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[c.address]--
	if p.open[c.address] <= 0 {
		delete(p.open, c.address)
	}
}

// reserveConnection counts a connection that is about to be opened. It returns
// false if the address has reached its limit; zero means no limit.
func (p *Pool) reserveConnection(address string, limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if limit > 0 && p.open[address] >= limit {
		return false
	}
	p.open[address]++
	return true
}

// dial opens a connection, or returns ErrConnectionLimit or ErrNotSent.
func (p *Pool) dial(ctx context.Context, address string, limit int) (*conn, error) {
	if !p.reserveConnection(address, limit) {
		return nil, ErrConnectionLimit
	}
	nc, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.discard(&conn{nc: noConn{}, address: address})
		return nil, errors.Join(ErrNotSent, err)
	}
	if p.cfg.OnDial != nil {
		p.cfg.OnDial(address)
	}
	received := &headReader{r: nc}
	return &conn{nc: nc, received: received, br: bufio.NewReaderSize(received, readBufferBytes), address: address}, nil
}

// Refused reports whether the address refuses connections: nothing listens there.
func (p *Pool) Refused(ctx context.Context, address string) bool {
	nc, err := p.dialer.DialContext(ctx, "tcp", address)
	if err == nil {
		nc.Close()
	}
	return errors.Is(err, unix.ECONNREFUSED)
}

// noConn is passed to discard in place of a connection that could not be opened.
type noConn struct{ net.Conn }

func (noConn) Close() error { return nil }

// Sweep closes the idle connections that are past their idle timeout, and those
// to addresses for which keep returns false.
func (p *Pool) Sweep(keep func(address string) bool) {
	now := time.Now()
	p.mu.Lock()
	var unusable []*conn
	for address, conns := range p.idle {
		usable := conns[:0]
		for _, c := range conns {
			if keep(address) && now.Before(c.usableUntil) {
				usable = append(usable, c)
			} else {
				unusable = append(unusable, c)
			}
		}
		p.idle[address] = usable
		if len(usable) == 0 {
			delete(p.idle, address)
		}
	}
	p.mu.Unlock()
	for _, c := range unusable {
		p.discard(c)
	}
}

// OpenConnections returns the number of open connections to the address, idle and
// in use.
func (p *Pool) OpenConnections(address string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open[address]
}

// addIdle adds a connection without unread bytes to the idle ones. A buffer that a head has grown
// is not kept.
func (p *Pool) addIdle(c *conn) {
	if c.br.Size() > readBufferBytes {
		c.br = bufio.NewReaderSize(c.received, readBufferBytes)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.address] = append(p.idle[c.address], c)
}
