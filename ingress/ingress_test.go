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

// TestCloseIdleKeepsNewConnections guards against closing a connection whose first
// request is under way: only callers of kept connections expect that.
func TestCloseIdleKeepsNewConnections(t *testing.T) {
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
	defer l.Close()
	go func() { _ = s.Serve(l) }() // ends with the listener
	defer s.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	for s.Connections() == 0 {
		runtime.Gosched()
	}
	for range 1000 {
		s.CloseIdle()
		runtime.Gosched()
	}
	br := bufio.NewReader(c)
	exchange := func() error {
		if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
			return err
		}
		_, err := http.ReadResponse(br, nil)
		return err
	}
	if err := exchange(); err != nil {
		t.Fatalf("first request on the connection: %v", err)
	}
	deadline := time.Now().Add(time.Minute)
	for s.Connections() > 0 && time.Now().Before(deadline) {
		s.CloseIdle()
		runtime.Gosched()
	}
	if err := exchange(); err == nil {
		t.Error("a kept connection that is idle was not closed")
	}
}
