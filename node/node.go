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

	"github.com/sesameswitch/sesameswitch/clock"
	"github.com/sesameswitch/sesameswitch/configsync"
	"github.com/sesameswitch/sesameswitch/membership"
	"github.com/sesameswitch/sesameswitch/peer"
	"github.com/sesameswitch/sesameswitch/processstatus"
	"github.com/sesameswitch/sesameswitch/provider"
	"github.com/sesameswitch/sesameswitch/statechart"
	"github.com/sesameswitch/sesameswitch/telemetry"
	"github.com/sesameswitch/sesameswitch/timeline"
)

// Node is one process of the system.
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

	process  timeline.Process
	life     atomic.Pointer[string]
	machine  *statechart.Machine
	duties   *duties
	admin    *http.ServeMux
	draining atomic.Bool
	// lastFault is the fault of the configuration document refused last.
	lastFault atomic.Pointer[string]
}

// Identity names the process for its events and its peers.
type Identity struct {
	Role        provider.Role
	Incarnation string
	// Address is the address of the process's peer listener.
	Address string
}

// New joins the parts of a process. Nothing runs before Run.
func New(s Settings, id Identity, log *logrus.Logger) *Node {
	c := clock.New()
	process := timeline.Process{VM: s.VM, Role: string(id.Role), DataCentre: s.DataCentre, Incarnation: id.Incarnation}
	n := &Node{
		Settings: s,
		Self: provider.VM{
			Name: s.VM, Address: id.Address, DataCentre: s.DataCentre,
			Region: s.Region, Role: id.Role, State: provider.VMLive,
		},
		Clock:      c,
		Log:        log,
		Metrics:    telemetry.New(),
		Timeline:   timeline.New(process, s.TimelineEvents, c),
		Peers:      peer.NewPool(peer.DefaultConfig()),
		PeerServer: peer.NewServer(peer.DefaultConfig()),
		process:    process,
		machine:    statechart.MustLoad("process").New(),
		admin:      http.NewServeMux(),
	}
	state := n.machine.State()
	n.life.Store(&state)
	n.Configuration = configsync.NewStore(c, n.hooks())
	n.Members = membership.NewTable(n.Self, c)
	n.duties = newDuties(n)
	return n
}

// hooks note what became of configuration documents.
func (n *Node) hooks() configsync.Hooks {
	return configsync.Hooks{
		Accepted: func(version uint64, from configsync.Source) {
			n.Metrics.Gauge("sesame_config_version").Update(int64(version))
			n.Timeline.RecordWith(timeline.ConfigAccepted, "", string(from), timeline.Attributes{ConfigVersion: version})
			n.Log.WithFields(logrus.Fields{"version": version, "from": from}).Info("configuration in force")
		},
		Refused: func(verdict configsync.Verdict, from configsync.Source, err error) {
			counter := n.Metrics.Counter("sesame_config_refused_total", "verdict", verdict.String())
			counter.Inc(1)
			if verdict == configsync.Older || !n.faultIsNew(err) {
				return
			}
			n.Timeline.Record(timeline.ConfigRefused, "", verdict.String()+" from "+string(from))
			n.Log.WithFields(logrus.Fields{"verdict": verdict, "from": from}).Warn(err)
		},
	}
}

// faultIsNew reports whether a refused document's fault differs from the last
// one, so that a document which is offered again and again is told once.
func (n *Node) faultIsNew(err error) bool {
	text := err.Error()
	last := n.lastFault.Swap(&text)
	return last == nil || *last != text
}

// State returns the state of the process in its chart.
func (n *Node) State() string { return *n.life.Load() }

// fire moves the process along its chart; only Run calls it.
func (n *Node) fire(event string) {
	state, err := n.machine.Fire(event)
	if err != nil {
		panic(err) // Run fires only what the chart allows
	}
	n.life.Store(&state)
	n.Timeline.Record(timeline.ProcessState, "", state)
	n.Log.WithField("state", state).Info("process changed state")
}

// serveAdmin serves metrics, time line, status, profiles and readiness.
func (n *Node) serveAdmin(load func() processstatus.Load, ready func() bool) (*http.Server, net.Listener, error) {
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
	n.admin.HandleFunc("/readyz", Readiness(func() bool { return ready() && !n.draining.Load() }))
	listener, err := net.Listen("tcp", n.Settings.AdminListen)
	if err != nil {
		return nil, nil, eris.Wrap(err, "node: admin listener")
	}
	return &http.Server{Handler: n.admin, ReadHeaderTimeout: 5 * time.Second}, listener, nil
}

// Readiness answers 200 while ready and 503 otherwise.
func Readiness(ready func() bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	}
}

// Draining reports whether the process was asked to end.
func (n *Node) Draining() bool { return n.draining.Load() }

// Confirm brings the configuration up to date within a bounded time, unless
// that was done a moment ago.
func (n *Node) Confirm(ctx context.Context) { n.duties.confirm(ctx) }

// Heard takes up the version that a peer named.
func (n *Node) Heard(version uint64, address string) {
	n.duties.syncer.ObserveVersion(version, address)
}

// HeardFrom takes up the version that the process on a VM named.
func (n *Node) HeardFrom(version uint64, vm string) {
	if version <= n.Configuration.Version() {
		return
	}
	if member, ok := n.Members.Get(vm); ok {
		n.duties.syncer.ObserveVersion(version, member.Address)
	}
}
