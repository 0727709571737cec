//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/sesameswitch/sesameswitch/platform/standin"
)

// Bounds of the settings files, as the site file atlas-pesee and DEPLOY.md state them.
const (
	configApply = 2000 * time.Millisecond
	revoke      = 5000 * time.Millisecond
	contact     = 3000 * time.Millisecond
	drainPeriod = 2000 * time.Millisecond
)

// Ports of all machines; the machines differ in their loopback address.
const (
	frontPort   = 8227
	readyPort   = 8220
	controlPort = 8229
	holderPort  = 7340
	appPort     = 8426
	storePort   = 8223
	metricsPort = 9109
)

// deployment is a small deployment on loopback: one store, gateways, replicas and an origin
// holder beside each replica.
type deployment struct {
	dir      string
	network  string
	store    *standin.Store
	link     *link
	record   *record
	gateways []*process
	others   []*process
	replicas []*replica
	closing  sync.Once
}

// process is a program of the deploy file that this test started.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
}

// newDeployment chooses a free part of the loopback network and starts the store.
func newDeployment(rec *record) (*deployment, error) {
	dir, err := os.MkdirTemp("", "sesame-review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{dir: dir, store: standin.NewStore(), record: rec}
	pid := os.Getpid()
	for i := range 200 {
		d.network = fmt.Sprintf("127.%d.%d", 10+(pid/250+i)%200, 1+pid%250)
		l, err := net.Listen("tcp", d.address(250, storePort))
		if err != nil {
			continue
		}
		server := &http.Server{Handler: d.store}
		go func() { _ = server.Serve(l) }()
		d.link, err = newLink(d.address(251, storePort), l.Addr().String())
		return d, err
	}
	return nil, fmt.Errorf("no free loopback network")
}

// address returns the address of a machine's port.
func (d *deployment) address(machine, port int) string {
	return fmt.Sprintf("%s.%d:%d", d.network, machine, port)
}

// settings writes the settings file of a machine and returns its path.
func (d *deployment) settings(name, zone, role, serves string, machine int) (string, error) {
	ip := fmt.Sprintf("%s.%d", d.network, machine)
	listen := ""
	if role == "gateway" {
		listen = fmt.Sprintf("front = %q\nready_addr = %q\ncontrol_addr = %q\n", d.address(machine, frontPort), d.address(machine, readyPort), d.address(machine, controlPort))
	}
	content := fmt.Sprintf(`node_name = %q
role = %q
machine_class = %q
serves = [%s]
ip = %q
zone = %q
region = "casablanca"
port_range = [%d, 7355]
seeds = [%q]
bootstrap = true
counts_as_loss = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
casa-north = "casablanca"
casa-east = "casablanca"
[listen]
%s[limits]
cpu_share = 0.304
cores = 1
memory_mb = 134
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
revert_slack_ms = 250
outer_ms = 5000
strict_revoke = true
revoke_ms = 5000
retry_ratio = 0.2
retry_window_s = 10
retry_extra = 54
recover_s = 12
pass_ms = 120
reuse_window_s = 8.7
[platform]
addr = %q
form = "read"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
`, name, role, map[string]string{"gateway": "edge", "origin-holder": "side"}[role], serves, ip, zone, holderPort, d.address(1, controlPort), listen, d.link.address())
	path := filepath.Join(d.dir, name+".toml")
	return path, os.WriteFile(path, []byte(content), 0o600)
}

// start starts a program of the deploy file with its settings file.
func (d *deployment) start(name, settings string, command ...string) (*process, error) {
	log, err := os.Create(filepath.Join(d.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd := exec.Command(command[0], command[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.dir, "SESAMESWITCH_BOOT=" + settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{name: name, cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.done)
	}()
	d.record.add("process %s started", name)
	return p, nil
}

// startGateway starts a gateway as the deploy file does; only the metrics address is a loopback
// address of its machine.
func (d *deployment) startGateway(machine int) error {
	name := fmt.Sprintf("edge-%d", machine)
	path, err := d.settings(name, "casa-north", "gateway", `"edge","control"`, machine)
	if err != nil {
		return err
	}
	p, err := d.start(name, path, "target/sesame-gateway", "--metrics-listen", d.address(machine, metricsPort), "--origin-holders")
	if err == nil {
		d.gateways = append(d.gateways, p)
	}
	return err
}

// startReplica starts a replica of a service with an origin holder beside it, and writes its entry.
func (d *deployment) startReplica(id, service string, machine, slots int, run runner) (*replica, error) {
	r, err := newReplica(id, service, d.address(machine, appPort), slots, run, d.record)
	if err != nil {
		return nil, err
	}
	path, err := d.settings("side-"+id, "casa-north", "origin-holder", `"side"`, machine)
	if err != nil {
		return nil, err
	}
	holder, err := d.start("holder-"+id, path, "target/sesame-origin-holder")
	if err != nil {
		return nil, err
	}
	d.others = append(d.others, holder)
	d.replicas = append(d.replicas, r)
	d.register(r)
	return r, nil
}

// register writes the entry of a replica. What replicas write there every heartbeat_ms changes the
// entry only when more than seq changes, so it is written once.
func (d *deployment) register(r *replica) {
	d.store.Put("servers/"+r.id, fmt.Appendf(nil, `{"service":%q,"addr":%q,"zone":"casa-north","version":"v1","slots":%d,"state":"ready","cold_left_ms":0,"seq":1,"born":%d}`, r.service, r.address, r.slots, r.born))
}

// awaitReady waits until all gateways are ready.
func (d *deployment) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for i := range d.gateways {
		deadline := time.Now().Add(20 * time.Second)
		for {
			response, err := client.Get("http://" + d.address(i+1, readyPort) + "/readyz")
			if err == nil {
				response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("gateway %d is not ready", i+1)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	d.record.add("all gateways are ready")
	return nil
}

// publish writes a configuration and returns when the store acknowledged it.
func (d *deployment) publish(version int, document string) time.Time {
	d.store.Put("op/config", []byte(document))
	at := time.Now()
	d.record.add("operator: version %d acknowledged", version)
	return at
}

// close ends all processes that this test started.
func (d *deployment) close() { d.closing.Do(d.end) }

func (d *deployment) end() {
	for _, p := range append(d.gateways, d.others...) {
		select {
		case <-p.done:
		default:
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			_ = p.cmd.Process.Kill()
			<-p.done
		}
	}
	d.record.add("all processes ended")
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("logs:", d.dir)
	}
}

// configuration returns a configuration document. tenants is a JSON list.
func configuration(version int, routes []string, services, tenants string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[%s],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":%s}`, version, strings.Join(routes, ","), services, tenants)
}

// plainService returns a plain service of a configuration.
func plainService(name string) string {
	return fmt.Sprintf(`{"name":%q,"health_path":"/healthz","max_conns":100,"proto":"h1","tls":false}`, name)
}

// route returns a route of a configuration.
func route(name, prefix, kind, service string, timeoutMs, goalMs, attempts int, public bool) string {
	return fmt.Sprintf(`{"name":%q,"host":"ficu95.example","prefix":%q,"type":%q,"timeout_ms":%d,"goal_ms":%d,"priority":2,"service":%q,"attempts":%d,"public":%t,"sticky":false,"can_resume":false}`, name, prefix, kind, timeoutMs, goalMs, service, attempts, public)
}
