package slopes

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesameswitch/sesameswitch/agentapi"
	"github.com/sesameswitch/sesameswitch/peer"
)

// heartbeatTime is how long heartbeats are measured.
const heartbeatTime = 6 * time.Second

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

// MeasureHeartbeats has one entry ask a number of idle agents for their status
// once a second.
func MeasureHeartbeats(agents int) (HeartbeatPoint, error) {
	point := HeartbeatPoint{Agents: agents}
	pool := peer.NewPool(peer.DefaultConfig())
	defer pool.Close()
	var addresses []string
	for i := range agents {
		address, stop, err := serveStatus(i)
		if err != nil {
			return point, err
		}
		defer stop()
		addresses = append(addresses, address)
	}
	beat(pool, addresses)
	traffic := pool.Traffic()
	start, cpu := time.Now(), processorTime()
	bytes := traffic.Read.Load() + traffic.Written.Load()
	for time.Since(start) < heartbeatTime {
		next := time.Now().Add(time.Second)
		beat(pool, addresses)
		time.Sleep(time.Until(next))
	}
	seconds := time.Since(start).Seconds()
	bytes = traffic.Read.Load() + traffic.Written.Load() - bytes
	point.BytesPerSecond = float64(bytes) / seconds
	point.PerAgent = point.BytesPerSecond / float64(agents)
	point.CorePercent = 100 * (processorTime() - cpu).Seconds() / seconds
	return point, nil
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

// beat asks every agent once.
func beat(pool *peer.Pool, addresses []string) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var calls sync.WaitGroup
	for _, address := range addresses {
		calls.Go(func() {
			args := agentapi.StatusArgs{Entry: "vm-0001", ConfigVersion: 584_000}
			_ = pool.Call(ctx, address, agentapi.MethodStatus, args, &agentapi.StatusReply{})
		})
	}
	calls.Wait()
}
