package agent

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/sesameswitch/sesameswitch/agentapi"
	"github.com/sesameswitch/sesameswitch/outcome"
	"github.com/sesameswitch/sesameswitch/telemetry"
)

// meters are the agent's counters.
type meters struct {
	metrics *telemetry.Metrics
	joined  metrics.Counter
	// discarded counts kept answers that lost their bytes to newer ones.
	discarded metrics.Counter
	running   metrics.Gauge
	queued    metrics.Gauge
}

func newMeters(m *telemetry.Metrics) *meters {
	return &meters{
		metrics:   m,
		joined:    m.Counter("sesame_agent_joined_total"),
		discarded: m.Counter("sesame_agent_answers_discarded_total"),
		running:   m.Gauge("sesame_agent_running"),
		queued:    m.Gauge("sesame_agent_queued"),
	}
}

func (m *meters) refused(reason outcome.Reason) {
	m.metrics.Counter("sesame_agent_refused_total", "reason", string(reason)).Inc(1)
}

func (m *meters) started(class string, waited time.Duration) {
	m.metrics.Histogram("sesame_agent_queue_seconds", "class", class).Update(int64(waited))
}

func (m *meters) finished(class string, took time.Duration, refusal *outcome.Refusal) {
	result := outcome.Completed
	if refusal != nil {
		result = refusal.Outcome
	}
	m.metrics.Counter("sesame_agent_runs_total", "class", class, "outcome", string(result)).Inc(1)
	m.metrics.Histogram("sesame_agent_run_seconds", "class", class).Update(int64(took))
}

func (m *meters) load(s *agentapi.Status) {
	m.running.Update(int64(s.Running))
	m.queued.Update(int64(s.Queued))
}
