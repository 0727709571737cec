package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"slices"
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
	"github.com/sesameswitch/sesameswitch/internal/netlimit"
	"github.com/sesameswitch/sesameswitch/membudget"
	"github.com/sesameswitch/sesameswitch/routes"
	"github.com/sesameswitch/sesameswitch/routing"
	"github.com/sesameswitch/sesameswitch/storeera"
	"github.com/sesameswitch/sesameswitch/telemetry"
	"github.com/sesameswitch/sesameswitch/upstream"
)

const (
	// settingsInterval is the polling interval of the settings file, which may
	// change without a signal.
	settingsInterval = time.Second
	// sweepPoolInterval is how often idle connections are checked.
	sweepPoolInterval = 2 * time.Second
	// drainPollInterval is how often a draining process checks whether it is
	// idle.
	drainPollInterval = 50 * time.Millisecond
	// stoppingRetryAfter is the retry delay sent by a process that is about to
	// stop. It is short because another gateway can serve the caller immediately.
	stoppingRetryAfter = 20 * time.Millisecond
	// firstRequestTime is how long a process that stops waits for the first requests on
	// connections that it has accepted. It is a part of exitMargin.
	firstRequestTime = 200 * time.Millisecond
	// httpTimeout limits reading a request for readiness or metrics, and writing
	// the response.
	httpTimeout = 2 * time.Second
)

// defaultLimits apply until a configuration is active.
var defaultLimits = ingress.Limits{
	HeaderBytes: 16 << 10, BodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second,
}

// Platform gives a daemon access to the platform on which it runs.
type Platform struct {
	Codec Codec
	// NewStore returns a client of the store. The client calls address before
	// each request, because new settings may change it.
	NewStore func(address func() string) Store
	// ReadSettings returns the settings at the first call, and afterwards only
	// if they have changed since the last call; otherwise nil.
	ReadSettings func() (*deployment.Settings, error)
}

// Options are the daemon's own settings.
type Options struct {
	// MetricsAddress is the listen address for counters and histograms; if it is
	// empty, they are not served.
	MetricsAddress string
	// Seed is the seed of the random jitter of retry delays.
	Seed uint64
	// Policy determines how backend servers are chosen; the empty policy
	// chooses by estimated cost.
	Policy routing.Policy
	// OriginHolders states that origin holders run on the VMs of model engines, at the port of
	// the settings.
	OriginHolders bool
	// Elapsed is the clock by which the View measures ages; nil means the boot
	// clock. Tests replace it.
	Elapsed clock.Elapsed
}

// Daemon runs a gateway process.
type Daemon struct {
	platform  Platform
	options   Options
	settings  atomic.Pointer[deployment.Settings]
	log       *logrus.Entry
	metrics   *telemetry.Metrics
	view      *View
	directory *directory.Directory
	pool      *upstream.Pool
	server    *Server
	ingress   *ingress.Server
	memory    *membudget.Budget
	peers     *Peers
	lifecycle *lifecycle
	// reloadMu serializes reloads by signal and by polling.
	reloadMu sync.Mutex
	// callerListener and readyListener are open after Listen.
	callerListener, readyListener net.Listener
}

// NewDaemon reads the settings and creates the components.
func NewDaemon(p Platform, o Options, log *logrus.Logger) (*Daemon, error) {
	settings, err := p.ReadSettings()
	if err != nil {
		return nil, err
	}
	d := &Daemon{platform: p, options: o, metrics: telemetry.New(), directory: directory.New()}
	d.settings.Store(settings)
	d.log = log.WithField("vm", settings.VM)
	d.lifecycle = newLifecycle(func(state string) {
		d.log.WithFields(logrus.Fields{"event": "process_state", "state": state}).Info("process state changed")
	})
	scheduler := routing.NewScheduler(settings.DataCentre)
	scheduler.SetPolicy(o.Policy)
	elapsed := o.Elapsed
	if elapsed == nil {
		elapsed = clock.SinceBoot
	}
	store := p.NewStore(func() string { return d.settings.Load().StoreAddress })
	maxConfigDelay := func() time.Duration { return d.settings.Load().Bounds.MaxConfigDelay }
	d.view = NewView(store, d.directory, elapsed, maxConfigDelay, d.log, scheduler.RemoveServer, func(t *routes.Table) { scheduler.SetEventGapTargets(eventGapTargets(t)) })
	d.view.HeartbeatInterval = func() time.Duration { return d.settings.Load().Bounds.HeartbeatInterval }
	storeEra := d.metrics.Gauge("sesame_gateway_store_era")
	d.view.OnEra = func(era storeera.Era, verdict storeera.Verdict) {
		if verdict == storeera.Newer {
			storeEra.Update(int64(era.Number)) //nolint:gosec // a number beyond the range of the metric is shown negative
			return
		}
		d.metrics.Counter("sesame_gateway_store_answers_ignored_total", "reason", string(verdict)).Inc(1)
	}
	d.pool = d.newPool(elapsed)
	monotonic := clock.New()
	d.peers = NewPeers(settings, scheduler, monotonic, d.log)
	liveGateways := d.metrics.Gauge("sesame_gateway_live_gateways")
	sharingGateways := d.metrics.Gauge("sesame_gateway_sharing_gateways")
	d.peers.OnCount = func(live, sharing int) {
		liveGateways.Update(int64(live))
		sharingGateways.Update(int64(sharing))
	}
	d.server = NewServer(Dependencies{
		Codec: p.Codec, View: d.view, Directory: d.directory, Scheduler: scheduler, Pool: d.pool, Gateways: d.peers, Origins: d.peers, Tokens: d.peers,
		Clock: monotonic, Elapsed: elapsed, Metrics: d.metrics, Log: d.log, Settings: d.settings.Load, Seed: o.Seed,
	})
	d.connectPeers()
	d.memory = membudget.New(requestMemory(settings.Limits.MemoryBytes), monotonic)
	d.ingress = ingress.New(ingress.Config{
		Handle: d.handle, Limits: d.limits, CloseAfterResponse: d.closeAfterResponse, OnRefusal: d.onIngressRefusal,
		Memory: d.memory, Account: d.accountOf, RefusalHeader: d.ingressRefusalHeader,
		MaxConnections: maxCallerConnections(settings.Limits), OnConnectionLimit: d.connectionLimitReporter(),
	})
	return d, nil
}

// newPool returns the pool of connections to backend servers, with counters and log lines.
func (d *Daemon) newPool(elapsed clock.Elapsed) *upstream.Pool {
	connectionsOpened := d.metrics.Counter("sesame_gateway_connections_opened_total")
	oversizedHeads, oversizedLines := d.metrics.Counter("sesame_gateway_oversized_heads_total"), &logInterval{}
	malformedResponses, malformedLines := d.metrics.Counter("sesame_gateway_malformed_responses_total"), &logInterval{}
	surplusResponses := d.metrics.Counter("sesame_gateway_surplus_responses_total")
	return upstream.New(upstream.Config{
		OnDial: func(string) { connectionsOpened.Inc(1) },
		OnOversizedHead: func(address string) {
			oversizedHeads.Inc(1)
			if oversizedLines.due(elapsed()) {
				d.log.WithFields(logrus.Fields{"event": "response_head_too_large", "address": address}).Warn("response head of a backend server exceeds the limit; connection closed")
			}
		},
		OnMalformed: func(address string, err error) {
			malformedResponses.Inc(1)
			if malformedLines.due(elapsed()) {
				d.log.WithError(err).WithFields(logrus.Fields{"event": "response_malformed", "address": address}).Warn("response of a backend server is not valid HTTP; connection closed")
			}
		},
		OnSurplus: func(address string) {
			surplusResponses.Inc(1)
			d.log.WithFields(logrus.Fields{"event": "surplus_response", "address": address}).Info("surplus response of a backend server to an earlier request skipped")
		},
	})
}

// connectPeers lets the exchange with other gateways use the components.
func (d *Daemon) connectPeers() {
	p := d.peers
	p.Limits, p.Crashes, p.Origins, p.Evacuations, p.Tokens = d.server, d.server, d.server, d.view, d.server
	p.Unable = d.server.unableToConfirm
	if d.options.OriginHolders {
		p.OriginHolderAddresses = d.originHolderAddresses
	}
}

// originHolderAddresses returns the addresses of the origin holders, one on the VM of each
// usable model engine, sorted.
func (d *Daemon) originHolderAddresses() []string {
	table, port := d.view.Table(), d.settings.Load().HolderPort
	if table == nil || port == 0 {
		return nil
	}
	var addresses []string
	for _, name := range table.Engines() {
		for _, b := range d.directory.Usable(name) {
			if at, err := netip.ParseAddrPort(b.Address); err == nil { // checked when the entry was read
				addresses = append(addresses, netip.AddrPortFrom(at.Addr(), uint16(port)).String()) //nolint:gosec // a port of the settings
			}
		}
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

// closeAfterResponse reports whether responses ask callers to close their
// connections: the process stops, or other gateways can serve while this one cannot.
func (d *Daemon) closeAfterResponse() bool {
	state := d.lifecycle.state()
	return state != stateStarting && state != stateServing || d.server.othersServe()
}

// handle serves a request, or refuses it if the process is about to stop.
func (d *Daemon) handle(ctx context.Context, in *ingress.Request, out *ingress.ResponseWriter) {
	if state := d.lifecycle.state(); state == stateRefusing || state == stateStopped {
		d.server.Refuse(in, out, "process_ends", stoppingRetryAfter)
		return
	}
	d.server.Handle(ctx, in, out)
}

// eventGapTargets returns the targets for the inter-event gap of streams, by
// engine service and route.
func eventGapTargets(t *routes.Table) map[string]map[string]time.Duration {
	gapTargets := make(map[string]map[string]time.Duration)
	for name, r := range t.Routes() {
		for _, target := range r.Targets {
			if r.MaxEventGap > 0 && t.Service(target.Service).Engine != nil {
				if gapTargets[target.Service] == nil {
					gapTargets[target.Service] = make(map[string]time.Duration)
				}
				gapTargets[target.Service][name] = r.MaxEventGap
			}
		}
	}
	return gapTargets
}

// limits returns the active limits for callers.
func (d *Daemon) limits() ingress.Limits {
	table := d.view.Table()
	if table == nil {
		return defaultLimits
	}
	return ingressLimits(table.Limits)
}

func ingressLimits(l routes.Limits) ingress.Limits {
	return ingress.Limits{HeaderBytes: l.HeaderBytes, BodyBytes: l.BodyBytes, HeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout}
}

// NotifySignals starts to receive the signals that Run and Serve handle. A
// program should call it first, because a signal that arrives earlier terminates
// the process.
func NotifySignals() <-chan os.Signal {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	return signals
}

// Run opens the listeners and serves until the process has drained after
// SIGTERM or SIGINT. SIGHUP reloads the settings.
func (d *Daemon) Run(signals <-chan os.Signal) error {
	if err := d.Listen(); err != nil {
		return err
	}
	return d.Serve(context.Background(), signals)
}

// Listen opens the listeners for callers and for readiness checks.
func (d *Daemon) Listen() error {
	settings := d.settings.Load()
	callerListener, err := net.Listen("tcp", settings.CallerAddress)
	if err != nil {
		return eris.Wrap(err, "gateway: cannot listen for callers")
	}
	readyListener, err := net.Listen("tcp", settings.ReadyAddress)
	if err != nil {
		callerListener.Close()
		return eris.Wrap(err, "gateway: cannot listen for readiness checks")
	}
	d.callerListener, d.readyListener = callerListener, readyListener
	return nil
}

// CallerAddress returns the address for callers. Call it after Listen.
func (d *Daemon) CallerAddress() string { return d.callerListener.Addr().String() }

// ReadyAddress returns the address for readiness checks. Call it after Listen.
func (d *Daemon) ReadyAddress() string { return d.readyListener.Addr().String() }

// Serve serves on the open listeners. On a signal other than SIGHUP it drains and
// then returns; if the context ends, it returns without draining.
func (d *Daemon) Serve(ctx context.Context, signals <-chan os.Signal) error {
	settings := d.settings.Load()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	d.startBackgroundTasks(ctx, group)
	group.Go(func() error { return d.ingress.Serve(d.callerListener) })
	readyServer := newInternalServer(http.HandlerFunc(d.readyz))
	group.Go(func() error { return ignoreClosed(readyServer.Serve(d.limitInternal(d.readyListener, "readiness"))) })
	group.Go(func() error { return d.serveMetrics(ctx) })
	group.Go(func() error {
		defer cancel()
		d.handleSignals(ctx, signals)
		d.callerListener.Close()
		d.ingress.AwaitFirstRequests(firstRequestTime)
		d.ingress.Close()
		_ = readyServer.Close() // the process is exiting
		return nil
	})
	d.log.WithFields(logrus.Fields{"event": "started", "data_centre": settings.DataCentre, "callers": settings.CallerAddress, "store": settings.StoreAddress}).Info("gateway started")
	err := group.Wait()
	d.log.WithFields(logrus.Fields{"event": "stopped", "in_flight": d.ingress.InFlight()}).Info("gateway stopped")
	return err
}

// startBackgroundTasks starts the goroutines that run until the context ends.
func (d *Daemon) startBackgroundTasks(ctx context.Context, group *errgroup.Group) {
	for _, task := range []func(context.Context){
		d.view.Run, d.view.Sweep, d.peers.Run, d.sweepPool, d.pollSettings, d.checkPauses, d.runColdSweep,
	} {
		group.Go(func() error {
			task(ctx)
			return nil
		})
	}
}

// ignoreClosed returns nil for the error of a server that was closed
// deliberately, and wraps other errors.
func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return eris.Wrap(err, "gateway: listener failed")
}

// readyz responds to a readiness check of the load balancer. The first check
// that finds the gateway ready moves the process to the state serving.
func (d *Daemon) readyz(w http.ResponseWriter, _ *http.Request) {
	if !d.server.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	d.lifecycle.ready()
	if d.lifecycle.state() != stateServing {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// serveMetrics serves counters and histograms.
func (d *Daemon) serveMetrics(ctx context.Context) error {
	if d.options.MetricsAddress == "" {
		return nil
	}
	listener, err := net.Listen("tcp", d.options.MetricsAddress)
	if err != nil {
		return eris.Wrap(err, "gateway: cannot listen for requests for metrics")
	}
	server := newInternalServer(d.metrics.Handler())
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	return ignoreClosed(server.Serve(d.limitInternal(listener, "metrics")))
}

// Limits of the listeners for readiness checks and for metrics.
const (
	maxInternalConnections = 32
	maxInternalHeaderBytes = 8 << 10
)

// newInternalServer returns the server of a listener that is not for callers.
func newInternalServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadTimeout: httpTimeout, WriteTimeout: httpTimeout, MaxHeaderBytes: maxInternalHeaderBytes}
}

// limitInternal limits the open connections of a listener that is not for callers, and counts
// those that give way.
func (d *Daemon) limitInternal(l net.Listener, name string) net.Listener {
	closed := d.metrics.Counter("sesame_gateway_internal_connections_closed_total", "listener", name)
	return netlimit.NewListener(l, netlimit.Config{Max: maxInternalConnections, OnClose: func() { closed.Inc(1) }})
}

// sweepPool periodically closes connections that have been idle for too long, and updates the
// gauges of what callers hold.
func (d *Daemon) sweepPool(ctx context.Context) {
	used, peak := d.metrics.Gauge("sesame_gateway_request_memory_bytes"), d.metrics.Gauge("sesame_gateway_request_memory_peak_bytes")
	connections := d.metrics.Gauge("sesame_gateway_caller_connections")
	clock.Every(ctx, sweepPoolInterval, func() {
		d.pool.Sweep(func(string) bool { return true })
		usage := d.memory.Usage()
		used.Update(usage.Used)
		peak.Update(usage.Peak)
		connections.Update(int64(d.ingress.Connections()))
	})
}

// checkPauses periodically checks whether the process did not run for some time.
func (d *Daemon) checkPauses(ctx context.Context) {
	clock.Every(ctx, clock.PauseCheckInterval, d.server.checkPause)
}

// pollSettings reloads settings that changed without a signal.
func (d *Daemon) pollSettings(ctx context.Context) {
	clock.Every(ctx, settingsInterval, d.reload)
}

// reload activates changed settings. If they are invalid, the last valid settings
// stay active. What components read only when they are created, such as listen
// addresses, the data centre and the limits of existing retry budgets, changes
// only with a restart.
func (d *Daemon) reload() {
	d.reloadMu.Lock()
	defer d.reloadMu.Unlock()
	settings, err := d.platform.ReadSettings()
	switch {
	case err != nil:
		d.log.WithError(err).WithField("event", "settings_refused").Error("settings unreadable or invalid; keeping the active settings")
	case settings != nil:
		d.settings.Store(settings)
		d.peers.SetSeeds(settings.Seeds)
		d.log.WithFields(logrus.Fields{"event": "settings_reloaded", "store": settings.StoreAddress}).Info("new settings active")
	}
}

// handleSignals reloads the settings on SIGHUP. On any other signal it drains and
// returns.
func (d *Daemon) handleSignals(ctx context.Context, signals <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case sig := <-signals:
			d.log.WithFields(logrus.Fields{"event": "signal", "signal": sig.String()}).Info("signal received")
			if sig == syscall.SIGHUP {
				d.reload()
				continue
			}
			d.drain(ctx)
			return
		}
	}
}

// drain runs the process through the states from draining to stopped.
func (d *Daemon) drain(ctx context.Context) {
	grace := d.settings.Load().Bounds.TerminationGrace
	d.lifecycle.drain(d.server.deps.Clock.Now(), grace)
	d.log.WithFields(logrus.Fields{"event": "draining", "in_flight": d.ingress.InFlight(), "connections": d.ingress.Connections(), "grace_ms": grace.Milliseconds()}).Info("gateway draining")
	for ctx.Err() == nil && d.lifecycle.state() != stateStopped {
		d.lifecycle.advance(d.server.deps.Clock.Now(), d.ingress.InFlight())
		if d.lifecycle.state() == stateRefusing {
			d.ingress.CloseIdle()
		}
		clock.Sleep(ctx, drainPollInterval)
	}
}

// MemoryLimitBytes returns the memory limit of the process; zero if there is
// none.
func (d *Daemon) MemoryLimitBytes() int64 { return d.settings.Load().Limits.MemoryBytes }
