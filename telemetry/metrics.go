// Package telemetry provides the metrics and the logger of a process.
//
// Callers may assume that instruments are safe for concurrent use and that the
// same name and labels always return the same instrument. Each lookup allocates
// memory, so code on the request path should look an instrument up once and keep
// it.
package telemetry

import (
	"strconv"
	"strings"

	gometrics "github.com/rcrowley/go-metrics"
)

// Parameters of the exponentially decaying sample from which a histogram computes
// its quantiles. Recent values have the most weight.
const (
	// sampleSize is the maximum number of values in the sample.
	sampleSize = 1028
	// sampleAlpha is the decay rate per second: the weight of a value halves in
	// about 46 seconds.
	sampleAlpha = 0.015
)

// Metrics is the set of instruments of one process.
type Metrics struct {
	registry gometrics.Registry
}

// New returns an empty set of instruments with its own registry.
func New() *Metrics {
	return &Metrics{registry: gometrics.NewRegistry()}
}

// Counter returns the counter with the given name and labels. Labels are given as
// alternating keys and values. Names of counters end in _total.
func (m *Metrics) Counter(name string, labels ...string) gometrics.Counter {
	return m.registry.GetOrRegister(metricKey(name, labels), gometrics.NewCounter).(gometrics.Counter)
}

// Gauge returns the gauge with the given name and labels.
func (m *Metrics) Gauge(name string, labels ...string) gometrics.Gauge {
	return m.registry.GetOrRegister(metricKey(name, labels), gometrics.NewGauge).(gometrics.Gauge)
}

// Histogram returns the histogram with the given name and labels. Its values are
// durations in nanoseconds: int64(d) of a time.Duration d. They are exported in
// seconds, so names of histograms end in _seconds.
func (m *Metrics) Histogram(name string, labels ...string) gometrics.Histogram {
	return m.registry.GetOrRegister(metricKey(name, labels), newHistogram).(gometrics.Histogram)
}

func newHistogram() gometrics.Histogram {
	return gometrics.NewHistogram(gometrics.NewExpDecaySample(sampleSize, sampleAlpha))
}

// metricKey returns the name and the labels in the Prometheus text format. A
// trailing label key without a value gets an empty value.
func metricKey(name string, labels []string) string {
	if len(labels) == 0 {
		return name
	}
	var b strings.Builder
	b.WriteString(name)
	for i := 0; i < len(labels); i += 2 {
		b.WriteByte("{,"[min(i, 1)]) // a brace before the first label, commas before the others
		b.WriteString(labels[i])
		b.WriteByte('=')
		value := ""
		if i+1 < len(labels) {
			value = labels[i+1]
		}
		b.WriteString(strconv.Quote(value))
	}
	b.WriteByte('}')
	return b.String()
}

// CounterValues returns the current value of every counter by its name with
// labels.
func (m *Metrics) CounterValues() map[string]int64 {
	values := make(map[string]int64)
	m.registry.Each(func(name string, instrument any) {
		if c, ok := instrument.(gometrics.Counter); ok {
			values[name] = c.Count()
		}
	})
	return values
}
