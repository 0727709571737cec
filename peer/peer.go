// Package peer provides net/rpc calls between the system's own processes.
//
// net/rpc has neither deadlines nor heartbeats; this package adds both. Callers
// may assume that Call returns when its context ends, that a connection on
// which nothing arrives is closed within Config.ReadTimeout and replaced by the
// next call, and that a reply which arrives after Call has returned is
// discarded. What strangers send to a Server is bounded by Config.MaxMessageBytes, MaxConnections
// and Memory. NotSent reports whether a failed call certainly did not reach the
// peer.
package peer

import (
	"errors"
	"net"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesameswitch/sesameswitch/membudget"
)

// Config holds the timeouts of connections between peers.
type Config struct {
	// DialTimeout bounds the connection set-up and, separately, the first
	// heartbeat.
	DialTimeout time.Duration
	// HeartbeatInterval is how long a connection may read nothing or write
	// nothing before a heartbeat is sent.
	HeartbeatInterval time.Duration
	// ReadTimeout is how long a connection may receive no bytes before it is
	// closed.
	ReadTimeout time.Duration
	// WriteTimeout bounds each write. A connection on which a write fails is
	// closed.
	WriteTimeout time.Duration
	// RedialDelay is the time after a failed dial in which calls fail
	// immediately.
	RedialDelay time.Duration
	// IdleTimeout is how long a connection may have no call before it is
	// closed, so that a process that calls many peers in turn holds few
	// connections. It is checked about once per HeartbeatInterval; zero
	// disables it.
	IdleTimeout time.Duration
	// MaxMessageBytes limits the messages that a Server receives; a connection with a larger one
	// is closed. Zero means no limit.
	MaxMessageBytes uint64
	// MaxConnections limits the connections that a Server accepts; beyond it, one on which no
	// message has arrived gives way. Zero means no limit.
	MaxConnections int
	// OnRefused, if set, is called when a Server closes a connection because of these limits. It
	// must not block.
	OnRefused func(address net.Addr, err error)
	// Memory limits what the messages that a Server receives hold together. A message waits for
	// room up to ReadTimeout, and one that has stopped gives way: its connection is closed. nil
	// means no limit.
	Memory *membudget.Budget
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
		MaxMessageBytes:   65 << 20, // the largest body that a manifest allows, and the rest of a call
		MaxConnections:    4096,
	}
}

// ErrNotSent marks a call that certainly did not reach the peer.
var ErrNotSent = eris.New("peer: call was not sent")

// ErrConnectionLost marks a call whose connection ended before the reply; the
// peer may have executed the call.
var ErrConnectionLost = eris.New("peer: connection lost before the reply")

// NotSent reports whether the failed call certainly did not reach the peer.
func NotSent(err error) bool {
	return errors.Is(err, ErrNotSent)
}

// PingArgs is a heartbeat.
type PingArgs struct{}

// PingReply is the reply to a heartbeat.
type PingReply struct{}

// pinger serves the heartbeats of connections.
type pinger struct{}

// Ping replies to a heartbeat.
func (pinger) Ping(_ PingArgs, _ *PingReply) error { return nil }

const pingMethod = "Peer.Ping"
