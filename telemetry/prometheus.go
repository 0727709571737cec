package telemetry

import (
	"bytes"
	"fmt"
	"net/http"
	"runtime"
	"sort"
	"strconv"
	"strings"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
)

// contentType is the media type of the Prometheus text format.
const contentType = "text/plain; version=0.0.4; charset=utf-8"

// quantiles are the quantiles that are exported for each histogram.
var quantiles = []float64{0.5, 0.9, 0.95, 0.99}

// Handler serves the instruments in the Prometheus text format, sorted by name and
// labels. Histograms are exported as summaries in seconds.
func (m *Metrics) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		m.updateRuntimeGauges()
		w.Header().Set("Content-Type", contentType)
		_, _ = w.Write(m.export())
	})
}

// updateRuntimeGauges sets the gauges that describe the Go runtime.
func (m *Metrics) updateRuntimeGauges() {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	m.Gauge("sesame_process_goroutines").Update(int64(runtime.NumGoroutine()))
	m.Gauge("sesame_process_heap_bytes").Update(int64(stats.HeapAlloc))
}

func (m *Metrics) export() []byte {
	var keys []string
	m.registry.Each(func(name string, _ any) { keys = append(keys, name) })
	sort.Strings(keys)
	var out bytes.Buffer
	typeWritten := make(map[string]bool)
	for _, k := range keys {
		instrument := m.registry.Get(k)
		name, labels := splitKey(k)
		if !typeWritten[name] {
			typeWritten[name] = true
			fmt.Fprintf(&out, "# TYPE %s %s\n", name, metricType(instrument))
		}
		writeInstrument(&out, name, labels, instrument)
	}
	return out.Bytes()
}

// splitKey splits a key of metricKey into the name and the labels without braces.
func splitKey(key string) (name, labels string) {
	name, rest, found := strings.Cut(key, "{")
	if !found {
		return key, ""
	}
	return name, strings.TrimSuffix(rest, "}")
}

func metricType(instrument any) string {
	switch instrument.(type) {
	case gometrics.Counter:
		return "counter"
	case gometrics.Histogram:
		return "summary"
	default:
		return "gauge"
	}
}

func writeInstrument(out *bytes.Buffer, name, labels string, instrument any) {
	switch v := instrument.(type) {
	case gometrics.Counter:
		writeSample(out, name, labels, strconv.FormatInt(v.Count(), 10))
	case gometrics.Gauge:
		writeSample(out, name, labels, strconv.FormatInt(v.Value(), 10))
	case gometrics.Histogram:
		writeSummary(out, name, labels, v.Snapshot())
	}
}

// writeSummary writes the quantiles, the sum and the count of a histogram. The sum
// is an estimate: the mean of the sampled values times the exact count.
func writeSummary(out *bytes.Buffer, name, labels string, h gometrics.Histogram) {
	for i, value := range h.Percentiles(quantiles) {
		labelsWithQuantile := `quantile="` + strconv.FormatFloat(quantiles[i], 'g', -1, 64) + `"`
		if labels != "" {
			labelsWithQuantile = labels + "," + labelsWithQuantile
		}
		writeSample(out, name, labelsWithQuantile, seconds(value))
	}
	writeSample(out, name+"_sum", labels, seconds(h.Mean()*float64(h.Count())))
	writeSample(out, name+"_count", labels, strconv.FormatInt(h.Count(), 10))
}

func writeSample(out *bytes.Buffer, name, labels, value string) {
	if labels != "" {
		name += "{" + labels + "}"
	}
	fmt.Fprintf(out, "%s %s\n", name, value)
}

// seconds formats a number of nanoseconds as seconds.
func seconds(nanoseconds float64) string {
	return strconv.FormatFloat(nanoseconds/float64(time.Second), 'g', -1, 64)
}
