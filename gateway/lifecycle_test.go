package gateway

import (
	"testing"
	"time"
)

var epoch = time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)

// TestLifeAfterSIGTERM shows when a process that was asked to end takes, refuses
// and cuts requests.
func TestLifeAfterSIGTERM(t *testing.T) {
	tests := []struct {
		name     string
		grace    time.Duration
		at       time.Duration
		inFlight int
		want     string
	}{
		{"at once it goes on taking requests", 8 * time.Second, 0, 0, stateDraining},
		{"while the balancer does not know", 8 * time.Second, 2 * time.Second, 0, stateDraining},
		{"a request that could be cut is refused", 8 * time.Second, 2900 * time.Millisecond, 3, stateRefusing},
		{"idle, but connections are on their way", 8 * time.Second, 3400 * time.Millisecond, 0, stateRefusing},
		{"idle", 8 * time.Second, 3500 * time.Millisecond, 0, stateStopped},
		{"streams go on", 8 * time.Second, 7500 * time.Millisecond, 1, stateRefusing},
		{"until the grace ends", 8 * time.Second, 7600 * time.Millisecond, 1, stateStopped},
		{"a short grace", 2 * time.Second, 700 * time.Millisecond, 1, stateRefusing},
		{"a short grace ends", 2 * time.Second, 1600 * time.Millisecond, 1, stateStopped},
	}
	for _, test := range tests {
		l := newLife(func(string) {})
		l.ready()
		l.drain(epoch, test.grace)
		l.advance(epoch.Add(test.at), test.inFlight)
		if got := l.state(); got != test.want {
			t.Errorf("%s: %s, want %s", test.name, got, test.want)
		}
	}
}

func TestLifeIgnoresASecondSIGTERM(t *testing.T) {
	l := newLife(func(string) {})
	l.ready()
	l.drain(epoch, 8*time.Second)
	l.drain(epoch.Add(7*time.Second), 8*time.Second)
	l.advance(epoch.Add(7700*time.Millisecond), 1)
	if got := l.state(); got != stateStopped {
		t.Errorf("a second SIGTERM moved the end: %s", got)
	}
}

func TestLifeDrainsBeforeItWasReady(t *testing.T) {
	l := newLife(func(string) {})
	l.drain(epoch, 8*time.Second)
	l.ready()
	if got := l.state(); got != stateDraining {
		t.Errorf("%s, want %s", got, stateDraining)
	}
}
