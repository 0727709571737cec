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

// fakeDaemon is a daemon whose readiness and idleness are set by the test.
type fakeDaemon struct {
	ready, idle    atomic.Bool
	serveRequested chan struct{} // closed by Serve
	drainRequested chan struct{} // closed by Drain
}

func newFakeDaemon() *fakeDaemon {
	return &fakeDaemon{serveRequested: make(chan struct{}), drainRequested: make(chan struct{})}
}

func (d *fakeDaemon) Run(ctx context.Context) error { <-ctx.Done(); return nil }
func (d *fakeDaemon) Ready() bool                   { return d.ready.Load() }
func (d *fakeDaemon) Serve()                        { close(d.serveRequested) }
func (d *fakeDaemon) Drain()                        { close(d.drainRequested) }
func (d *fakeDaemon) Idle() bool                    { return d.idle.Load() }
func (d *fakeDaemon) Load() processstatus.Load      { return processstatus.Load{} }

// start runs a node with the daemon and waits until the node listens. The channel
// receives the result of Run.
func start(t *testing.T, d *fakeDaemon) (*Node, <-chan error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := Settings{
		VM: "vm-1", DataCentre: "dc-1", AdminListen: "127.0.0.1:0", DrainTimeout: 1 << 40, // 18 minutes, longer than any test
		ConfigURL: "http://127.0.0.1:1", VMListURL: "http://127.0.0.1:1", TimelineEvents: 64,
	}
	n := New(s, Identity{Role: provider.RoleAgent, Incarnation: "life-1", Address: listener.Addr().String()}, log)
	stopped := make(chan error, 1)
	announced, announce := io.Pipe()
	go func() { stopped <- n.Run(d, listener, announce) }()
	if _, err := announced.Read(make([]byte, 256)); err != nil {
		t.Fatal(err)
	}
	return n, stopped
}

// terminate sends SIGTERM to the test process, which the node handles.
func terminate(t *testing.T) {
	t.Helper()
	if err := syscall.Kill(syscall.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
}

func TestSignalDuringStartStopsProcess(t *testing.T) {
	d := newFakeDaemon()
	n, stopped := start(t, d)
	terminate(t)
	if err := <-stopped; err != nil || n.State() != "stopped" {
		t.Fatalf("got error %v in state %s, want nil in state stopped", err, n.State())
	}
	select {
	case <-d.serveRequested:
		t.Fatal("the process served after a signal during its start")
	default:
	}
}

func TestFurtherSignalsDoNotInterruptDrain(t *testing.T) {
	d := newFakeDaemon()
	d.ready.Store(true)
	n, stopped := start(t, d)
	n.background.confirmed.Store(true)
	<-d.serveRequested
	terminate(t)
	<-d.drainRequested
	for range 3 {
		terminate(t)
	}
	select {
	case err := <-stopped:
		t.Fatalf("the process stopped with requests in flight: %v", err)
	default:
	}
	if n.State() != "draining" {
		t.Fatalf("got state %s, want draining", n.State())
	}
	d.idle.Store(true)
	if err := <-stopped; err != nil || n.State() != "stopped" {
		t.Fatalf("got error %v in state %s, want nil in state stopped", err, n.State())
	}
}
