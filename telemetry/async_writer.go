package telemetry

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/sesameswitch/sesameswitch/ring"
)

// AsyncWriter passes whole log lines on to a slow writer without ever making
// the caller wait: lines that do not fit are dropped and counted.
type AsyncWriter struct {
	lines *ring.Ring[[]byte]
	out   io.Writer
	told  atomic.Uint64
}

// NewAsyncWriter returns a writer that holds up to capacity lines. Run must
// be running for lines to be written.
func NewAsyncWriter(out io.Writer, capacity int) *AsyncWriter {
	return &AsyncWriter{lines: ring.New[[]byte](capacity), out: out}
}

// Write takes one line. It never fails and never blocks.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	w.lines.Push(append([]byte(nil), line...))
	return len(line), nil
}

// Dropped returns how many lines were dropped.
func (w *AsyncWriter) Dropped() uint64 { return w.lines.Dropped() }

// maxBatchBytes bounds the lines that are written at once.
const maxBatchBytes = 32 << 10

// Run writes lines until the context ends, and then what is left of them.
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

// write writes the line and those that wait behind it.
func (w *AsyncWriter) write(line []byte) {
	batch := line
	for len(batch) < maxBatchBytes && w.lines.Len() > 0 {
		next, ok := w.lines.Pop(context.Background())
		if !ok {
			break
		}
		batch = append(batch, next...)
	}
	if dropped := w.lines.Dropped(); dropped > w.told.Load() {
		note := fmt.Sprintf("{\"event\":\"log_lines_dropped\",\"level\":\"warning\",\"msg\":\"log lines were dropped\",\"dropped\":%d,\"time\":%q}\n",
			dropped-w.told.Load(), time.Now().UTC().Format(time.RFC3339Nano))
		w.told.Store(dropped)
		batch = append(batch, note...)
	}
	_, _ = w.out.Write(batch) // there is nowhere else to tell of a log that fails
}
