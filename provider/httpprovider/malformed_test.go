package httpprovider_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/sesameswitch/sesameswitch/internal/tcptest"
	"github.com/sesameswitch/sesameswitch/provider"
	"github.com/sesameswitch/sesameswitch/provider/httpprovider"
)

// TestMalformedResponseIsRead guards against responses that are no HTTP and that the parser of
// net/http accepts, on a new connection and on one that is reused.
func TestMalformedResponseIsRead(t *testing.T) {
	const document = `{"running":3}`
	for name, head := range map[string]string{
		"status 000":        "HTTP/1.1 000 OK\r\nContent-Length: %d\r\n\r\n",
		"blank in name":     "HTTP/1.1 200 OK\r\nX-Revision: 1\r\nX Odd: b\r\nContent-Length: %d\r\n\r\n",
		"blank after name":  "HTTP/1.1 200 OK\r\nX-Revision: 1\r\nContent-Length : %d\r\nConnection: close\r\n\r\n",
		"blank before name": "HTTP/1.1 200 OK\r\nX-Revision: 1\r\n Content-Length: %d\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			for call, do := range map[string]func(url string) (accepted bool, err error){
				"backend server, reused connection": func() func(string) (bool, error) {
					var server *httpprovider.BackendServer
					return func(url string) (bool, error) {
						if server == nil {
							server = httpprovider.NewBackendServer(url)
						}
						return sendTo(server, true)
					}
				}(),
				"backend server, new connection": func(url string) (bool, error) { return sendTo(httpprovider.NewBackendServer(url), false) },
				"configuration": func(url string) (bool, error) {
					_, err := httpprovider.NewConfigSource(url, "k").Read(context.Background())
					return err == nil, nil
				},
				"load report": func(url string) (bool, error) {
					_, err := httpprovider.NewEngine(url).Load(context.Background())
					return err == nil, nil
				},
			} {
				var malformed atomic.Bool
				url := serveHeads(t, func() string {
					if malformed.Load() {
						return fmt.Sprintf(head, len(document)) + document
					}
					return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Revision: 1\r\nContent-Length: %d\r\n\r\n", len(document)) + document
				})
				if accepted, err := do(url); err != nil || !accepted {
					t.Fatalf("%s: a sound response is not accepted: %v", call, err)
				}
				malformed.Store(true)
				if accepted, _ := do(url); accepted {
					t.Errorf("%s: the response was accepted", call)
				}
			}
		})
	}
}

// TestMalformedTrailerIsRead is the same for the trailer of a response in chunks.
func TestMalformedTrailerIsRead(t *testing.T) {
	for trailer, want := range map[string]bool{"": true, "X-A: b\r\n": true, "X A: b\r\n": false} {
		url := serveHeads(t, func() string {
			return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n" + trailer + "\r\n"
		})
		if accepted, err := sendTo(httpprovider.NewBackendServer(url), true); accepted != want {
			t.Errorf("trailer %q: accepted %v, error %v, want accepted %v", trailer, accepted, err, want)
		}
	}
}

func sendTo(server *httpprovider.BackendServer, retryable bool) (accepted bool, err error) {
	resp, err := server.Do(context.Background(), provider.Request{Method: http.MethodPost, Path: "/", Body: []byte("x"), Retryable: retryable})
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	return err == nil, err
}

// serveHeads runs a server that sends what respond returns to each request.
func serveHeads(t *testing.T, respond func() string) (url string) {
	t.Helper()
	return "http://" + tcptest.Serve(t, func(c *net.TCPConn) {
		br := bufio.NewReader(c)
		for {
			request, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			text := respond()
			_, _ = io.WriteString(c, text) // the client fails if it is lost
			if strings.Contains(text, "Connection: close") || strings.Contains(text, "\r\n Content") {
				return
			}
		}
	})
}
