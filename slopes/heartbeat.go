package slopes

import (
	"context"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/sesameswitch/sesameswitch/agentapi"
	"github.com/sesameswitch/sesameswitch/clock"
	"github.com/sesameswitch/sesameswitch/configsync"
	"github.com/sesameswitch/sesameswitch/entry"
	"github.com/sesameswitch/sesameswitch/membership"
	"github.com/sesameswitch/sesameswitch/peer"
	"github.com/sesameswitch/sesameswitch/provider"
	"github.com/sesameswitch/sesameswitch/telemetry"
	"github.com/sesameswitch/sesameswitch/timeline"
)

const (
	// heartbeatDuration is how long heartbeats are measured: six heartbeat intervals
	// of an entry.
	heartbeatDuration = 9 * time.Second
	// timelineCapacity is the capacity of the time line of the entry, in events.
	timelineCapacity = 1024
)

// HeartbeatCost is the cost of the heartbeats of an entry with idle agents.
type HeartbeatCost struct {
	Agents int `json:"agents"`
	// BytesPerSecond is the traffic of the entry in both directions, without TCP
	// and IP headers.
	BytesPerSecond float64 `json:"bytes_per_second"`
	// BytesPerSecondPerAgent is the traffic of one agent with the entry.
	BytesPerSecondPerAgent float64 `json:"per_agent"`
	// CorePercent is the CPU time of the entry and all agents in percent of one
	// core.
	CorePercent float64 `json:"core_percent"`
}

// statusService responds to the heartbeats of an entry with a fixed status.
type statusService struct{ status agentapi.Status }

// Status returns the fixed status. It replaces the method of the same name of an
// agent.
func (s *statusService) Status(_ agentapi.StatusArgs, reply *agentapi.StatusReply) error {
	reply.Status = s.status
	return nil
}

// MeasureHeartbeats runs an entry with a number of idle agents, all of them in its
// subset, and measures the cost of its heartbeats.
func MeasureHeartbeats(agents int) (HeartbeatCost, error) {
	cost := HeartbeatCost{Agents: agents}
	pool := peer.NewPool(peer.DefaultConfig())
	defer pool.Close()
	vms := make([]provider.VM, agents)
	for i := range agents {
		address, stop, err := serveStatus(i)
		if err != nil {
			return cost, err
		}
		defer stop()
		vms[i] = provider.VM{
			Name: fmt.Sprintf("vm-%04d", i), Address: address, DataCentre: "dc-1",
			Role: provider.RoleAgent, State: provider.VMLive,
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	e := newEntry(pool, vms)
	go func() { _ = e.Run(ctx) }() // ends with the context
	time.Sleep(settleDuration)
	traffic := pool.Traffic()
	start, cpuStart := time.Now(), processCPUTime()
	bytesStart := traffic.Read.Load() + traffic.Written.Load()
	time.Sleep(heartbeatDuration)
	seconds := time.Since(start).Seconds()
	bytes := traffic.Read.Load() + traffic.Written.Load() - bytesStart
	cost.BytesPerSecond = float64(bytes) / seconds
	cost.BytesPerSecondPerAgent = cost.BytesPerSecond / float64(agents)
	cost.CorePercent = 100 * (processCPUTime() - cpuStart).Seconds() / seconds
	return cost, nil
}

// newEntry creates an entry without callers whose membership table lists the
// agents.
func newEntry(pool *peer.Pool, agents []provider.VM) *entry.Entry {
	c := clock.New()
	self := provider.VM{Name: "vm-entry", Address: "127.0.0.1:1", DataCentre: "dc-1", Role: provider.RoleEntry, State: provider.VMLive}
	members := membership.NewTable(self, c)
	members.Apply(append([]provider.VM{self}, agents...))
	log := logrus.New()
	log.SetOutput(io.Discard)
	process := timeline.Process{VM: self.Name, Role: string(self.Role), DataCentre: self.DataCentre, Incarnation: "life"}
	return entry.New(entry.Config{VM: self, SubsetSize: len(agents)}, entry.Dependencies{
		Peers:         pool,
		Configuration: configsync.NewStore(c, configsync.Hooks{}),
		Members:       members,
		Clock:         c,
		Metrics:       telemetry.New(),
		Timeline:      timeline.New(process, timelineCapacity, c),
		Log:           log,
	})
}

// serveStatus starts a simulated agent that only responds to heartbeats.
func serveStatus(i int) (address string, stop func(), err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, eris.Wrap(err, "slopes: listen for heartbeats")
	}
	server := peer.NewServer(peer.DefaultConfig())
	service := &statusService{status: agentapi.Status{
		VM: fmt.Sprintf("vm-%04d", i), DataCentre: "dc-1", Incarnation: "0192f3a4-5b6c-7d8e-9f00-112233445566",
		State: agentapi.StateServing, Models: []string{"model-1", "model-2"}, ConfigVersion: 584_000,
		Slots: 128, Running: 110, Queued: 12,
		WaitByTier: [4]time.Duration{10 * time.Millisecond, 50 * time.Millisecond, 200 * time.Millisecond, time.Second},
	}}
	if err := server.Register("Agent", service); err != nil {
		return "", nil, err
	}
	go func() { _ = server.Serve(listener) }() // ends with the listener
	return listener.Addr().String(), func() { listener.Close(); server.Close() }, nil
}
