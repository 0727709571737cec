package telemetry

import (
	"bytes"
	"context"
	"strings"
	"testing"
)

// blockingWriter blocks each Write until unblock is closed.
type blockingWriter struct {
	unblock chan struct{}
	bytes.Buffer
}

func (b *blockingWriter) Write(p []byte) (int, error) {
	<-b.unblock
	return b.Buffer.Write(p)
}

// TestAsyncWriterDropsLinesWhileOutputBlocks checks that Write does not block while
// the output blocks, that lines beyond the capacity are dropped and counted, and
// that exactly one line reports the count.
func TestAsyncWriterDropsLinesWhileOutputBlocks(t *testing.T) {
	out := &blockingWriter{unblock: make(chan struct{})}
	w := NewAsyncWriter(out, 16)
	for range 100 {
		if n, err := w.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatalf("Write returned %d, %v; want 5, nil", n, err)
		}
	}
	if got := w.Dropped(); got != 84 {
		t.Errorf("Dropped() = %d, want 84", got)
	}
	close(out.unblock)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	w.Run(ctx)
	text := out.String()
	if strings.Count(text, "line\n") != 16 {
		t.Errorf("%d lines were written, want 16", strings.Count(text, "line\n"))
	}
	if strings.Count(text, `"event":"log_lines_dropped"`) != 1 || !strings.Contains(text, `"dropped":84`) {
		t.Errorf("the output does not report the 84 dropped lines exactly once: %q", text)
	}
}
