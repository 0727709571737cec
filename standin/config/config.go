// Package config is a stand-in for the platform's configuration service:
// values that can be read and watched, published through a control interface,
// with faults that can be switched while it runs.
package config

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sesameswitch/sesameswitch/standin/internal/control"
)

const (
	maxValueBytes = 4 << 20
	maxWait       = 60 * time.Second
	oversizeBytes = 2 << 20
	// HeaderRevision carries the revision of a value.
	HeaderRevision = "X-Revision"
)

// Faults says how the service misbehaves towards its readers.
type Faults struct {
	// Down answers 503, or drops the connection when DropConnection is set.
	Down           bool `json:"down,omitempty"`
	DropConnection bool `json:"drop_connection,omitempty"`
	// Hang accepts calls and never answers.
	Hang bool `json:"hang,omitempty"`
	// StaleRevision serves this older revision; 0 serves the newest.
	StaleRevision uint64 `json:"stale_revision,omitempty"`
	// Garbage answers with bytes that are no document.
	Garbage bool `json:"garbage,omitempty"`
	// Truncated drops the connection after half of the body.
	Truncated bool `json:"truncated,omitempty"`
	// HalfDocument answers with half of the document and a length that fits it.
	HalfDocument bool `json:"half,omitempty"`
	// Oversize answers with a document over a megabyte.
	Oversize bool `json:"oversize,omitempty"`
	// FlapEvery fails every second run of this many calls.
	FlapEvery uint64 `json:"flap_every,omitempty"`
}

// CallCounts counts the calls of readers. A waiting watch counts as one call.
type CallCounts struct {
	Reads   uint64 `json:"reads"`
	Watches uint64 `json:"watches"`
}

// Server is the stand-in. It is an http.Handler.
type Server struct {
	mux     *http.ServeMux
	faults  atomic.Pointer[Faults]
	reads   atomic.Uint64
	watches atomic.Uint64

	mu     sync.Mutex
	values map[string]*value
}

// value is a key with all its revisions; revision n is at index n-1.
type value struct {
	revisions [][]byte
	changed   chan struct{}
}

// New returns an empty configuration service.
func New() *Server {
	s := &Server{mux: http.NewServeMux(), values: make(map[string]*value)}
	s.faults.Store(&Faults{})
	s.mux.HandleFunc("GET /v1/values/{key}", s.read)
	s.mux.HandleFunc("PUT /admin/values/{key}", s.publish)
	s.mux.HandleFunc("GET /admin/calls", s.calls)
	s.mux.HandleFunc("GET /admin/faults", func(w http.ResponseWriter, _ *http.Request) {
		control.WriteJSON(w, s.faults.Load())
	})
	s.mux.HandleFunc("PUT /admin/faults", s.putFaults)
	return s
}

// ServeHTTP serves readers and the control interface.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Publish sets the key's value and returns its revision.
func (s *Server) Publish(key string, body []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.value(key)
	v.revisions = append(v.revisions, body)
	s.wake(v)
	return uint64(len(v.revisions))
}

// SetFaults replaces all faults and wakes waiting watches, so that they meet
// the new ones.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.Store(&faults)
	for _, v := range s.values {
		s.wake(v)
	}
}

// CallCounts returns the number of calls so far.
func (s *Server) CallCounts() CallCounts {
	return CallCounts{Reads: s.reads.Load(), Watches: s.watches.Load()}
}

// value returns the key's value, made if needed. The caller holds the lock.
func (s *Server) value(key string) *value {
	v, ok := s.values[key]
	if !ok {
		v = &value{changed: make(chan struct{})}
		s.values[key] = v
	}
	return v
}

// wake ends all waits on the value. The caller holds the lock.
func (s *Server) wake(v *value) {
	close(v.changed)
	v.changed = make(chan struct{})
}

func (s *Server) publish(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	revision := s.Publish(r.PathValue("key"), body)
	w.Header().Set(HeaderRevision, strconv.FormatUint(revision, 10))
}

func (s *Server) calls(w http.ResponseWriter, _ *http.Request) {
	control.WriteJSON(w, s.CallCounts())
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if control.ReadJSON(w, r, &faults) {
		s.SetFaults(faults)
	}
}

func (s *Server) read(w http.ResponseWriter, r *http.Request) {
	after, watch, wait := watchQuery(r)
	call := s.count(watch)
	key := r.PathValue("key")
	if s.fails(w, r, call) {
		return
	}
	if watch {
		s.await(r, key, after, wait)
		if s.fails(w, r, call) {
			return
		}
	}
	body, revision := s.current(key)
	switch {
	case watch && revision == after:
		w.WriteHeader(http.StatusNotModified)
	case revision == 0:
		http.NotFound(w, r)
	default:
		s.answer(w, body, revision)
	}
}

func (s *Server) count(watch bool) uint64 {
	if watch {
		return s.watches.Add(1) + s.reads.Load()
	}
	return s.reads.Add(1) + s.watches.Load()
}

func watchQuery(r *http.Request) (after uint64, watch bool, wait time.Duration) {
	query := r.URL.Query()
	if !query.Has("after") {
		return 0, false, 0
	}
	after, _ = strconv.ParseUint(query.Get("after"), 10, 64)
	wait, err := time.ParseDuration(query.Get("wait"))
	if err != nil || wait > maxWait {
		wait = maxWait
	}
	return after, true, wait
}

// fails carries out the faults that keep the service from answering.
func (s *Server) fails(w http.ResponseWriter, r *http.Request, call uint64) bool {
	faults := s.faults.Load()
	flapping := faults.FlapEvery > 0 && call/faults.FlapEvery%2 == 1
	switch {
	case faults.Hang:
		control.Hang(r)
	case faults.DropConnection:
		control.Abort()
	case faults.Down || flapping:
		http.Error(w, "down", http.StatusServiceUnavailable)
	default:
		return false
	}
	return true
}

// await returns once the revision differs from after, the wait is over, the
// caller has gone, or the faults changed.
func (s *Server) await(r *http.Request, key string, after uint64, wait time.Duration) {
	s.mu.Lock()
	changed := s.value(key).changed
	s.mu.Unlock()
	if _, revision := s.current(key); revision != after {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-r.Context().Done():
	}
}

// current returns the value that readers see; revision 0 is no value.
func (s *Server) current(key string) ([]byte, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.value(key)
	revision := uint64(len(v.revisions))
	if stale := s.faults.Load().StaleRevision; stale > 0 && stale < revision {
		revision = stale
	}
	if revision == 0 {
		return nil, 0
	}
	return v.revisions[revision-1], revision
}

// answer writes the body, damaged as the faults say.
func (s *Server) answer(w http.ResponseWriter, body []byte, revision uint64) {
	faults := s.faults.Load()
	switch {
	case faults.Garbage:
		body = []byte("\x00\xff{garbage: [")
	case faults.Oversize:
		body = []byte(strings.Repeat("# oversize\n", oversizeBytes/len("# oversize\n")))
	case faults.HalfDocument:
		body = body[:len(body)/2]
	}
	w.Header().Set(HeaderRevision, strconv.FormatUint(revision, 10))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if faults.Truncated {
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		control.Abort()
	}
	_, _ = w.Write(body)
}
