package ingress

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"
)

// startServer starts a server and opens a connection to it, which it has accepted.
func startServer(t *testing.T) (*Server, net.Conn) {
	t.Helper()
	s := New(Config{
		Limits: func() Limits {
			return Limits{HeaderBytes: 1 << 10, BodyBytes: 1 << 10, HeaderTimeout: time.Minute, IdleTimeout: time.Minute}
		},
		Handle:             func(_ context.Context, _ *Request, w *ResponseWriter) { w.WriteResponse(200, http.Header{}, nil) },
		CloseAfterResponse: func() bool { return false },
		OnRefusal:          func(Refusal) {},
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() { _ = s.Serve(l) }() // ends with the listener
	t.Cleanup(s.Close)
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	for s.Connections() == 0 {
		runtime.Gosched()
	}
	return s, c
}

// exchange sends a request and reads its response.
func exchange(c net.Conn, br *bufio.Reader) error {
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		return err
	}
	_, err := http.ReadResponse(br, nil)
	return err
}

// TestCloseIdleKeepsNewConnections guards against closing a connection whose first
// request is under way: only callers of kept connections expect that.
func TestCloseIdleKeepsNewConnections(t *testing.T) {
	s, c := startServer(t)
	for range 1000 {
		s.CloseIdle()
		runtime.Gosched()
	}
	br := bufio.NewReader(c)
	if err := exchange(c, br); err != nil {
		t.Fatalf("first request on the connection: %v", err)
	}
	deadline := time.Now().Add(time.Minute)
	for s.Connections() > 0 && time.Now().Before(deadline) {
		s.CloseIdle()
		runtime.Gosched()
	}
	if err := exchange(c, br); err == nil {
		t.Error("a kept connection that is idle was not closed")
	}
}

// TestAwaitFirstRequests guards against closing a connection that was accepted just
// before the process ends, while its first request is under way.
func TestAwaitFirstRequests(t *testing.T) {
	s, c := startServer(t)
	ended := make(chan struct{})
	go func() {
		s.AwaitFirstRequests(time.Minute)
		s.Close()
		close(ended)
	}()
	if err := exchange(c, bufio.NewReader(c)); err != nil {
		t.Errorf("first request on the connection: %v", err)
	}
	<-ended
	if s, _ := startServer(t); true {
		s.AwaitFirstRequests(time.Millisecond) // returns although the connection stays unused
	}
}
