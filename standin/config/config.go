// Package config is a stand-in for the platform's configuration service.
//
// Readers read values by key or watch them for a new revision. Values are
// published, and faults are set, by the methods of Server or by its admin API
// (paths below /admin/), at any time.
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
	// maxValueBytes is the maximum size of a published value.
	maxValueBytes = 4 << 20
	// maxWatchWait is the longest time that a watch waits for a new revision.
	maxWatchWait = 60 * time.Second
	// oversizeDocumentBytes is the approximate size of a document that readers
	// refuse: twice httpprovider.MaxDocumentBytes.
	oversizeDocumentBytes = 2 << 20
	// HeaderRevision is the response header with the revision of a value.
	HeaderRevision = "X-Revision"
)

// Faults are the failures that the service simulates for its readers. The zero
// value simulates none.
type Faults struct {
	// Down responds with 503 to each call.
	Down bool `json:"down,omitempty"`
	// DropConnection drops the connection of each call without a response. It
	// takes precedence over Down.
	DropConnection bool `json:"drop_connection,omitempty"`
	// Hang accepts calls and never responds. It takes precedence over
	// DropConnection.
	Hang bool `json:"hang,omitempty"`
	// StaleRevision serves this revision instead of newer ones; 0 serves the
	// newest.
	StaleRevision uint64 `json:"stale_revision,omitempty"`
	// Garbage responds with bytes that are not a valid document.
	Garbage bool `json:"garbage,omitempty"`
	// TruncatedBody drops the connection after half of the announced body.
	TruncatedBody bool `json:"truncated,omitempty"`
	// HalfDocument responds with the first half of the document and a matching
	// Content-Length.
	HalfDocument bool `json:"half,omitempty"`
	// Oversize responds with a document of about two megabytes, which exceeds the
	// limit of the readers.
	Oversize bool `json:"oversize,omitempty"`
	// FlapEvery alternates between this many calls that succeed and this many
	// that fail with 503; 0 disables it. Calls are counted since the start of the
	// service.
	FlapEvery uint64 `json:"flap_every,omitempty"`
}

// CallCounts are the numbers of calls from readers. A watch counts as one call,
// however long it waits.
type CallCounts struct {
	Reads   uint64 `json:"reads"`
	Watches uint64 `json:"watches"`
	// Stale counts the responses with a revision that was not the newest.
	Stale uint64 `json:"stale"`
}

// Server is a stand-in for the configuration service. It is an http.Handler.
type Server struct {
	mux     *http.ServeMux
	faults  atomic.Pointer[Faults]
	reads   atomic.Uint64
	watches atomic.Uint64
	stale   atomic.Uint64

	mu     sync.Mutex
	values map[string]*valueHistory
}

// valueHistory holds all revisions of the value of one key.
type valueHistory struct {
	// revisions holds revision n at index n-1.
	revisions [][]byte
	// changed is closed, and replaced by a new channel, when a revision is
	// published or the faults change.
	changed chan struct{}
}

// New returns an empty configuration service.
func New() *Server {
	s := &Server{mux: http.NewServeMux(), values: make(map[string]*valueHistory)}
	s.faults.Store(&Faults{})
	s.mux.HandleFunc("GET /v1/values/{key}", s.serveValue)
	s.mux.HandleFunc("PUT /admin/values/{key}", s.putValue)
	s.mux.HandleFunc("GET /admin/calls", s.getCallCounts)
	s.mux.HandleFunc("GET /admin/faults", func(w http.ResponseWriter, _ *http.Request) {
		control.WriteJSON(w, s.faults.Load())
	})
	s.mux.HandleFunc("PUT /admin/faults", s.putFaults)
	return s
}

// ServeHTTP serves the readers' API and the admin API.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Publish adds a revision of the key's value and returns the revision number.
func (s *Server) Publish(key string, body []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.getOrCreate(key)
	v.revisions = append(v.revisions, body)
	s.notifyWatchers(v)
	return uint64(len(v.revisions))
}

// SetFaults replaces all faults and wakes the waiting watches, so that the new
// faults affect them too.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.Store(&faults)
	for _, v := range s.values {
		s.notifyWatchers(v)
	}
}

// CallCounts returns the numbers of calls since the start.
func (s *Server) CallCounts() CallCounts {
	return CallCounts{Reads: s.reads.Load(), Watches: s.watches.Load(), Stale: s.stale.Load()}
}

// getOrCreate returns the history of the key's value and creates an empty one if the
// key is new. The caller holds the lock.
func (s *Server) getOrCreate(key string) *valueHistory {
	v, ok := s.values[key]
	if !ok {
		v = &valueHistory{changed: make(chan struct{})}
		s.values[key] = v
	}
	return v
}

// notifyWatchers wakes all watches that wait for the value. The caller holds
// the lock.
func (s *Server) notifyWatchers(v *valueHistory) {
	close(v.changed)
	v.changed = make(chan struct{})
}

func (s *Server) putValue(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	revision := s.Publish(r.PathValue("key"), body)
	w.Header().Set(HeaderRevision, strconv.FormatUint(revision, 10))
}

func (s *Server) getCallCounts(w http.ResponseWriter, _ *http.Request) {
	control.WriteJSON(w, s.CallCounts())
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if control.ReadJSON(w, r, &faults) {
		s.SetFaults(faults)
	}
}

// serveValue serves a read or a watch of a value. A watch responds with 304 if the
// served revision is still the one that the reader has.
func (s *Server) serveValue(w http.ResponseWriter, r *http.Request) {
	after, watch, wait := parseWatchQuery(r)
	callNumber := s.countCall(watch)
	key := r.PathValue("key")
	if s.simulateOutage(w, r, callNumber) {
		return
	}
	if watch {
		s.awaitChange(r, key, after, wait)
		if s.simulateOutage(w, r, callNumber) {
			return
		}
	}
	body, revision := s.servedValue(key)
	switch {
	case watch && revision == after:
		w.WriteHeader(http.StatusNotModified)
	case revision == 0:
		http.NotFound(w, r)
	default:
		s.writeValue(w, body, revision)
	}
}

// countCall counts a call and returns its number among all calls, from 1. A read and
// a watch that arrive at the same time may get the same number.
func (s *Server) countCall(watch bool) uint64 {
	if watch {
		return s.watches.Add(1) + s.reads.Load()
	}
	return s.reads.Add(1) + s.watches.Load()
}

// parseWatchQuery returns the parameters of a watch: the revision that the reader has
// and how long to wait for another one. A call without the parameter "after" is not a
// watch. An invalid revision counts as 0, and an invalid or too long wait as
// maxWatchWait.
func parseWatchQuery(r *http.Request) (after uint64, watch bool, wait time.Duration) {
	query := r.URL.Query()
	if !query.Has("after") {
		return 0, false, 0
	}
	after, _ = strconv.ParseUint(query.Get("after"), 10, 64)
	wait, err := time.ParseDuration(query.Get("wait"))
	if err != nil || wait > maxWatchWait {
		wait = maxWatchWait
	}
	return after, true, wait
}

// simulateOutage applies the faults that prevent a regular response and reports
// whether one of them applied.
func (s *Server) simulateOutage(w http.ResponseWriter, r *http.Request, callNumber uint64) bool {
	faults := s.faults.Load()
	flapping := faults.FlapEvery > 0 && callNumber/faults.FlapEvery%2 == 1
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

// awaitChange returns when the served revision differs from after, a revision is
// published, the faults change, the wait is over, or the reader disconnects.
func (s *Server) awaitChange(r *http.Request, key string, after uint64, wait time.Duration) {
	s.mu.Lock()
	changed := s.getOrCreate(key).changed
	s.mu.Unlock()
	if _, revision := s.servedValue(key); revision != after {
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

// servedValue returns the value and the revision that readers receive: the newest, or
// an older one if the fault StaleRevision is set. Revision 0 means that the key has no
// value.
func (s *Server) servedValue(key string) ([]byte, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.getOrCreate(key)
	revision := uint64(len(v.revisions))
	if stale := s.faults.Load().StaleRevision; stale > 0 && stale < revision {
		revision = stale
	}
	if revision == 0 {
		return nil, 0
	}
	return v.revisions[revision-1], revision
}

// writeValue responds with the value, or with what the faults put in its place.
func (s *Server) writeValue(w http.ResponseWriter, body []byte, revision uint64) {
	faults := s.faults.Load()
	switch {
	case faults.Garbage:
		body = []byte("\x00\xff{garbage: [")
	case faults.Oversize:
		body = []byte(strings.Repeat("# oversize\n", oversizeDocumentBytes/len("# oversize\n")))
	case faults.HalfDocument:
		body = body[:len(body)/2]
	}
	w.Header().Set(HeaderRevision, strconv.FormatUint(revision, 10))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if faults.TruncatedBody {
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		control.Abort()
	}
	_, _ = w.Write(body)
	if faults.StaleRevision > 0 && revision == faults.StaleRevision {
		s.stale.Add(1)
	}
}
