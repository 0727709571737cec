package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesameswitch/sesameswitch/outcome"
	"github.com/sesameswitch/sesameswitch/processstatus"
)

// Times of the HTTP server towards callers.
const (
	readHeaderTimeout = 5 * time.Second
	readBodyTimeout   = 30 * time.Second
	idleTimeout       = 2 * time.Minute
	// maxHeaders bounds the headers of a request, in bytes. The HTTP server
	// itself cuts off a caller that sends more than maxHeaderBytes.
	maxHeaders     = 16 << 10
	maxHeaderBytes = 128 << 10
	// lameDuck is how long a draining entry still accepts requests, so that
	// the platform's balancer can take it out first.
	lameDuck = 3 * time.Second
)

// Daemon is an entry with its HTTP server.
type Daemon struct {
	entry    *Entry
	listener net.Listener
	server   *http.Server
	draining atomic.Bool
	shut     chan struct{}
	inFlight atomic.Int64
}

// NewDaemon returns the daemon that serves callers on the listener.
func NewDaemon(e *Entry, listener net.Listener) (*Daemon, error) {
	handler, err := e.Handler()
	if err != nil {
		return nil, err
	}
	slow := func() { e.meters.refused("", outcome.ReasonSlowRequest) }
	d := &Daemon{entry: e, listener: callerListener{Listener: listener, slow: slow}, shut: make(chan struct{})}
	d.server = &http.Server{
		Handler:           d.outer(handler),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readBodyTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnContext:       connContext,
	}
	return d, nil
}

// outer serves health checks and counts requests in flight.
func (d *Daemon) outer(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer enter(r)()
		if headersTooLarge(r.Header) {
			d.entry.meters.refused("", outcome.ReasonHeadersTooLarge)
			writeProblem(w, newID(), outcome.Refuse(outcome.ReasonHeadersTooLarge, "the headers are too large"))
			return
		}
		switch r.URL.Path {
		case "/healthz":
			w.WriteHeader(http.StatusOK)
		case "/readyz":
			d.readyz(w)
		default:
			d.inFlight.Add(1)
			defer d.inFlight.Add(-1)
			next.ServeHTTP(&takenWriter{ResponseWriter: w}, r)
		}
	})
}

func (d *Daemon) readyz(w http.ResponseWriter) {
	if d.draining.Load() || !d.entry.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Run serves callers until the context ends.
func (d *Daemon) Run(ctx context.Context) error {
	failed := make(chan error, 1)
	go func() { failed <- d.server.Serve(d.listener) }()
	duties := make(chan error, 1)
	go func() { duties <- d.entry.Run(ctx) }()
	select {
	case err := <-failed:
		if !errors.Is(err, http.ErrServerClosed) {
			return eris.Wrap(err, "entry: caller listener failed")
		}
		<-ctx.Done()
	case <-ctx.Done():
	}
	_ = d.server.Close() // the process ends
	return <-duties
}

// Ready reports whether callers can be served.
func (d *Daemon) Ready() bool { return d.entry.Ready() }

// Serve is called when the process is ready; the listener is open already.
func (d *Daemon) Serve() {}

// Drain fails the readiness check, goes on accepting for the lame duck time
// and then closes the listener; requests in flight are finished.
func (d *Daemon) Drain() {
	d.draining.Store(true)
	go func() {
		defer close(d.shut)
		time.Sleep(lameDuck)
		// Without a deadline Shutdown ends when the last request is answered.
		if err := d.server.Shutdown(context.Background()); err != nil {
			d.entry.deps.Log.WithError(err).Warn("callers were cut off")
		}
	}()
}

// Idle reports whether the last request in flight is answered.
func (d *Daemon) Idle() bool {
	select {
	case <-d.shut:
		return d.entry.streams.Load() == 0
	default:
		return false
	}
}

// Load is how busy the entry is.
func (d *Daemon) Load() processstatus.Load {
	return processstatus.Load{Running: int(d.inFlight.Load() + d.entry.streams.Load())}
}
