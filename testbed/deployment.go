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

// ConfigKey is the key of the manifest in a bed's configuration service.
const ConfigKey = "sesame-manifest"

// Deployment is a deployment of real processes with stand-ins of the platform.
type Deployment struct {
	// BinDir is the folder of the programs, Logs that of their logs.
	BinDir string
	LogDir string
	// ConfigService and VMList are the stand-ins of the platform.
	ConfigService *Process
	VMList        *Process

	mu        sync.Mutex
	processes []*Process
	members   []provider.VM
}

// New starts the stand-ins of the configuration service and the VM list. The
// caller closes the bed.
func New(bin, logs string) (*Deployment, error) {
	if err := os.MkdirAll(logs, 0o755); err != nil {
		return nil, eris.Wrap(err, "testbed: logs")
	}
	b := &Deployment{BinDir: bin, LogDir: logs}
	var err error
	if b.ConfigService, err = b.Start("config", "sesame-standin", "config"); err != nil {
		return nil, err
	}
	if b.VMList, err = b.Start("vms", "sesame-standin", "vmlist"); err != nil {
		b.Close()
		return nil, err
	}
	return b, nil
}

// Start starts one program under a name.
func (b *Deployment) Start(name, program string, args ...string) (*Process, error) {
	p, err := startProcess(name, filepath.Join(b.BinDir, program), logPath(b.LogDir, name), args)
	b.mu.Lock()
	defer b.mu.Unlock()
	if p.cmd != nil {
		b.processes = append(b.processes, p)
	}
	return p, err
}

// Close ends all processes that the bed started.
func (b *Deployment) Close() {
	b.mu.Lock()
	processes := slices.Clone(b.processes)
	b.mu.Unlock()
	for _, p := range slices.Backward(processes) {
		p.Kill()
	}
}

// Publish puts a manifest into the configuration service.
func (b *Deployment) Publish(manifest []byte) error {
	return put("http://"+b.ConfigService.Address("")+"/admin/values/"+ConfigKey, manifest)
}

// SetFaults sets the faults of a stand-in.
func (b *Deployment) SetFaults(standin *Process, faults any) error {
	body, err := json.Marshal(faults)
	if err != nil {
		return eris.Wrap(err, "testbed: faults")
	}
	return put("http://"+standin.Address("")+"/admin/faults", body)
}

// AgentSpec describes an agent to start.
type AgentSpec struct {
	VM         string
	DataCentre string
	// Backend is the backend server beside it.
	Backend  *Process
	Models   string
	Services string
	Slots    int
	// Listen is the address for peers; empty picks one.
	Listen string
	Policy string
	Args   []string
}

// StartAgent starts an agent and lists its VM. The address stays the same when
// the process is started again.
func (b *Deployment) StartAgent(a AgentSpec) (*Process, error) {
	listen, err := b.listenAddress(a.Listen)
	if err != nil {
		return nil, err
	}
	args := append(b.common(a.VM, a.DataCentre, a.Policy),
		"--listen", listen, "--backend-url", "http://"+a.Backend.Address(""), "--slots", strconv.Itoa(max(1, a.Slots)))
	if a.Models != "" {
		args = append(args, "--models", a.Models)
	}
	if a.Services != "" {
		args = append(args, "--backend-kind", "service", "--services", a.Services)
	}
	p, err := b.Start(a.VM, "sesame-agent", append(args, a.Args...)...)
	if err != nil {
		return nil, err
	}
	return p, b.PutVM(provider.VM{
		Name: a.VM, Address: p.Address("peers"), DataCentre: a.DataCentre,
		Role: provider.RoleAgent, State: provider.VMLive,
	})
}

// EntrySpec describes an entry to start.
type EntrySpec struct {
	VM         string
	DataCentre string
	Policy     string
	Args       []string
}

// StartEntry starts an entry and lists its VM.
func (b *Deployment) StartEntry(e EntrySpec) (*Process, error) {
	callers, err := b.listenAddress("")
	if err != nil {
		return nil, err
	}
	peers, err := b.listenAddress("")
	if err != nil {
		return nil, err
	}
	args := append(b.common(e.VM, e.DataCentre, e.Policy), "--listen", callers, "--peer-listen", peers)
	p, err := b.Start(e.VM, "sesame-entry", append(args, e.Args...)...)
	if err != nil {
		return nil, err
	}
	return p, b.PutVM(provider.VM{
		Name: e.VM, Address: p.Address("peers"), DataCentre: e.DataCentre,
		Role: provider.RoleEntry, State: provider.VMLive,
	})
}

func (b *Deployment) common(vm, dataCentre, policy string) []string {
	args := []string{
		"--vm", vm, "--data-centre", dataCentre, "--admin-listen", "127.0.0.1:0",
		"--config-url", "http://" + b.ConfigService.Address(""), "--config-key", ConfigKey,
		"--vm-list-url", "http://" + b.VMList.Address(""),
	}
	if policy != "" {
		args = append(args, "--policy", policy)
	}
	return args
}

// listenAddress returns the wanted address or picks a free one.
func (b *Deployment) listenAddress(wanted string) (string, error) {
	if wanted != "" {
		return wanted, nil
	}
	return FreeAddress()
}

// PutVM adds a VM to the platform's list or replaces the one of its name.
func (b *Deployment) PutVM(vm provider.VM) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	index := slices.IndexFunc(b.members, func(m provider.VM) bool { return m.Name == vm.Name })
	if index < 0 {
		b.members = append(b.members, vm)
	} else {
		b.members[index] = vm
	}
	return b.publishMembers()
}

// RemoveVM takes a VM off the platform's list.
func (b *Deployment) RemoveVM(name string) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.members = slices.DeleteFunc(b.members, func(m provider.VM) bool { return m.Name == name })
	return b.publishMembers()
}

// ListedVMs returns the VMs as the platform lists them.
func (b *Deployment) ListedVMs() []provider.VM {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.members)
}

func (b *Deployment) publishMembers() error {
	body, err := json.Marshal(b.members)
	if err != nil {
		return eris.Wrap(err, "testbed: VM list")
	}
	return put("http://"+b.VMList.Address("")+"/admin/vms", body)
}

// AwaitReady waits until every given daemon is ready.
func (b *Deployment) AwaitReady(ctx context.Context, daemons ...*Process) error {
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
			_ = response.Body.Close() // only the status counts
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return eris.Errorf("testbed: %s is not ready, see its log", p.Name)
		case <-ticker.C:
		}
	}
}

func put(url string, body []byte) error {
	request, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "testbed: request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return eris.Wrap(err, "testbed: stand-in")
	}
	defer func() { _ = response.Body.Close() }() // only the status counts
	if response.StatusCode >= http.StatusMultipleChoices {
		return eris.Errorf("testbed: %s answered %s", url, response.Status)
	}
	return nil
}
