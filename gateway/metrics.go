package gateway

import (
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/sesameswitch/sesameswitch/telemetry"
)

// gatewayMetrics holds the gateway's counters and histograms.
type gatewayMetrics struct {
	registry            *telemetry.Metrics
	retries             gometrics.Counter
	retriesRefused      gometrics.Counter
	callersDisconnected gometrics.Counter
	truncatedResponses  gometrics.Counter
	noCapacity          gometrics.Counter
	pauses              gometrics.Counter
	pushbacks           gometrics.Counter
	limitChanges        gometrics.Counter
	lateResponses       gometrics.Counter
	withheld            gometrics.Counter
	crashes             gometrics.Counter
	quarantineChanges   gometrics.Counter
	quarantineRefusals  gometrics.Counter
	quarantined         gometrics.Gauge
	noAnswers           map[NoAnswer]gometrics.Counter
	coldServers         gometrics.Gauge
	tokensAsked         gometrics.Counter
	tokensLent          gometrics.Counter
	tokensBorrowed      gometrics.Counter
	tokensExpired       gometrics.Counter
}

func newGatewayMetrics(registry *telemetry.Metrics) *gatewayMetrics {
	noAnswers := make(map[NoAnswer]gometrics.Counter, len(unansweredReasons))
	for _, n := range unansweredReasons {
		noAnswers[n] = registry.Counter("sesame_gateway_no_answer_total", "reason", string(n))
	}
	return &gatewayMetrics{
		noAnswers:           noAnswers,
		registry:            registry,
		retries:             registry.Counter("sesame_gateway_repeats_total"),
		retriesRefused:      registry.Counter("sesame_gateway_repeats_refused_total"),
		callersDisconnected: registry.Counter("sesame_gateway_callers_gone_total"),
		noCapacity:          registry.Counter("sesame_gateway_turned_away_total"),
		pushbacks:           registry.Counter("sesame_gateway_backend_pauses_total"),
		limitChanges:        registry.Counter("sesame_gateway_backend_limit_changes_total"),
		withheld:            registry.Counter("sesame_gateway_sends_withheld_total"),
		lateResponses:       registry.Counter("sesame_gateway_late_responses_total"),
		pauses:              registry.Counter("sesame_gateway_pauses_total"),
		crashes:             registry.Counter("sesame_gateway_backend_crashes_total"),
		quarantineChanges:   registry.Counter("sesame_gateway_quarantine_changes_total"),
		quarantineRefusals:  registry.Counter("sesame_gateway_quarantine_refusals_total"),
		quarantined:         registry.Gauge("sesame_gateway_quarantined_traits"),
		coldServers:         registry.Gauge("sesame_gateway_cold_servers"),
		tokensAsked:         registry.Counter("sesame_gateway_cold_tokens_asked_total"),
		tokensLent:          registry.Counter("sesame_gateway_cold_tokens_lent_total"),
		tokensBorrowed:      registry.Counter("sesame_gateway_cold_tokens_borrowed_total"),
		tokensExpired:       registry.Counter("sesame_gateway_cold_tokens_expired_total"),
		truncatedResponses:  registry.Counter("sesame_gateway_answers_cut_total"),
	}
}

func (m *gatewayMetrics) refused(route, reason string) {
	m.registry.Counter("sesame_gateway_refused_total", "route", route, "reason", reason).Inc(1)
}

// unanswered counts a request that got no answer.
func (m *gatewayMetrics) unanswered(reason NoAnswer) { m.noAnswers[reason].Inc(1) }

func (m *gatewayMetrics) ignoredField(field string) {
	m.registry.Counter("sesame_gateway_response_fields_ignored_total", "field", field).Inc(1)
}

func (m *gatewayMetrics) takenUp(origin string) {
	m.registry.Counter("sesame_gateway_streams_taken_up_total", "origin", origin).Inc(1)
}

func (m *gatewayMetrics) failed(route string) {
	m.registry.Counter("sesame_gateway_failed_total", "route", route).Inc(1)
}

func (m *gatewayMetrics) completed(route string, took, firstByteAfter time.Duration) {
	m.registry.Counter("sesame_gateway_completed_total", "route", route).Inc(1)
	m.registry.Histogram("sesame_gateway_answer_seconds", "route", route).Update(int64(took))
	m.registry.Histogram("sesame_gateway_first_byte_seconds", "route", route).Update(int64(firstByteAfter))
}
