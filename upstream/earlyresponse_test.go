package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/sesameswitch/sesameswitch/internal/tcptest"
)

// TestRequestBodyIsSentAfterEarlyResponse checks that the rest of a request body is sent to a
// server that has responded before it reads it, also when the caller has its response and the
// context of the exchange ends.
func TestRequestBodyIsSentAfterEarlyResponse(t *testing.T) {
	const bodyBytes = 16 << 20 // more than the socket buffers hold
	released, received := make(chan struct{}), make(chan int64, 1)
	address := tcptest.Serve(t, func(c *net.TCPConn) {
		request, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		<-released
		n, _ := io.Copy(io.Discard, request.Body)
		received <- n
	})
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	ex, err := New(Config{}).Do(ctx, &Request{
		Address: address, Method: http.MethodPost,
		Head: []byte("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 16777216\r\n\r\n"), Body: make([]byte, bodyBytes),
	})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(readerFunc(ex.Read)); err != nil {
		t.Fatal(err)
	}
	ex.Release()
	cancel()
	close(released)
	if n := <-received; n != bodyBytes {
		t.Errorf("the server received %d bytes of the body, want %d", n, bodyBytes)
	}
}
