package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sesameswitch/sesameswitch/internal/tcptest"
)

// startServer runs a server that sends the content as the response to each request and then
// closes the connection.
func startServer(t *testing.T, content string) (address string) {
	t.Helper()
	return tcptest.Serve(t, func(c *net.TCPConn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, content) // the client fails if it is lost
		}
	})
}

// TestMalformedResponseLooksComplete guards against responses that are no HTTP and that the
// parser of net/http accepts: the client got them, or a body that the server did not send.
func TestMalformedResponseLooksComplete(t *testing.T) {
	const chunks = "2\r\nok\r\n0\r\n"
	for name, c := range map[string]struct {
		content string
		sound   bool
	}{
		"status 000":                {"HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok", false},
		"interim status 000":        {"HTTP/1.1 000 OK\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false},
		"interim with blank name":   {"HTTP/1.1 102 Processing\r\nX A: b\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false},
		"blank after name of field": {"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n" + chunks + "\r\n", false},
		"blank before name":         {"HTTP/1.1 200 OK\r\nX-A: b\r\n Content-Length: 2\r\n\r\nok and more", false},
		"blank in name":             {"HTTP/1.1 200 OK\r\nX A: b\r\nContent-Length: 2\r\n\r\nok", false},
		"control byte in name":      {"HTTP/1.1 200 OK\r\nX\x02A: b\r\nContent-Length: 2\r\n\r\nok", false},
		"chunks of HTTP/1.0":        {"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + "\r\n", false},
		"blank in name of trailer":  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + "X A: b\r\n\r\n", false},
		"sound trailer":             {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + "X-A: b\r\n\r\n", true},
		"sound interim":             {"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true},
		"sound long head":           {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + strings.Repeat("X-A: b\r\n", 5000) + "\r\nok", true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			malformed := 0
			pool := New(Config{OnMalformed: func(string, error) { malformed++ }})
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			ex, err := pool.Do(ctx, &Request{Address: startServer(t, c.content), Method: http.MethodGet, Head: []byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n")})
			body := []byte(nil)
			if err == nil {
				body, err = io.ReadAll(readerFunc(ex.Read))
				ex.Release()
			}
			if c.sound && (err != nil || string(body) != "ok" || malformed > 0) {
				t.Errorf("got body %q, error %v, want ok", body, err)
			}
			if !c.sound && (err == nil || malformed != 1) {
				t.Errorf("got body %q, error %v, reported %d times, want an error that is reported once", body, err, malformed)
			}
		})
	}
}

// TestIdleConnectionKeepsNoGrownBuffer checks that a long head does not take memory longer than its
// exchange.
func TestIdleConnectionKeepsNoGrownBuffer(t *testing.T) {
	address := tcptest.Serve(t, func(c *net.TCPConn) {
		for br := bufio.NewReader(c); ; {
			if _, err := http.ReadRequest(br); err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"+strings.Repeat("X-A: b\r\n", 5000)+"\r\nok")
		}
	})
	pool := New(Config{})
	for range 3 {
		ex, err := pool.Do(context.Background(), &Request{Address: address, Method: http.MethodGet, Head: []byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n")})
		if err != nil {
			t.Fatal(err)
		}
		if body, err := io.ReadAll(readerFunc(ex.Read)); err != nil || string(body) != "ok" {
			t.Fatalf("got body %q, error %v", body, err)
		}
		ex.Release()
		if n := pool.OpenConnections(address); n != 1 || ex.conn.br.Size() != readBufferBytes {
			t.Errorf("%d open connections, buffer of %d bytes, want 1 and %d", n, ex.conn.br.Size(), readBufferBytes)
		}
	}
}

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }
