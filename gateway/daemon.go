package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/sesameswitch/sesameswitch/clock"
	"github.com/sesameswitch/sesameswitch/deployment"
	"github.com/sesameswitch/sesameswitch/directory"
	"github.com/sesameswitch/sesameswitch/ingress"
	"github.com/sesameswitch/sesameswitch/routes"
	"github.com/sesameswitch/sesameswitch/routing"
	"github.com/sesameswitch/sesameswitch/telemetry"
	"github.com/sesameswitch/sesameswitch/upstream"
)

const (
	// settingsInterval is how often the settings file is looked at, as it may
	// change without a signal.
	settingsInterval = time.Second
	// sweepPoolInterval is how often unused connections are looked at.
	sweepPoolInterval = 2 * time.Second
	// drainPoll is how often a draining process looks whether it is idle.
	drainPoll = 50 * time.Millisecond
	// leaveRetryAfter is when a caller that was refused by a process about to
	// end should ask another one: at once.
	leaveRetryAfter = 20 * time.Millisecond
	// readyTimeout bounds a readiness check's exchange.
	readyTimeout = 2 * time.Second
)

// defaultLimits hold until there is a configuration.
var defaultLimits = ingress.Limits{
	HeaderBytes: 16 << 10, BodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second,
}

// Platform is what a daemon needs of the platform it runs on.
type Platform struct {
	Codec Codec
	// NewStore returns a client of the store at the address.
	NewStore func(address func() string) Store
	// ReadSettings returns the settings when they have changed, otherwise nil.
	ReadSettings func() (*deployment.Settings, error)
}

// Options are the daemon's own settings.
type Options struct {
	// MetricsAddress serves counters and histograms; empty is none.
	MetricsAddress string
	Seed           uint64
	// Policy chooses backend servers; empty is the estimated cost.
	Policy routing.Policy
	// Elapsed replaces the clock that ages are taken from, in tests; nil is the
	// boot clock.
	Elapsed clock.Elapsed
}

// Daemon is one process.
type Daemon struct {
	platform Platform
	options  Options
	settings atomic.Pointer[deployment.Settings]
	log      *logrus.Entry
	metrics  *telemetry.Metrics
	view     *View
	dir      *directory.Directory
	pool     *upstream.Pool
	server   *Server
	ingress  *ingress.Server
	peers    *Peers
	life     *life
	// reloading keeps a signal and the regular look at the settings apart.
	reloading sync.Mutex
	// callers and readiness are open after Listen.
	callers, readiness net.Listener
}

// NewDaemon reads the settings and joins the parts.
func NewDaemon(p Platform, o Options, log *logrus.Logger) (*Daemon, error) {
	settings, err := p.ReadSettings()
	if err != nil {
		return nil, err
	}
	d := &Daemon{platform: p, options: o, metrics: telemetry.New(), dir: directory.New()}
	d.settings.Store(settings)
	d.log = log.WithField("vm", settings.VM)
	d.life = newLife(func(state string) {
		d.log.WithFields(logrus.Fields{"event": "process_state", "state": state}).Info("process state")
	})
	placer := routing.NewScheduler(settings.DataCentre)
	placer.SetPolicy(o.Policy)
	elapsed := o.Elapsed
	if elapsed == nil {
		elapsed = clock.SinceBoot
	}
	store := p.NewStore(func() string { return d.settings.Load().StoreAddress })
	d.view = NewView(store, d.dir, elapsed, d.log, placer.RemoveServer, func(t *routes.Table) { placer.SetEventGapTargets(pauseGoals(t)) })
	dialed := d.metrics.Counter("sesame_gateway_connections_opened_total")
	d.pool = upstream.New(upstream.Config{OnDial: func(string) { dialed.Inc(1) }})
	steady := clock.New()
	d.peers = NewPeers(settings, placer, steady, d.log)
	d.server = NewServer(Dependencies{
		Codec: p.Codec, View: d.view, Directory: d.dir, Scheduler: placer, Pool: d.pool, Gateways: d.peers,
		Clock: steady, Metrics: d.metrics, Log: d.log, Settings: d.settings.Load, Seed: o.Seed,
	})
	d.ingress = ingress.New(ingress.Config{
		Handle: d.handle, Limits: d.limits, CloseAfterResponse: d.closing, OnRefusal: d.refusedAtIngress,
	})
	return d, nil
}

// closing reports whether callers should close their connections.
func (d *Daemon) closing() bool {
	state := d.life.state()
	return state != stateStarting && state != stateServing
}

// handle serves a request, or refuses it when the process is about to end.
func (d *Daemon) handle(ctx context.Context, in *ingress.Request, out *ingress.ResponseWriter) {
	if state := d.life.state(); state == stateRefusing || state == stateStopped {
		d.server.Refuse(in, out, "process_ends", leaveRetryAfter)
		return
	}
	d.server.Handle(ctx, in, out)
}

// pauseGoals returns the longest pauses of each service's streams by route.
func pauseGoals(t *routes.Table) map[string]map[string]time.Duration {
	goals := make(map[string]map[string]time.Duration)
	for name, r := range t.Routes() {
		for _, target := range r.Targets {
			if r.MaxEventGap > 0 && t.Service(target.Service).Engine != nil {
				if goals[target.Service] == nil {
					goals[target.Service] = make(map[string]time.Duration)
				}
				goals[target.Service][name] = r.MaxEventGap
			}
		}
	}
	return goals
}

// refusedAtIngress notes a request that could not be read.
func (d *Daemon) refusedAtIngress(r ingress.Refusal) {
	d.log.WithFields(logrus.Fields{"event": "request_refused", "status": r.Status, "reason": r.Reason}).Info("request refused before it was read")
	d.server.meters.refused("", "unreadable")
}

// limits returns the limits in force for callers.
func (d *Daemon) limits() ingress.Limits {
	table := d.view.Table()
	if table == nil {
		return defaultLimits
	}
	return limitsOf(table.Limits)
}

func limitsOf(l routes.Limits) ingress.Limits {
	return ingress.Limits{HeaderBytes: l.HeaderBytes, BodyBytes: l.BodyBytes, HeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout}
}

// NotifySignals begins to take the signals of the process. A program calls it before
// anything else: a signal that comes earlier ends the process.
func NotifySignals() <-chan os.Signal {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	return signals
}

// Run serves until the process is asked to end by SIGTERM; SIGHUP reads the
// settings again.
// Run serves until the process is asked to end by SIGTERM; SIGHUP reads the
// settings again.
func (d *Daemon) Run(signals <-chan os.Signal) error {
	if err := d.Listen(); err != nil {
		return err
	}
	return d.Serve(context.Background(), signals)
}

// Listen opens the addresses of the settings.
func (d *Daemon) Listen() error {
	settings := d.settings.Load()
	callers, err := net.Listen("tcp", settings.CallerAddress)
	if err != nil {
		return eris.Wrap(err, "gateway: caller listener")
	}
	readiness, err := net.Listen("tcp", settings.ReadyAddress)
	if err != nil {
		callers.Close()
		return eris.Wrap(err, "gateway: readiness listener")
	}
	d.callers, d.readiness = callers, readiness
	return nil
}

// CallerAddress is where callers connect to, after Listen.
func (d *Daemon) CallerAddress() string { return d.callers.Addr().String() }

// ReadyAddress answers readiness checks, after Listen.
func (d *Daemon) ReadyAddress() string { return d.readiness.Addr().String() }

// Serve serves on the open addresses until a signal other than SIGHUP comes and
// the process has drained, or at once until the context ends.
func (d *Daemon) Serve(ctx context.Context, signals <-chan os.Signal) error {
	settings := d.settings.Load()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	d.startDuties(ctx, group)
	group.Go(func() error { return d.ingress.Serve(d.callers) })
	ready := &http.Server{Handler: http.HandlerFunc(d.readyz), ReadTimeout: readyTimeout, WriteTimeout: readyTimeout}
	group.Go(func() error { return served(ready.Serve(d.readiness)) })
	group.Go(func() error { return d.serveMetrics(ctx) })
	group.Go(func() error {
		defer cancel()
		d.live(ctx, signals)
		d.callers.Close()
		d.ingress.Close()
		_ = ready.Close() // the process ends
		return nil
	})
	d.log.WithFields(logrus.Fields{"event": "started", "data_centre": settings.DataCentre, "callers": settings.CallerAddress, "store": settings.StoreAddress}).Info("started")
	err := group.Wait()
	d.log.WithFields(logrus.Fields{"event": "stopped", "in_flight": d.ingress.InFlight()}).Info("stopped")
	return err
}

// startDuties runs the duties that go on in the background.
func (d *Daemon) startDuties(ctx context.Context, group *errgroup.Group) {
	for _, duty := range []func(context.Context){
		d.view.Run, d.view.Sweep, d.peers.Run, d.sweepPool, d.followSettings,
	} {
		group.Go(func() error {
			duty(ctx)
			return nil
		})
	}
}

// served leaves out the error of a server that was closed on purpose.
func served(err error) error {
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return eris.Wrap(err, "gateway: listener failed")
}

// readyz answers the balancer.
func (d *Daemon) readyz(w http.ResponseWriter, _ *http.Request) {
	if !d.server.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	d.life.ready()
	if d.life.state() != stateServing {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// serveMetrics serves the instruments.
func (d *Daemon) serveMetrics(ctx context.Context) error {
	if d.options.MetricsAddress == "" {
		return nil
	}
	server := &http.Server{Addr: d.options.MetricsAddress, Handler: d.metrics.Handler(), ReadTimeout: readyTimeout, WriteTimeout: readyTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	return served(server.ListenAndServe())
}

// sweepPool closes connections that are not used any more.
func (d *Daemon) sweepPool(ctx context.Context) {
	clock.Every(ctx, sweepPoolInterval, func() { d.pool.Sweep(func(string) bool { return true }) })
}

// followSettings takes in settings that change without a signal.
func (d *Daemon) followSettings(ctx context.Context) {
	clock.Every(ctx, settingsInterval, d.reload)
}

// reload takes in changed settings as a whole; faulty ones are refused and the
// last good ones stay in force.
func (d *Daemon) reload() {
	d.reloading.Lock()
	defer d.reloading.Unlock()
	settings, err := d.platform.ReadSettings()
	switch {
	case err != nil:
		d.log.WithError(err).WithField("event", "settings_refused").Error("the settings stay as they were")
	case settings != nil:
		d.settings.Store(settings)
		d.peers.SetSeeds(settings.Seeds)
		d.log.WithFields(logrus.Fields{"event": "settings_reloaded", "store": settings.StoreAddress}).Info("settings in force")
	}
}

// live goes through the process's life: it serves, and on SIGTERM drains.
func (d *Daemon) live(ctx context.Context, signals <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-signals:
			d.log.WithFields(logrus.Fields{"event": "signal", "signal": s.String()}).Info("signal")
			if s == syscall.SIGHUP {
				d.reload()
				continue
			}
			d.drain(ctx)
			return
		}
	}
}

// drain ends the process as its chart says.
func (d *Daemon) drain(ctx context.Context) {
	grace := d.settings.Load().Bounds.TerminationGrace
	d.life.drain(d.server.deps.Clock.Now(), grace)
	d.log.WithFields(logrus.Fields{"event": "draining", "in_flight": d.ingress.InFlight(), "connections": d.ingress.Connections(), "grace_ms": grace.Milliseconds()}).Info("draining")
	for ctx.Err() == nil && d.life.state() != stateStopped {
		d.life.advance(d.server.deps.Clock.Now(), d.ingress.InFlight())
		if d.life.state() == stateRefusing {
			d.ingress.CloseIdle()
		}
		clock.Sleep(ctx, drainPoll)
	}
}

// MemoryLimitBytes is the memory that the process may use.
func (d *Daemon) MemoryLimitBytes() int64 { return d.settings.Load().Limits.MemoryBytes }
