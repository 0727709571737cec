package gateway

import (
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/sesameswitch/sesameswitch/telemetry"
)

// meters are the gateway's counters and histograms.
type meters struct {
	metrics     *telemetry.Metrics
	repeats     gometrics.Counter
	budgetEmpty gometrics.Counter
	hungUp      gometrics.Counter
	cut         gometrics.Counter
	turnedAway  gometrics.Counter
}

func newMeters(m *telemetry.Metrics) *meters {
	return &meters{
		metrics:     m,
		repeats:     m.Counter("sesame_gateway_repeats_total"),
		budgetEmpty: m.Counter("sesame_gateway_repeats_refused_total"),
		hungUp:      m.Counter("sesame_gateway_callers_gone_total"),
		turnedAway:  m.Counter("sesame_gateway_turned_away_total"),
		cut:         m.Counter("sesame_gateway_answers_cut_total"),
	}
}

func (m *meters) refused(route, reason string) {
	m.metrics.Counter("sesame_gateway_refused_total", "route", route, "reason", reason).Inc(1)
}

func (m *meters) failed(route string) {
	m.metrics.Counter("sesame_gateway_failed_total", "route", route).Inc(1)
}

func (m *meters) completed(route string, took, first time.Duration) {
	m.metrics.Counter("sesame_gateway_completed_total", "route", route).Inc(1)
	m.metrics.Histogram("sesame_gateway_answer_seconds", "route", route).Update(int64(took))
	m.metrics.Histogram("sesame_gateway_first_byte_seconds", "route", route).Update(int64(first))
}
