package testbed

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/sesameswitch/sesameswitch/provider"
)

// ConfigKey is the key of the manifest in the configuration service of a
// deployment.
const ConfigKey = "sesame-manifest"

// Deployment is a test deployment of real agents and entries, with stand-ins for
// the platform.
type Deployment struct {
	// BinDir is the directory of the executables, and LogDir that of the log files.
	BinDir string
	LogDir string
	// ConfigService and VMList are the stand-ins for the platform's
	// configuration service and list of VMs.
	ConfigService *Process
	VMList        *Process

	mu sync.Mutex
	// processes are all started processes, in the order of their start.
	processes []*Process
	// vms is the platform's list of VMs.
	vms []provider.VM
}

// New starts the stand-ins for the configuration service and the VM list. The
// caller must call Close.
func New(binDir, logDir string) (*Deployment, error) {
	if err := os.MkdirAll(logDir, 0o755); err != nil {
		return nil, eris.Wrap(err, "testbed: cannot create log directory")
	}
	d := &Deployment{BinDir: binDir, LogDir: logDir}
	var err error
	if d.ConfigService, err = d.Start("config", "sesame-standin", "config"); err != nil {
		return nil, err
	}
	if d.VMList, err = d.Start("vms", "sesame-standin", "vmlist"); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

// Start starts an executable of BinDir as a process with the given name and waits
// until it listens. Close also kills a process that did not listen in time.
func (d *Deployment) Start(name, program string, args ...string) (*Process, error) {
	p, err := startProcess(name, filepath.Join(d.BinDir, program), logPath(d.LogDir, name), args)
	d.mu.Lock()
	defer d.mu.Unlock()
	if p.cmd != nil {
		d.processes = append(d.processes, p)
	}
	return p, err
}

// Close kills all processes that the deployment started, in the reverse order of
// their start.
func (d *Deployment) Close() {
	d.mu.Lock()
	processes := slices.Clone(d.processes)
	d.mu.Unlock()
	for _, p := range slices.Backward(processes) {
		p.Kill()
	}
}

// Publish publishes a manifest in the configuration service.
func (d *Deployment) Publish(manifest []byte) error {
	return put("http://"+d.ConfigService.Address("")+"/admin/values/"+ConfigKey, manifest)
}

// SetFaults replaces the faults of a stand-in.
func (d *Deployment) SetFaults(standIn *Process, faults any) error {
	body, err := json.Marshal(faults)
	if err != nil {
		return eris.Wrap(err, "testbed: cannot encode faults")
	}
	return put("http://"+standIn.Address("")+"/admin/faults", body)
}

// AgentSpec is the specification of an agent for StartAgent.
type AgentSpec struct {
	VM         string
	DataCentre string
	// Backend is the backend server of the agent.
	Backend *Process
	// Models and Services are the values of the flags of these names. If
	// Services is set, the backend server is a plain service.
	Models   string
	Services string
	// Slots is the value of the flag of this name, at least 1.
	Slots int
	// Listen is the address for peers; if empty, a free one is used.
	Listen string
	// Policy is the value of the flag of this name; empty leaves the default.
	Policy string
	// Args are further arguments of the command line.
	Args []string
}

// StartAgent starts an agent and adds its VM to the platform's list. The agent
// keeps its address for peers when the process is started again.
func (d *Deployment) StartAgent(a AgentSpec) (*Process, error) {
	listen, err := d.listenAddress(a.Listen)
	if err != nil {
		return nil, err
	}
	args := append(d.commonArgs(a.VM, a.DataCentre, a.Policy),
		"--listen", listen, "--backend-url", "http://"+a.Backend.Address(""), "--slots", strconv.Itoa(max(1, a.Slots)))
	if a.Models != "" {
		args = append(args, "--models", a.Models)
	}
	if a.Services != "" {
		args = append(args, "--backend-kind", "service", "--services", a.Services)
	}
	p, err := d.Start(a.VM, "sesame-agent", append(args, a.Args...)...)
	if err != nil {
		return nil, err
	}
	return p, d.PutVM(provider.VM{
		Name: a.VM, Address: p.Address("peers"), DataCentre: a.DataCentre,
		Role: provider.RoleAgent, State: provider.VMLive,
	})
}

// EntrySpec is the specification of an entry for StartEntry.
type EntrySpec struct {
	VM         string
	DataCentre string
	// Policy is the value of the flag of this name; empty leaves the default.
	Policy string
	// Args are further arguments of the command line.
	Args []string
}

// StartEntry starts an entry and adds its VM to the platform's list. The entry keeps
// its addresses for callers and peers when the process is started again.
func (d *Deployment) StartEntry(e EntrySpec) (*Process, error) {
	callerAddress, err := d.listenAddress("")
	if err != nil {
		return nil, err
	}
	peerAddress, err := d.listenAddress("")
	if err != nil {
		return nil, err
	}
	args := append(d.commonArgs(e.VM, e.DataCentre, e.Policy), "--listen", callerAddress, "--peer-listen", peerAddress)
	p, err := d.Start(e.VM, "sesame-entry", append(args, e.Args...)...)
	if err != nil {
		return nil, err
	}
	return p, d.PutVM(provider.VM{
		Name: e.VM, Address: p.Address("peers"), DataCentre: e.DataCentre,
		Role: provider.RoleEntry, State: provider.VMLive,
	})
}

// commonArgs returns the command-line arguments that agents and entries have in
// common.
func (d *Deployment) commonArgs(vm, dataCentre, policy string) []string {
	args := []string{
		"--vm", vm, "--data-centre", dataCentre, "--admin-listen", "127.0.0.1:0",
		"--config-url", "http://" + d.ConfigService.Address(""), "--config-key", ConfigKey,
		"--vm-list-url", "http://" + d.VMList.Address(""),
	}
	if policy != "" {
		args = append(args, "--policy", policy)
	}
	return args
}

// listenAddress returns the configured address, or a free one if it is empty.
func (d *Deployment) listenAddress(configured string) (string, error) {
	if configured != "" {
		return configured, nil
	}
	return FreeAddress()
}

// PutVM adds a VM to the platform's list or replaces the VM of the same name.
func (d *Deployment) PutVM(vm provider.VM) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	index := slices.IndexFunc(d.vms, func(m provider.VM) bool { return m.Name == vm.Name })
	if index < 0 {
		d.vms = append(d.vms, vm)
	} else {
		d.vms[index] = vm
	}
	return d.publishVMs()
}

// RemoveVM removes a VM from the platform's list.
func (d *Deployment) RemoveVM(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.vms = slices.DeleteFunc(d.vms, func(m provider.VM) bool { return m.Name == name })
	return d.publishVMs()
}

// ListedVMs returns the VMs on the platform's list.
func (d *Deployment) ListedVMs() []provider.VM {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.vms)
}

// publishVMs sends the list to the stand-in for the VM list. The caller holds the
// lock.
func (d *Deployment) publishVMs() error {
	body, err := json.Marshal(d.vms)
	if err != nil {
		return eris.Wrap(err, "testbed: cannot encode VM list")
	}
	return put("http://"+d.VMList.Address("")+"/admin/vms", body)
}

// AwaitReady waits until all given daemons are ready, or the context ends.
func (d *Deployment) AwaitReady(ctx context.Context, daemons ...*Process) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, p := range daemons {
		group.Go(func() error { return awaitReady(ctx, p) })
	}
	return group.Wait()
}

func awaitReady(ctx context.Context, p *Process) error {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for {
		response, err := http.Get("http://" + p.Address("admin") + "/readyz")
		if err == nil {
			_ = response.Body.Close() // only the status matters
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return eris.Errorf("testbed: %s is not ready; see its log", p.Name)
		case <-ticker.C:
		}
	}
}

// put sends a PUT request to the admin API of a stand-in. A status of 300 or above is
// an error.
func put(url string, body []byte) error {
	request, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "testbed: cannot create request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return eris.Wrap(err, "testbed: request to stand-in failed")
	}
	defer func() { _ = response.Body.Close() }() // only the status matters
	if response.StatusCode >= http.StatusMultipleChoices {
		return eris.Errorf("testbed: %s responded %s", url, response.Status)
	}
	return nil
}
