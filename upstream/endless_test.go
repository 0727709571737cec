package upstream

import (
	"bytes"
	"context"
	"errors"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"
)

// maxAllocatedPerRequest bounds the bytes that one request may allocate, whatever the
// server sends.
const maxAllocatedPerRequest = 4 << 20

// TestEndlessResponseExhaustsMemory guards against a server that sends bytes without end
// instead of a response, until the client closes the connection.
func TestEndlessResponseExhaustsMemory(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	for _, test := range []struct {
		name, once, repeated string
		// inBody reports whether the response has a head, so that the body does not end.
		inBody bool
	}{
		{"header-line", head + "X: ", strings.Repeat("x", 4096), false},
		{"header-lines", head, strings.Repeat("X: y\r\n", 512), false},
		{"status-line", "", strings.Repeat("H", 4096), false},
		{"interim-responses", "", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 64), false},
		{"interim-responses-with-headers", "", "HTTP/1.1 102 Processing\r\n" + strings.Repeat("X: "+strings.Repeat("y", 1000)+"\r\n", 20) + "\r\n", false},
		{"chunk-extension", head + "Transfer-Encoding: chunked\r\n\r\n1;", strings.Repeat("x", 4096), true},
		{"body", head + "\r\n", strings.Repeat("x", 4096), true},
	} {
		t.Run(test.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				_, _ = c.Read(make([]byte, 1024)) // the request
				block := bytes.Repeat([]byte(test.repeated), 1+(64<<10)/len(test.repeated))
				_, err = c.Write([]byte(test.once))
				for err == nil {
					_, err = c.Write(block)
				}
			}()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			ex, err := New(Config{}).Do(ctx, &Request{Address: l.Addr().String(), Method: "GET", Head: []byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"), OnLateResponse: nil})
			if (err == nil) != test.inBody {
				t.Errorf("Do: got error %v, response has a head: %v", err, test.inBody)
			}
			if err != nil && !strings.HasPrefix(test.name, "interim") && !errors.Is(err, ErrHeadTooLarge) {
				t.Errorf("got error %v, want %v", err, ErrHeadTooLarge)
			}
			if err != nil && ctx.Err() != nil {
				t.Errorf("the head without end was read until the deadline: %v", err)
			}
			if err == nil {
				buf := make([]byte, 8<<10)
				for err == nil {
					_, err = ex.Read(buf)
				}
				ex.Abort()
			}
			runtime.ReadMemStats(&after)
			if n := after.TotalAlloc - before.TotalAlloc; n > maxAllocatedPerRequest {
				t.Errorf("%d bytes were allocated for one request, want at most %d", n, maxAllocatedPerRequest)
			}
			<-ended // the connection is closed
		})
	}
}

// TestLargeHeadIsRead checks that a head below the bound is read, on a connection that
// carried others before.
func TestLargeHeadIsRead(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	large := "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX: " + strings.Repeat("x", DefaultMaxHeadBytes*3/4) + "\r\n\r\n"
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		for {
			if _, err := c.Read(make([]byte, 1024)); err != nil {
				return
			}
			_, _ = c.Write([]byte(large)) // the test fails if it cannot be read
		}
	}()
	pool := New(Config{})
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for i := range 3 {
		ex, err := pool.Do(ctx, &Request{Address: l.Addr().String(), Method: "GET", Head: []byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n")})
		if err != nil {
			t.Fatalf("response %d: %v", i, err)
		}
		_, _ = ex.Read(make([]byte, 16)) // reads to the end of the empty body
		ex.Release()
	}
}
