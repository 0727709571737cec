package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/sesameswitch/sesameswitch/internal/tcptest"
)

// respondLater runs a server that writes further responses only when the next
// request has arrived, so that the pool cannot know of them when it reuses the
// connection. late returns what it writes before its response to request n.
func respondLater(t *testing.T, late func(n int) string) (address string) {
	t.Helper()
	return tcptest.Serve(t, func(c *net.TCPConn) {
		br := bufio.NewReader(c)
		for n := 0; ; n++ {
			request, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			id := request.Header.Get("Id")
			_, _ = io.WriteString(c, late(n)+response(id, "own of "+id)) // the client may have closed the connection
		}
	})
}

func response(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func chunked(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", id, len(body), body)
}

// exchange sends one request and returns the body of its response.
func exchange(p *Pool, address string, n int) (string, error) {
	id := fmt.Sprintf("r%d", n)
	ex, err := p.Do(context.Background(), &Request{
		Address: address, Method: http.MethodGet, Head: fmt.Appendf(nil, "GET / HTTP/1.1\r\nHost: a\r\nId: %s\r\n\r\n", id),
		MatchesRequest: func(h http.Header) bool { return h.Get("Id") == id },
	})
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(ex)
	ex.Release()
	return string(body), err
}

// TestSkipsLateSurplusResponses checks the case in which a further response to a
// request arrives after the connection was reused: the reusing request gets its own
// response, and only a response that cannot be attributed fails it.
func TestSkipsLateSurplusResponses(t *testing.T) {
	for _, test := range []struct {
		name string
		late func(previous string) string
		// fails reports whether the reusing request fails.
		fails bool
	}{
		{"one", func(p string) string { return response(p, "surplus") }, false},
		{"chunked", func(p string) string { return chunked(p, "surplus") }, false},
		{"two", func(p string) string { return response(p, "surplus") + response(p, "again") }, false},
		{"of an unknown request", func(string) string { return response("other", "surplus") }, true},
		{"without a length", func(p string) string { return "HTTP/1.1 200 OK\r\nId: " + p + "\r\n\r\nsurplus" }, true},
		{"too large", func(p string) string { return response(p, strings.Repeat("x", maxSurplusBytes+1)) }, true},
		{"too many", func(p string) string { return strings.Repeat(response(p, "surplus"), maxSkippedResponses) }, true},
		{"no response", func(string) string { return "garbage\r\n" }, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			address := respondLater(t, func(n int) string {
				if n == 0 {
					return ""
				}
				return test.late(fmt.Sprintf("r%d", n-1))
			})
			surplus := 0
			p := New(Config{OnSurplus: func(string) { surplus++ }})
			for n := range 2 {
				body, err := exchange(p, address, n)
				switch fails := n > 0 && test.fails; {
				case fails && err == nil:
					t.Errorf("request %d: got body %q, want an error", n, body)
				case fails && NotSent(err):
					t.Errorf("request %d: got error %v that claims that nothing was sent", n, err)
				case !fails && (err != nil || body != fmt.Sprintf("own of r%d", n)):
					t.Errorf("request %d: got body %q, error %v, want its own response", n, body, err)
				}
			}
			if !test.fails && surplus == 0 {
				t.Error("no surplus response was counted")
			}
		})
	}
}
