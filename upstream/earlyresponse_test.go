package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestRequestBodyIsSentAfterEarlyResponse checks that the rest of a request body is sent to a
// server that has responded before it reads it, also when the caller has its response and the
// context of the exchange ends.
func TestRequestBodyIsSentAfterEarlyResponse(t *testing.T) {
	const bodyBytes = 16 << 20 // more than the socket buffers hold
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	released, received := make(chan struct{}), make(chan int64, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		request, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		<-released
		n, _ := io.Copy(io.Discard, request.Body)
		received <- n
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	ex, err := New(Config{}).Do(ctx, &Request{
		Address: l.Addr().String(), Method: http.MethodPost,
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
