package node

import (
	"context"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
)

// metricsInterval is how often counters and gauges are updated.
const metricsInterval = time.Second

// counterSource is a number that never decreases, and the counter to which it is
// exported.
type counterSource struct {
	read     func() uint64
	counter  gometrics.Counter
	exported uint64 // value at the last export
}

// export adds the increase since the last export to the counter.
func (c *counterSource) export() {
	value := c.read()
	c.counter.Inc(int64(value - c.exported))
	c.exported = value
}

// counterSources returns the counters of the background tasks and of the
// connections to peers.
func (n *Node) counterSources() []*counterSource {
	config, vmList := n.background.syncer.Counts(), n.background.updater.Counts()
	byteCounts := []interface{ Load() int64 }{
		&n.Peers.Traffic().Written, &n.PeerServer.Traffic().Written,
		&n.Peers.Traffic().Read, &n.PeerServer.Traffic().Read,
	}
	sum := func(a, b int) func() uint64 {
		return func() uint64 { return uint64(byteCounts[a].Load() + byteCounts[b].Load()) }
	}
	counter := n.Metrics.Counter
	return []*counterSource{
		{read: config.ServiceCalls.Load, counter: counter("sesame_config_service_calls_total")},
		{read: config.ServiceFailures.Load, counter: counter("sesame_config_service_failures_total")},
		{read: config.Pulls.Load, counter: counter("sesame_config_pulls_total")},
		{read: config.PullFailures.Load, counter: counter("sesame_config_pull_failures_total")},
		{read: config.Conflicts.Load, counter: counter("sesame_config_peer_conflicts_total")},
		{read: vmList.PlatformReads.Load, counter: counter("sesame_vm_list_reads_total")},
		{read: vmList.PlatformFailures.Load, counter: counter("sesame_vm_list_failures_total")},
		{read: n.Members.ImplausibleLists, counter: counter("sesame_vm_list_held_total")},
		{read: sum(0, 1), counter: counter("sesame_peer_bytes_total", "direction", "sent")},
		{read: sum(2, 3), counter: counter("sesame_peer_bytes_total", "direction", "received")},
	}
}

// exportMetrics updates the metrics periodically until the context ends.
func (n *Node) exportMetrics(ctx context.Context) {
	sources := n.counterSources()
	ageGauge := n.Metrics.Gauge("sesame_vm_list_age_seconds")
	ticker := time.NewTicker(metricsInterval)
	defer ticker.Stop()
	for {
		for _, c := range sources {
			c.export()
		}
		if age, known := n.background.updater.Age(); known {
			ageGauge.Update(int64(age / time.Second))
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
