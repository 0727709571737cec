package telemetry

import (
	"bytes"
	"context"
	"strings"
	"testing"
)

// gate is a writer that is slow until it is opened.
type gate struct {
	open chan struct{}
	bytes.Buffer
}

func (g *gate) Write(p []byte) (int, error) {
	<-g.open
	return g.Buffer.Write(p)
}

// TestLogNeverBlocks shows that lines beyond the capacity are dropped and counted
// while the output is stuck, and that the count is told in a line of its own.
func TestLogNeverBlocks(t *testing.T) {
	out := &gate{open: make(chan struct{})}
	w := NewAsyncWriter(out, 16)
	for range 100 {
		if n, err := w.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatalf("%d, %v", n, err)
		}
	}
	if got := w.Dropped(); got != 84 {
		t.Errorf("%d dropped", got)
	}
	close(out.open)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	w.Run(ctx)
	text := out.String()
	if strings.Count(text, "line\n") != 16 {
		t.Errorf("%d lines", strings.Count(text, "line\n"))
	}
	if strings.Count(text, `"event":"log_lines_dropped"`) != 1 || !strings.Contains(text, `"dropped":84`) {
		t.Errorf("the loss is not told once: %q", text)
	}
}
