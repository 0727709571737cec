// Package tcptest runs small servers on loopback addresses for tests whose server must not follow
// its protocol.
package tcptest

import (
	"net"
	"testing"
)

// Serve listens on a loopback address and lets handle serve each connection, which is closed when
// handle returns. The listener is closed at the end of the test.
func Serve(t testing.TB, handle func(c *net.TCPConn)) (address string) {
	t.Helper()
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() }) // fails only on a closed listener
	go func() {
		for {
			c, err := l.AcceptTCP()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }() // handle may have closed it
				handle(c)
			}()
		}
	}()
	return l.Addr().String()
}
