package gateway

import (
	"testing"
	"time"
)

var epoch = time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)

// TestLifecycleAfterSIGTERM checks when a process that received SIGTERM still
// serves requests, refuses them, and stops.
func TestLifecycleAfterSIGTERM(t *testing.T) {
	tests := []struct {
		name     string
		grace    time.Duration
		at       time.Duration
		inFlight int
		want     string
	}{
		{"just after SIGTERM new requests are served", 8 * time.Second, 0, 0, stateDraining},
		{"before the load balancer removes the process", 8 * time.Second, 2 * time.Second, 0, stateDraining},
		{"a request that could be truncated is refused", 8 * time.Second, 2900 * time.Millisecond, 3, stateRefusing},
		{"idle, but connections may still be opening", 8 * time.Second, 3400 * time.Millisecond, 0, stateRefusing},
		{"idle after the lame duck period", 8 * time.Second, 3500 * time.Millisecond, 0, stateStopped},
		{"streams continue", 8 * time.Second, 7500 * time.Millisecond, 1, stateRefusing},
		{"streams end with the grace period", 8 * time.Second, 7600 * time.Millisecond, 1, stateStopped},
		{"a short grace period", 2 * time.Second, 700 * time.Millisecond, 1, stateRefusing},
		{"a short grace period ends", 2 * time.Second, 1600 * time.Millisecond, 1, stateStopped},
	}
	for _, test := range tests {
		l := newLifecycle(func(string) {})
		l.ready()
		l.drain(epoch, test.grace)
		l.advance(epoch.Add(test.at), test.inFlight)
		if got := l.state(); got != test.want {
			t.Errorf("%s: state %s, want %s", test.name, got, test.want)
		}
	}
}

func TestLifecycleIgnoresSecondSIGTERM(t *testing.T) {
	l := newLifecycle(func(string) {})
	l.ready()
	l.drain(epoch, 8*time.Second)
	l.drain(epoch.Add(7*time.Second), 8*time.Second)
	l.advance(epoch.Add(7700*time.Millisecond), 1)
	if got := l.state(); got != stateStopped {
		t.Errorf("state %s, want stopped: a second SIGTERM postponed the stop", got)
	}
}

func TestLifecycleDrainsBeforeReady(t *testing.T) {
	l := newLifecycle(func(string) {})
	l.drain(epoch, 8*time.Second)
	l.ready()
	if got := l.state(); got != stateDraining {
		t.Errorf("state %s, want %s", got, stateDraining)
	}
}
