package clock

import (
	"testing"
	"time"
)

func TestPausesAreDetected(t *testing.T) {
	now := time.Hour
	p := NewPauses(func() time.Duration { return now })
	for i, step := range []struct {
		advance, pause time.Duration
		before, after  bool
	}{
		{PauseCheckInterval, 0, false, false},
		{minPause - 1, 0, false, false},
		{minPause, minPause, true, true},
		{PauseCheckInterval, 0, true, true},
		{catchUpTime - PauseCheckInterval - 1, catchUpTime - PauseCheckInterval - 1, true, true},
		{PauseCheckInterval, 0, true, true},
	} {
		now += step.advance
		if got := p.CatchingUp(); got != step.before {
			t.Errorf("step %d before the check: CatchingUp() = %v, want %v", i, got, step.before)
		}
		if got := p.Check(); got != step.pause {
			t.Errorf("step %d: pause of %v, want %v", i, got, step.pause)
		}
		if got := p.CatchingUp(); got != step.after {
			t.Errorf("step %d after the check: CatchingUp() = %v, want %v", i, got, step.after)
		}
	}
	for range catchUpTime / PauseCheckInterval {
		now += PauseCheckInterval
		p.Check()
	}
	if p.CatchingUp() {
		t.Error("CatchingUp() = true after catchUpTime, want false")
	}
}
