package entry

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/sesameswitch/sesameswitch/limit"
	"github.com/sesameswitch/sesameswitch/manifest"
	"github.com/sesameswitch/sesameswitch/outcome"
	"github.com/sesameswitch/sesameswitch/telemetry"
)

// entryMetrics holds the entry's metrics.
type entryMetrics struct {
	registry      *telemetry.Metrics
	retries       metrics.Counter
	failedCancels metrics.Counter
}

func newEntryMetrics(m *telemetry.Metrics) *entryMetrics {
	return &entryMetrics{
		registry:      m,
		retries:       m.Counter("sesame_entry_retries_total"),
		failedCancels: m.Counter("sesame_entry_cancels_lost_total"),
	}
}

// countRefusal counts a refused or failed request. The class is empty if the
// request did not pass the checks of the entry or asked for an idempotency key.
func (m *entryMetrics) countRefusal(class string, reason outcome.Reason) {
	m.registry.Counter("sesame_entry_refused_total", "class", class, "reason", string(reason)).Inc(1)
}

func (m *entryMetrics) countResponse(req *request, refusal *outcome.Refusal, duration time.Duration) {
	result := outcome.Completed
	if refusal != nil {
		result = refusal.Outcome
		m.countRefusal(req.class.Name, refusal.Reason)
	}
	m.registry.Counter("sesame_entry_answers_total", "class", req.class.Name, "outcome", string(result)).Inc(1)
	m.registry.Histogram("sesame_entry_answer_seconds", "class", req.class.Name).Update(int64(duration))
}

// accountLimiter applies the rate limits of the client accounts.
type accountLimiter struct {
	limiter *limit.Limiter
}

func newAccountLimiter(l *limit.Limiter) *accountLimiter {
	return &accountLimiter{limiter: l}
}

// allow counts one request against the account's rate limit, of which each entry
// enforces its share. If the limit is exceeded, it returns false and the retry
// delay. An account with a limit of zero is not limited.
func (l *accountLimiter) allow(now time.Time, account *manifest.ClientAccount, entries int) (bool, time.Duration) {
	if account.RequestsPerSecond == 0 {
		return true, 0
	}
	return l.limiter.Allow(now, account.Name, "", account.RequestsPerSecond, account.Burst, max(1, entries))
}
