package telemetry

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
)

func TestExportMatchesGoldenFile(t *testing.T) {
	m := New()
	m.Counter("sesame_requests_total", "class", "payment", "outcome", "completed").Inc(3)
	m.Counter("sesame_requests_total", "class", `odd "name"`, "outcome", "not_run").Inc(1)
	m.Gauge("sesame_config_version").Update(42)
	for _, d := range []time.Duration{time.Millisecond, 2 * time.Millisecond, 3 * time.Millisecond} {
		m.Histogram("sesame_first_token_seconds", "class", "payment").Update(int64(d))
	}
	m.Counter("sesame_requests_total", "class", "payment", "outcome", "completed").Inc(1)
	goldie.New(t).Assert(t, "metrics", m.export())
	if got := m.CounterValues()[`sesame_requests_total{class="payment",outcome="completed"}`]; got != 4 {
		t.Errorf("CounterValues: payment counter = %d, want 4", got)
	}
}

func TestHandlerServesRuntimeGauges(t *testing.T) {
	w := httptest.NewRecorder()
	New().Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	if w.Header().Get("Content-Type") != contentType || !strings.Contains(w.Body.String(), "sesame_process_goroutines ") {
		t.Errorf("want the Prometheus content type and the goroutine gauge; got header %v and body\n%s", w.Header(), w.Body)
	}
}

func TestNewLoggerChecksSettingsAndWritesJSON(t *testing.T) {
	for _, invalid := range [][2]string{{"xml", "info"}, {"text", "loud"}} {
		if _, err := NewLogger(invalid[0], invalid[1], nil); err == nil {
			t.Errorf("NewLogger accepted the invalid format and level %v", invalid)
		}
	}
	var out bytes.Buffer
	logger, err := NewLogger(FormatJSON, "warning", &out)
	if err != nil {
		t.Fatal(err)
	}
	logger.Info("hidden")
	logger.WithField("state", "draining").Warn("state changed")
	var line map[string]any
	if err := json.Unmarshal(out.Bytes(), &line); err != nil || line["state"] != "draining" {
		t.Errorf("log output:\n%s\nerror: %v; want one line with state draining", out.String(), err)
	}
}
