package soak

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/sesameswitch/sesameswitch/clock"
	"github.com/sesameswitch/sesameswitch/originholder"
	"github.com/sesameswitch/sesameswitch/platform/standin"
	"github.com/sesameswitch/sesameswitch/testbed"
)

// Limits in the settings files of the gateways, and parameters of the test.
const (
	// maxRevocationDelay bounds the time from the publication of a configuration
	// without a key until no gateway accepts the key.
	maxRevocationDelay = 3 * time.Second
	// drainPeriod is the time for which a draining server may still get requests.
	drainPeriod = 2 * time.Second
	// The retries of a service may be at most retryRatio of its requests, plus
	// Options.RetryExtra.
	retryRatio = 0.2
	// initialKeyCount is the number of API keys in the first configuration.
	initialKeyCount = 6
	// unreachableSeed is an address at which no gateway listens.
	unreachableSeed = "127.0.0.1:1"
	// readyTimeout bounds the wait until a gateway accepts connections, and the
	// wait until it is ready at the start of the test and after the last fault.
	readyTimeout = 20 * time.Second
	// pollInterval is the time between two attempts to reach a gateway that does
	// not accept connections or is not ready.
	pollInterval = 30 * time.Millisecond
)

// gatewayProcess is a gateway under test.
type gatewayProcess struct {
	testbed.Program
	callerAddress, readyAddress string
	// storeLink relays the connections of the gateway to the store, so that faults
	// can impair them.
	storeLink *testbed.Relay
	// mu is held while a fault starts, ends, pauses or signals the process.
	mu sync.Mutex
	// incarnation counts the restarts of the process. deployment.mu guards it.
	incarnation int
}

// deployment is the deployment under test of one seed, and its history.
type deployment struct {
	opts          Options
	dir           string
	store         *standin.Store
	storeListener net.Listener
	// holderPort is the port of the origin holder of the only VM, zero if there is none;
	// stopHolder ends it.
	holderPort int
	stopHolder func()
	gateways   []*gatewayProcess
	startedAt  time.Time

	// registryMu is held while a registry entry is written.
	registryMu sync.Mutex

	// evacuationMu is held while the key of an evacuated data centre is written or removed.
	evacuationMu sync.Mutex

	mu sync.Mutex
	// evacuated contains the data centres whose key is in the store.
	evacuated map[string]bool
	// evacuations and coldPeriods list those that have ended, impairments the periods in
	// which gateways may not have learned what is in the store.
	evacuations []evacuation
	coldPeriods []coldPeriod
	impairments []impairment
	// servers lists all backend servers, including those that have left.
	servers []*server
	// version is the latest configuration version.
	version int
	// keys lists the API keys in the latest configuration.
	keys []string
	// revokedAt maps each revoked key to the time of its revocation.
	revokedAt map[string]time.Time
	// disruptions lists the periods of unplanned faults, in which responses may be
	// interrupted.
	disruptions []disruption
	// limits lists the periods in which servers stated limits.
	limits  []limitPeriod
	history observations
	// segmentActive and requestActive are true during CrashingSegment and CrashingRequest. crashedAt
	// lists the crashes of servers in order, by cause; replacing waits for their
	// replacements.
	segmentActive, requestActive atomic.Bool
	crashedAt                    map[string][]time.Time
	replacing                    sync.WaitGroup
	// cutsFirstRuns, allRefuse and separated report whether the plan contains
	// CutFirstRuns, AllServersRefuse and GatewaysSeparated.
	cutsFirstRuns, allRefuse, separated bool
}

// disruption is the period of an unplanned fault.
type disruption struct{ from, to time.Time }

func deploy(o Options, seed uint64, plan []Fault) (*deployment, error) {
	dir, err := os.MkdirTemp("", fmt.Sprintf("sesame-soak-%d-", seed))
	if err != nil {
		return nil, eris.Wrap(err, "soak: create temporary directory")
	}
	d := &deployment{opts: o, dir: dir, store: standin.NewStore(), revokedAt: make(map[string]time.Time), startedAt: time.Now(), history: newObservations(), crashedAt: make(map[string][]time.Time), evacuated: make(map[string]bool)}
	contains := func(kind string) bool {
		return slices.ContainsFunc(plan, func(f Fault) bool { return f.Kind == kind })
	}
	d.cutsFirstRuns, d.allRefuse, d.separated = contains(CutFirstRuns), contains(AllServersRefuse), contains(GatewaysSeparated)
	if d.cutsFirstRuns {
		d.disruptions = append(d.disruptions, disruption{d.startedAt, d.startedAt.Add(o.Duration)})
	}
	if o.FleetKills || contains(KillAllGateways) {
		if err := d.startHolder(); err != nil {
			d.close()
			return nil, err
		}
	}
	if err := d.start(); err != nil {
		d.close()
		return nil, err
	}
	return d, nil
}

// startHolder starts an origin holder. All backend servers have the same IP address, and so the
// same holder.
func (d *deployment) startHolder() error {
	reserved, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return eris.Wrap(err, "soak: find a port for the origin holder")
	}
	address := reserved.LocalAddr().(*net.UDPAddr)
	if err := reserved.Close(); err != nil {
		return eris.Wrap(err, "soak: release the port of the origin holder")
	}
	d.holderPort = address.Port
	ctx, cancel := context.WithCancel(context.Background())
	log := logrus.New()
	log.SetOutput(io.Discard)
	done := make(chan error, 1)
	go func() { done <- originholder.Serve(ctx, address.String(), clock.New(), logrus.NewEntry(log)) }()
	d.stopHolder = func() {
		cancel()
		d.history.addFailure("origin holder serves", <-done)
	}
	return nil
}

// holderSettings returns the line of the gateways' settings and the argument that let them use the
// origin holder; empty if there is none.
func (d *deployment) holderSettings() (line string, args []string) {
	if d.holderPort == 0 {
		return "", nil
	}
	return fmt.Sprintf("port_range = [%d, %d]\n", d.holderPort, d.holderPort), []string{"--origin-holders"}
}

func (d *deployment) start() error {
	var err error
	if d.storeListener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return eris.Wrap(err, "soak: listen for the store")
	}
	server := &http.Server{Handler: d.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(d.storeListener) }() // returns when its listener is closed
	for i := range initialKeyCount {
		d.keys = append(d.keys, fmt.Sprintf("key-%d", i))
	}
	d.publish()
	for _, service := range []string{"app", "llm"} {
		for range d.opts.Servers {
			if err := d.addServer(service); err != nil {
				return err
			}
		}
	}
	return d.startGateways()
}

// gatewayAddresses are the addresses on which a gateway listens.
type gatewayAddresses struct{ front, ready, control string }

func (d *deployment) startGateways() error {
	addresses := make([]gatewayAddresses, d.opts.Gateways)
	var seedAddresses []string // the seeds in the gateways' settings
	for i := range addresses {
		for _, a := range []*string{&addresses[i].front, &addresses[i].ready, &addresses[i].control} {
			var err error
			if *a, err = testbed.FreeAddress(); err != nil {
				return err
			}
		}
		seedAddresses = append(seedAddresses, fmt.Sprintf("%q", addresses[i].control))
	}
	if d.separated {
		seedAddresses = []string{strconv.Quote(unreachableSeed)}
	}
	for i, a := range addresses {
		if err := d.startGateway(i, a, strings.Join(seedAddresses, ",")); err != nil {
			return err
		}
	}
	for _, g := range d.gateways {
		if !d.awaitReady(g, readyTimeout) {
			return eris.Errorf("soak: %s is not ready; its standard error: %s", g.Name, g.Stderr())
		}
	}
	return nil
}

func (d *deployment) startGateway(i int, a gatewayAddresses, seedAddresses string) error {
	link, err := testbed.NewRelay(d.storeListener.Addr().String())
	if err != nil {
		return err
	}
	name := fmt.Sprintf("gateway-%d", i)
	holderLine, holderArgs := d.holderSettings()
	settings := fmt.Sprintf(`node_name = %q
zone = %q
role = "gateway"
ip = "127.0.0.1"
seeds = [%s]
%s[listen]
front = %q
ready_addr = %q
control_addr = %q
[bounds]
revoke_ms = %d
strict_revoke = true
drain_ms = %d
grace_s = 8
retry_ratio = %g
retry_extra = %d
retry_window_s = 10
%s[platform]
addr = %q
`, name, d.dataCentreOf(2*i), seedAddresses, holderLine, a.front, a.ready, a.control, maxRevocationDelay.Milliseconds(), drainPeriod.Milliseconds(), retryRatio, d.opts.RetryExtra, d.coldBounds(), link.Address())
	path := filepath.Join(d.dir, name+".toml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return eris.Wrap(err, "soak: write settings file")
	}
	log, err := os.Create(filepath.Join(d.dir, name+".log"))
	if err != nil {
		return eris.Wrap(err, "soak: create log file")
	}
	g := &gatewayProcess{callerAddress: a.front, readyAddress: a.ready, storeLink: link, Program: testbed.Program{
		Name: name, Path: filepath.Join(d.opts.Bin, "sesame-gateway"), Args: append([]string{"--boot", path}, holderArgs...), Env: d.opts.Environment, Output: log,
	}}
	d.gateways = append(d.gateways, g)
	return g.Start()
}

// close ends all processes and servers of the deployment. The logs of the gateways
// are kept if the seed violated a guarantee.
func (d *deployment) close() {
	for _, g := range d.gateways {
		g.KillIfStarted()
		g.storeLink.Close()
	}
	d.mu.Lock()
	servers := d.servers
	d.mu.Unlock()
	for _, s := range servers {
		s.close()
	}
	if d.storeListener != nil {
		d.storeListener.Close()
	}
	if d.stopHolder != nil {
		d.stopHolder()
	}
	if !d.history.keepLogs {
		_ = os.RemoveAll(d.dir) // on failure, a directory of temporary files remains
	}
}

// publish stores the next configuration version.
func (d *deployment) publish() {
	d.mu.Lock()
	d.version++
	d.mu.Unlock()
	d.writeConfig()
}

// writeConfig stores the configuration. Each version adds a route, so that the response
// to a request of that route shows whether a gateway has the version.
func (d *deployment) writeConfig() {
	d.mu.Lock()
	defer d.mu.Unlock()
	routes := ""
	for v := 1; v <= d.version; v++ {
		routes += fmt.Sprintf(`{"name":"since-%d","host":"app.example","prefix":"/since-%d/","type":"safe","timeout_ms":4000,"goal_ms":300,"priority":2,"service":"app","attempts":2},`, v, v)
	}
	content := strings.Replace(string(standin.ConfigDocumentWithCold(d.version, d.coldLimits(), d.keys...)), `"routes":[`, `"routes":[`+routes, 1)
	d.store.Put("op/config", []byte(content))
}

// restoreStore copies the store, and replaces it by the copy after the duration of the
// fault. What the operator and the servers wrote meanwhile is written again.
func (d *deployment) restoreStore(f Fault) {
	backup := d.store.Backup()
	time.Sleep(f.For)
	from := time.Now()
	d.store.Restore(backup)
	d.writeConfig()
	d.mu.Lock()
	servers := slices.Clone(d.servers)
	d.mu.Unlock()
	d.writeEvacuations()
	for _, s := range servers {
		d.register(s)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.disruptions = append(d.disruptions, disruption{from, time.Now()})
	d.impairments = append(d.impairments, impairment{restore: true, from: from, to: time.Now()})
}

// revokeKey publishes a configuration version without one of the keys. It does
// nothing if only one key is left.
func (d *deployment) revokeKey(n int) {
	d.mu.Lock()
	if len(d.keys) < 2 {
		d.mu.Unlock()
		return
	}
	n %= len(d.keys)
	key := d.keys[n]
	d.keys = append(append([]string(nil), d.keys[:n]...), d.keys[n+1:]...)
	d.mu.Unlock()
	d.publish()
	d.mu.Lock()
	d.revokedAt[key] = time.Now()
	d.mu.Unlock()
}

// inject waits until a fault is due, injects it and clears it.
func (d *deployment) inject(f Fault) {
	time.Sleep(time.Until(d.startedAt.Add(f.At)))
	g := d.gateways[f.Target%len(d.gateways)]
	switch f.Kind {
	case KillGateway:
		d.restart(g, f, func() { g.Kill() })
	case KillAllGateways:
		d.killAllGateways(f)
	case TerminateGateway:
		d.restart(g, Fault{}, func() { d.history.addFailure("ends", g.Terminate()) })
	case PauseGateway:
		g.mu.Lock()
		defer g.mu.Unlock()
		d.impair(g.Name, func() { d.disrupt(f, func() { g.Pause() }, func() { g.Resume() }) })
	case StoreOutage:
		outage := []standin.Outage{standin.ServiceUnavailable, standin.ConnectionReset, standin.NoResponse, standin.InvalidDocument, standin.SlowResponse}[f.Variant]
		d.impair("", func() {
			d.disrupt(f, func() { d.store.SetOutage(outage) }, func() { d.store.SetOutage(standin.NoOutage) })
		})
	case StoreCompaction:
		d.store.Compact()
	case StoreRestore:
		d.restoreStore(f)
	case CrashingSegment, CrashingRequest:
		active := &d.segmentActive
		if f.Kind == CrashingRequest {
			active = &d.requestActive
		}
		active.Store(true)
		time.Sleep(f.For)
		active.Store(false)
	case StoreLinkFault:
		linkState := []testbed.LinkState{testbed.LinkDown, testbed.LinkBlackhole, testbed.LinkDropsResponses, testbed.LinkDropsRequests, testbed.LinkDelayed}[f.Variant]
		d.impair(g.Name, func() {
			d.disrupt(f, func() { g.storeLink.SetState(linkState) }, func() { g.storeLink.SetState(testbed.LinkOpen) })
		})
	case CutFirstRuns, AllServersRefuse, GatewaysSeparated: // in effect from the start of the test
	case EvacuateDataCentre:
		d.evacuate(f)
	case ConfigChange:
		d.publish()
	case KeyRevocation:
		d.revokeKey(f.Target)
	case SettingsReload:
		g.mu.Lock()
		defer g.mu.Unlock()
		if d.awaitListening(g) { // before that, the process may not handle signals yet
			g.Signal(syscall.SIGHUP)
		}
	default:
		d.injectAtServer(f)
	}
}

// killAllGateways kills all gateways at the same time, and starts them again after the duration
// of the fault.
func (d *deployment) killAllGateways(f Fault) {
	var restarts sync.WaitGroup
	for _, g := range d.gateways {
		restarts.Go(func() { d.restart(g, f, func() { g.Kill() }) })
	}
	restarts.Wait()
}

// disrupt injects a fault by begin, clears it by end after its duration, and
// records the period as a disruption.
func (d *deployment) disrupt(f Fault, begin, end func()) {
	from := time.Now()
	begin()
	time.Sleep(f.For)
	end()
	d.mu.Lock()
	d.disruptions = append(d.disruptions, disruption{from, time.Now()})
	d.mu.Unlock()
}

// restart ends a gateway by end and starts it again after the duration of the
// fault. A fault without a duration is planned work, not a disruption.
func (d *deployment) restart(g *gatewayProcess, f Fault, end func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	d.impair(g.Name, func() {
		if f.For > 0 {
			d.disrupt(f, end, func() {})
		} else {
			end()
		}
		d.mu.Lock()
		g.incarnation++
		d.mu.Unlock()
		d.history.addFailure("starts", g.Start())
	})
}

// awaitRecovery clears the fault of the store and waits until each gateway is ready
// again.
func (d *deployment) awaitRecovery() {
	d.replacing.Wait()
	d.store.SetOutage(standin.NoOutage)
	for _, g := range d.gateways {
		if !d.awaitReady(g, readyTimeout) {
			d.history.addFailure("gateway becomes ready", eris.Errorf("%s is not ready %v after the last fault; its standard error: %s", g.Name, readyTimeout, g.Stderr()))
		}
	}
}

// awaitListening waits until a gateway accepts connections, and reports whether
// it does.
func (d *deployment) awaitListening(g *gatewayProcess) bool {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		conn, err := net.Dial("tcp", g.readyAddress)
		if err == nil {
			conn.Close()
			return true
		}
	}
	return false
}

// awaitReady waits until a gateway reports that it is ready, and reports whether
// it does.
func (d *deployment) awaitReady(g *gatewayProcess, timeout time.Duration) bool {
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		response, err := client.Get("http://" + g.readyAddress + "/readyz")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}
