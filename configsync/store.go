// Package configsync stores the active version of the manifest in a process and
// propagates versions among the processes of a deployment.
//
// Callers may assume, whatever the configuration service or a peer sends, that
// the active version never decreases during the lifetime of the process, and
// that a document has passed every validation before it becomes active. New
// versions arrive only while the configuration service, or a peer that has them,
// is reachable.
package configsync

import (
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"github.com/sesameswitch/sesameswitch/clock"
	"github.com/sesameswitch/sesameswitch/configsync/delta"
	"github.com/sesameswitch/sesameswitch/internal/mutation"
	"github.com/sesameswitch/sesameswitch/manifest"
	"github.com/sesameswitch/sesameswitch/statechart"
)

// Origin is where a document came from: OriginService or the address of a peer.
type Origin string

// OriginService is the configuration service of the platform.
const OriginService Origin = "configuration service"

// Verdict is the result of applying a document.
type Verdict int

// Verdicts on a document.
const (
	// Accepted means that the document became active.
	Accepted Verdict = iota
	// Same means that the document was already active.
	Same
	// Older means that a higher version is active.
	Older
	// Conflict means that a different document of the same version is active.
	Conflict
	// Invalid means that the document failed validation.
	Invalid
)

// String returns the name of the verdict for logs and counters.
func (v Verdict) String() string {
	names := [...]string{"accepted", "same", "older", "conflict", "invalid"}
	if v < 0 || int(v) >= len(names) {
		return "unknown"
	}
	return names[v]
}

// Errors for the verdicts Older and Conflict.
var (
	ErrOlder    = eris.New("configsync: a higher version is active")
	ErrConflict = eris.New("configsync: a different document of the same version is active")
)

// GuardVersion refuses versions below the active one. A test build can switch it
// off.
const GuardVersion mutation.Guard = "configsync.version"

// Hooks are called after a document was evaluated. Nil functions are skipped.
type Hooks struct {
	// Accepted is called once for each version that becomes active, in that order,
	// and must not call Apply.
	Accepted func(version uint64, from Origin)
	// Refused is called for each document with the verdict Older, Conflict or
	// Invalid. Concurrent calls of Apply may call it concurrently and out of order.
	Refused func(verdict Verdict, from Origin, err error)
}

// activeConfig is one accepted version. Only the state of its lifecycle changes.
type activeConfig struct {
	view     *manifest.View
	document *delta.Document
	// lifecycle changes only while Store.mu is held, or before the version is
	// shared.
	lifecycle *statechart.Machine
}

// Store holds the active version. It is safe for concurrent use; reads take no
// lock.
type Store struct {
	clock   clock.Clock
	hooks   Hooks
	chart   *statechart.Chart
	current atomic.Pointer[activeConfig]

	mu      sync.Mutex
	changed chan struct{}

	// applyMu serialises calls of Apply.
	applyMu sync.Mutex
	// lastInvalid is the digest of the last invalid document, and lastInvalidErr
	// its error, so that a document which arrives repeatedly is parsed once.
	lastInvalid    delta.Digest
	lastInvalidErr error
}

// NewStore returns an empty store.
func NewStore(c clock.Clock, hooks Hooks) *Store {
	return &Store{clock: c, hooks: hooks, chart: statechart.MustLoad("configuration"), changed: make(chan struct{})}
}

// Apply validates a document and activates it when its version is higher than
// the active one. Apply retains the slice; the caller must not change it.
func (s *Store) Apply(body []byte, from Origin) (Verdict, error) {
	verdict, err := s.evaluateInOrder(body, from)
	if (verdict == Older || verdict == Conflict || verdict == Invalid) && s.hooks.Refused != nil {
		s.hooks.Refused(verdict, from, err)
	}
	return verdict, err
}

// evaluateInOrder evaluates one document at a time and reports the accepted ones.
func (s *Store) evaluateInOrder(body []byte, from Origin) (Verdict, error) {
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	verdict, version, err := s.evaluate(body)
	if verdict == Accepted && s.hooks.Accepted != nil {
		s.hooks.Accepted(version, from)
	}
	return verdict, err
}

// evaluate validates a document and activates it when it is newer. It returns the
// verdict and the version of the document, or version 0 when it is invalid. The
// caller holds applyMu.
func (s *Store) evaluate(body []byte) (Verdict, uint64, error) {
	active := s.current.Load()
	// An oversize document is not split into chunks; Parse returns the error
	// without reading it.
	if len(body) > manifest.MaxDocumentBytes {
		_, err := manifest.Parse(body)
		return Invalid, 0, err
	}
	doc := delta.NewDocument(body)
	digest := doc.Recipe.Digest
	if active != nil && digest == active.document.Recipe.Digest {
		return Same, active.view.Version(), nil
	}
	if s.lastInvalidErr != nil && digest == s.lastInvalid {
		return Invalid, 0, s.lastInvalidErr
	}
	lifecycle := s.chart.New()
	m, verdict, err := s.validate(active, body)
	if verdict != Accepted {
		fire(lifecycle, "refuse")
	}
	switch verdict {
	case Accepted:
		fire(lifecycle, "validate")
		s.activate(&activeConfig{view: manifest.NewView(m), document: doc, lifecycle: lifecycle})
	case Invalid:
		s.lastInvalid, s.lastInvalidErr = digest, err
		return Invalid, 0, err
	}
	return verdict, m.Version, err
}

// validate parses a document and compares its version with the active one.
func (s *Store) validate(active *activeConfig, body []byte) (*manifest.Manifest, Verdict, error) {
	m, err := manifest.Parse(body)
	if err != nil {
		return nil, Invalid, err
	}
	if active != nil && m.Version < active.view.Version() && !mutation.Off(GuardVersion) {
		return m, Older, eris.Wrapf(ErrOlder, "received version %d, version %d is active", m.Version, active.view.Version())
	}
	if active != nil && m.Version == active.view.Version() {
		return m, Conflict, eris.Wrapf(ErrConflict, "version %d", m.Version)
	}
	return m, Accepted, nil
}

// activate replaces the active version by a valid one.
func (s *Store) activate(next *activeConfig) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if previous := s.current.Load(); previous != nil {
		fire(previous.lifecycle, "supersede")
	}
	fire(next.lifecycle, "activate")
	s.current.Store(next)
	close(s.changed)
	s.changed = make(chan struct{})
}

// fire fires an event of a version's lifecycle. The store fires only events that
// the state chart allows, so an error is a broken invariant.
func fire(lifecycle *statechart.Machine, event string) {
	if _, err := lifecycle.Fire(event); err != nil {
		panic(err)
	}
}

// Current returns the view of the active version, or nil before the first.
func (s *Store) Current() *manifest.View {
	if active := s.current.Load(); active != nil {
		return active.view
	}
	return nil
}

// Version returns the active version, or 0 before the first.
func (s *Store) Version() uint64 {
	if active := s.current.Load(); active != nil {
		return active.view.Version()
	}
	return 0
}

// Document returns the document of the active version, or nil before the first.
// The caller must not change it.
func (s *Store) Document() []byte {
	if active := s.current.Load(); active != nil {
		return active.document.Body()
	}
	return nil
}

// Changed returns a channel that is closed when the next version becomes active.
// To miss no version, call Changed before reading the version.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// active returns the active version with its chunks, or nil before the first.
func (s *Store) active() *activeConfig { return s.current.Load() }
