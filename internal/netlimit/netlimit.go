// Package netlimit limits the open connections of a listener.
//
// Callers may assume that a new connection is served although strangers hold all places: beyond
// the limit it takes the place of the one that was opened first. A short exchange, such as a
// readiness check, therefore fails only if a whole limit of connections arrives during it.
package netlimit

import (
	"container/list"
	"net"
	"sync"
)

// Config configures a Listener.
type Config struct {
	// Max is the maximum number of open connections.
	Max int
	// Busy, if set, reports whether a connection must not be closed in favour of another one.
	// If all are busy, the new connection is closed.
	Busy func(net.Conn) bool
	// OnClose, if set, is called after a connection was closed because of the limit.
	OnClose func()
}

// Listener is a net.Listener with a limit on its open connections.
type Listener struct {
	net.Listener
	cfg Config
	mu  sync.Mutex
	// open holds the open connections, the first one first.
	open *list.List
}

// NewListener returns a listener that accepts connections of l.
func NewListener(l net.Listener, cfg Config) *Listener {
	return &Listener{Listener: l, cfg: cfg, open: list.New()}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: nc, listener: l}
		victim, accepted := l.add(c)
		if victim != nil {
			_ = victim.Close() // its user finds it closed
			if l.cfg.OnClose != nil {
				l.cfg.OnClose()
			}
		}
		if accepted {
			return c, nil
		}
	}
}

// add registers a connection. It returns the connection to be closed, if there are too many, and
// whether the new one was registered.
func (l *Listener) add(c *conn) (victim net.Conn, accepted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open.Len() >= l.cfg.Max {
		element := l.oldest()
		if element == nil {
			return c.Conn, false
		}
		old := l.open.Remove(element).(*conn)
		old.element = nil
		victim = old.Conn
	}
	c.element = l.open.PushBack(c)
	return victim, true
}

// oldest returns the connection that was opened first and is not busy; nil if there is none. The
// caller holds mu.
func (l *Listener) oldest() *list.Element {
	for element := l.open.Front(); element != nil; element = element.Next() {
		if l.cfg.Busy == nil || !l.cfg.Busy(element.Value.(*conn).Conn) {
			return element
		}
	}
	return nil
}

// conn is an open connection.
type conn struct {
	net.Conn
	listener *Listener
	// element is the place in Listener.open; nil if the connection is not there any more.
	element *list.Element
}

// NetConn returns the connection of the inner listener.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Close implements net.Conn.
func (c *conn) Close() error {
	c.listener.mu.Lock()
	if c.element != nil {
		c.listener.open.Remove(c.element)
		c.element = nil
	}
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
