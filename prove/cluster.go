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
	startPatience = 30 * time.Second
	adminTimeout  = time.Second
	configKey     = "manifest"
	// scarceKeysEvery makes each seed divisible by it run with scarceKeys.
	scarceKeysEvery = 5
)

// member is a process of the system under test.
type member struct {
	testbed.Program
	vm    provider.VM
	admin string
	// callers is the address for callers, of entries only.
	callers string
	// link stands between the other processes and an agent.
	link *testbed.Relay
	// busy is held by the failure that works on the member.
	busy sync.Mutex
}

// cluster is a whole deployment under test.
type cluster struct {
	opts    Options
	began   time.Time
	client  *http.Client
	config  *testbed.Program
	list    *testbed.Program
	engines []*testbed.Program
	shops   []*testbed.Program
	// addresses of the stand-ins, by name.
	addresses map[string]string
	entries   []*member
	agents    []*member
	recorder  history.Recorder
	limits    keyLimits

	mu      sync.Mutex
	version uint64
	events  []string
	// saved are events of members whose time line would be lost.
	saved      []timeline.Event
	departures []departure
}

// now is the time since the start of the history.
func (c *cluster) now() time.Duration { return time.Since(c.began) }

func newCluster(opts Options, seed uint64) *cluster {
	limits := ampleKeys
	if seed%scarceKeysEvery == 0 {
		limits = scarceKeys
	}
	return &cluster{
		limits:    limits,
		opts:      opts,
		began:     time.Now(),
		client:    &http.Client{Timeout: adminTimeout},
		addresses: make(map[string]string),
	}
}

// start brings everything up and waits until all members are ready.
func (c *cluster) start() error {
	if err := c.startStandIns(); err != nil {
		return err
	}
	if err := c.publish(1, c.manifestOf(1), true); err != nil {
		return err
	}
	if err := c.startMembers(); err != nil {
		return err
	}
	if err := c.putVMs(); err != nil {
		return err
	}
	return c.awaitReady(startPatience)
}

func (c *cluster) startStandIns() error {
	var err error
	if c.config, err = c.standIn("config", "config"); err != nil {
		return err
	}
	if c.list, err = c.standIn("vmlist", "vmlist"); err != nil {
		return err
	}
	for _, name := range []string{"engine-1", "engine-2"} {
		p, err := c.standIn(name, "engine", "--models", chatModel+","+orderModel, "--time-scale", "10", "--slots", "8")
		if err != nil {
			return err
		}
		c.engines = append(c.engines, p)
	}
	for _, name := range []string{"service-1", "service-2"} {
		p, err := c.standIn(name, "service", "--name", serviceName, "--latency", "30ms")
		if err != nil {
			return err
		}
		c.shops = append(c.shops, p)
	}
	return nil
}

func (c *cluster) standIn(name, kind string, args ...string) (*testbed.Program, error) {
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
	return p, c.await(startPatience, func() bool { return c.reachable(address) })
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

// newMember returns a member with free addresses and the flags that all
// members have.
func (c *cluster) newMember(name, program string, role provider.Role) (*member, string, error) {
	admin, err := testbed.FreeAddress()
	if err != nil {
		return nil, "", err
	}
	peers, err := testbed.FreeAddress()
	if err != nil {
		return nil, "", err
	}
	m := &member{
		Program: testbed.Program{Name: name, Path: filepath.Join(c.opts.Bin, program), Env: c.opts.Environment},
		vm:      provider.VM{Name: name, Address: peers, DataCentre: "dc-1", Role: role, State: provider.VMLive},
		admin:   admin,
	}
	m.Args = []string{
		"--vm", name, "--data-centre", "dc-1", "--admin-listen", admin,
		"--config-url", "http://" + c.addresses["config"], "--config-key", configKey,
		"--vm-list-url", "http://" + c.addresses["vmlist"],
	}
	return m, peers, nil
}

func (c *cluster) newAgent(name, backend string) (*member, error) {
	m, peers, err := c.newMember(name, "sesame-agent", provider.RoleAgent)
	if err != nil {
		return nil, err
	}
	if m.link, err = testbed.NewRelay(peers); err != nil {
		return nil, err
	}
	m.vm.Address = m.link.Address()
	m.Args = append(m.Args, "--listen", peers, "--backend-url", "http://"+c.addresses[backend], "--slots", "8")
	if backend[:1] == "e" {
		m.Args = append(m.Args, "--backend-kind", "engine", "--models", chatModel+","+orderModel)
	} else {
		m.Args = append(m.Args, "--backend-kind", "service", "--services", serviceName)
	}
	return m, nil
}

func (c *cluster) newEntry(name string) (*member, error) {
	m, peers, err := c.newMember(name, "sesame-entry", provider.RoleEntry)
	if err != nil {
		return nil, err
	}
	if m.callers, err = testbed.FreeAddress(); err != nil {
		return nil, err
	}
	m.Args = append(m.Args, "--listen", m.callers, "--peer-listen", peers)
	return m, nil
}

// close ends all processes.
func (c *cluster) close() {
	for _, m := range c.members() {
		if m.link != nil {
			m.link.Close()
		}
		m.KillIfStarted()
	}
	for _, p := range append(append([]*testbed.Program{c.config, c.list}, c.engines...), c.shops...) {
		p.KillIfStarted()
	}
}

func (c *cluster) awaitReady(patience time.Duration) error {
	err := c.await(patience, func() bool {
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
			return eris.Errorf("%s is not ready after %v: %s", m.Name, patience, m.Stderr())
		}
	}
	return err
}

func (c *cluster) ready(m *member) bool {
	response, err := c.client.Get("http://" + m.admin + "/readyz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

const pollInterval = 20 * time.Millisecond

func (c *cluster) await(patience time.Duration, condition func() bool) error {
	limit := time.Now().Add(patience)
	for !condition() {
		if time.Now().After(limit) {
			return eris.Errorf("condition does not hold after %v", patience)
		}
		time.Sleep(pollInterval)
	}
	return nil
}

// putVMs makes the list of VMs tell the present members and states, but for
// those left out.
func (c *cluster) putVMs(leftOut ...*member) error {
	var vms []provider.VM
	for _, m := range c.members() {
		if !slices.Contains(leftOut, m) {
			vms = append(vms, m.vm)
		}
	}
	return c.put(c.addresses["vmlist"], "/admin/vms", vms)
}

// publish puts a document into the configuration service.
func (c *cluster) publish(version uint64, body []byte, valid bool) error {
	c.mu.Lock()
	c.version = max(c.version, version)
	c.mu.Unlock()
	c.recorder.Publish(history.Publication{At: c.now(), Version: version, Valid: valid})
	return c.send(c.addresses["config"], "/admin/values/"+configKey, body)
}

// nextVersion returns a version that was never published.
func (c *cluster) nextVersion() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version++
	return c.version
}

// setFaults replaces a stand-in's faults.
func (c *cluster) setFaults(standIn string, faults any) error {
	return c.put(c.addresses[standIn], "/admin/faults", faults)
}

func (c *cluster) put(address, path string, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return eris.Wrap(err, "encode")
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
		text, _ := io.ReadAll(response.Body) // the status says enough
		return eris.Errorf("PUT %s: %s: %s", path, response.Status, text)
	}
	return nil
}

func (c *cluster) get(address, path string, into any) error {
	response, err := c.client.Get("http://" + address + path)
	if err != nil {
		return eris.Wrap(err, path)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return eris.Errorf("GET %s: %s", path, response.Status)
	}
	return eris.Wrap(json.NewDecoder(response.Body).Decode(into), path)
}

// note adds an event of the run itself to the time line.
func (c *cluster) note(what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events = append(c.events, time.Now().UTC().Format(timeFormat)+" prove "+what)
}
