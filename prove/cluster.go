package prove

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesameswitch/sesameswitch/history"
	"github.com/sesameswitch/sesameswitch/provider"
	"github.com/sesameswitch/sesameswitch/testbed"
	"github.com/sesameswitch/sesameswitch/timeline"
)

const (
	// readyTimeout bounds the wait until started processes are ready.
	readyTimeout = 30 * time.Second
	// adminTimeout bounds each request of the test to a stand-in or to the admin
	// address of a member.
	adminTimeout = time.Second
	// configKey is the key of the manifest in the configuration service.
	configKey = "manifest"
	// smallKeyLimitsEvery makes each seed that is divisible by it use
	// smallKeyLimits.
	smallKeyLimitsEvery = 5
)

// member is an entry or an agent process under test.
type member struct {
	testbed.Program
	vm           provider.VM
	adminAddress string
	// callerAddress is the address on which an entry accepts callers. It is empty
	// for agents.
	callerAddress string
	// link relays the connections of other processes to an agent, so that faults
	// can impair them. It is nil for entries.
	link *testbed.Relay
	// faultMu is held while a fault is injected into the member.
	faultMu sync.Mutex
}

// cluster is the deployment under test of one seed: stand-ins of the platform and
// of backend servers, agents, entries, and the recorded history.
type cluster struct {
	opts          Options
	startedAt     time.Time
	client        *http.Client
	configService *testbed.Program
	vmList        *testbed.Program
	engines       []*testbed.Program
	services      []*testbed.Program
	// addresses maps the names of the stand-ins to their addresses.
	addresses map[string]string
	entries   []*member
	agents    []*member
	recorder  history.Recorder
	keyLimits keyLimits

	mu sync.Mutex
	// latestVersion is the highest configuration version that was allocated or
	// published.
	latestVersion uint64
	// loggedEvents lists the formatted events of the test itself.
	loggedEvents []string
	// savedEvents lists the events that were fetched from members before they were
	// killed or terminated, because a process loses its time line when it ends. An
	// event may occur several times.
	savedEvents []timeline.Event
	shutdowns   []shutdown
}

// now returns the time since the start of the history.
func (c *cluster) now() time.Duration { return time.Since(c.startedAt) }

func newCluster(opts Options, seed uint64) *cluster {
	limits := largeKeyLimits
	if seed%smallKeyLimitsEvery == 0 {
		limits = smallKeyLimits
	}
	return &cluster{
		keyLimits: limits,
		opts:      opts,
		startedAt: time.Now(),
		client:    &http.Client{Timeout: adminTimeout},
		addresses: make(map[string]string),
	}
}

// start starts all processes and waits until all members are ready.
func (c *cluster) start() error {
	if err := c.startStandIns(); err != nil {
		return err
	}
	if err := c.publish(1, c.manifestFor(1), true); err != nil {
		return err
	}
	if err := c.startMembers(); err != nil {
		return err
	}
	if err := c.updateVMList(); err != nil {
		return err
	}
	return c.awaitReady(readyTimeout)
}

func (c *cluster) startStandIns() error {
	var err error
	if c.configService, err = c.startStandIn("config", "config"); err != nil {
		return err
	}
	if c.vmList, err = c.startStandIn("vmlist", "vmlist"); err != nil {
		return err
	}
	for _, name := range []string{"engine-1", "engine-2"} {
		// A time scale of 10 makes the engine ten times faster than a real one.
		p, err := c.startStandIn(name, "engine", "--models", chatModel+","+orderModel, "--time-scale", "10", "--slots", "8")
		if err != nil {
			return err
		}
		c.engines = append(c.engines, p)
	}
	for _, name := range []string{"service-1", "service-2"} {
		p, err := c.startStandIn(name, "service", "--name", serviceName, "--latency", "30ms")
		if err != nil {
			return err
		}
		c.services = append(c.services, p)
	}
	return nil
}

func (c *cluster) startStandIn(name, kind string, args ...string) (*testbed.Program, error) {
	address, err := testbed.FreeAddress()
	if err != nil {
		return nil, err
	}
	c.addresses[name] = address
	p := &testbed.Program{
		Name: name,
		Path: filepath.Join(c.opts.Bin, "sesame-standin"),
		Args: append([]string{kind, "--listen", address}, args...),
	}
	if err := p.Start(); err != nil {
		return nil, err
	}
	return p, c.await(readyTimeout, func() bool { return c.reachable(address) })
}

func (c *cluster) reachable(address string) bool {
	response, err := c.client.Get("http://" + address + "/admin/faults")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (c *cluster) startMembers() error {
	for i, backend := range []string{"engine-1", "engine-2", "service-1", "service-2"} {
		m, err := c.newAgent([]string{"agent-1", "agent-2", "agent-3", "agent-4"}[i], backend)
		if err != nil {
			return err
		}
		c.agents = append(c.agents, m)
	}
	for _, name := range []string{"entry-1", "entry-2", "entry-3"} {
		m, err := c.newEntry(name)
		if err != nil {
			return err
		}
		c.entries = append(c.entries, m)
	}
	for _, m := range c.members() {
		if err := m.Start(); err != nil {
			return err
		}
	}
	return nil
}

func (c *cluster) members() []*member {
	return append(append([]*member(nil), c.agents...), c.entries...)
}

// newMember returns a member with free addresses and the flags common to all
// members, and the address on which it accepts calls of other members.
func (c *cluster) newMember(name, program string, role provider.Role) (*member, string, error) {
	adminAddress, err := testbed.FreeAddress()
	if err != nil {
		return nil, "", err
	}
	peerAddress, err := testbed.FreeAddress()
	if err != nil {
		return nil, "", err
	}
	m := &member{
		Program:      testbed.Program{Name: name, Path: filepath.Join(c.opts.Bin, program), Env: c.opts.Environment},
		vm:           provider.VM{Name: name, Address: peerAddress, DataCentre: "dc-1", Role: role, State: provider.VMLive},
		adminAddress: adminAddress,
	}
	m.Args = []string{
		"--vm", name, "--data-centre", "dc-1", "--admin-listen", adminAddress,
		"--config-url", "http://" + c.addresses["config"], "--config-key", configKey,
		"--vm-list-url", "http://" + c.addresses["vmlist"],
	}
	return m, peerAddress, nil
}

func (c *cluster) newAgent(name, backend string) (*member, error) {
	m, peerAddress, err := c.newMember(name, "sesame-agent", provider.RoleAgent)
	if err != nil {
		return nil, err
	}
	if m.link, err = testbed.NewRelay(peerAddress); err != nil {
		return nil, err
	}
	m.vm.Address = m.link.Address()
	m.Args = append(m.Args, "--listen", peerAddress, "--backend-url", "http://"+c.addresses[backend], "--slots", "8")
	if backend[:1] == "e" {
		m.Args = append(m.Args, "--backend-kind", "engine", "--models", chatModel+","+orderModel)
	} else {
		m.Args = append(m.Args, "--backend-kind", "service", "--services", serviceName)
	}
	return m, nil
}

func (c *cluster) newEntry(name string) (*member, error) {
	m, peerAddress, err := c.newMember(name, "sesame-entry", provider.RoleEntry)
	if err != nil {
		return nil, err
	}
	if m.callerAddress, err = testbed.FreeAddress(); err != nil {
		return nil, err
	}
	m.Args = append(m.Args, "--listen", m.callerAddress, "--peer-listen", peerAddress)
	return m, nil
}

// close ends all processes of the cluster.
func (c *cluster) close() {
	for _, m := range c.members() {
		if m.link != nil {
			m.link.Close()
		}
		m.KillIfStarted()
	}
	for _, p := range append(append([]*testbed.Program{c.configService, c.vmList}, c.engines...), c.services...) {
		p.KillIfStarted()
	}
}

func (c *cluster) awaitReady(timeout time.Duration) error {
	err := c.await(timeout, func() bool {
		for _, m := range c.members() {
			if !c.ready(m) {
				return false
			}
		}
		return true
	})
	if err == nil {
		return nil
	}
	for _, m := range c.members() {
		if !c.ready(m) {
			return eris.Errorf("%s is not ready after %v; its standard error: %s", m.Name, timeout, m.Stderr())
		}
	}
	return err
}

func (c *cluster) ready(m *member) bool {
	response, err := c.client.Get("http://" + m.adminAddress + "/readyz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// pollInterval is the time between two evaluations of an awaited condition.
const pollInterval = 20 * time.Millisecond

// await polls condition until it holds, and returns an error after the timeout.
func (c *cluster) await(timeout time.Duration, condition func() bool) error {
	deadline := time.Now().Add(timeout)
	for !condition() {
		if time.Now().After(deadline) {
			return eris.Errorf("condition was not met within %v", timeout)
		}
		time.Sleep(pollInterval)
	}
	return nil
}

// updateVMList sets the platform's VM list to the members in their current
// states, without the excluded ones.
func (c *cluster) updateVMList(excluded ...*member) error {
	var vms []provider.VM
	for _, m := range c.members() {
		if !slices.Contains(excluded, m) {
			vms = append(vms, m.vm)
		}
	}
	return c.put(c.addresses["vmlist"], "/admin/vms", vms)
}

// publish records the publication of a document and then stores the document in
// the configuration service, so that no process can activate it before the
// recorded time.
func (c *cluster) publish(version uint64, body []byte, valid bool) error {
	c.mu.Lock()
	c.latestVersion = max(c.latestVersion, version)
	c.mu.Unlock()
	c.recorder.RecordPublication(history.Publication{At: c.now(), Version: version, Valid: valid})
	return c.send(c.addresses["config"], "/admin/values/"+configKey, body)
}

// nextVersion allocates a version that was never published.
func (c *cluster) nextVersion() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.latestVersion++
	return c.latestVersion
}

// setFaults replaces the faults of a stand-in.
func (c *cluster) setFaults(standIn string, faults any) error {
	return c.put(c.addresses[standIn], "/admin/faults", faults)
}

func (c *cluster) put(address, path string, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return eris.Wrap(err, "encode request body")
	}
	return c.send(address, path, body)
}

func (c *cluster) send(address, path string, body []byte) error {
	request, err := http.NewRequest(http.MethodPut, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, path)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return eris.Wrap(err, path)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(response.Body) // the status is sufficient if the body cannot be read
		return eris.Errorf("PUT %s: %s: %s", path, response.Status, text)
	}
	return nil
}

func (c *cluster) get(address, path string, target any) error {
	response, err := c.client.Get("http://" + address + path)
	if err != nil {
		return eris.Wrap(err, path)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return eris.Errorf("GET %s: %s", path, response.Status)
	}
	return eris.Wrap(json.NewDecoder(response.Body).Decode(target), path)
}

// logEvent adds an event of the test itself to the time line.
func (c *cluster) logEvent(text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loggedEvents = append(c.loggedEvents, time.Now().UTC().Format(timeFormat)+" prove "+text)
}
