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

// Overhead measures what the way through one entry and one agent adds to
// calls of an engine, and the memory of an entry with many open streams.
type Overhead struct {
	Bin     string        `default:"bin" type:"existingdir" help:"Folder of the programs."`
	Out     string        `default:"out" help:"Folder for logs and figures."`
	Results string        `help:"Page whose marked part is replaced by the tables."`
	Rounds  int           `default:"4" help:"Rounds; in each, both ways take their turn."`
	Turn    time.Duration `default:"1500ms" help:"Length of one turn."`
	Streams int           `default:"10000" help:"Open streams on one entry; 0 leaves this out."`
}

// overheadLevel is a number of calls at once, with a time to the first token
// that keeps the rate of calls near a thousand a second.
type overheadLevel struct {
	calls      int
	firstToken time.Duration
}

var overheadLevels = []overheadLevel{
	{calls: 1, firstToken: 5 * time.Millisecond},
	{calls: 64, firstToken: 60 * time.Millisecond},
	{calls: 512, firstToken: 400 * time.Millisecond},
}

// OverheadFigure compares the two ways for one kind of call.
type OverheadFigure struct {
	Kind    string      `json:"kind"`
	Calls   int         `json:"calls_at_once"`
	Samples int64       `json:"samples"`
	Direct  Percentiles `json:"direct_ms"`
	Through Percentiles `json:"through_ms"`
}

// OverheadReport is all that the command measures.
type OverheadReport struct {
	Figures []OverheadFigure `json:"figures"`
	Memory  *MemoryFigure    `json:"memory,omitempty"`
}

// Run measures and prints the tables.
func (o *Overhead) Run(ctx context.Context) error {
	var report OverheadReport
	for _, level := range overheadLevels {
		figures, err := o.level(ctx, level)
		if err != nil {
			return err
		}
		report.Figures = append(report.Figures, figures...)
	}
	if o.Streams > 0 {
		memory, err := o.memory(ctx)
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
	return replaceMarked(o.Results, "overhead", table)
}

// overheadTarget is far from any time that is measured.
const overheadTarget = time.Minute

// overheadScenario is a deployment that never queues.
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

// level compares both ways at one number of calls.
func (o *Overhead) level(ctx context.Context, level overheadLevel) ([]OverheadFigure, error) {
	s := overheadScenario(Engines{
		Count: 1, Slots: 4 * level.calls, StepTime: time.Millisecond, FirstToken: level.firstToken,
	})
	c, err := startCluster(ctx, s, o.Bin, filepath.Join(o.Out, "logs", "overhead"), "sesame")
	if err != nil {
		return nil, err
	}
	defer c.bed.Close()
	direct := newProbe("http://" + c.engines[0].Address(""))
	through := newProbe("http://" + c.entries[0].Address("callers"))
	var figures []OverheadFigure
	for _, kind := range []probeKind{probePlain, probeFirstToken} {
		fmt.Printf("%s, %d at once\n", kind, level.calls)
		figure, err := o.compare(ctx, kind, level.calls, direct, through)
		if err != nil {
			return nil, err
		}
		figures = append(figures, figure)
	}
	return figures, nil
}

// compare gives both ways their turns, one after the other. The first round
// warms up and does not count.
func (o *Overhead) compare(ctx context.Context, kind probeKind, calls int, direct, through *probe) (OverheadFigure, error) {
	directTimes, throughTimes := newHistogram(), newHistogram()
	for round := 0; round <= o.Rounds; round++ {
		if round == 1 {
			directTimes.Reset()
			throughTimes.Reset()
		}
		if err := direct.turn(ctx, kind, calls, o.Turn, directTimes); err != nil {
			return OverheadFigure{}, err
		}
		if err := through.turn(ctx, kind, calls, o.Turn, throughTimes); err != nil {
			return OverheadFigure{}, err
		}
	}
	return OverheadFigure{
		Kind:    string(kind),
		Calls:   calls,
		Samples: throughTimes.TotalCount(),
		Direct:  percentiles(directTimes),
		Through: percentiles(throughTimes),
	}, nil
}

// probeKind is what is timed of a call.
type probeKind string

const (
	probePlain      probeKind = "plain call"
	probeFirstToken probeKind = "first token"
)

// probe sends timed calls one way.
type probe struct {
	url    string
	client *http.Client
}

func newProbe(url string) *probe {
	return &probe{url: url, client: newCallerClient()}
}

// turn keeps the given number of calls open for a time.
func (p *probe) turn(ctx context.Context, kind probeKind, calls int, length time.Duration, times *hdrhistogram.Histogram) error {
	end := time.Now().Add(length)
	var mu sync.Mutex
	var failure error
	var group sync.WaitGroup
	for range calls {
		group.Go(func() {
			for time.Now().Before(end) {
				took, err := p.call(ctx, kind)
				mu.Lock()
				if err != nil {
					failure = err
				}
				record(times, took)
				mu.Unlock()
			}
		})
	}
	group.Wait()
	return failure
}

// call sends one call and returns the time to its end or its first token.
func (p *probe) call(ctx context.Context, kind probeKind) (time.Duration, error) {
	start := time.Now()
	response, err := p.send(ctx, kind == probeFirstToken, 2)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return 0, eris.Errorf("status %d: %s", response.StatusCode, refusalReason(response))
	}
	if kind == probePlain {
		_, err = io.Copy(io.Discard, response.Body)
		return time.Since(start), err
	}
	var result Result
	if _, done, _ := readStream(response, start, &result); !done {
		return 0, eris.New("stream without an end")
	}
	return result.FirstToken, nil
}

func (p *probe) send(ctx context.Context, stream bool, tokens int) (*http.Response, error) {
	body, err := json.Marshal(chatBody{
		Model:    modelName,
		Messages: []engine.Message{{Role: "user", Content: "overhead"}},
		Stream:   stream,
		Tokens:   tokens,
	})
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, p.url+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+accountKey("account"))
	return p.client.Do(request)
}

// Aims of the overhead, in milliseconds and bytes.
const (
	aimMedianMillis = 0.5
	aimP99Millis    = 2
	aimStreamsBytes = 256 << 20
	aimCalls        = 64
)

func (r *OverheadReport) markdown() string {
	var page strings.Builder
	page.WriteString("| call | at once | samples | direct p50, p99 (ms) | through p50, p99 (ms) | added p50, p99 (ms) | aim |\n")
	page.WriteString("|---|---:|---:|---:|---:|---:|---|\n")
	for _, f := range r.Figures {
		median, p99 := f.Through.P50-f.Direct.P50, f.Through.P99-f.Direct.P99
		aim := ""
		if f.Calls == aimCalls {
			aim = "< 0.5 and < 2: " + met(median < aimMedianMillis && p99 < aimP99Millis)
		}
		fmt.Fprintf(&page, "| %s | %d | %d | %.2f, %.2f | %.2f, %.2f | %.2f, %.2f | %s |\n", f.Kind, f.Calls,
			f.Samples, f.Direct.P50, f.Direct.P99, f.Through.P50, f.Through.P99, median, p99, aim)
	}
	if m := r.Memory; m != nil {
		fmt.Fprintf(&page, "\nOne entry with %d open streams: %.0f MiB resident (%.0f MiB before; heap %.0f MiB, %d goroutines), aim < 256 MiB: %s.\n",
			m.Streams, mebibytes(m.OpenBytes), mebibytes(m.IdleBytes), mebibytes(m.HeapBytes), m.Goroutines, met(m.OpenBytes < aimStreamsBytes))
	}
	return page.String()
}

func met(aim bool) string {
	if aim {
		return "met"
	}
	return "not met"
}

func mebibytes(n int64) float64 { return float64(n) / (1 << 20) }

// residentBytes reads a process's resident memory.
func residentBytes(pid int) (int64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(data)) {
		var kilobytes int64
		if n, _ := fmt.Sscanf(line, "VmRSS: %d kB", &kilobytes); n == 1 {
			return kilobytes << 10, nil
		}
	}
	return 0, eris.New("no resident size")
}
