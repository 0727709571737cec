// Package telemetry holds the counters and the logger of a process.
//
// A caller may rely on the returned instruments being safe for concurrent use
// and on the same name and labels always giving the same instrument. Looking
// one up costs an allocation, so code on the path of a request keeps it.
package telemetry

import (
	"strconv"
	"strings"

	gometrics "github.com/rcrowley/go-metrics"
)

// Sizes of the sample behind a histogram: the latest values weigh most.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// Metrics is the set of instruments of one process.
type Metrics struct {
	registry gometrics.Registry
}

// New returns an empty set with a registry of its own.
func New() *Metrics {
	return &Metrics{registry: gometrics.NewRegistry()}
}

// Counter returns the counter with the name and labels, given as key, value
// pairs. Names end in _total.
func (m *Metrics) Counter(name string, labels ...string) gometrics.Counter {
	return m.registry.GetOrRegister(key(name, labels), gometrics.NewCounter).(gometrics.Counter)
}

// Gauge returns the gauge with the name and labels.
func (m *Metrics) Gauge(name string, labels ...string) gometrics.Gauge {
	return m.registry.GetOrRegister(key(name, labels), gometrics.NewGauge).(gometrics.Gauge)
}

// Histogram returns the histogram with the name and labels. Its values are
// durations in nanoseconds, int64(d) of a time.Duration d; they are exported
// in seconds, so names end in _seconds.
func (m *Metrics) Histogram(name string, labels ...string) gometrics.Histogram {
	return m.registry.GetOrRegister(key(name, labels), newHistogram).(gometrics.Histogram)
}

func newHistogram() gometrics.Histogram {
	return gometrics.NewHistogram(gometrics.NewExpDecaySample(sampleSize, sampleAlpha))
}

// key returns the name with its labels as Prometheus writes them. A label
// without a value gets an empty one.
func key(name string, labels []string) string {
	if len(labels) == 0 {
		return name
	}
	var b strings.Builder
	b.WriteString(name)
	for i := 0; i < len(labels); i += 2 {
		b.WriteByte("{,"[min(i, 1)])
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

// CounterValues returns the present value of every counter by its name with labels.
func (m *Metrics) CounterValues() map[string]int64 {
	counts := make(map[string]int64)
	m.registry.Each(func(name string, instrument any) {
		if c, ok := instrument.(gometrics.Counter); ok {
			counts[name] = c.Count()
		}
	})
	return counts
}
