package entry

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/sesameswitch/sesameswitch/limit"
	"github.com/sesameswitch/sesameswitch/manifest"
	"github.com/sesameswitch/sesameswitch/outcome"
	"github.com/sesameswitch/sesameswitch/telemetry"
)

// meters are the entry's counters.
type meters struct {
	metrics     *telemetry.Metrics
	retries     metrics.Counter
	cancelsLost metrics.Counter
}

func newMeters(m *telemetry.Metrics) *meters {
	return &meters{
		metrics:     m,
		retries:     m.Counter("sesame_entry_retries_total"),
		cancelsLost: m.Counter("sesame_entry_cancels_lost_total"),
	}
}

func (m *meters) refused(class string, reason outcome.Reason) {
	m.metrics.Counter("sesame_entry_refused_total", "class", class, "reason", string(reason)).Inc(1)
}

func (m *meters) answered(req *request, refusal *outcome.Refusal, took time.Duration) {
	result := outcome.Completed
	if refusal != nil {
		result = refusal.Outcome
		m.refused(req.class.Name, refusal.Reason)
	}
	m.metrics.Counter("sesame_entry_answers_total", "class", req.class.Name, "outcome", string(result)).Inc(1)
	m.metrics.Histogram("sesame_entry_answer_seconds", "class", req.class.Name).Update(int64(took))
}

// limiter applies the account limits.
type limiter struct {
	limit *limit.Limiter
}

func newLimiter(l *limit.Limiter) *limiter {
	return &limiter{limit: l}
}

// allow takes one request from the account's limit.
func (l *limiter) allow(now time.Time, account *manifest.ClientAccount, entries int) (bool, time.Duration) {
	if account.RequestsPerSecond == 0 {
		return true, 0
	}
	return l.limit.Allow(now, account.Name, "", account.RequestsPerSecond, account.Burst, max(1, entries))
}
