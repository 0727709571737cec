package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"

	"github.com/sesameswitch/sesameswitch/manifest"
	"github.com/sesameswitch/sesameswitch/standin/engine"
)

// Overhead measures the latency that an entry and an agent add to calls of an
// engine, and the memory use of an entry with many open streams.
type Overhead struct {
	Bin     string        `default:"bin" type:"existingdir" help:"Folder with the programs."`
	Out     string        `default:"out" help:"Folder for logs and results."`
	Results string        `help:"Markdown file whose marked section is replaced by the results."`
	Rounds  int           `default:"4" help:"Number of rounds. Each measures direct calls for one turn, then routed calls for one turn."`
	Turn    time.Duration `default:"1500ms" help:"Duration of one turn."`
	Streams int           `default:"10000" help:"Number of open streams for the measurement of the memory of an entry; 0 skips it."`
}

// concurrencyLevel is a number of concurrent calls, with the prefill time of the
// engine (Engines.FirstToken). That time grows with the concurrency, so that the
// rate does not exceed about 1300 calls/s.
type concurrencyLevel struct {
	concurrency int
	firstToken  time.Duration
}

var concurrencyLevels = []concurrencyLevel{
	{concurrency: 1, firstToken: 5 * time.Millisecond},
	{concurrency: 64, firstToken: 60 * time.Millisecond},
	{concurrency: 512, firstToken: 400 * time.Millisecond},
}

// OverheadMeasurement compares the latencies of direct and routed calls of one
// kind.
type OverheadMeasurement struct {
	Kind        string `json:"kind"`
	Concurrency int    `json:"calls_at_once"`
	Samples     int64  `json:"samples"`
	// Direct calls go to the engine, Routed calls through an entry and an agent.
	Direct Percentiles `json:"direct_ms"`
	Routed Percentiles `json:"through_ms"`
}

// OverheadReport holds all measurements of the command.
type OverheadReport struct {
	Measurements []OverheadMeasurement `json:"figures"`
	Memory       *MemoryUsage          `json:"memory,omitempty"`
}

// Run takes the measurements and prints the tables.
func (o *Overhead) Run(ctx context.Context) error {
	var report OverheadReport
	for _, level := range concurrencyLevels {
		measurements, err := o.measureLevel(ctx, level)
		if err != nil {
			return err
		}
		report.Measurements = append(report.Measurements, measurements...)
	}
	if o.Streams > 0 {
		memory, err := o.measureMemory(ctx)
		if err != nil {
			return err
		}
		report.Memory = memory
	}
	table := report.markdown()
	fmt.Print(table)
	if err := writeJSON(filepath.Join(o.Out, "overhead.json"), report); err != nil {
		return err
	}
	if o.Results == "" {
		return nil
	}
	return replaceSection(o.Results, "overhead", table)
}

// overheadTarget is a latency target far above all measured latencies.
const overheadTarget = time.Minute

// overheadScenario returns a scenario without arrivals, for a deployment of one
// entry with the given engines.
func overheadScenario(engines Engines) *Scenario {
	class := Class{Class: manifest.Class{
		Name: "plain", Tier: 1, Repeatability: manifest.Idempotent,
		Targets: manifest.Targets{FirstToken: overheadTarget},
	}}
	return &Scenario{
		Name:     "overhead",
		Entries:  1,
		Engines:  engines,
		Accounts: []Account{{Name: "account", Weight: 1}},
		Classes:  []Class{class},
	}
}

// measureLevel measures direct and routed calls at one level of concurrency. The
// engine has more slots than there are calls, so that none waits for a slot.
func (o *Overhead) measureLevel(ctx context.Context, level concurrencyLevel) ([]OverheadMeasurement, error) {
	s := overheadScenario(Engines{
		Count: 1, Slots: 4 * level.concurrency, StepTime: time.Millisecond, FirstToken: level.firstToken,
	})
	c, err := startCluster(ctx, s, o.Bin, filepath.Join(o.Out, "logs", "overhead"), "sesame")
	if err != nil {
		return nil, err
	}
	defer c.deployment.Close()
	direct := newTimedClient("http://" + c.engines[0].Address(""))
	routed := newTimedClient("http://" + c.entries[0].Address("callers"))
	var measurements []OverheadMeasurement
	for _, kind := range []callKind{callUnary, callFirstToken} {
		fmt.Printf("%s, %d concurrent calls\n", kind, level.concurrency)
		measurement, err := o.measureInTurns(ctx, kind, level.concurrency, direct, routed)
		if err != nil {
			return nil, err
		}
		measurements = append(measurements, measurement)
	}
	return measurements, nil
}

// measureInTurns measures direct and routed calls in turn. The first round is a
// warm-up and does not count.
func (o *Overhead) measureInTurns(ctx context.Context, kind callKind, concurrency int, direct, routed *timedClient) (OverheadMeasurement, error) {
	directLatencies, routedLatencies := newHistogram(), newHistogram()
	for round := 0; round <= o.Rounds; round++ {
		if round == 1 {
			directLatencies.Reset()
			routedLatencies.Reset()
		}
		if err := direct.turn(ctx, kind, concurrency, o.Turn, directLatencies); err != nil {
			return OverheadMeasurement{}, err
		}
		if err := routed.turn(ctx, kind, concurrency, o.Turn, routedLatencies); err != nil {
			return OverheadMeasurement{}, err
		}
	}
	return OverheadMeasurement{
		Kind:        string(kind),
		Concurrency: concurrency,
		Samples:     routedLatencies.TotalCount(),
		Direct:      percentiles(directLatencies),
		Routed:      percentiles(routedLatencies),
	}, nil
}

// callKind is a kind of call and the latency that is measured.
type callKind string

const (
	// callUnary measures the time to the end of a non-streaming call.
	callUnary callKind = "plain call"
	// callFirstToken measures the time to the first token of a streaming call.
	callFirstToken callKind = "first token"
)

// timedClient measures calls to one URL.
type timedClient struct {
	url    string
	client *http.Client
}

func newTimedClient(url string) *timedClient {
	return &timedClient{url: url, client: newHTTPClient()}
}

// turn keeps the given number of calls in flight for a duration and records
// their latencies. It returns an error if a call failed; the latencies are then
// invalid.
func (c *timedClient) turn(ctx context.Context, kind callKind, concurrency int, duration time.Duration, latencies *hdrhistogram.Histogram) error {
	end := time.Now().Add(duration)
	var mu sync.Mutex
	var lastErr error
	var group sync.WaitGroup
	for range concurrency {
		group.Go(func() {
			for time.Now().Before(end) {
				latency, err := c.call(ctx, kind)
				mu.Lock()
				if err != nil {
					lastErr = err
				}
				record(latencies, latency)
				mu.Unlock()
			}
		})
	}
	group.Wait()
	return lastErr
}

// call sends one call, which requests two tokens, and returns the time to its end
// or to its first token.
func (c *timedClient) call(ctx context.Context, kind callKind) (time.Duration, error) {
	start := time.Now()
	response, err := c.send(ctx, kind == callFirstToken, 2)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return 0, eris.Errorf("status %d: %s", response.StatusCode, refusalReason(response))
	}
	if kind == callUnary {
		_, err = io.Copy(io.Discard, response.Body)
		return time.Since(start), err
	}
	var result Result
	if _, complete, _ := readStream(response, start, &result); !complete {
		return 0, eris.New("stream ended without its end marker")
	}
	return result.FirstToken, nil
}

func (c *timedClient) send(ctx context.Context, stream bool, tokens int) (*http.Response, error) {
	body, err := json.Marshal(chatRequest{
		Model:    modelName,
		Messages: []engine.Message{{Role: "user", Content: "overhead"}},
		Stream:   stream,
		Tokens:   tokens,
	})
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+apiKey("account"))
	return c.client.Do(request)
}

// Performance objectives. The reports call them aims. Those of the added latency
// apply at objectiveConcurrency concurrent calls, maxStreamsBytes to the resident
// memory of an entry with all streams open.
const (
	maxAddedMedianMillis = 0.5
	maxAddedP99Millis    = 2
	maxStreamsBytes      = 256 << 20
	objectiveConcurrency = 64
)

// markdown returns the report as Markdown.
func (r *OverheadReport) markdown() string {
	var text strings.Builder
	text.WriteString("| call | at once | samples | direct p50, p99 (ms) | through p50, p99 (ms) | added p50, p99 (ms) | aim |\n")
	text.WriteString("|---|---:|---:|---:|---:|---:|---|\n")
	for _, m := range r.Measurements {
		addedMedian, addedP99 := m.Routed.P50-m.Direct.P50, m.Routed.P99-m.Direct.P99
		objective := ""
		if m.Concurrency == objectiveConcurrency {
			objective = "< 0.5 and < 2: " + metLabel(addedMedian < maxAddedMedianMillis && addedP99 < maxAddedP99Millis)
		}
		fmt.Fprintf(&text, "| %s | %d | %d | %.2f, %.2f | %.2f, %.2f | %.2f, %.2f | %s |\n", m.Kind, m.Concurrency,
			m.Samples, m.Direct.P50, m.Direct.P99, m.Routed.P50, m.Routed.P99, addedMedian, addedP99, objective)
	}
	if memory := r.Memory; memory != nil {
		fmt.Fprintf(&text, "\nOne entry with %d open streams: %.0f MiB resident (%.0f MiB before; heap %.0f MiB, %d goroutines), aim < 256 MiB: %s.\n",
			memory.Streams, mebibytes(memory.PeakBytes), mebibytes(memory.IdleBytes), mebibytes(memory.HeapBytes), memory.Goroutines, metLabel(memory.PeakBytes < maxStreamsBytes))
	}
	return text.String()
}

// metLabel returns the label of an objective in the reports.
func metLabel(objectiveMet bool) string {
	if objectiveMet {
		return "met"
	}
	return "not met"
}

func mebibytes(n int64) float64 { return float64(n) / (1 << 20) }

// residentBytes returns the resident memory of a process.
func residentBytes(pid int) (int64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(data)) {
		var kibibytes int64
		if n, _ := fmt.Sscanf(line, "VmRSS: %d kB", &kibibytes); n == 1 {
			return kibibytes << 10, nil
		}
	}
	return 0, eris.New("process status has no resident set size")
}
