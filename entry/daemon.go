package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesameswitch/sesameswitch/internal/netlimit"
	"github.com/sesameswitch/sesameswitch/outcome"
	"github.com/sesameswitch/sesameswitch/processstatus"
)

// Timeouts and limits of the HTTP server for callers.
const (
	readHeaderTimeout = 5 * time.Second
	readBodyTimeout   = 30 * time.Second
	idleTimeout       = 2 * time.Minute
	// maxRequestHeaderBytes bounds the headers of a request. A caller that
	// exceeds it gets a problem document. Beyond maxServerHeaderBytes, the HTTP
	// server stops reading the request, and no handler runs.
	maxRequestHeaderBytes = 16 << 10
	maxServerHeaderBytes  = 32 << 10
	// lameDuckPeriod is how long a draining entry still accepts requests, so
	// that the platform's load balancer can remove it first.
	lameDuckPeriod = 3 * time.Second
)

// Daemon is an entry with its HTTP server.
type Daemon struct {
	entry    *Entry
	listener net.Listener
	server   *http.Server
	draining atomic.Bool
	// shutdownDone is closed when the HTTP server has shut down after Drain.
	shutdownDone chan struct{}
	// inFlight counts the requests in handlers, without health checks and
	// hijacked streams.
	inFlight atomic.Int64
}

// NewDaemon returns the daemon that serves callers on the listener.
func NewDaemon(e *Entry, listener net.Listener) (*Daemon, error) {
	handler, err := e.Handler()
	if err != nil {
		return nil, err
	}
	onSlowHeaders := func() { e.metrics.countRefusal("", outcome.ReasonSlowRequest) }
	d := &Daemon{entry: e, listener: callerListener{Listener: listener, onSlowHeaders: onSlowHeaders}, shutdownDone: make(chan struct{})}
	if limit := e.cfg.maxConnections(); limit > 0 {
		closed := e.deps.Metrics.Counter("sesame_entry_connections_closed_total")
		d.listener = netlimit.NewListener(d.listener, netlimit.Config{Max: limit, Busy: occupied, OnClose: func() { closed.Inc(1) }})
	}
	d.server = &http.Server{
		Handler:           d.wrapHandler(handler),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readBodyTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxServerHeaderBytes,
		ConnContext:       connContext,
	}
	return d, nil
}

// wrapHandler adds to a handler the limit on the size of the headers, the health
// checks and the count of requests in flight.
func (d *Daemon) wrapHandler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer markHandlerRunning(r)()
		if headersTooLarge(r.Header) {
			d.entry.metrics.countRefusal("", outcome.ReasonHeadersTooLarge)
			writeProblem(w, newID(), outcome.Refuse(outcome.ReasonHeadersTooLarge, "the headers are too large"))
			return
		}
		switch r.URL.Path {
		case "/healthz":
			w.WriteHeader(http.StatusOK)
		case "/readyz":
			d.serveReadiness(w)
		default:
			d.inFlight.Add(1)
			defer d.inFlight.Add(-1)
			next.ServeHTTP(&hijackableWriter{ResponseWriter: w}, r)
		}
	})
}

func (d *Daemon) serveReadiness(w http.ResponseWriter) {
	if d.draining.Load() || !d.entry.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Run serves callers until the context ends.
func (d *Daemon) Run(ctx context.Context) error {
	serverErr := make(chan error, 1)
	go func() { serverErr <- d.server.Serve(d.listener) }()
	entryErr := make(chan error, 1)
	go func() { entryErr <- d.entry.Run(ctx) }()
	select {
	case err := <-serverErr:
		if !errors.Is(err, http.ErrServerClosed) {
			return eris.Wrap(err, "entry: caller listener failed")
		}
		<-ctx.Done() // the server is draining
	case <-ctx.Done():
	}
	_ = d.server.Close() // the process ends in any case
	return <-entryErr
}

// Ready reports whether the entry can serve callers.
func (d *Daemon) Ready() bool { return d.entry.Ready() }

// Serve does nothing: the listener is open before the process is ready.
func (d *Daemon) Serve() {}

// Drain makes the readiness check fail, accepts requests for the lame duck
// period and then closes the listener. Requests in flight are completed.
func (d *Daemon) Drain() {
	d.draining.Store(true)
	go func() {
		defer close(d.shutdownDone)
		time.Sleep(lameDuckPeriod)
		// Without a deadline, Shutdown returns after the last response.
		if err := d.server.Shutdown(context.Background()); err != nil {
			d.entry.deps.Log.WithError(err).Warn("HTTP server shutdown failed; connections to callers were closed")
		}
	}()
}

// Idle reports whether a draining entry has completed its last request.
func (d *Daemon) Idle() bool {
	select {
	case <-d.shutdownDone:
		return d.entry.hijackedStreams.Load() == 0
	default:
		return false
	}
}

// Load returns the number of requests and streams in flight.
func (d *Daemon) Load() processstatus.Load {
	return processstatus.Load{Running: int(d.inFlight.Load() + d.entry.hijackedStreams.Load())}
}
