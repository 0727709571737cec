package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sesameswitch/sesameswitch/internal/tcptest"
)

// respondEarly runs a server that answers each request before it reads the body: it sends a
// head without a length and body, and passes the connection to end when the client has
// read all of body.
func respondEarly(t *testing.T, body string, read <-chan struct{}, end func(c *net.TCPConn)) (address string) {
	t.Helper()
	return tcptest.Serve(t, func(c *net.TCPConn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return // opened to see whether the server refuses connections
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+body) // the client fails if it is lost
		<-read
		end(c)
	})
}

// TestUnframedResponseBrokenWhileRequestBodyIsSentLooksComplete guards against a response that
// ends with its connection and counts as complete although the connection was reset: the
// kernel reports the reset to the goroutine that sends the request body, and an end of file
// to the one that reads the response.
func TestUnframedResponseBrokenWhileRequestBodyIsSentLooksComplete(t *testing.T) {
	const (
		half      = "half of the response\n"
		exchanges = 20
	)
	for name, test := range map[string]struct {
		end      func(c *net.TCPConn)
		config   Config
		complete bool
	}{
		"reset":                      {func(c *net.TCPConn) { _ = c.SetLinger(0) }, Config{}, false},
		"closed with unread bytes":   {func(*net.TCPConn) {}, Config{}, false},
		"body not read in time":      {func(*net.TCPConn) { <-t.Context().Done() }, Config{UserTimeout: 50 * time.Millisecond}, false},
		"half closed, body read on":  {func(c *net.TCPConn) { _ = c.CloseWrite(); _, _ = io.Copy(io.Discard, c) }, Config{}, true},
		"half closed, body not read": {func(c *net.TCPConn) { _ = c.CloseWrite() }, Config{}, true},
		"half closed, then reset":    {func(c *net.TCPConn) { _ = c.CloseWrite(); _ = c.SetLinger(0) }, Config{}, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			read := make(chan struct{})
			address := respondEarly(t, half, read, test.end)
			pool := New(test.config)
			for range exchanges {
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				ex, err := pool.Do(ctx, &Request{
					Address: address, Method: http.MethodPost,
					Head: []byte("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 8388608\r\n\r\n"), Body: []byte(strings.Repeat("x", 8<<20)),
				})
				if err != nil {
					t.Fatal(err)
				}
				first := make([]byte, len(half))
				for n := 0; n < len(half); {
					m, err := ex.Read(first[n:])
					if err != nil {
						t.Fatal(err)
					}
					n += m
				}
				read <- struct{}{}
				_, err = ex.Read(make([]byte, 16))
				if complete := errors.Is(err, io.EOF); complete != test.complete {
					t.Errorf("got error %v, complete %v, want complete %v", err, complete, test.complete)
				}
				ex.Release()
				cancel()
			}
		})
	}
}
