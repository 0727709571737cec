package ingress

import (
	"time"

	"github.com/sesameswitch/sesameswitch/membudget"
)

// ConnectionState is what a connection is doing.
type ConnectionState int

// States of connections. Those that come first are closed first if there are too many: a caller
// that has sent nothing loses least.
const (
	// ConnectionUnused waits for the first byte of its first request.
	ConnectionUnused ConnectionState = iota
	// ConnectionIdle waits for a further request.
	ConnectionIdle
	// ConnectionReading has received a part of a request.
	ConnectionReading
	// ConnectionHandling has a complete request.
	ConnectionHandling
	// ConnectionNew was just accepted.
	ConnectionNew
)

// String returns the name of the state in logs and metrics.
func (s ConnectionState) String() string {
	return [...]string{"unused", "idle", "reading", "handling", "new"}[s]
}

// evictable reports whether a connection that has been in the state for some time may be closed
// in favour of another one. A request that is being read has membudget.StallTime to arrive.
func (s ConnectionState) evictable(since time.Duration) bool {
	return s < ConnectionReading || s == ConnectionReading && since >= membudget.StallTime
}

// activity is the state of a connection and since when it has been in it.
type activity struct {
	state ConnectionState
	since time.Duration
}

// before reports whether a connection with activity a is closed before one with activity b.
func (a activity) before(b activity) bool {
	if a.state != b.state {
		return a.state < b.state
	}
	return a.since > b.since
}

// stateBits is the number of low bits of conn.stateSince that hold the state.
const stateBits = 3

// enter records that the connection enters a state.
func (c *conn) enter(state ConnectionState) {
	c.stateSince.Store(time.Since(c.server.startedAt).Microseconds()<<stateBits | int64(state))
}

// activity returns what the connection is doing.
func (c *conn) activity(now time.Time) activity {
	value := c.stateSince.Load()
	enteredAfter := time.Duration(value>>stateBits) * time.Microsecond
	return activity{ConnectionState(value & (1<<stateBits - 1)), now.Sub(c.server.startedAt) - enteredAfter}
}
