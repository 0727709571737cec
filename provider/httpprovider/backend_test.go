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

// closingServer sends a response to the first maxResponses requests of each
// connection. It reads the next request completely and closes the connection without
// a response.
type closingServer struct {
	listener     net.Listener
	received     atomic.Int64
	maxResponses atomic.Int64
}

func newClosingServer(t *testing.T, maxResponses int64) *closingServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	s := &closingServer{listener: listener}
	s.maxResponses.Store(maxResponses)
	go s.accept()
	return s
}

func (s *closingServer) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(conn)
	}
}

func (s *closingServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for i := int64(0); ; i++ {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		s.received.Add(1)
		if i >= s.maxResponses.Load() {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

func (s *closingServer) url() string { return "http://" + s.listener.Addr().String() }

func do(t *testing.T, b *BackendServer, req provider.Request) (string, error) {
	t.Helper()
	resp, err := b.Do(context.Background(), req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// The transport of net/http retries a request with an idempotency key when a reused
// connection closes before the response. Requests that are not retryable must not
// be retried in this way.
func TestNonRetryableRequestIsNotRetriedWhenConnectionCloses(t *testing.T) {
	for name, header := range map[string]map[string]string{
		"no key":          nil,
		"idempotency key": {"Idempotency-Key": "k"},
		"x key":           {"X-Idempotency-Key": "k"},
		"expect":          {"Expect": "100-continue"},
	} {
		for _, methodAndBody := range []string{"GET ", "DELETE ", "POST ", "PUT body", "POST body"} {
			t.Run(name+" "+methodAndBody, func(t *testing.T) {
				method, body, _ := strings.Cut(methodAndBody, " ")
				server := newClosingServer(t, 1)
				backend := NewBackendServer(server.url())
				req := provider.Request{Method: method, Path: "/pay", Header: header, Body: []byte(body)}
				if _, err := do(t, backend, req); err != nil {
					t.Fatal(err)
				}
				server.maxResponses.Store(0)
				_, err := do(t, backend, req)
				var notSent *NotSentError
				if err == nil || errors.As(err, &notSent) {
					t.Fatalf("got error %v, want one other than NotSentError, since the server may have run the request", err)
				}
				if n := server.received.Load(); n != 2 {
					t.Fatalf("server received %d requests, want 2", n)
				}
			})
		}
	}
}

func TestNonRetryableRequestsUseNewConnections(t *testing.T) {
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
		t.Fatalf("got %d connections for 5 requests, want 5", n)
	}
}

func TestRedirectIsReturned(t *testing.T) {
	for _, status := range []int{301, 302, 303, 307, 308} {
		var received atomic.Int64
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			received.Add(1)
			w.Header().Set("Location", "/elsewhere")
			w.WriteHeader(status)
		}))
		backend := NewBackendServer(server.URL)
		resp, err := backend.Do(context.Background(), provider.Request{Method: http.MethodPost, Path: "/", Body: []byte("x")})
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		server.Close()
		if resp.Status != status || received.Load() != 1 {
			t.Fatalf("got status %d after %d requests, want %d after 1", resp.Status, received.Load(), status)
		}
	}
}

func TestEnvironmentProxyIsIgnored(t *testing.T) {
	t.Setenv("HTTP_PROXY", "http://127.0.0.1:1")
	backend := NewBackendServer("http://sesame.invalid")
	for _, transport := range []*http.Transport{backend.pooled, backend.singleUse} {
		if transport.Proxy != nil {
			t.Fatal("transport uses the proxy from the environment")
		}
	}
}

func TestFailureBeforeSendingIsNotSentError(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closedURL := "http://" + listener.Addr().String()
	listener.Close()
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	cases := []struct {
		name string
		ctx  context.Context
		req  provider.Request
	}{
		{"refused connection", context.Background(), provider.Request{Method: http.MethodPost, Path: "/"}},
		{"refused connection, retryable request", context.Background(), provider.Request{Method: http.MethodPost, Path: "/", Retryable: true}},
		{"cancelled context", ended, provider.Request{Method: http.MethodPost, Path: "/"}},
		{"invalid method", context.Background(), provider.Request{Method: "A B", Path: "/"}},
		{"invalid header", context.Background(), provider.Request{Method: "GET", Path: "/", Header: map[string]string{"A": "b\nc"}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			resp, err := NewBackendServer(closedURL).Do(c.ctx, c.req)
			if err == nil {
				resp.Body.Close()
			}
			var notSent *NotSentError
			if !errors.As(err, &notSent) {
				t.Fatalf("got error %v, want NotSentError", err)
			}
		})
	}
}

func TestTruncatedBodyIsAnError(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "10")
		_, _ = io.WriteString(w, "short")
	}))
	defer server.Close()
	_, err := do(t, NewBackendServer(server.URL), provider.Request{Method: http.MethodGet, Path: "/"})
	if !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Fatalf("got error %v, want unexpected EOF", err)
	}
}
