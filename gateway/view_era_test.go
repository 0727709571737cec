package gateway

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sesameswitch/sesameswitch/directory"
	"github.com/sesameswitch/sesameswitch/routes"
	"github.com/sesameswitch/sesameswitch/storeera"
)

// modelEvent is one write to modelStore.
type modelEvent struct {
	revision uint64
	// version is that of a configuration; zero for a server.
	version int
	id      string
	removed bool
}

// modelState is what a restore brings back.
type modelState struct {
	revision uint64
	version  int
	servers  map[string]uint64
	history  []modelEvent
}

func (s modelState) clone() modelState {
	s.servers, s.history = maps.Clone(s.servers), slices.Clone(s.history)
	return s
}

// modelStore is a store that is restored from older copies, and some of whose answers
// are from before the last restore.
type modelStore struct {
	modelState
	era  uint64
	copy modelState
	// newest and wanted are what the operator and the servers wrote last.
	newest int
	wanted map[string]bool
	// older is the state before the last restore, of olderEra; if late is set, it
	// answers the next call.
	older    modelState
	olderEra uint64
	late     bool
}

func (s *modelStore) write(e modelEvent) {
	s.revision++
	e.revision = s.revision
	switch {
	case e.version > 0:
		s.version = e.version
	case e.removed:
		delete(s.servers, e.id)
	default:
		s.servers[e.id] = e.revision
	}
	s.history = append(s.history, e)
}

// rewrite writes again what a restore lost.
func (s *modelStore) rewrite() {
	if s.newest > 0 {
		s.write(modelEvent{version: s.newest})
	}
	for _, id := range slices.Sorted(maps.Keys(s.wanted)) {
		if _, found := s.servers[id]; s.wanted[id] || found {
			s.write(modelEvent{id: id, removed: !s.wanted[id]})
		}
	}
}

// answer returns the state that answers the next call, and its era.
func (s *modelStore) answer() (modelState, storeera.Era) {
	if s.late {
		s.late = false
		return s.older, storeera.Era{Number: s.olderEra, Stated: true}
	}
	return s.modelState, storeera.Era{Number: s.era, Stated: true}
}

func modelTable(version int) *routes.Table {
	if version == 0 {
		return nil
	}
	return &routes.Table{Version: uint64(version)}
}

func modelChange(id string, revision uint64, removed bool) directory.Change {
	c := directory.Change{ID: id, Revision: revision, Removed: removed}
	if !removed {
		c.Server = &directory.BackendServer{ID: id, Service: "app", Address: "10.0.0.1:" + id, StartedAtMs: 1}
	}
	return c
}

func (s *modelStore) CloseIdleConnections() {}

func (s *modelStore) Probe(context.Context) error { return nil }

func (s *modelStore) List(context.Context) (*Snapshot, error) {
	state, era := s.answer()
	snapshot := &Snapshot{Era: era, Revision: state.revision, Table: modelTable(state.version)}
	for id, revision := range state.servers {
		snapshot.ServerChanges = append(snapshot.ServerChanges, modelChange(id, revision, false))
	}
	return snapshot, nil
}

func (s *modelStore) Watch(_ context.Context, after uint64, _ time.Duration) (*Delta, error) {
	state, era := s.answer()
	if after > state.revision {
		return nil, &AnswerError{Era: era, Err: ErrCompacted}
	}
	delta := &Delta{Era: era, Revision: state.revision}
	for _, e := range state.history {
		switch {
		case e.revision <= after:
		case e.version > 0:
			delta.Tables = append(delta.Tables, modelTable(e.version))
		default:
			delta.ServerChanges = append(delta.ServerChanges, modelChange(e.id, e.revision, e.removed))
		}
	}
	return delta, nil
}

func (s *modelStore) Configuration(context.Context) (*ConfigurationRead, error) {
	state, era := s.answer()
	return &ConfigurationRead{Era: era, Table: modelTable(state.version)}, nil
}

// TestRestoresNeverBringBackOlderState checks for any sequence of writes, restores,
// calls and late answers that the active version never decreases, that a successful
// call leaves nothing unread, and that the view agrees with the store in the end.
func TestRestoresNeverBringBackOlderState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &modelStore{modelState: modelState{servers: map[string]uint64{}}, era: 1, wanted: map[string]bool{}}
		store.copy = store.clone()
		dir, now := directory.New(), time.Hour
		v := NewView(store, dir, func() time.Duration { return now }, func() time.Duration { return 0 }, discardLog(), func(string) {}, func(*routes.Table) {})
		active := func() uint64 {
			if table := v.Table(); table != nil {
				return table.Version
			}
			return 0
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			before := active()
			now += time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				store.newest++
				store.write(modelEvent{version: store.newest})
			case 1:
				id := fmt.Sprint(rapid.IntRange(1, 3).Draw(t, "server"))
				store.wanted[id] = rapid.Bool().Draw(t, "present")
				store.write(modelEvent{id: id, removed: !store.wanted[id]})
			case 2:
				store.copy = store.clone()
			case 3:
				store.older, store.olderEra = store.modelState, store.era
				store.modelState = store.copy.clone()
				store.era++
			case 4:
				store.rewrite()
			case 5:
				v.Refresh(context.Background(), 0)
			case 6:
				store.late = store.olderEra > 0
			default:
				isLate := store.late
				err := v.callStore(context.Background())
				if err != nil && !errors.Is(err, errOtherEra) {
					t.Fatalf("call failed: %v", err)
				}
				if err == nil && !isLate && active() < uint64(store.version) {
					t.Fatalf("version %d active after a call, the store has %d", active(), store.version)
				}
			}
			if active() < before {
				t.Fatalf("active version fell from %d to %d", before, active())
			}
		}
		for range 3 {
			store.rewrite()                       // servers renew their entries
			_ = v.callStore(context.Background()) // the first one may get a late answer
		}
		now += directory.LeaseExpiryGrace
		dir.Sweep(time.Unix(0, int64(now)))
		var usable []string
		for _, s := range dir.Usable("app") {
			usable = append(usable, s.ID)
		}
		if active() != uint64(store.newest) || !slices.Equal(usable, slices.Sorted(maps.Keys(store.servers))) || v.Age() > time.Minute {
			t.Fatalf("version %d, servers %v, age %v; the store has %d and %v", active(), usable, v.Age(), store.newest, store.servers)
		}
	})
}
