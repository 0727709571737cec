package node

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/sirupsen/logrus"

	"github.com/sesameswitch/sesameswitch/processstatus"
	"github.com/sesameswitch/sesameswitch/provider"
)

// role is a daemon whose readiness and idleness the test decides.
type role struct {
	ready, idle atomic.Bool
	served      chan struct{}
	drained     chan struct{}
}

func newRole() *role {
	return &role{served: make(chan struct{}), drained: make(chan struct{})}
}

func (r *role) Run(ctx context.Context) error { <-ctx.Done(); return nil }
func (r *role) Ready() bool                   { return r.ready.Load() }
func (r *role) Serve()                        { close(r.served) }
func (r *role) Drain()                        { close(r.drained) }
func (r *role) Idle() bool                    { return r.idle.Load() }
func (r *role) Load() processstatus.Load      { return processstatus.Load{} }

// start runs a node until its life is over.
func start(t *testing.T, r *role) (*Node, <-chan error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := Settings{
		VM: "vm-1", DataCentre: "dc-1", AdminListen: "127.0.0.1:0", DrainTimeout: 1 << 40,
		ConfigURL: "http://127.0.0.1:1", VMListURL: "http://127.0.0.1:1", TimelineEvents: 64,
	}
	n := New(s, Identity{Role: provider.RoleAgent, Incarnation: "life-1", Address: l.Addr().String()}, log)
	ended := make(chan error, 1)
	listening, announce := io.Pipe()
	go func() { ended <- n.Run(r, l, announce) }()
	if _, err := listening.Read(make([]byte, 256)); err != nil {
		t.Fatal(err)
	}
	return n, ended
}

func terminate(t *testing.T) {
	t.Helper()
	if err := syscall.Kill(syscall.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
}

func TestSignalDuringStartStops(t *testing.T) {
	r := newRole()
	n, ended := start(t, r)
	terminate(t)
	if err := <-ended; err != nil || n.State() != "stopped" {
		t.Fatalf("ended with %v in state %s", err, n.State())
	}
	select {
	case <-r.served:
		t.Fatal("the process served")
	default:
	}
}

func TestSecondSignalCutsNothing(t *testing.T) {
	r := newRole()
	r.ready.Store(true)
	n, ended := start(t, r)
	n.duties.confirmed.Store(true)
	<-r.served
	terminate(t)
	<-r.drained
	for range 3 {
		terminate(t)
	}
	select {
	case err := <-ended:
		t.Fatalf("the process ended with work in flight: %v", err)
	default:
	}
	if n.State() != "draining" {
		t.Fatalf("state %s, want draining", n.State())
	}
	r.idle.Store(true)
	if err := <-ended; err != nil || n.State() != "stopped" {
		t.Fatalf("ended with %v in state %s", err, n.State())
	}
}
