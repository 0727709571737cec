package clock

import (
	"context"
	"testing"
	"time"
)

func TestManualMovesOnlyWhenTold(t *testing.T) {
	start := time.Unix(100, 0)
	m := NewManual(start)
	if !m.Now().Equal(start) {
		t.Fatalf("shows %v", m.Now())
	}
	m.Advance(time.Minute)
	if got := m.Now().Sub(start); got != time.Minute {
		t.Fatalf("moved by %v", got)
	}
}

func TestClockNeverStepsBack(t *testing.T) {
	c := New()
	last := c.Now()
	for range 1000 {
		now := c.Now()
		if now.Before(last) {
			t.Fatalf("%v came after %v", now, last)
		}
		last = now
	}
}

func TestSleepEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if Sleep(ctx, time.Hour) {
		t.Fatal("slept to the end")
	}
	if !Sleep(context.Background(), time.Nanosecond) {
		t.Fatal("did not sleep to the end")
	}
}
