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

// MemoryUsage is the memory use of one entry process.
type MemoryUsage struct {
	// Streams is the number of open streams.
	Streams int64 `json:"streams"`
	// IdleBytes is the resident memory before the first stream.
	IdleBytes int64 `json:"idle_bytes"`
	// PeakBytes is the largest sample of the resident memory while all streams
	// were open.
	PeakBytes int64 `json:"open_bytes"`
	// Goroutines and HeapBytes are the metrics of the entry while all streams were
	// open.
	Goroutines int64 `json:"goroutines"`
	HeapBytes  int64 `json:"heap_bytes"`
}

const (
	// streamEngines is the number of engines. Each has enough slots for all
	// streams.
	streamEngines = 4
	// streamStepTime is the time between the tokens of a stream, and streamTokens
	// its length. A stream lasts more than 5 hours, so that none ends during the
	// measurement.
	streamStepTime = 2 * time.Second
	streamTokens   = 10_000
	// streamsPerBatch is the number of streams opened at a time, and batchInterval
	// the pause before each batch.
	streamsPerBatch      = 100
	batchInterval        = 100 * time.Millisecond
	memorySamples        = 12
	memorySampleInterval = 500 * time.Millisecond
)

// measureMemory opens many streams through one entry and reads its resident
// memory. It returns an error if a stream is not open at the end.
func (o *Overhead) measureMemory(ctx context.Context) (*MemoryUsage, error) {
	s := overheadScenario(Engines{Count: streamEngines, Slots: o.Streams, StepTime: streamStepTime})
	c, err := startCluster(ctx, s, o.Bin, filepath.Join(o.Out, "logs", "streams"), "sesame")
	if err != nil {
		return nil, err
	}
	defer c.deployment.Close()
	pid := c.entries[0].PID()
	var usage MemoryUsage
	if usage.IdleBytes, err = residentBytes(pid); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	var open atomic.Int64
	var readers sync.WaitGroup
	defer readers.Wait()
	defer cancel()
	client := newTimedClient("http://" + c.entries[0].Address("callers"))
	o.openStreams(ctx, client, &readers, &open)
	for range memorySamples {
		time.Sleep(memorySampleInterval)
		resident, err := residentBytes(pid)
		if err != nil {
			return nil, err
		}
		usage.PeakBytes = max(usage.PeakBytes, resident)
	}
	usage.Streams = open.Load()
	if err := usage.readGauges(ctx, c.entries[0].Address("admin")); err != nil {
		return nil, err
	}
	if usage.Streams < int64(o.Streams) {
		return nil, eris.Errorf("only %d of %d streams are open", usage.Streams, o.Streams)
	}
	return &usage, nil
}

// readGauges reads the gauges of goroutines and heap from the metrics endpoint of
// the entry.
func (u *MemoryUsage) readGauges(ctx context.Context, admin string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+"/metrics", nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return eris.Wrap(err, "read metrics of the entry")
	}
	defer response.Body.Close()
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		_, _ = fmt.Sscanf(scanner.Text(), "sesame_process_goroutines %d", &u.Goroutines) // other lines do not match
		_, _ = fmt.Sscanf(scanner.Text(), "sesame_process_heap_bytes %d", &u.HeapBytes)  // other lines do not match
	}
	return scanner.Err()
}

// openStreams opens all streams in batches and waits until each has received
// its first event or failed.
func (o *Overhead) openStreams(ctx context.Context, client *timedClient, readers *sync.WaitGroup, open *atomic.Int64) {
	var pending sync.WaitGroup
	var failed atomic.Int64
	for i := range o.Streams {
		if i%streamsPerBatch == 0 {
			time.Sleep(batchInterval)
		}
		pending.Add(1)
		readers.Go(func() {
			response, err := client.send(ctx, true, streamTokens)
			if err != nil {
				failed.Add(1)
				pending.Done()
				return
			}
			defer response.Body.Close()
			readToEnd(response, open, &pending)
		})
	}
	pending.Wait()
	fmt.Printf("%d streams open, %d failed\n", open.Load(), failed.Load())
}

// readToEnd reads a stream until it ends. The stream counts as open from its
// first event on.
func readToEnd(response *http.Response, open *atomic.Int64, pending *sync.WaitGroup) {
	reader := bufio.NewReader(response.Body)
	_, err := reader.ReadString('\n')
	if err == nil && response.StatusCode == http.StatusOK {
		open.Add(1)
		defer open.Add(-1)
	}
	pending.Done()
	for err == nil {
		_, err = reader.ReadString('\n')
	}
}
