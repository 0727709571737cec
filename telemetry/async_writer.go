package telemetry

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/sesameswitch/sesameswitch/ring"
)

// AsyncWriter queues log lines and writes them in the background, so that a slow
// output never blocks the caller. Lines that do not fit into the queue are dropped
// and counted.
type AsyncWriter struct {
	lines         *ring.Ring[[]byte]
	out           io.Writer
	reportedDrops atomic.Uint64
}

// NewAsyncWriter returns a writer with a queue of up to capacity lines. Run must
// be called to write the queued lines to out.
func NewAsyncWriter(out io.Writer, capacity int) *AsyncWriter {
	return &AsyncWriter{lines: ring.New[[]byte](capacity), out: out}
}

// Write queues one line. It never fails and never blocks.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	w.lines.Push(append([]byte(nil), line...))
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (w *AsyncWriter) Dropped() uint64 { return w.lines.Dropped() }

// maxBatchBytes limits the size of a batch: no further line is added to a batch of
// this size or more.
const maxBatchBytes = 32 << 10

// Run writes lines until the context ends, and then the lines that are still
// queued.
func (w *AsyncWriter) Run(ctx context.Context) {
	for {
		line, ok := w.lines.Pop(ctx)
		if !ok {
			break
		}
		w.write(line)
	}
	w.lines.Close()
	for {
		line, ok := w.lines.Pop(context.Background())
		if !ok {
			return
		}
		w.write(line)
	}
}

// write writes the line and those queued after it in one batch. If lines were
// dropped since the last report, it adds a line that reports how many.
func (w *AsyncWriter) write(line []byte) {
	batch := line
	for len(batch) < maxBatchBytes && w.lines.Len() > 0 {
		next, ok := w.lines.Pop(context.Background())
		if !ok {
			break
		}
		batch = append(batch, next...)
	}
	if dropped := w.lines.Dropped(); dropped > w.reportedDrops.Load() {
		report := fmt.Sprintf("{\"event\":\"log_lines_dropped\",\"level\":\"warning\",\"msg\":\"log lines were dropped\",\"dropped\":%d,\"time\":%q}\n",
			dropped-w.reportedDrops.Load(), time.Now().UTC().Format(time.RFC3339Nano))
		w.reportedDrops.Store(dropped)
		batch = append(batch, report...)
	}
	_, _ = w.out.Write(batch) // a failed write of the log cannot be reported anywhere else
}
