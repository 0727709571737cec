package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/sesameswitch/sesameswitch/internal/mutation"
	"github.com/sesameswitch/sesameswitch/processstatus"
)

// GuardDrain makes a draining process wait until it is idle. A test build can
// switch it off.
const GuardDrain mutation.Guard = "node.drain"

// runtimeMemoryShare is the memory limit of the Go runtime as a share of the memory of the
// process. The runtime's limit is soft: the garbage collector runs more often to stay below it.
const runtimeMemoryShare = 0.6

// pollInterval is how often the process checks whether it is ready, whether its VM
// is listed as leaving and, while draining, whether it is idle.
const pollInterval = 50 * time.Millisecond

// Daemon is the part of a process that depends on its role, such as an entry or
// an agent.
type Daemon interface {
	// Run runs the daemon until the context ends.
	Run(ctx context.Context) error
	// Ready reports whether the process can serve.
	Ready() bool
	// Serve is called once the process is ready.
	Serve()
	// Drain makes the process refuse new requests, at once or after a lame duck
	// period. Requests in flight continue.
	Drain()
	// Idle reports whether no request is in flight. It is called while draining.
	Idle() bool
	// Load returns the current load of the process.
	Load() processstatus.Load
}

// Run runs the process from start to stop. The process serves once it is ready
// and drains when a signal arrives or its VM is listed as leaving. Further
// signals have no effect: the drain continues until the process is idle or the
// drain timeout has passed. A signal before the process is ready stops it at
// once. Run writes the listening addresses to announce.
func (n *Node) Run(daemon Daemon, peers net.Listener, announce io.Writer) error {
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(runtimeMemoryShare * float64(n.Settings.MemoryBytes())))
	}
	if err := n.background.registerServices(n); err != nil {
		return err
	}
	ready := func() bool { return n.background.confirmed.Load() && daemon.Ready() }
	adminServer, adminListener, err := n.newAdminServer(daemon.Load, ready)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return ignoreClosed(adminServer.Serve(adminListener)) })
	group.Go(func() error { return ignoreClosed(n.PeerServer.Serve(peers)) })
	group.Go(func() error { return n.background.run(ctx) })
	group.Go(func() error {
		n.exportMetrics(ctx)
		return nil
	})
	group.Go(func() error { return daemon.Run(ctx) })
	group.Go(func() error {
		defer cancel()
		defer n.close(adminServer, peers)
		n.runLifecycle(ctx, daemon, ready, signals)
		return nil
	})
	fmt.Fprintf(announce, "listening peers=%s admin=%s\n", peers.Addr(), adminListener.Addr())
	return group.Wait()
}

// runLifecycle takes the process through the states of the process chart.
func (n *Node) runLifecycle(ctx context.Context, daemon Daemon, ready func() bool, signals <-chan os.Signal) {
	if !n.await(ctx, signals, ready) {
		n.fire("stop")
		return
	}
	daemon.Serve()
	n.fire("ready")
	n.await(ctx, signals, n.Members.SelfDraining)
	n.draining.Store(true)
	n.fire("drain")
	daemon.Drain()
	n.awaitIdle(ctx, daemon)
	n.fire("drained")
}

// await waits until the condition holds. It returns false when a signal arrives
// or the context ends first.
func (n *Node) await(ctx context.Context, signals <-chan os.Signal, condition func() bool) bool {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		if condition() {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-signals:
			return false
		case <-ticker.C:
		}
	}
}

// awaitIdle waits until the daemon is idle, the drain timeout has passed or the
// context ends.
func (n *Node) awaitIdle(ctx context.Context, daemon Daemon) {
	if mutation.Off(GuardDrain) {
		return
	}
	timeout := time.After(n.Settings.DrainTimeout)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !daemon.Idle() {
		select {
		case <-ctx.Done():
			return
		case <-timeout:
			n.Log.Warn("drain timeout reached with requests in flight; stopping")
			return
		case <-ticker.C:
		}
	}
}

// close closes all listeners and connections.
func (n *Node) close(adminServer *http.Server, peers net.Listener) {
	peers.Close()
	_ = adminServer.Close() // an error has no consequence, as the process stops
	n.PeerServer.Close()
	n.Peers.Close()
}

// ignoreClosed returns nil for the error of a listener or server that was
// closed on purpose, and wraps other errors.
func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return eris.Wrap(err, "node: listener failed")
}
