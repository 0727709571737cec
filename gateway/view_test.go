package gateway

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sesameswitch/sesameswitch/clock"
	"github.com/sesameswitch/sesameswitch/directory"
	"github.com/sesameswitch/sesameswitch/routes"
)

// renewingStore is a store in which entries are renewed all the time, so that each
// watch returns at once with changes.
type renewingStore struct {
	calls    atomic.Int64
	revision atomic.Uint64
	watched  chan struct{}
}

func (s *renewingStore) Configuration(context.Context) (*ConfigurationRead, error) {
	return &ConfigurationRead{}, nil
}

func (s *renewingStore) CloseIdleConnections() {}

func (s *renewingStore) Probe(context.Context) error { return nil }

func (s *renewingStore) List(context.Context) (*Snapshot, error) {
	s.calls.Add(1)
	return &Snapshot{Revision: s.revision.Load()}, nil
}

func (s *renewingStore) Watch(context.Context, uint64, time.Duration) (*Delta, error) {
	s.calls.Add(1)
	select {
	case s.watched <- struct{}{}:
	default:
	}
	return &Delta{Revision: s.revision.Add(1)}, nil
}

// TestRenewalsDoNotCauseCalls reproduces a large fleet: with hundreds of servers
// that renew their entries, each watch returns at once. Watches must not follow each
// other without a pause, and still be frequent enough for the time limits.
func TestRenewalsDoNotCauseCalls(t *testing.T) {
	const maxConfigDelay = 500 * time.Millisecond
	store := &renewingStore{watched: make(chan struct{}, 1)}
	v := NewView(store, directory.New(), clock.SinceBoot, func() time.Duration { return maxConfigDelay }, discardLog(), func(string) {}, func(*routes.Table) {})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	start := clock.SinceBoot()
	go func() {
		defer close(done)
		v.Run(ctx)
	}()
	for range 5 {
		<-store.watched
	}
	elapsed := clock.SinceBoot() - start
	cancel()
	<-done
	if least := 4 * v.watchInterval(); elapsed < least || v.watchInterval() >= maxConfigDelay/2 {
		t.Errorf("5 watches within %v at an interval of %v, want at least %v and an interval below half of the limit %v", elapsed, v.watchInterval(), least, maxConfigDelay)
	}
}

// TestWatchIntervalFollowsTheLimits checks that keys stay confirmed between two
// watches, also with the longest limit for configurations.
func TestWatchIntervalFollowsTheLimits(t *testing.T) {
	for _, test := range []struct{ limit, want time.Duration }{
		{0, 0}, {2 * time.Second, 800 * time.Millisecond}, {4 * time.Second, 1600 * time.Millisecond}, {time.Minute, 2 * time.Second},
	} {
		v := &View{maxConfigDelay: func() time.Duration { return test.limit }}
		if got := v.watchInterval(); got != test.want {
			t.Errorf("limit %v: got interval %v, want %v", test.limit, got, test.want)
		}
	}
}
