package httpprovider

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/sesameswitch/sesameswitch/provider"
)

// dropper reads whole requests and closes each connection after the first
// `answered` of them, without an answer to the next one.
type dropper struct {
	listener net.Listener
	arrivals atomic.Int64
	answered atomic.Int64
}

func newDropper(t *testing.T, answered int64) *dropper {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	d := &dropper{listener: listener}
	d.answered.Store(answered)
	go d.accept()
	return d
}

func (d *dropper) accept() {
	for {
		conn, err := d.listener.Accept()
		if err != nil {
			return
		}
		go d.serve(conn)
	}
}

func (d *dropper) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for i := int64(0); ; i++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		d.arrivals.Add(1)
		if i >= d.answered.Load() {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

func (d *dropper) url() string { return "http://" + d.listener.Addr().String() }

func do(t *testing.T, b *BackendServer, call provider.Request) (string, error) {
	t.Helper()
	reply, err := b.Do(context.Background(), call)
	if err != nil {
		return "", err
	}
	defer reply.Body.Close()
	body, err := io.ReadAll(reply.Body)
	return string(body), err
}

// Go's transport sends a request with an idempotency key again when a reused
// connection closes before the answer.
func TestCallArrivesOnceWhenConnectionCloses(t *testing.T) {
	for name, header := range map[string]map[string]string{
		"no key":          nil,
		"idempotency key": {"Idempotency-Key": "k"},
		"x key":           {"X-Idempotency-Key": "k"},
		"expect":          {"Expect": "100-continue"},
	} {
		for _, request := range []string{"GET ", "DELETE ", "POST ", "PUT body", "POST body"} {
			t.Run(name+" "+request, func(t *testing.T) {
				method, body, _ := strings.Cut(request, " ")
				d := newDropper(t, 1)
				backend := NewBackendServer(d.url())
				call := provider.Request{Method: method, Path: "/pay", Header: header, Body: []byte(body)}
				if _, err := do(t, backend, call); err != nil {
					t.Fatal(err)
				}
				d.answered.Store(0)
				_, err := do(t, backend, call)
				var notSent *NotSentError
				if err == nil || errors.As(err, &notSent) {
					t.Fatalf("error %v, want one that leaves the run open", err)
				}
				if n := d.arrivals.Load(); n != 2 {
					t.Fatalf("%d arrivals of 2 calls", n)
				}
			})
		}
	}
}

func TestCallNeverReusesAConnection(t *testing.T) {
	var connections atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			connections.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	backend := NewBackendServer(server.URL)
	for range 5 {
		if _, err := do(t, backend, provider.Request{Method: http.MethodPost, Path: "/"}); err != nil {
			t.Fatal(err)
		}
	}
	if n := connections.Load(); n != 5 {
		t.Fatalf("%d connections for 5 calls", n)
	}
}

func TestRedirectIsNotFollowed(t *testing.T) {
	for _, status := range []int{301, 302, 303, 307, 308} {
		var arrivals atomic.Int64
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			arrivals.Add(1)
			w.Header().Set("Location", "/elsewhere")
			w.WriteHeader(status)
		}))
		backend := NewBackendServer(server.URL)
		reply, err := backend.Do(context.Background(), provider.Request{Method: http.MethodPost, Path: "/", Body: []byte("x")})
		if err != nil {
			t.Fatal(err)
		}
		reply.Body.Close()
		server.Close()
		if reply.Status != status || arrivals.Load() != 1 {
			t.Fatalf("status %d after %d arrivals, want %d after 1", reply.Status, arrivals.Load(), status)
		}
	}
}

func TestProxyOfTheEnvironmentIsNotUsed(t *testing.T) {
	t.Setenv("HTTP_PROXY", "http://127.0.0.1:1")
	backend := NewBackendServer("http://sesame.invalid")
	for _, transport := range []*http.Transport{backend.pooled, backend.fresh} {
		if transport.Proxy != nil {
			t.Fatal("transport takes a proxy from the environment")
		}
	}
}

func TestFailureBeforeSendingIsTyped(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := "http://" + listener.Addr().String()
	listener.Close()
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	cases := []struct {
		name string
		ctx  context.Context
		call provider.Request
	}{
		{"refused connection", context.Background(), provider.Request{Method: http.MethodPost, Path: "/"}},
		{"refused connection, repeatable", context.Background(), provider.Request{Method: http.MethodPost, Path: "/", Retryable: true}},
		{"context over", ended, provider.Request{Method: http.MethodPost, Path: "/"}},
		{"bad method", context.Background(), provider.Request{Method: "A B", Path: "/"}},
		{"bad header", context.Background(), provider.Request{Method: "GET", Path: "/", Header: map[string]string{"A": "b\nc"}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			reply, err := NewBackendServer(closed).Do(c.ctx, c.call)
			if err == nil {
				reply.Body.Close()
			}
			var notSent *NotSentError
			if !errors.As(err, &notSent) {
				t.Fatalf("error %v, want NotSentError", err)
			}
		})
	}
}

func TestShortBodyIsAnError(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "10")
		_, _ = io.WriteString(w, "short")
	}))
	defer server.Close()
	_, err := do(t, NewBackendServer(server.URL), provider.Request{Method: http.MethodGet, Path: "/"})
	if !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Fatalf("error %v, want unexpected EOF", err)
	}
}
