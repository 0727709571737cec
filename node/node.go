package node

import (
	"context"
	"net"
	"net/http"
	"net/http/pprof"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/sesameswitch/sesameswitch/clock"
	"github.com/sesameswitch/sesameswitch/configsync"
	"github.com/sesameswitch/sesameswitch/internal/netlimit"
	"github.com/sesameswitch/sesameswitch/membership"
	"github.com/sesameswitch/sesameswitch/membudget"
	"github.com/sesameswitch/sesameswitch/peer"
	"github.com/sesameswitch/sesameswitch/processstatus"
	"github.com/sesameswitch/sesameswitch/provider"
	"github.com/sesameswitch/sesameswitch/statechart"
	"github.com/sesameswitch/sesameswitch/telemetry"
	"github.com/sesameswitch/sesameswitch/timeline"
)

// Node holds the components that every entry and agent process has.
type Node struct {
	Settings      Settings
	Self          provider.VM
	Clock         clock.Clock
	Log           *logrus.Logger
	Metrics       *telemetry.Metrics
	Timeline      *timeline.Recorder
	Configuration *configsync.Store
	Members       *membership.Table
	Peers         *peer.Pool
	PeerServer    *peer.Server
	// Memory is what the messages of peers, and requests that agents hold, may take together.
	Memory *membudget.Budget

	process    timeline.Process
	state      atomic.Pointer[string]
	machine    *statechart.Machine
	background *backgroundTasks
	admin      *http.ServeMux
	draining   atomic.Bool
	// lastProblem is the error of the last refused configuration document that was
	// not merely older than the active one.
	lastProblem atomic.Pointer[string]
}

// Identity identifies the process in its events and to its peers.
type Identity struct {
	Role        provider.Role
	Incarnation string
	// Address is the address of the listener for peers.
	Address string
}

// New returns a node in the state starting. Nothing runs before Run is called.
func New(s Settings, id Identity, log *logrus.Logger) *Node {
	c := clock.New()
	memory := membudget.New(int64(peerMemoryShare*float64(s.MemoryBytes())), c)
	metrics := telemetry.New()
	peerConfig := peer.DefaultConfig()
	peerConfig.Memory = memory
	refusedLines := rate.Sometimes{Interval: refusedLineInterval}
	peerConfig.OnRefused = func(address net.Addr, err error) {
		metrics.Counter("sesame_peer_connections_refused_total").Inc(1)
		refusedLines.Do(func() {
			log.WithError(err).WithField("peer", address).Warn("connection of a peer closed: it exceeds the limits of messages or connections")
		})
	}
	process := timeline.Process{VM: s.VM, Role: string(id.Role), DataCentre: s.DataCentre, Incarnation: id.Incarnation}
	n := &Node{
		Settings: s,
		Self: provider.VM{
			Name: s.VM, Address: id.Address, DataCentre: s.DataCentre,
			Region: s.Region, Role: id.Role, State: provider.VMLive,
		},
		Clock:      c,
		Log:        log,
		Metrics:    metrics,
		Timeline:   timeline.New(process, s.TimelineEvents, c),
		Peers:      peer.NewPool(peer.DefaultConfig()),
		PeerServer: peer.NewServer(peerConfig),
		Memory:     memory,
		process:    process,
		machine:    statechart.MustLoad("process").New(),
		admin:      http.NewServeMux(),
	}
	state := n.machine.State()
	n.state.Store(&state)
	n.Configuration = configsync.NewStore(c, n.hooks())
	n.Members = membership.NewTable(n.Self, c)
	n.background = newBackgroundTasks(n)
	return n
}

// peerMemoryShare is the share of the memory of the process that messages of peers, and the
// requests that agents hold, may take.
const peerMemoryShare = 0.25

// refusedLineInterval is the shortest time between two log lines about refused connections.
const refusedLineInterval = time.Second

// hooks returns functions that record accepted and refused configuration
// documents in metrics, time line and log.
func (n *Node) hooks() configsync.Hooks {
	return configsync.Hooks{
		Accepted: func(version uint64, from configsync.Origin) {
			n.Metrics.Gauge("sesame_config_version").Update(int64(version))
			n.Timeline.RecordWith(timeline.ConfigAccepted, "", string(from), timeline.Attributes{ConfigVersion: version})
			n.Log.WithFields(logrus.Fields{"version": version, "from": from}).Info("configuration is active")
		},
		Refused: func(verdict configsync.Verdict, from configsync.Origin, err error) {
			counter := n.Metrics.Counter("sesame_config_refused_total", "verdict", verdict.String())
			counter.Inc(1)
			if verdict == configsync.Older || !n.isNewProblem(err) {
				return
			}
			n.Timeline.Record(timeline.ConfigRefused, "", verdict.String()+" from "+string(from))
			n.Log.WithFields(logrus.Fields{"verdict": verdict, "from": from}).Warn(err)
		},
	}
}

// isNewProblem stores the error of a refused document and reports whether it
// differs from the previous one, so that a document that arrives repeatedly is
// logged only once.
func (n *Node) isNewProblem(err error) bool {
	text := err.Error()
	last := n.lastProblem.Swap(&text)
	return last == nil || *last != text
}

// State returns the state of the process, which is a state of the process chart.
func (n *Node) State() string { return *n.state.Load() }

// fire applies an event to the state machine of the process. Only runLifecycle
// calls it.
func (n *Node) fire(event string) {
	state, err := n.machine.Fire(event)
	if err != nil {
		panic(err) // a bug: runLifecycle fired an event that the chart does not allow here
	}
	n.state.Store(&state)
	n.Timeline.Record(timeline.ProcessState, "", state)
	n.Log.WithField("state", state).Info("process state changed")
}

// newAdminServer returns the HTTP server for metrics, time line, status,
// profiles, liveness and readiness, and opens its listener.
func (n *Node) newAdminServer(load func() processstatus.Load, ready func() bool) (*http.Server, net.Listener, error) {
	n.admin.Handle(processstatus.PathMetrics, n.Metrics.Handler())
	n.admin.Handle(processstatus.PathTimeline, n.Timeline.Handler())
	n.admin.Handle(processstatus.PathStatus, processstatus.Handler(func() processstatus.Document {
		return processstatus.Document{
			Process: n.process, State: n.State(), ConfigVersion: n.Configuration.Version(),
			Load: load(), Counters: n.Metrics.CounterValues(),
		}
	}))
	n.admin.HandleFunc("/debug/pprof/", pprof.Index)
	n.admin.HandleFunc("/debug/pprof/profile", pprof.Profile)
	n.admin.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	n.admin.HandleFunc("/readyz", ReadinessHandler(func() bool { return ready() && !n.draining.Load() }))
	listener, err := net.Listen("tcp", n.Settings.AdminListen)
	if err != nil {
		return nil, nil, eris.Wrap(err, "node: admin listener")
	}
	server := &http.Server{
		Handler: n.admin, ReadHeaderTimeout: adminReadTimeout, IdleTimeout: adminIdleTimeout, MaxHeaderBytes: maxAdminHeaderBytes,
	}
	closed := n.Metrics.Counter("sesame_admin_connections_closed_total")
	return server, netlimit.NewListener(listener, netlimit.Config{Max: maxAdminConnections, OnClose: func() { closed.Inc(1) }}), nil
}

// Limits of the admin listener. A follower of the time line keeps its connection.
const (
	adminReadTimeout    = 5 * time.Second
	adminIdleTimeout    = time.Minute
	maxAdminHeaderBytes = 8 << 10
	maxAdminConnections = 128
)

// ReadinessHandler returns a handler that responds with status 200 while ready
// and with 503 otherwise.
func ReadinessHandler(ready func() bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	}
}

// Draining reports whether the process has started to drain.
func (n *Node) Draining() bool { return n.draining.Load() }

// ConfirmConfiguration updates the configuration from peers, or from the
// configuration service, unless it was confirmed recently. It returns within the
// time limit of configsync.Syncer.Confirm.
func (n *Node) ConfirmConfiguration(ctx context.Context) { n.background.confirm(ctx) }

// ObserveVersion records the configuration version that the peer at an address has
// reported, so that a newer version is pulled.
func (n *Node) ObserveVersion(version uint64, address string) {
	n.background.syncer.ObserveVersion(version, address)
}

// ObserveVersionFromVM is ObserveVersion for the peer on the VM with the given
// name. Unknown VMs and versions that are not newer are ignored.
func (n *Node) ObserveVersionFromVM(version uint64, vm string) {
	if version <= n.Configuration.Version() {
		return
	}
	if member, ok := n.Members.Get(vm); ok {
		n.background.syncer.ObserveVersion(version, member.Address)
	}
}
