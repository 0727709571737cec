// Package peer carries net/rpc calls between the system's own processes.
//
// net/rpc alone has neither deadlines nor heartbeats. This package adds both:
// a caller may rely on Call returning when its context ends, on a connection
// that went silent being closed within Config.ReadTimeout and replaced by the
// next call, and on an answer that comes too late never touching the caller's
// memory. Whether a failed call reached the peer is told by NotSent.
package peer

import (
	"errors"
	"time"

	"github.com/rotisserie/eris"
)

// Config holds the timeouts of connections between peers.
type Config struct {
	// DialTimeout bounds the connection set-up with the first heartbeat.
	DialTimeout time.Duration
	// HeartbeatInterval is the time between heartbeats on a connection.
	HeartbeatInterval time.Duration
	// ReadTimeout is how long a connection may receive no bytes before it is
	// closed.
	ReadTimeout time.Duration
	// WriteTimeout closes a connection whose peer takes no bytes.
	WriteTimeout time.Duration
	// RedialDelay is how long calls fail at once after a failed dial.
	RedialDelay time.Duration
	// IdleTimeout is how long a connection may carry no call before it is
	// closed, so that a process that calls many peers in turn holds few
	// connections.
	IdleTimeout time.Duration
}

// DefaultConfig returns the timeouts that the daemons use.
func DefaultConfig() Config {
	return Config{
		DialTimeout:       time.Second,
		HeartbeatInterval: time.Second,
		ReadTimeout:       3 * time.Second,
		WriteTimeout:      2 * time.Second,
		RedialDelay:       100 * time.Millisecond,
		IdleTimeout:       20 * time.Second,
	}
}

// ErrNotSent marks a call that certainly did not reach the peer.
var ErrNotSent = eris.New("peer: call was not sent")

// ErrConnectionLost marks a call whose connection ended before the reply; the
// peer may have executed the call.
var ErrConnectionLost = eris.New("peer: connection lost before the answer")

// NotSent reports whether the failed call certainly did not reach the peer.
func NotSent(err error) bool {
	return errors.Is(err, ErrNotSent)
}

// PingArgs is a heartbeat.
type PingArgs struct{}

// PingReply answers a heartbeat.
type PingReply struct{}

// pinger serves the heartbeats of connections.
type pinger struct{}

// Ping answers a heartbeat.
func (pinger) Ping(_ PingArgs, _ *PingReply) error { return nil }

const pingMethod = "Peer.Ping"
