package peer

import (
	"context"
	"errors"
	"net"
	"runtime"
	"testing"
	"time"
)

type echo struct {
	entered chan struct{}
	release chan struct{}
}

type Text struct{ Value string }

func (e *echo) Echo(args Text, reply *Text) error {
	reply.Value = args.Value
	return nil
}

func (e *echo) Wait(args Text, reply *Text) error {
	e.entered <- struct{}{}
	<-e.release
	reply.Value = args.Value
	return nil
}

func start(t *testing.T, cfg Config) (*echo, string, *Server) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &echo{entered: make(chan struct{}, 1), release: make(chan struct{})}
	s := NewServer(cfg)
	if err := s.Register("Echo", e); err != nil {
		t.Fatal(err)
	}
	go s.Serve(l)
	t.Cleanup(func() { l.Close(); s.Close() })
	return e, l.Addr().String(), s
}

func TestCallAnswers(t *testing.T) {
	_, address, _ := start(t, DefaultConfig())
	p := NewPool(DefaultConfig())
	defer p.Close()
	var reply Text
	if err := p.Call(context.Background(), address, "Echo.Echo", Text{"a"}, &reply); err != nil {
		t.Fatal(err)
	}
	if reply.Value != "a" {
		t.Fatalf("reply %q, want a", reply.Value)
	}
}

func TestLateAnswerLeavesReplyUntouched(t *testing.T) {
	e, address, _ := start(t, DefaultConfig())
	p := NewPool(DefaultConfig())
	defer p.Close()
	ctx, cancel := context.WithCancel(context.Background())
	reply := Text{"before"}
	done := make(chan error)
	go func() { done <- p.Call(ctx, address, "Echo.Wait", Text{"late"}, &reply) }()
	<-e.entered
	cancel()
	if err := <-done; !errors.Is(err, context.Canceled) {
		t.Fatalf("error %v, want cancelled", err)
	}
	close(e.release)
	var second Text
	if err := p.Call(context.Background(), address, "Echo.Echo", Text{"b"}, &second); err != nil {
		t.Fatal(err)
	}
	if reply.Value != "before" || second.Value != "b" {
		t.Fatalf("replies %q and %q, want before and b", reply.Value, second.Value)
	}
}

func TestSilentPeerIsNotSentTo(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	cfg := DefaultConfig()
	cfg.DialTimeout = 20 * time.Millisecond
	p := NewPool(cfg)
	defer p.Close()
	var reply Text
	err = p.Call(context.Background(), l.Addr().String(), "Echo.Echo", Text{"a"}, &reply)
	if !NotSent(err) {
		t.Fatalf("error %v, want a call that was not sent", err)
	}
}

func TestLostConnectionIsReplaced(t *testing.T) {
	e, address, s := start(t, DefaultConfig())
	p := NewPool(DefaultConfig())
	defer p.Close()
	done := make(chan error)
	var reply Text
	go func() { done <- p.Call(context.Background(), address, "Echo.Wait", Text{"x"}, &reply) }()
	<-e.entered
	s.dropAll()
	if err := <-done; err == nil {
		t.Fatal("a call on a lost connection succeeded")
	}
	close(e.release)
	if err := p.Call(context.Background(), address, "Echo.Echo", Text{"y"}, &reply); err != nil || reply.Value != "y" {
		t.Fatalf("the connection was not replaced: %v, %q", err, reply.Value)
	}
}

func (s *Server) dropAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Close()
	}
}

func TestUnusedConnectionIsClosedAndReplaced(t *testing.T) {
	cfg := DefaultConfig()
	cfg.HeartbeatInterval = time.Millisecond
	cfg.IdleTimeout = time.Nanosecond
	_, address, server := start(t, cfg)
	p := NewPool(cfg)
	defer p.Close()
	for range 3 {
		var reply Text
		if err := p.Call(context.Background(), address, "Echo.Echo", Text{"a"}, &reply); err != nil {
			t.Fatal(err)
		}
		for open(server) > 0 {
			runtime.Gosched()
		}
	}
}

func TestConnectionWithACallUnderWayIsKept(t *testing.T) {
	cfg := DefaultConfig()
	cfg.HeartbeatInterval = time.Millisecond
	cfg.IdleTimeout = time.Nanosecond
	e, address, _ := start(t, cfg)
	p := NewPool(cfg)
	defer p.Close()
	done := make(chan error, 1)
	go func() { done <- p.Call(context.Background(), address, "Echo.Wait", Text{"a"}, &Text{}) }()
	<-e.entered
	l, err := p.link(address)
	if err != nil {
		t.Fatal(err)
	}
	client, err := l.present()
	if err != nil || l.retire(client) {
		t.Fatalf("retired with a call under way, %v", err)
	}
	close(e.release)
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

// open returns how many connections the server holds.
func open(s *Server) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

func TestHeartbeatOnlyAfterSilence(t *testing.T) {
	c := &conn{}
	now := time.Now()
	c.readAt.Store(now.UnixNano())
	c.wroteAt.Store(now.Add(-time.Hour).UnixNano())
	if quiet := c.quietFor(); quiet < time.Hour {
		t.Fatalf("quiet for %v though nothing was written for an hour", quiet)
	}
	c.readAt.Store(now.Add(-time.Hour).UnixNano())
	c.wroteAt.Store(now.UnixNano())
	if quiet := c.quietFor(); quiet < time.Hour {
		t.Fatalf("quiet for %v though nothing was read for an hour", quiet)
	}
}
