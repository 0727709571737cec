package node

import (
	"context"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
)

// countsInterval is how often the counts of the duties reach the metrics.
const countsInterval = time.Second

// count is a number that only rises, with the counter that shows it.
type count struct {
	read    func() uint64
	counter gometrics.Counter
	shown   uint64
}

// show brings the counter up to date.
func (c *count) show() {
	now := c.read()
	c.counter.Inc(int64(now - c.shown))
	c.shown = now
}

// counts lists what the duties and the connections to peers count.
func (n *Node) counts() []*count {
	config, list := n.duties.syncer.Counts(), n.duties.watcher.Counts()
	traffic := []interface{ Load() int64 }{
		&n.Peers.Traffic().Written, &n.PeerServer.Traffic().Written,
		&n.Peers.Traffic().Read, &n.PeerServer.Traffic().Read,
	}
	sum := func(a, b int) func() uint64 {
		return func() uint64 { return uint64(traffic[a].Load() + traffic[b].Load()) }
	}
	counter := n.Metrics.Counter
	return []*count{
		{read: config.ServiceCalls.Load, counter: counter("sesame_config_service_calls_total")},
		{read: config.ServiceFailures.Load, counter: counter("sesame_config_service_failures_total")},
		{read: config.Pulls.Load, counter: counter("sesame_config_pulls_total")},
		{read: config.PullFailures.Load, counter: counter("sesame_config_pull_failures_total")},
		{read: config.Conflicts.Load, counter: counter("sesame_config_peer_conflicts_total")},
		{read: list.PlatformReads.Load, counter: counter("sesame_vm_list_reads_total")},
		{read: list.PlatformFailures.Load, counter: counter("sesame_vm_list_failures_total")},
		{read: n.Members.ImplausibleLists, counter: counter("sesame_vm_list_held_total")},
		{read: sum(0, 1), counter: counter("sesame_peer_bytes_total", "direction", "sent")},
		{read: sum(2, 3), counter: counter("sesame_peer_bytes_total", "direction", "received")},
	}
}

// showCounts keeps the metrics up to date until the context ends.
func (n *Node) showCounts(ctx context.Context) {
	counts := n.counts()
	age := n.Metrics.Gauge("sesame_vm_list_age_seconds")
	ticker := time.NewTicker(countsInterval)
	defer ticker.Stop()
	for {
		for _, c := range counts {
			c.show()
		}
		if listAge, known := n.duties.watcher.Age(); known {
			age.Update(int64(listAge / time.Second))
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
