package main

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/sesameswitch/sesameswitch/clock"
	"github.com/sesameswitch/sesameswitch/processstatus"
	"github.com/sesameswitch/sesameswitch/provider"
	"github.com/sesameswitch/sesameswitch/timeline"
)

// newAgent returns a server with the admin endpoints of an agent that has run the
// requests req-1 and req-2.
func newAgent(t *testing.T) *httptest.Server {
	process := timeline.Process{VM: "lis-2-booking-1", Role: "agent", DataCentre: "lis-2", Incarnation: "a1"}
	c := clock.NewManual(time.Date(2026, 12, 1, 9, 0, 0, int(400*time.Microsecond), time.UTC))
	events := timeline.New(process, 16, c)
	for _, id := range []string{"req-1", "req-2"} {
		events.RecordWith(timeline.RunQueued, id, "", timeline.Attributes{Class: "reservation"})
		c.Advance(time.Millisecond)
		events.Record(timeline.RunStarted, id, "slot 1 of 4")
		c.Advance(time.Millisecond)
	}
	mux := http.NewServeMux()
	mux.Handle(processstatus.PathTimeline, events.Handler())
	mux.Handle(processstatus.PathStatus, processstatus.Handler(func() processstatus.Document {
		return processstatus.Document{
			Process: process, State: "serving", ConfigVersion: 12,
			Load:     processstatus.Load{Slots: 4, Running: 2, Queued: 1},
			Counters: map[string]int64{`sesame_runs_total{outcome="completed"}`: 31, "sesame_config_refused_total": 1},
		}
	}))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server
}

func TestCommandsPrintGoldenOutput(t *testing.T) {
	agent := newAgent(t)
	notFound := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(notFound.Close)
	const lumiar, atlas = "../../examples/lumiar.yaml", "../../examples/atlas.yaml"
	cases := []struct {
		name string
		args []string
		code int
	}{
		{"check", []string{"check", lumiar, atlas}, 0},
		{"check_invalid", []string{"check", lumiar, "testdata/invalid.yaml"}, 1},
		{"check_json", []string{"check", "testdata/invalid.yaml", lumiar, "--output=json"}, 1},
		{"check_missing", []string{"check", "testdata/nothing.yaml"}, 2},
		{"check_settings", []string{"check-settings", "testdata/gateway.toml", "-c", "testdata/platform-configuration.json"}, 0},
		{"check_settings_invalid", []string{"check-settings", "testdata/gateway.toml", "testdata/gateway-faulty.toml"}, 1},
		{"check_settings_json", []string{"check-settings", "testdata/gateway-faulty.toml", "--output=json"}, 1},
		{"diff", []string{"diff", lumiar, "testdata/newer.yaml"}, 0},
		{"diff_backwards", []string{"diff", "testdata/newer.yaml", lumiar}, 1},
		{"diff_same", []string{"diff", lumiar, lumiar}, 0},
		{"diff_invalid", []string{"diff", lumiar, "testdata/invalid.yaml"}, 1},
		{"diff_json", []string{"diff", lumiar, "testdata/newer.yaml", "-o", "json"}, 0},
		{"status", []string{"status", "--process", agent.URL, "--counters"}, 0},
		{"status_no_answer", []string{"status", "--process", agent.URL, "--process", notFound.URL}, 1},
		{"status_json", []string{"status", "--process", agent.URL, "--output=json"}, 0},
		{"status_no_processes", []string{"status"}, 2},
		{"timeline", []string{"timeline", "--process", agent.URL, "--file", "testdata/events.jsonl"}, 0},
		{"timeline_request", []string{"timeline", "--process", agent.URL, "--file", "testdata/events.jsonl", "--request=req-1"}, 0},
		{"timeline_json", []string{"timeline", "--process", agent.URL, "--request=req-2", "--output=json"}, 0},
		{"timeline_no_answer", []string{"timeline", "--process", notFound.URL, "--file", "testdata/events.jsonl"}, 1},
		{"charts", []string{"charts", "process"}, 0},
		{"charts_dot", []string{"charts", "process", "--picture=dot"}, 0},
		{"charts_json", []string{"charts", "configuration", "--output=json"}, 0},
		{"charts_unknown", []string{"charts", "nothing"}, 2},
		{"schema", []string{"schema"}, 0},
		{"placement", []string{"placement", "--data-centre", "lis-2", "testdata/placement-1.log", "testdata/placement-2.log"}, 1},
		{"placement_json", []string{"placement", "--data-centre", "lis-2", "--most=2", "-o", "json", "testdata/placement-1.log", "testdata/placement-2.log"}, 1},
		{"placement_not_late", []string{"placement", "--data-centre", "cas-1", "testdata/placement-1.log"}, 0},
		{"placement_no_logs", []string{"placement", "--data-centre", "cas-1"}, 2},
		{"help", []string{"--help"}, 0},
		{"usage", []string{"check"}, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var out bytes.Buffer
			code := run(context.Background(), c.args, &out, &out)
			if code != c.code {
				t.Errorf("got exit code %d, want %d", code, c.code)
			}
			text := strings.NewReplacer(agent.URL, "http://AGENT", notFound.URL, "http://GONE").Replace(out.String())
			goldie.New(t, goldie.WithFixtureDir("testdata/golden")).Assert(t, c.name, []byte(text))
		})
	}
}

// TestStatusOfProcessesOnVMList requests the status from the admin port of each VM
// on the list.
func TestStatusOfProcessesOnVMList(t *testing.T) {
	agent := newAgent(t)
	host, port, _ := strings.Cut(strings.TrimPrefix(agent.URL, "http://"), ":")
	list := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`[{"name":"lis-2-booking-1","address":"` + host + `:9","role":"` + string(provider.RoleAgent) + `","state":"live"}]`))
	}))
	t.Cleanup(list.Close)
	var out bytes.Buffer
	code := run(context.Background(), []string{"status", "--vm-list", list.URL, "--admin-port", port}, &out, &out)
	if code != 0 || !strings.Contains(out.String(), "lis-2-booking-1") {
		t.Errorf("got exit code %d, want 0 and the VM of the list in:\n%s", code, out.String())
	}
}

// stoppingWriter calls stop when the given number of lines has been written.
type stoppingWriter struct {
	bytes.Buffer
	lines int
	stop  context.CancelFunc
}

func (w *stoppingWriter) Write(p []byte) (int, error) {
	n, err := w.Buffer.Write(p)
	if bytes.Count(w.Bytes(), []byte("\n")) >= w.lines {
		w.stop()
	}
	return n, err
}

func TestTimelineFollowsEvents(t *testing.T) {
	agent := newAgent(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	out := &stoppingWriter{lines: 4, stop: cancel}
	var errs bytes.Buffer
	if code := run(ctx, []string{"timeline", "--follow", "--process", agent.URL}, out, &errs); code != 0 {
		t.Fatalf("got exit code %d, want 0: %s", code, errs.String())
	}
	if got := strings.Count(out.String(), "run_started"); got != 2 {
		t.Errorf("got %d run_started events, want 2, in:\n%s", got, out.String())
	}
}
