package upstream

import (
	"context"
	"net"
	"net/http"
	"testing"
)

// TestAbandonedRequestLeavesNoConnection guards against a next attempt that starts while the
// connection of an abandoned one is still open.
func TestAbandonedRequestLeavesNoConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	pool, address := New(Config{}), l.Addr().String()
	ctx, cancel := context.WithCancelCause(context.Background())
	_, err = pool.Do(ctx, &Request{
		Address: address, Method: http.MethodGet, Head: []byte("GET / HTTP/1.1\r\n\r\n"),
		Admit:          func() bool { go cancel(ErrAbandoned); return true },
		OnLateResponse: func(int, http.Header) {},
	})
	if n := pool.OpenConnections(address); err == nil || NotSent(err) || n != 0 {
		t.Errorf("got error %v and %d open connections, want a failure after sending and none", err, n)
	}
}
