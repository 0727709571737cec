package peer

import (
	"context"
	"errors"
	"net"
	"runtime"
	"testing"
	"time"
)

// echoService is an RPC service whose method Wait signals entered and then
// blocks until release is closed.
type echoService struct {
	entered chan struct{}
	release chan struct{}
}

type Text struct{ Value string }

func (e *echoService) Echo(args Text, reply *Text) error {
	reply.Value = args.Value
	return nil
}

func (e *echoService) Wait(args Text, reply *Text) error {
	e.entered <- struct{}{}
	<-e.release
	reply.Value = args.Value
	return nil
}

// startServer serves an echoService on a local address.
func startServer(t *testing.T, cfg Config) (*echoService, string, *Server) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	service := &echoService{entered: make(chan struct{}, 1), release: make(chan struct{})}
	s := NewServer(cfg)
	if err := s.Register("Echo", service); err != nil {
		t.Fatal(err)
	}
	go s.Serve(l)
	t.Cleanup(func() { l.Close(); s.Close() })
	return service, l.Addr().String(), s
}

func TestCallReturnsReply(t *testing.T) {
	_, address, _ := startServer(t, DefaultConfig())
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

func TestLateReplyIsNotWritten(t *testing.T) {
	service, address, _ := startServer(t, DefaultConfig())
	p := NewPool(DefaultConfig())
	defer p.Close()
	ctx, cancel := context.WithCancel(context.Background())
	reply := Text{"before"}
	done := make(chan error)
	go func() { done <- p.Call(ctx, address, "Echo.Wait", Text{"late"}, &reply) }()
	<-service.entered
	cancel()
	if err := <-done; !errors.Is(err, context.Canceled) {
		t.Fatalf("error %v, want context.Canceled", err)
	}
	close(service.release)
	var second Text
	if err := p.Call(context.Background(), address, "Echo.Echo", Text{"b"}, &second); err != nil {
		t.Fatal(err)
	}
	if reply.Value != "before" || second.Value != "b" {
		t.Fatalf("replies %q and %q, want before and b", reply.Value, second.Value)
	}
}

func TestCallToUnresponsivePeerIsNotSent(t *testing.T) {
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
		t.Fatalf("error %v, want ErrNotSent", err)
	}
}

func TestLostConnectionIsReplaced(t *testing.T) {
	service, address, s := startServer(t, DefaultConfig())
	p := NewPool(DefaultConfig())
	defer p.Close()
	done := make(chan error)
	var reply Text
	go func() { done <- p.Call(context.Background(), address, "Echo.Wait", Text{"x"}, &reply) }()
	<-service.entered
	s.closeConns()
	if err := <-done; err == nil {
		t.Fatal("call on a lost connection succeeded, want an error")
	}
	close(service.release)
	if err := p.Call(context.Background(), address, "Echo.Echo", Text{"y"}, &reply); err != nil || reply.Value != "y" {
		t.Fatalf("call after a lost connection: error %v, reply %q, want reply y", err, reply.Value)
	}
}

// closeConns closes the accepted connections and keeps the server open.
func (s *Server) closeConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Close()
	}
}

func TestIdleConnectionIsClosedAndReplaced(t *testing.T) {
	cfg := DefaultConfig()
	cfg.HeartbeatInterval = time.Millisecond
	cfg.IdleTimeout = time.Nanosecond
	_, address, server := startServer(t, cfg)
	p := NewPool(cfg)
	defer p.Close()
	for range 3 {
		var reply Text
		if err := p.Call(context.Background(), address, "Echo.Echo", Text{"a"}, &reply); err != nil {
			t.Fatal(err)
		}
		for openConns(server) > 0 {
			runtime.Gosched()
		}
	}
}

func TestConnectionWithActiveCallIsNotIdle(t *testing.T) {
	cfg := DefaultConfig()
	cfg.HeartbeatInterval = time.Millisecond
	cfg.IdleTimeout = time.Nanosecond
	service, address, _ := startServer(t, cfg)
	p := NewPool(cfg)
	defer p.Close()
	done := make(chan error, 1)
	go func() { done <- p.Call(context.Background(), address, "Echo.Wait", Text{"a"}, &Text{}) }()
	<-service.entered
	e, err := p.endpoint(address)
	if err != nil {
		t.Fatal(err)
	}
	client, err := e.openClient()
	if err != nil || e.closeIfIdle(client) {
		t.Fatalf("connection with an active call was closed as idle, or is not open: error %v", err)
	}
	close(service.release)
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

// openConns returns the number of open connections of the server.
func openConns(s *Server) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

func TestSilenceCountsFromEarlierOfReadAndWrite(t *testing.T) {
	c := &conn{}
	now := time.Now()
	c.lastReadAt.Store(now.UnixNano())
	c.lastWriteAt.Store(now.Add(-time.Hour).UnixNano())
	if silent := c.silentFor(); silent < time.Hour {
		t.Fatalf("silent for %v, want at least an hour: nothing was written for an hour", silent)
	}
	c.lastReadAt.Store(now.Add(-time.Hour).UnixNano())
	c.lastWriteAt.Store(now.UnixNano())
	if silent := c.silentFor(); silent < time.Hour {
		t.Fatalf("silent for %v, want at least an hour: nothing was read for an hour", silent)
	}
}
