package netlimit

import (
	"net"
	"testing"
	"time"
)

// start returns a listener, and a function that opens a connection and returns both of its ends;
// the accepted end is nil if the listener closed it.
func start(t *testing.T, cfg Config) (*Listener, func() (dialled, accepted net.Conn)) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := NewListener(inner, cfg)
	t.Cleanup(func() { l.Close() })
	conns := make(chan net.Conn, 10)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns <- c
		}
	}()
	return l, func() (net.Conn, net.Conn) {
		t.Helper()
		dialled, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { dialled.Close() })
		if cfg.Busy != nil && openCount(l) == cfg.Max {
			return dialled, nil
		}
		return dialled, <-conns
	}
}

func openCount(l *Listener) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open.Len()
}

func closed(c net.Conn) bool {
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	_, err := c.Read(make([]byte, 1))
	timeout, ok := err.(net.Error) //nolint:errorlint // net.Conn returns deadline errors unwrapped
	return err != nil && (!ok || !timeout.Timeout())
}

func TestOldestConnectionIsReplaced(t *testing.T) {
	replaced := make(chan struct{}, 10)
	l, open := start(t, Config{Max: 2, OnClose: func() { replaced <- struct{}{} }})
	first, _ := open()
	_, second := open()
	second.Close()
	open() // takes the place that is free
	if len(replaced) != 0 {
		t.Fatal("a connection was replaced although there was room")
	}
	open()
	<-replaced
	if !closed(first) {
		t.Error("the connection that was opened first is still open")
	}
	if n := openCount(l); n != 2 {
		t.Errorf("%d open connections, want 2", n)
	}
}

func TestNewConnectionIsClosedIfAllAreBusy(t *testing.T) {
	_, open := start(t, Config{Max: 1, Busy: func(net.Conn) bool { return true }})
	open()
	if second, _ := open(); !closed(second) {
		t.Error("the new connection is open")
	}
}
