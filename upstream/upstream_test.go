package upstream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"
)

// pair returns both ends of a connection on loopback.
func pair(t *testing.T) (near, far net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if near, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if far, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { near.Close(); far.Close() })
	return near, far
}

// TestIdleTime covers hazard 14: a kept connection is used for a part of the time
// that the backend server told, never for longer than the pool's own.
func TestIdleTime(t *testing.T) {
	p := New(Config{IdleTimeout: 10 * time.Second})
	for _, test := range []struct {
		value string
		want  time.Duration
	}{
		{"", 8 * time.Second}, {"timeout=5", 4 * time.Second}, {"timeout=5, max=100", 4 * time.Second},
		{"max=3, Timeout=1", 800 * time.Millisecond}, {"timeout=0", 0}, {"timeout=60", 8 * time.Second}, {"timeout=x", 8 * time.Second},
	} {
		e := &Exchange{pool: p, Response: &http.Response{Header: http.Header{"Keep-Alive": {test.value}}}}
		if got := e.idleTime(); got != test.want {
			t.Errorf("%q: %v, want %v", test.value, got, test.want)
		}
	}
}

// TestKeptConnections shows which kept connections are used again.
func TestKeptConnections(t *testing.T) {
	later := time.Now().Add(time.Hour)
	for _, test := range []struct {
		name  string
		until time.Time
		do    func(far net.Conn)
		want  bool
	}{
		{"sound", later, func(net.Conn) {}, true},
		{"past its time", time.Now().Add(-time.Second), func(net.Conn) {}, false},
		{"closed by the other end", later, func(far net.Conn) { far.Close() }, false},
		{"bytes that belong to nobody", later, func(far net.Conn) { _, _ = far.Write([]byte("HTTP/1.1 200 OK\r\n")) }, false},
	} {
		p := New(Config{})
		near, far := pair(t)
		p.idle["a"] = []*conn{{nc: near, br: bufio.NewReader(near), address: "a", usableUntil: test.until}}
		p.open["a"] = 1
		test.do(far)
		if !test.want && test.until.Equal(later) {
			if _, err := bufio.NewReaderSize(peeked{near}, 1).ReadByte(); err == nil {
				t.Fatal("the byte was taken")
			}
		}
		got := p.take("a")
		if (got != nil) != test.want {
			t.Errorf("%s: used %v", test.name, got != nil)
		}
		if got == nil && p.OpenConnections("a") != 0 {
			t.Errorf("%s: still counted", test.name)
		}
	}
}

// peeked waits until a connection has something to read, without reading it.
type peeked struct{ net.Conn }

func (p peeked) Read([]byte) (int, error) {
	raw, err := p.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return 0, err
	}
	waited := false
	err = raw.Read(func(uintptr) bool {
		ready := waited
		waited = true
		return ready
	})
	return 0, errors.Join(errors.New("nothing is read"), err)
}

func TestConnectionsAreBounded(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	p := New(Config{})
	address := l.Addr().String()
	for range 3 {
		if _, err := p.dial(context.Background(), address, 3); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := p.dial(context.Background(), address, 3); !errors.Is(err, ErrConnectionLimit) || !NotSent(err) {
		t.Errorf("a fourth connection: %v", err)
	}
}

func TestUnreachableIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	l.Close()
	_, err = New(Config{}).Do(context.Background(), &Request{Address: address, Method: http.MethodGet, Head: []byte("GET / HTTP/1.1\r\n\r\n")})
	if !NotSent(err) {
		t.Errorf("%v", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := New(Config{}).Do(ctx, &Request{Address: address}); !NotSent(err) {
		t.Errorf("given up before it was sent: %v", err)
	}
}
