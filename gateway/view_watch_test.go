package gateway

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/sesameswitch/sesameswitch/clock"
	"github.com/sesameswitch/sesameswitch/directory"
	"github.com/sesameswitch/sesameswitch/routes"
)

// lossyStore is a store with two servers. Once lose is called, calls on connections that are open
// then are never answered.
type lossyStore struct {
	mu       sync.Mutex
	revision uint64
	changes  []directory.Change
	// lost reports whether the connections are lost; unavailable, whether new ones are not
	// answered either.
	lost, unavailable bool
	// slow reports whether no watch is answered in time.
	slow bool
	// changed is closed at the next change.
	changed chan struct{}
	// waiting receives a value when a watch begins.
	waiting chan struct{}
}

func newLossyStore() *lossyStore {
	return &lossyStore{revision: 10, changed: make(chan struct{}), waiting: make(chan struct{}, 1)}
}

func testServer(id string) *directory.BackendServer {
	return &directory.BackendServer{ID: id, Service: "app", Address: "10.0.0.1:" + id, StartedAtMs: 1}
}

func (s *lossyStore) Configuration(context.Context) (*ConfigurationRead, error) {
	return &ConfigurationRead{}, nil
}

func (s *lossyStore) List(context.Context) (*Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	snapshot := &Snapshot{Revision: s.revision}
	for i, id := range []string{"1", "2"} {
		if !slices.ContainsFunc(s.changes, func(c directory.Change) bool { return c.ID == id }) {
			snapshot.ServerChanges = append(snapshot.ServerChanges, directory.Change{ID: id, Revision: uint64(1 + i), Server: testServer(id)}) //nolint:gosec // small
		}
	}
	return snapshot, nil
}

func (s *lossyStore) CloseIdleConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost = s.unavailable
}

func (s *lossyStore) Probe(ctx context.Context) error {
	s.mu.Lock()
	lost := s.lost
	s.mu.Unlock()
	if lost {
		return s.await(ctx)
	}
	return nil
}

func (s *lossyStore) Watch(ctx context.Context, after uint64, wait time.Duration) (*Delta, error) {
	select {
	case s.waiting <- struct{}{}:
	default:
	}
	s.mu.Lock()
	lost, slow, changed := s.lost, s.slow, s.changed
	s.mu.Unlock()
	if lost || slow {
		return nil, s.await(ctx)
	}
	if delta := s.delta(after); len(delta.ServerChanges) > 0 {
		return delta, nil
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(wait):
	case <-changed:
	}
	s.mu.Lock()
	lost = s.lost
	s.mu.Unlock()
	if lost {
		return nil, s.await(ctx)
	}
	return s.delta(after), nil
}

// await waits until a call on a lost connection is given up, which closes the connection.
func (s *lossyStore) await(ctx context.Context) error {
	<-ctx.Done()
	s.CloseIdleConnections()
	return ctx.Err()
}

func (s *lossyStore) delta(after uint64) *Delta {
	s.mu.Lock()
	defer s.mu.Unlock()
	delta := &Delta{Revision: s.revision}
	for _, c := range s.changes {
		if c.Revision > after {
			delta.ServerChanges = append(delta.ServerChanges, c)
		}
	}
	return delta
}

// remove removes the entry of a server. If lose is set, the connections are lost before its
// removal is reported.
func (s *lossyStore) remove(id string, lose bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost = s.lost || lose
	s.revision++
	s.changes = append(s.changes, directory.Change{ID: id, Revision: s.revision, Removed: true})
	close(s.changed)
	s.changed = make(chan struct{})
}

// TestLostConnectionCountsAsOutage guards against taking a connection to the store that was lost
// without notice for an outage of the store, and a removal that is read late for an expired lease:
// requests would be sent to a server that has left.
func TestLostConnectionCountsAsOutage(t *testing.T) {
	for name, test := range map[string]struct {
		// lostLater loses the connection in the pause after a watch that returned early.
		lostLater bool
		heartbeat time.Duration
		// available is how long after the loss the store answers on new connections.
		available time.Duration
		want      directory.State
	}{
		"lost during a watch":           {false, time.Minute, 0, directory.StateRemoved},
		"lost between two watches":      {true, time.Minute, 0, directory.StateRemoved},
		"outage that expires no lease":  {false, time.Minute, 2500 * time.Millisecond, directory.StateRemoved},
		"outage that expires leases":    {false, 100 * time.Millisecond, 2500 * time.Millisecond, directory.StateLeaseExpired},
		"heartbeat interval not stated": {false, 0, 2500 * time.Millisecond, directory.StateLeaseExpired},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store, dir := newLossyStore(), directory.New()
			removed := make(chan string, 2)
			v := NewView(store, dir, clock.SinceBoot, func() time.Duration { return 2 * time.Second }, discardLog(), func(id string) { removed <- id }, func(*routes.Table) {})
			v.HeartbeatInterval = func() time.Duration { return test.heartbeat }
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() {
				defer close(done)
				v.Run(ctx)
			}()
			defer func() { cancel(); <-done }()
			<-store.waiting
			if test.lostLater {
				store.remove("1", false)
				<-removed
			}
			store.mu.Lock()
			store.unavailable = test.available > 0
			store.mu.Unlock()
			time.AfterFunc(test.available, func() {
				store.mu.Lock()
				defer store.mu.Unlock()
				store.unavailable = false
			})
			store.remove("2", true)
			for dir.Revision() < 10+uint64(len(store.changes)) {
				select {
				case <-removed:
				case <-time.After(time.Millisecond): // interval between polls
				}
			}
			got := directory.StateRemoved
			if dir.IsUsable(testServer("2")) {
				got = directory.StateLeaseExpired
			}
			if got != test.want {
				t.Errorf("got state %q of the removed server, want %q", got, test.want)
			}
		})
	}
}

// TestSlowWatchStopsView guards against a view that asks for the same changes for ever because their
// answer takes longer than the timeout of a watch, while the store answers other calls.
func TestSlowWatchStopsView(t *testing.T) {
	store, dir := newLossyStore(), directory.New()
	removed := make(chan string, 2)
	v := NewView(store, dir, clock.SinceBoot, func() time.Duration { return 2 * time.Second }, discardLog(), func(id string) { removed <- id }, func(*routes.Table) {})
	v.HeartbeatInterval = func() time.Duration { return time.Minute }
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		v.Run(ctx)
	}()
	defer func() { cancel(); <-done }()
	<-store.waiting
	store.mu.Lock()
	store.slow = true
	store.mu.Unlock()
	store.remove("2", true)
	select {
	case id := <-removed:
		if id != "2" {
			t.Errorf("server %s was removed, want 2", id)
		}
	case <-time.After(30 * time.Second): // only detects a hang
		t.Error("the removal was not read")
	}
}

// TestNextWaitFollowsHeartbeats checks that an answer of the store is due, and a lost connection
// replaced, within a time in which no outage of the store expires leases.
func TestNextWaitFollowsHeartbeats(t *testing.T) {
	for _, test := range []struct {
		heartbeat, sinceResponse time.Duration
		unavailable              bool
		want                     time.Duration
	}{
		{0, 0, false, watchWait},
		{1200 * time.Millisecond, 0, false, watchWait},
		{1200 * time.Millisecond, 800 * time.Millisecond, false, 1100 * time.Millisecond},
		{1200 * time.Millisecond, 1600 * time.Millisecond, false, 300 * time.Millisecond},
		{500 * time.Millisecond, 0, false, 500 * time.Millisecond},
		{500 * time.Millisecond, 800 * time.Millisecond, false, checkWait},
		{1200 * time.Millisecond, 0, true, checkWait},
	} {
		now := time.Hour
		v := &View{elapsed: func() time.Duration { return now }, HeartbeatInterval: func() time.Duration { return test.heartbeat }, unavailable: test.unavailable, lastResponseAt: now - test.sinceResponse}
		if got := v.nextWait(); got != test.want {
			t.Errorf("%+v: got %v", test, got)
		}
	}
}
