package clock

import (
	"context"
	"testing"
	"time"
)

func TestManualClockMovesOnlyWhenAdvanced(t *testing.T) {
	start := time.Unix(100, 0)
	m := NewManual(start)
	if !m.Now().Equal(start) {
		t.Fatalf("new manual clock: Now() = %v, want the start time", m.Now())
	}
	m.Advance(time.Minute)
	if got := m.Now().Sub(start); got != time.Minute {
		t.Fatalf("Advance(1m) moved the clock by %v, want 1m", got)
	}
}

func TestRealClockNeverGoesBack(t *testing.T) {
	c := New()
	last := c.Now()
	for range 1000 {
		now := c.Now()
		if now.Before(last) {
			t.Fatalf("Now() = %v, which is before the previous %v", now, last)
		}
		last = now
	}
}

func TestSleepReturnsFalseWhenContextEnds(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if Sleep(ctx, time.Hour) {
		t.Fatal("Sleep returned true with a cancelled context, want false")
	}
	if !Sleep(context.Background(), time.Nanosecond) {
		t.Fatal("Sleep returned false without a cancelled context, want true")
	}
}
