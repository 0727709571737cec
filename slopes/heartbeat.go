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
	// heartbeatTime is how long heartbeats are measured.
	heartbeatTime = 9 * time.Second
	// timelineEvents bounds the time line of a measured entry.
	timelineEvents = 1024
)

// HeartbeatPoint is what an entry's heartbeats with idle agents cost.
type HeartbeatPoint struct {
	Agents int `json:"agents"`
	// BytesPerSecond is what the entry sends and receives, without the headers
	// of TCP and IP.
	BytesPerSecond float64 `json:"bytes_per_second"`
	// PerAgent is BytesPerSecond for one agent, which is also what an agent
	// spends on one entry.
	PerAgent float64 `json:"per_agent"`
	// CorePercent is the processor time of both ends.
	CorePercent float64 `json:"core_percent"`
}

// statusService answers heartbeats as an agent does.
type statusService struct{ status agentapi.Status }

// Status answers a heartbeat.
func (s *statusService) Status(_ agentapi.StatusArgs, reply *agentapi.StatusReply) error {
	reply.Status = s.status
	return nil
}

// MeasureHeartbeats runs an entry beside a number of idle agents, all of
// them in its subset, and counts what its heartbeats cost.
func MeasureHeartbeats(agents int) (HeartbeatPoint, error) {
	point := HeartbeatPoint{Agents: agents}
	pool := peer.NewPool(peer.DefaultConfig())
	defer pool.Close()
	vms := make([]provider.VM, agents)
	for i := range agents {
		address, stop, err := serveStatus(i)
		if err != nil {
			return point, err
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
	time.Sleep(settleTime)
	traffic := pool.Traffic()
	start, cpu := time.Now(), processorTime()
	from := traffic.Read.Load() + traffic.Written.Load()
	time.Sleep(heartbeatTime)
	seconds := time.Since(start).Seconds()
	bytes := traffic.Read.Load() + traffic.Written.Load() - from
	point.BytesPerSecond = float64(bytes) / seconds
	point.PerAgent = point.BytesPerSecond / float64(agents)
	point.CorePercent = 100 * (processorTime() - cpu).Seconds() / seconds
	return point, nil
}

// newEntry wires an entry that knows the agents and has no callers.
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
		Timeline:      timeline.New(process, timelineEvents, c),
		Log:           log,
	})
}

// serveStatus starts an agent that answers heartbeats only.
func serveStatus(i int) (address string, stop func(), err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, eris.Wrap(err, "slopes: listen")
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
