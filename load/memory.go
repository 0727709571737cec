package load

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// MemoryFigure is the resident memory of one entry.
type MemoryFigure struct {
	Streams   int64 `json:"streams"`
	IdleBytes int64 `json:"idle_bytes"`
	// OpenBytes is the most that was seen while all streams were open.
	OpenBytes int64 `json:"open_bytes"`
	// Goroutines and HeapBytes are what the entry itself counts then.
	Goroutines int64 `json:"goroutines"`
	HeapBytes  int64 `json:"heap_bytes"`
}

const (
	streamEngines   = 4
	streamStep      = 2 * time.Second
	streamTokens    = 10_000
	streamsPerBatch = 100
	batchPeriod     = 100 * time.Millisecond
	openSamples     = 12
	openSamplePause = 500 * time.Millisecond
)

// memory opens many streams on one entry and reads its resident memory.
func (o *Overhead) memory(ctx context.Context) (*MemoryFigure, error) {
	s := overheadScenario(Engines{Count: streamEngines, Slots: o.Streams, StepTime: streamStep})
	c, err := startCluster(ctx, s, o.Bin, filepath.Join(o.Out, "logs", "streams"), "sesame")
	if err != nil {
		return nil, err
	}
	defer c.bed.Close()
	pid := c.entries[0].PID()
	var figure MemoryFigure
	if figure.IdleBytes, err = residentBytes(pid); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	var open atomic.Int64
	var readers sync.WaitGroup
	defer readers.Wait()
	defer cancel()
	p := newProbe("http://" + c.entries[0].Address("callers"))
	o.openStreams(ctx, p, &readers, &open)
	for range openSamples {
		time.Sleep(openSamplePause)
		bytes, err := residentBytes(pid)
		if err != nil {
			return nil, err
		}
		figure.OpenBytes = max(figure.OpenBytes, bytes)
	}
	figure.Streams = open.Load()
	if err := figure.readGauges(ctx, c.entries[0].Address("admin")); err != nil {
		return nil, err
	}
	if figure.Streams < int64(o.Streams) {
		return nil, eris.Errorf("%d of %d streams are open", figure.Streams, o.Streams)
	}
	return &figure, nil
}

// readGauges takes the gauges of the entry's own metrics.
func (f *MemoryFigure) readGauges(ctx context.Context, admin string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+"/metrics", nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return eris.Wrap(err, "metrics of the entry")
	}
	defer response.Body.Close()
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		_, _ = fmt.Sscanf(scanner.Text(), "sesame_process_goroutines %d", &f.Goroutines) // other lines do not match
		_, _ = fmt.Sscanf(scanner.Text(), "sesame_process_heap_bytes %d", &f.HeapBytes)  // other lines do not match
	}
	return scanner.Err()
}

// openStreams opens all streams, some at a time, and waits for their first
// events.
func (o *Overhead) openStreams(ctx context.Context, p *probe, readers *sync.WaitGroup, open *atomic.Int64) {
	var opened sync.WaitGroup
	var failed atomic.Int64
	for i := range o.Streams {
		if i%streamsPerBatch == 0 {
			time.Sleep(batchPeriod)
		}
		opened.Add(1)
		readers.Go(func() {
			response, err := p.send(ctx, true, streamTokens)
			if err != nil {
				failed.Add(1)
				opened.Done()
				return
			}
			defer response.Body.Close()
			follow(response, open, &opened)
		})
	}
	opened.Wait()
	fmt.Printf("%d streams open, %d failed\n", open.Load(), failed.Load())
}

// follow reads a stream until it ends. It counts as open from its first
// event on.
func follow(response *http.Response, open *atomic.Int64, opened *sync.WaitGroup) {
	reader := bufio.NewReader(response.Body)
	_, err := reader.ReadString('\n')
	if err == nil && response.StatusCode == http.StatusOK {
		open.Add(1)
		defer open.Add(-1)
	}
	opened.Done()
	for err == nil {
		_, err = reader.ReadString('\n')
	}
}
