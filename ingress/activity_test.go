package ingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestConnectionLimit checks which connections are closed when there are too many: those that
// have sent nothing before idle ones, the longest waiting first, and never one whose request is
// being handled.
func TestConnectionLimit(t *testing.T) {
	const limit = 3
	release := make(chan struct{})
	closed := make(chan ConnectionState, 10)
	s := New(Config{
		Handle: func(_ context.Context, r *Request, w *ResponseWriter) {
			if r.Path() == "/wait" {
				<-release
			}
			w.WriteResponse(http.StatusOK, nil, []byte("ok"))
		},
		Limits: func() Limits {
			return Limits{HeaderBytes: 4096, BodyBytes: 100, HeaderTimeout: time.Minute, IdleTimeout: time.Minute}
		},
		MaxConnections: limit, OnConnectionLimit: func(state ConnectionState) { closed <- state },
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	defer s.Close()
	go func() { _ = s.Serve(l) }()
	dial := func() net.Conn {
		t.Helper()
		conn, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
		return conn
	}
	send := func(conn net.Conn, path string) { fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: a\r\n\r\n", path) }
	receive := func(conn net.Conn) error {
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err == nil {
			_, err = io.ReadAll(resp.Body)
		}
		return err
	}
	await := func(state ConnectionState, count int) {
		t.Helper()
		for s.countIn(state) != count {
			time.Sleep(time.Millisecond) // interval between polls
		}
	}
	idle, unused, handled := dial(), dial(), dial()
	send(idle, "/")
	if err := receive(idle); err != nil {
		t.Fatal(err)
	}
	await(ConnectionIdle, 1)
	send(handled, "/wait")
	await(ConnectionHandling, 1)
	await(ConnectionUnused, 1)
	second := dial()
	if state := <-closed; state != ConnectionUnused || receive(unused) == nil {
		t.Errorf("closed a connection that was %v, want the one that has sent nothing", state)
	}
	send(second, "/wait")
	await(ConnectionHandling, 2)
	third := dial()
	if state := <-closed; state != ConnectionIdle || receive(idle) == nil {
		t.Errorf("closed a connection that was %v, want the idle one", state)
	}
	send(third, "/wait")
	await(ConnectionHandling, 3)
	if conn := dial(); <-closed != ConnectionNew || receive(conn) == nil {
		t.Error("the new connection was not closed although all others have requests")
	}
	close(release)
	for _, conn := range []net.Conn{handled, second, third} {
		if err := receive(conn); err != nil {
			t.Errorf("a request that was handled got no response: %v", err)
		}
	}
}

// countIn returns the number of connections in a state.
func (s *Server) countIn(state ConnectionState) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for c := range s.conns {
		if c.activity(time.Now()).state == state {
			count++
		}
	}
	return count
}
