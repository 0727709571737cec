// Package connerror interprets errors of TCP connections.
//
// Callers may assume that BrokenBy is true for each connection that was reset or timed out
// before its peer closed it, if the error was returned to the writing side.
package connerror

import (
	"errors"
	"syscall"
)

// BrokenBy reports whether the error of a write shows that the connection was broken before
// the peer had closed its sending side: it was reset, or sent bytes were not acknowledged in
// time.
//
// The kernel reports such an end to one system call only. If a write gets the error, a
// concurrent read gets an end of file, as if the peer had closed the connection. A reset
// after the peer has closed its sending side gives EPIPE (Linux, tcp_reset).
func BrokenBy(writeErr error) bool {
	var errno syscall.Errno
	return errors.As(writeErr, &errno) && errno != syscall.EPIPE
}
