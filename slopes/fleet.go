// Package slopes measures how the cost of coordination grows with the number of
// processes, configuration changes, client accounts and idempotency keys.
//
// Many simulated processes run in one program, each with its own peer listener on
// loopback, its own connections and its own state. The services of the platform
// are stand-ins reached by HTTP. The cost of a real network is not measured.
package slopes

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesameswitch/sesameswitch/clock"
	"github.com/sesameswitch/sesameswitch/configsync"
	"github.com/sesameswitch/sesameswitch/membership"
	"github.com/sesameswitch/sesameswitch/peer"
	"github.com/sesameswitch/sesameswitch/provider"
	"github.com/sesameswitch/sesameswitch/provider/httpprovider"
	"github.com/sesameswitch/sesameswitch/standin/config"
	"github.com/sesameswitch/sesameswitch/standin/vmlist"
)

const (
	// dataCentres is the number of data centres of each fleet.
	dataCentres = 10
	// manifestKey is the key of the manifest in the configuration service.
	manifestKey = "sesame-manifest"
	// startTimeout bounds the wait until the first version is active in a new
	// fleet.
	startTimeout = 60 * time.Second
	// pollInterval is the time between two checks whether a version is active in
	// all processes. Measured times do not depend on it.
	pollInterval = 2 * time.Millisecond
)

// member is one simulated process of a fleet.
type member struct {
	vm       provider.VM
	listener net.Listener
	server   *peer.Server
	pool     *peer.Pool
	store    *configsync.Store
	syncer   *configsync.Syncer
	updater  *membership.Updater
}

// fleet is a deployment of many simulated processes in this program.
type fleet struct {
	members      []*member
	config       *config.Server
	vmList       *vmlist.Server
	configServer *httptest.Server
	vmListServer *httptest.Server
	cancel       context.CancelFunc
	goroutines   sync.WaitGroup
	activations  activationLog
}

// activationLog records how many processes have activated each version, and the
// time of the last activation.
type activationLog struct {
	mu     sync.Mutex
	count  map[uint64]int
	lastAt map[uint64]time.Time
}

// record records one activation of a version.
func (l *activationLog) record(version uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.count[version]++
	l.lastAt[version] = time.Now()
}

// completedAt returns the time of the last activation of a version, and whether n
// processes have activated the version.
func (l *activationLog) completedAt(version uint64, n int) (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastAt[version], l.count[version] == n
}

// startFleet starts n processes and waits until the manifest, which must have
// version 1, is active in all of them. The returned fleet must be stopped, also
// after an error.
func startFleet(n int, manifest []byte) (*fleet, error) {
	c := clock.New()
	f := &fleet{config: config.New(), vmList: vmlist.New(c)}
	f.activations = activationLog{count: map[uint64]int{}, lastAt: map[uint64]time.Time{}}
	f.configServer = httptest.NewServer(f.config)
	f.vmListServer = httptest.NewServer(f.vmList)
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	vms := make([]provider.VM, n)
	for i := range n {
		m, err := newMember(i)
		if err != nil {
			return f, err
		}
		f.members = append(f.members, m)
		vms[i] = m.vm
	}
	f.vmList.SetVMs(vms)
	f.config.Publish(manifestKey, manifest)
	for i, m := range f.members {
		if err := f.start(ctx, c, uint64(i), m); err != nil {
			return f, err
		}
	}
	_, err := f.awaitActivation(1, startTimeout)
	return f, err
}

// newMember creates process i and its listener. Three of ten processes are
// entries, the others agents.
func newMember(i int) (*member, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "slopes: listen for peers")
	}
	role := provider.RoleAgent
	if i%10 < 3 {
		role = provider.RoleEntry
	}
	vm := provider.VM{
		Name: fmt.Sprintf("vm-%04d", i), Address: listener.Addr().String(),
		DataCentre: fmt.Sprintf("dc-%d", i%dataCentres), Region: fmt.Sprintf("region-%d", i%3),
		Role: role, State: provider.VMLive,
	}
	cfg := peer.DefaultConfig()
	return &member{vm: vm, listener: listener, server: peer.NewServer(cfg), pool: peer.NewPool(cfg)}, nil
}

// start creates the other components of a member, connects them as the daemons do
// and starts its goroutines.
func (f *fleet) start(ctx context.Context, c clock.Clock, seed uint64, m *member) error {
	table := membership.NewTable(m.vm, c)
	m.store = configsync.NewStore(c, configsync.Hooks{
		Accepted: func(version uint64, _ configsync.Origin) { f.activations.record(version) },
	})
	m.updater = membership.NewUpdater(membership.UpdaterConfig{
		Table: table, Source: httpprovider.NewVMLister(f.vmListServer.URL), Peers: m.pool, Clock: c,
		Rand: rand.New(rand.NewPCG(seed, 1)), Timing: membership.DefaultTiming(),
	})
	m.syncer = configsync.NewSyncer(configsync.SyncerConfig{
		Store: m.store, Source: httpprovider.NewConfigSource(f.configServer.URL, manifestKey),
		Members: table, Peers: m.pool, Clock: c,
		Rand: rand.New(rand.NewPCG(seed, 2)), Timing: configsync.DefaultTiming(),
	})
	if err := m.server.Register(configsync.ServiceName, m.syncer.RPCService()); err != nil {
		return err
	}
	if err := m.server.Register(membership.ServiceName, m.updater.RPCService()); err != nil {
		return err
	}
	f.goroutines.Go(func() { _ = m.server.Serve(m.listener) })
	f.goroutines.Go(func() { m.updater.Run(ctx) })
	f.goroutines.Go(func() { m.syncer.Run(ctx) })
	f.goroutines.Go(func() { m.syncer.Confirm(ctx) })
	return nil
}

// awaitActivation waits until a version is active in all processes and returns the
// time of the last activation.
func (f *fleet) awaitActivation(version uint64, timeout time.Duration) (time.Time, error) {
	deadline := time.Now().Add(timeout)
	for time.Now().Before(deadline) {
		if at, ok := f.activations.completedAt(version, len(f.members)); ok {
			return at, nil
		}
		time.Sleep(pollInterval)
	}
	return time.Time{}, eris.Errorf("slopes: version %d is not active in all processes after %v", version, timeout)
}

// stop stops all processes of the fleet and the stand-ins.
func (f *fleet) stop() {
	f.cancel()
	for _, m := range f.members {
		m.listener.Close()
		m.pool.Close()
		m.server.Close()
	}
	f.goroutines.Wait()
	f.configServer.CloseClientConnections()
	f.configServer.Close()
	f.vmListServer.CloseClientConnections()
	f.vmListServer.Close()
}

// peerBytes returns the number of bytes that all members have written to peers.
// Each byte written by one member is read by another, so the traffic in both
// directions is twice this number.
func (f *fleet) peerBytes() int64 {
	total := int64(0)
	for _, m := range f.members {
		total += m.pool.Traffic().Written.Load() + m.server.Traffic().Written.Load()
	}
	return total
}

// configCalls returns the number of calls to the configuration service.
func (f *fleet) configCalls() uint64 {
	calls := f.config.CallCounts()
	return calls.Reads + calls.Watches
}

// vmListReads returns the number of reads of the VM list by all members.
func (f *fleet) vmListReads() uint64 {
	return f.sum(func(m *member) *atomic.Uint64 { return &m.updater.Counts().PlatformReads })
}

// sum adds up a counter over all members.
func (f *fleet) sum(counter func(*member) *atomic.Uint64) uint64 {
	total := uint64(0)
	for _, m := range f.members {
		total += counter(m).Load()
	}
	return total
}
