package agent

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/sesameswitch/sesameswitch/agentapi"
	"github.com/sesameswitch/sesameswitch/outcome"
	"github.com/sesameswitch/sesameswitch/telemetry"
)

// agentMetrics holds the agent's counters, gauges and histograms.
type agentMetrics struct {
	registry *telemetry.Metrics
	// joined counts retries of a key that joined the existing run.
	joined metrics.Counter
	// discarded counts stored responses that were discarded in favour of newer
	// ones.
	discarded metrics.Counter
	// unread counts responses that were discarded because nobody read them while memory was
	// short.
	unread  metrics.Counter
	running metrics.Gauge
	queued  metrics.Gauge
}

func newAgentMetrics(registry *telemetry.Metrics) *agentMetrics {
	return &agentMetrics{
		registry:  registry,
		joined:    registry.Counter("sesame_agent_joined_total"),
		discarded: registry.Counter("sesame_agent_answers_discarded_total"),
		unread:    registry.Counter("sesame_agent_unread_discarded_total"),
		running:   registry.Gauge("sesame_agent_running"),
		queued:    registry.Gauge("sesame_agent_queued"),
	}
}

func (m *agentMetrics) countRefusal(reason outcome.Reason) {
	m.registry.Counter("sesame_agent_refused_total", "reason", string(reason)).Inc(1)
}

func (m *agentMetrics) observeStart(class string, waited time.Duration) {
	m.registry.Histogram("sesame_agent_queue_seconds", "class", class).Update(int64(waited))
}

func (m *agentMetrics) observeEnd(class string, took time.Duration, refusal *outcome.Refusal) {
	result := outcome.Completed
	if refusal != nil {
		result = refusal.Outcome
	}
	m.registry.Counter("sesame_agent_runs_total", "class", class, "outcome", string(result)).Inc(1)
	m.registry.Histogram("sesame_agent_run_seconds", "class", class).Update(int64(took))
}

func (m *agentMetrics) setLoad(s *agentapi.Status) {
	m.running.Update(int64(s.Running))
	m.queued.Update(int64(s.Queued))
}
