// Package slopes measures how the cost of coordination grows: with the number
// of processes, of changes, of client accounts, of keys.
//
// Many processes of the library run in one program, each with its own peer
// listener on loopback, its own connections and its own state; the platform's
// services are stand-ins behind HTTP. What the network adds is not measured.
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
	// dataCentres is the number of data centres of every measured fleet.
	dataCentres = 10
	manifestKey = "sesame-manifest"
	// startLimit bounds the wait for a fleet to agree at its start.
	startLimit = 60 * time.Second
	pollPause  = 2 * time.Millisecond
)

// member is one process of a fleet.
type member struct {
	vm       provider.VM
	listener net.Listener
	server   *peer.Server
	pool     *peer.Pool
	store    *configsync.Store
	syncer   *configsync.Syncer
	watcher  *membership.Watcher
}

// fleet is a deployment of many processes in this program.
type fleet struct {
	members  []*member
	config   *config.Server
	list     *vmlist.Server
	configAt *httptest.Server
	listAt   *httptest.Server
	cancel   context.CancelFunc
	running  sync.WaitGroup
	arrivals arrivals
}

// arrivals notes when each version was in force everywhere.
type arrivals struct {
	mu    sync.Mutex
	count map[uint64]int
	last  map[uint64]time.Time
}

func (a *arrivals) note(version uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.count[version]++
	a.last[version] = time.Now()
}

// everywhere returns when the version reached the last of n processes.
func (a *arrivals) everywhere(version uint64, n int) (time.Time, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.last[version], a.count[version] == n
}

// startFleet starts n processes and waits until all have the first version.
func startFleet(n int, first []byte) (*fleet, error) {
	c := clock.New()
	f := &fleet{config: config.New(), list: vmlist.New(c)}
	f.arrivals = arrivals{count: map[uint64]int{}, last: map[uint64]time.Time{}}
	f.configAt = httptest.NewServer(f.config)
	f.listAt = httptest.NewServer(f.list)
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
	f.list.SetVMs(vms)
	f.config.Publish(manifestKey, first)
	for i, m := range f.members {
		if err := f.start(ctx, c, uint64(i), m); err != nil {
			return f, err
		}
	}
	_, err := f.await(1, startLimit)
	return f, err
}

func newMember(i int) (*member, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "slopes: listen")
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

// start wires a member as the daemons do and runs its duties.
func (f *fleet) start(ctx context.Context, c clock.Clock, seed uint64, m *member) error {
	table := membership.NewTable(m.vm, c)
	m.store = configsync.NewStore(c, configsync.Hooks{
		Accepted: func(version uint64, _ configsync.Source) { f.arrivals.note(version) },
	})
	m.watcher = membership.NewWatcher(membership.WatcherConfig{
		Table: table, Source: httpprovider.NewVMList(f.listAt.URL), Caller: m.pool, Clock: c,
		Rand: rand.New(rand.NewPCG(seed, 1)), Timing: membership.DefaultTiming(),
	})
	m.syncer = configsync.NewSyncer(configsync.SyncerConfig{
		Store: m.store, Source: httpprovider.NewConfigSource(f.configAt.URL, manifestKey),
		Members: table, Caller: m.pool, Clock: c,
		Rand: rand.New(rand.NewPCG(seed, 2)), Timing: configsync.DefaultTiming(),
	})
	if err := m.server.Register(configsync.ServiceName, m.syncer.Service()); err != nil {
		return err
	}
	if err := m.server.Register(membership.ServiceName, m.watcher.Service()); err != nil {
		return err
	}
	f.running.Go(func() { _ = m.server.Serve(m.listener) })
	f.running.Go(func() { m.watcher.Run(ctx) })
	f.running.Go(func() { m.syncer.Run(ctx) })
	f.running.Go(func() { m.syncer.Confirm(ctx) })
	return nil
}

// await waits until the version is in force everywhere and returns when that
// was.
func (f *fleet) await(version uint64, limit time.Duration) (time.Time, error) {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		if at, ok := f.arrivals.everywhere(version, len(f.members)); ok {
			return at, nil
		}
		time.Sleep(pollPause)
	}
	return time.Time{}, eris.Errorf("slopes: version %d is not in force everywhere after %v", version, limit)
}

// stop ends all processes of the fleet.
func (f *fleet) stop() {
	f.cancel()
	for _, m := range f.members {
		m.listener.Close()
		m.pool.Close()
		m.server.Close()
	}
	f.running.Wait()
	f.configAt.CloseClientConnections()
	f.configAt.Close()
	f.listAt.CloseClientConnections()
	f.listAt.Close()
}

// peerBytes returns the bytes that all members wrote to peers so far. Each
// byte written by one is read by another.
func (f *fleet) peerBytes() int64 {
	total := int64(0)
	for _, m := range f.members {
		total += m.pool.Traffic().Written.Load() + m.server.Traffic().Written.Load()
	}
	return total
}

// configCalls returns the calls to the configuration service so far.
func (f *fleet) configCalls() uint64 {
	calls := f.config.CallCounts()
	return calls.Reads + calls.Watches
}

// listReads returns the reads of the VM list so far.
func (f *fleet) listReads() uint64 {
	return f.sum(func(m *member) *atomic.Uint64 { return &m.watcher.Counts().PlatformReads })
}

func (f *fleet) sum(counter func(*member) *atomic.Uint64) uint64 {
	total := uint64(0)
	for _, m := range f.members {
		total += counter(m).Load()
	}
	return total
}
