// Package configsync keeps the version of the manifest that is in force in a
// process, and spreads versions among the processes of a deployment.
//
// A caller may rely on the version in force never falling while the process
// lives, and on a document being valid as a whole before it is in force,
// whatever the configuration service or a peer sends. It may rely on new
// versions arriving only while the configuration service, or a peer that
// has them, can be reached.
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

// Source names where a document came from: SourceService or a peer's address.
type Source string

// SourceService is the platform's configuration service.
const SourceService Source = "configuration service"

// Verdict says what became of an offered document.
type Verdict int

// Verdicts on an offered document.
const (
	// Accepted means that the document is now in force.
	Accepted Verdict = iota
	// Same means that the document was in force already.
	Same
	// Older means that a higher version is in force.
	Older
	// Conflict means that another document of the same version is in force.
	Conflict
	// Invalid means that the document failed validation.
	Invalid
)

// String returns the verdict's name for logs and counters.
func (v Verdict) String() string {
	names := [...]string{"accepted", "same", "older", "conflict", "invalid"}
	if v < 0 || int(v) >= len(names) {
		return "unknown"
	}
	return names[v]
}

// Errors that explain a verdict.
var (
	ErrOlder    = eris.New("configsync: a higher version is in force")
	ErrConflict = eris.New("configsync: another document of the same version is in force")
)

// GuardVersion refuses versions below the one in force. A test build can
// switch it off.
const GuardVersion mutation.Guard = "configsync.version"

// Hooks are called for each judged document, outside of locks. Nil functions
// are left out.
type Hooks struct {
	// Accepted is called once for each version that comes into force.
	Accepted func(version uint64, from Source)
	// Refused is called for each document with the verdict Older, Conflict or
	// Invalid.
	Refused func(verdict Verdict, from Source, err error)
}

// activeConfig is one accepted version. All but its life is immutable.
type activeConfig struct {
	view     *manifest.View
	document *delta.Document
	// lifecycle is changed under the store's lock only.
	lifecycle *statechart.Machine
}

// Store holds the version in force. It is safe for concurrent use; reads take
// no lock.
type Store struct {
	clock   clock.Clock
	hooks   Hooks
	chart   *statechart.Chart
	current atomic.Pointer[activeConfig]

	mu      sync.Mutex
	changed chan struct{}

	// applyMu serialises offers.
	applyMu sync.Mutex
	// lastInvalid is the digest of the last invalid document, so that a document
	// which is offered again and again is parsed once.
	lastInvalid    delta.Digest
	lastInvalidErr error
}

// NewStore returns an empty store.
func NewStore(c clock.Clock, hooks Hooks) *Store {
	return &Store{clock: c, hooks: hooks, chart: statechart.MustLoad("configuration"), changed: make(chan struct{})}
}

// Apply validates a document and puts it in force when its version is higher
// than the one in force. It keeps the slice; the caller must not change it.
func (s *Store) Apply(body []byte, from Source) (Verdict, error) {
	verdict, version, err := s.evaluate(body)
	switch verdict {
	case Accepted:
		if s.hooks.Accepted != nil {
			s.hooks.Accepted(version, from)
		}
	case Older, Conflict, Invalid:
		if s.hooks.Refused != nil {
			s.hooks.Refused(verdict, from, err)
		}
	}
	return verdict, err
}

func (s *Store) evaluate(body []byte) (Verdict, uint64, error) {
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	now := s.current.Load()
	if len(body) > manifest.MaxDocumentBytes {
		_, err := manifest.Parse(body)
		return Invalid, 0, err
	}
	doc := delta.NewDocument(body)
	digest := doc.Recipe.Digest
	if now != nil && digest == now.document.Recipe.Digest {
		return Same, now.view.Version(), nil
	}
	if s.lastInvalidErr != nil && digest == s.lastInvalid {
		return Invalid, 0, s.lastInvalidErr
	}
	life := s.chart.New()
	m, verdict, err := s.validate(now, body)
	if verdict != Accepted {
		fire(life, "refuse")
	}
	switch verdict {
	case Accepted:
		fire(life, "validate")
		s.activate(&activeConfig{view: manifest.NewView(m), document: doc, lifecycle: life})
	case Invalid:
		s.lastInvalid, s.lastInvalidErr = digest, err
		return Invalid, 0, err
	}
	return verdict, m.Version, err
}

// validate parses a document and compares its version with the one in force.
func (s *Store) validate(now *activeConfig, body []byte) (*manifest.Manifest, Verdict, error) {
	m, err := manifest.Parse(body)
	if err != nil {
		return nil, Invalid, err
	}
	if now != nil && m.Version < now.view.Version() && !mutation.Off(GuardVersion) {
		return m, Older, eris.Wrapf(ErrOlder, "version %d offered, %d in force", m.Version, now.view.Version())
	}
	if now != nil && m.Version == now.view.Version() {
		return m, Conflict, eris.Wrapf(ErrConflict, "version %d", m.Version)
	}
	return m, Accepted, nil
}

// activate brings a valid version into force.
func (s *Store) activate(next *activeConfig) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if last := s.current.Load(); last != nil {
		fire(last.lifecycle, "supersede")
	}
	fire(next.lifecycle, "activate")
	s.current.Store(next)
	close(s.changed)
	s.changed = make(chan struct{})
}

// fire moves a version along its chart. The store asks only for moves that
// the chart allows, so an error is a broken invariant.
func fire(life *statechart.Machine, event string) {
	if _, err := life.Fire(event); err != nil {
		panic(err)
	}
}

// Current returns the view in force, or nil before the first.
func (s *Store) Current() *manifest.View {
	if now := s.current.Load(); now != nil {
		return now.view
	}
	return nil
}

// Version returns the version in force, or 0 before the first.
func (s *Store) Version() uint64 {
	if now := s.current.Load(); now != nil {
		return now.view.Version()
	}
	return 0
}

// Document returns the bytes of the version in force, or nil before the
// first. The caller must not change them.
func (s *Store) Document() []byte {
	if now := s.current.Load(); now != nil {
		return now.document.Body()
	}
	return nil
}

// Changed returns a channel that is closed when the next version comes into
// force. To miss none, take the channel before reading the version.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// active returns the version in force with its chunks, or nil.
func (s *Store) active() *activeConfig { return s.current.Load() }
