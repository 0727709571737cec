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
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/sesameswitch/sesameswitch/internal/mutation"
	"github.com/sesameswitch/sesameswitch/processstatus"
)

// GuardDrain keeps a process that was asked to end alive until it is idle. A
// test build can switch it off.
const GuardDrain mutation.Guard = "node.drain"

// drainPoll is how often a draining process looks whether it is idle.
const drainPoll = 50 * time.Millisecond

// Daemon is what each kind of process adds to the parts that every process has.
type Daemon interface {
	// Run carries out the daemon's duties until the context ends.
	Run(ctx context.Context) error
	// Ready reports whether the process can serve.
	Ready() bool
	// Serve is called once the process is ready.
	Serve()
	// Drain makes the process refuse new work; work in flight goes on.
	Drain()
	// Idle reports whether nothing is in flight. It is asked while draining.
	Idle() bool
	// Load is how busy the process is.
	Load() processstatus.Load
}

// Run lives the process's life: it starts, serves, drains when a signal or
// the platform asks for it, and stops. A second signal changes nothing: the
// drain goes on until the process is idle or the drain timeout ends.
func (n *Node) Run(role Daemon, peers net.Listener, announce io.Writer) error {
	if err := n.duties.register(n); err != nil {
		return err
	}
	ready := func() bool { return n.duties.confirmed.Load() && role.Ready() }
	server, admin, err := n.serveAdmin(role.Load, ready)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return closed(server.Serve(admin)) })
	group.Go(func() error { return closed(n.PeerServer.Serve(peers)) })
	group.Go(func() error { return n.duties.run(ctx) })
	group.Go(func() error {
		n.showCounts(ctx)
		return nil
	})
	group.Go(func() error { return role.Run(ctx) })
	group.Go(func() error {
		defer cancel()
		defer n.close(server, peers)
		n.live(ctx, role, ready, signals)
		return nil
	})
	fmt.Fprintf(announce, "listening peers=%s admin=%s\n", peers.Addr(), admin.Addr())
	return group.Wait()
}

// live goes through the states of the process.
func (n *Node) live(ctx context.Context, role Daemon, ready func() bool, signals <-chan os.Signal) {
	if !n.await(ctx, signals, ready) {
		n.fire("stop")
		return
	}
	role.Serve()
	n.fire("ready")
	n.await(ctx, signals, n.Members.SelfDraining)
	n.draining.Store(true)
	n.fire("drain")
	role.Drain()
	n.awaitIdle(ctx, role)
	n.fire("drained")
}

// await waits until the condition holds. It returns false when a signal or
// the end of the context comes first.
func (n *Node) await(ctx context.Context, signals <-chan os.Signal, condition func() bool) bool {
	ticker := time.NewTicker(drainPoll)
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

func (n *Node) awaitIdle(ctx context.Context, role Daemon) {
	if mutation.Off(GuardDrain) {
		return
	}
	limit := time.After(n.Settings.DrainTimeout)
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for !role.Idle() {
		select {
		case <-ctx.Done():
			return
		case <-limit:
			n.Log.Warn("drain timeout reached with work in flight")
			return
		case <-ticker.C:
		}
	}
}

func (n *Node) close(admin *http.Server, peers net.Listener) {
	peers.Close()
	_ = admin.Close() // the process ends
	n.PeerServer.Close()
	n.Peers.Close()
}

// closed leaves out the error of a listener that was closed on purpose.
func closed(err error) error {
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return eris.Wrap(err, "node: listener failed")
}
