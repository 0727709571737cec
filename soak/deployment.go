package soak

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesameswitch/sesameswitch/platform/standin"
	"github.com/sesameswitch/sesameswitch/testbed"
)

// Promises of the deployment, as its settings file states them.
const (
	revokeBound = 3 * time.Second
	drainBound  = 2 * time.Second
	retryRatio  = 0.2
	retryExtra  = 10
	// keyCount is the number of callers' keys at the start.
	keyCount = 6
	// startPatience bounds the wait for the first answers, and for the last.
	startPatience = 20 * time.Second
	// retryPause is between two tries to reach a process that is down.
	retryPause = 30 * time.Millisecond
)

// gatewayProcess is one gateway with its link to the store.
type gatewayProcess struct {
	testbed.Program
	callers, ready string
	store          *testbed.Relay
	// mu is held by a failure that starts or ends the process.
	mu sync.Mutex
	// incarnation counts its starts; guarded by the deployment's mu.
	incarnation int
}

// deployment is what one seed runs.
type deployment struct {
	opts     Options
	dir      string
	store    *standin.Store
	listener net.Listener
	gateways []*gatewayProcess
	began    time.Time

	mu      sync.Mutex
	servers []*server
	version int
	keys    []string
	// taken is when each key was taken away.
	taken map[string]time.Time
	// troubles are the times of failures that excuse a cut answer.
	troubles []trouble
	history  history
}

// trouble is a time in which something unplanned was wrong.
type trouble struct{ from, to time.Time }

func deploy(o Options, seed uint64) (*deployment, error) {
	dir, err := os.MkdirTemp("", fmt.Sprintf("sesame-soak-%d-", seed))
	if err != nil {
		return nil, eris.Wrap(err, "soak: folder")
	}
	d := &deployment{opts: o, dir: dir, store: standin.NewStore(), taken: make(map[string]time.Time), began: time.Now(), history: newHistory()}
	if err := d.start(); err != nil {
		d.close()
		return nil, err
	}
	return d, nil
}

func (d *deployment) start() error {
	var err error
	if d.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return eris.Wrap(err, "soak: store")
	}
	web := &http.Server{Handler: d.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = web.Serve(d.listener) }() // ends with its listener
	for i := range keyCount {
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

// addresses of a gateway.
type addresses struct{ front, ready, control string }

func (d *deployment) startGateways() error {
	all := make([]addresses, d.opts.Gateways)
	var seeds []string
	for i := range all {
		for _, a := range []*string{&all[i].front, &all[i].ready, &all[i].control} {
			var err error
			if *a, err = testbed.FreeAddress(); err != nil {
				return err
			}
		}
		seeds = append(seeds, fmt.Sprintf("%q", all[i].control))
	}
	for i, a := range all {
		if err := d.startGateway(i, a, strings.Join(seeds, ",")); err != nil {
			return err
		}
	}
	for _, g := range d.gateways {
		if !d.serves(g, startPatience) {
			return eris.Errorf("soak: %s does not serve: %s", g.Name, g.Stderr())
		}
	}
	return nil
}

func (d *deployment) startGateway(i int, a addresses, seeds string) error {
	link, err := testbed.NewRelay(d.listener.Addr().String())
	if err != nil {
		return err
	}
	name := fmt.Sprintf("gateway-%d", i)
	settings := fmt.Sprintf(`node_name = %q
zone = "zone-a"
role = "gateway"
ip = "127.0.0.1"
seeds = [%s]
[listen]
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
[platform]
addr = %q
`, name, seeds, a.front, a.ready, a.control, revokeBound.Milliseconds(), drainBound.Milliseconds(), retryRatio, retryExtra, link.Address())
	path := filepath.Join(d.dir, name+".toml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return eris.Wrap(err, "soak: settings")
	}
	log, err := os.Create(filepath.Join(d.dir, name+".log"))
	if err != nil {
		return eris.Wrap(err, "soak: log")
	}
	g := &gatewayProcess{callers: a.front, ready: a.ready, store: link, Program: testbed.Program{
		Name: name, Path: filepath.Join(d.opts.Bin, "sesame-gateway"), Args: []string{"--boot", path}, Env: d.opts.Environment, Output: log,
	}}
	d.gateways = append(d.gateways, g)
	return g.Start()
}

// close ends what the soak started. The logs of gateways stay when something
// failed.
func (d *deployment) close() {
	for _, g := range d.gateways {
		g.KillIfStarted()
		g.store.Close()
	}
	d.mu.Lock()
	servers := d.servers
	d.mu.Unlock()
	for _, s := range servers {
		s.close()
	}
	if d.listener != nil {
		d.listener.Close()
	}
	if !d.history.keepLogs {
		_ = os.RemoveAll(d.dir) // what stays is a folder of temporary files
	}
}

// publish writes the next version of the configuration. Each adds a route.
func (d *deployment) publish() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	routes := ""
	for v := 1; v <= d.version; v++ {
		routes += fmt.Sprintf(`{"name":"since-%d","host":"app.example","prefix":"/since-%d/","type":"safe","timeout_ms":4000,"goal_ms":300,"priority":2,"service":"app","attempts":2},`, v, v)
	}
	content := strings.Replace(string(standin.ConfigDocument(d.version, d.keys...)), `"routes":[`, `"routes":[`+routes, 1)
	d.store.Put("op/config", []byte(content))
}

// takeKey publishes a version without one of the keys.
func (d *deployment) takeKey(n int) {
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
	d.taken[key] = time.Now()
	d.mu.Unlock()
}

// cause brings one failure about and ends it.
func (d *deployment) cause(f Fault) {
	time.Sleep(time.Until(d.began.Add(f.At)))
	g := d.gateways[f.Target%len(d.gateways)]
	switch f.Kind {
	case KillGateway:
		d.restart(g, f, func() { g.Kill() })
	case EndGateway:
		d.restart(g, Fault{}, func() { d.history.failed("ends", g.Terminate()) })
	case FreezeGateway:
		g.mu.Lock()
		defer g.mu.Unlock()
		d.troubled(f, func() { g.Pause() }, func() { g.Resume() })
	case StoreFails:
		how := []standin.Outage{standin.ServiceUnavailable, standin.ConnectionReset, standin.NoResponse, standin.InvalidDocument, standin.SlowResponse}[f.Variant]
		d.troubled(f, func() { d.store.SetOutage(how) }, func() { d.store.SetOutage(standin.NoOutage) })
	case StoreForgets:
		d.store.Compact()
	case StoreCut:
		how := []testbed.LinkState{testbed.LinkDown, testbed.LinkBlackhole, testbed.LinkDropsResponses, testbed.LinkDropsRequests, testbed.LinkDelayed}[f.Variant]
		d.troubled(f, func() { g.store.SetState(how) }, func() { g.store.SetState(testbed.LinkOpen) })
	case NewVersion:
		d.publish()
	case KeyTaken:
		d.takeKey(f.Target)
	case SettingsReread:
		g.mu.Lock()
		defer g.mu.Unlock()
		if d.listens(g) { // before, no program can take a signal
			g.Signal(syscall.SIGHUP)
		}
	default:
		d.causeAtServer(f)
	}
}

// troubled lets a failure last and notes its time.
func (d *deployment) troubled(f Fault, begin, end func()) {
	from := time.Now()
	begin()
	time.Sleep(f.For)
	end()
	d.mu.Lock()
	d.troubles = append(d.troubles, trouble{from, time.Now()})
	d.mu.Unlock()
}

// restart ends a gateway and starts it again after the length of the failure.
func (d *deployment) restart(g *gatewayProcess, f Fault, end func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if f.For > 0 {
		d.troubled(f, end, func() {})
	} else {
		end()
	}
	d.mu.Lock()
	g.incarnation++
	d.mu.Unlock()
	d.history.failed("starts", g.Start())
}

// settle ends all failures and waits until each gateway serves again.
func (d *deployment) settle() {
	d.store.SetOutage(standin.NoOutage)
	for _, g := range d.gateways {
		if !d.serves(g, startPatience) {
			d.history.failed("serves again", eris.Errorf("%s does not serve %v after the last failure: %s", g.Name, startPatience, g.Stderr()))
		}
	}
}

// listens waits until a gateway has opened its addresses.
func (d *deployment) listens(g *gatewayProcess) bool {
	for end := time.Now().Add(startPatience); time.Now().Before(end); time.Sleep(retryPause) {
		conn, err := net.Dial("tcp", g.ready)
		if err == nil {
			conn.Close()
			return true
		}
	}
	return false
}

// serves waits until a gateway is ready and answers a request.
func (d *deployment) serves(g *gatewayProcess, patience time.Duration) bool {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(retryPause) {
		answer, err := client.Get("http://" + g.ready + "/readyz")
		if err != nil {
			continue
		}
		answer.Body.Close()
		if answer.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}
