// Package service is a stand-in for a plain service. It runs each request that it
// receives and counts the runs of each idempotency key. It does not deduplicate
// requests by their key, so that a test can detect a request that ran more than once.
package service

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/sesameswitch/sesameswitch/provider"
	"github.com/sesameswitch/sesameswitch/standin/internal/control"
)

// maxBodyBytes is the maximum size of a request body.
const maxBodyBytes = 64 << 20

// Settings are the settings of a service.
type Settings struct {
	// Latency is the duration of a run.
	Latency time.Duration
	// Slots is the maximum number of concurrent runs; 0 means no limit.
	Slots int
	// Name is the name of the service, which its load report lists among the
	// models.
	Name string
}

// Faults are the failures that the service simulates. The zero value simulates
// none.
type Faults struct {
	// HangBeforeRun accepts requests, does not run them and never responds.
	HangBeforeRun bool `json:"hang_before,omitempty"`
	// HangAfterRun runs requests and never responds. The slot of a run stays
	// occupied until the caller disconnects.
	HangAfterRun bool `json:"hang_after,omitempty"`
	// CloseBeforeRun drops the connection without running the request.
	CloseBeforeRun bool `json:"close_before,omitempty"`
	// CloseAfterRun drops the connection after the run.
	CloseAfterRun bool `json:"close_after,omitempty"`
	// TruncatedBody drops the connection after half of the announced body.
	TruncatedBody bool `json:"short_length,omitempty"`
	// SlowMillis is added to the latency, in milliseconds.
	SlowMillis int64 `json:"slow_ms,omitempty"`
	// Status, if not 0, is the status of the response to each request; the
	// request does not run.
	Status int `json:"status,omitempty"`
}

// Response is the body of the response to a run.
type Response struct {
	Method string `json:"method"`
	// Path is the path of the request, with its query.
	Path string `json:"path"`
	// Key is the idempotency key of the request.
	Key string `json:"key"`
	// Run is the number of this run among all runs of the service, from 1.
	Run uint64 `json:"run"`
	// BodySHA256 is the SHA-256 hash of the request body, in hexadecimal.
	BodySHA256 string `json:"body_sha256"`
}

// Server is a stand-in for a plain service. It is an http.Handler.
type Server struct {
	mux      *http.ServeMux
	settings Settings
	// slots holds one element for each occupied slot; nil means no limit.
	slots chan struct{}

	mu     sync.Mutex
	faults Faults
	// runsByKey counts the runs of each idempotency key.
	runsByKey map[string]uint64
	totalRuns uint64
	running   int
	waiting   int
}

// New returns a service.
func New(settings Settings) *Server {
	s := &Server{mux: http.NewServeMux(), settings: settings, runsByKey: make(map[string]uint64)}
	if settings.Slots > 0 {
		s.slots = make(chan struct{}, settings.Slots)
	}
	s.mux.HandleFunc("GET /admin/runs", s.getRuns)
	s.mux.HandleFunc("GET /admin/faults", s.getFaults)
	s.mux.HandleFunc("PUT /admin/faults", s.putFaults)
	s.mux.HandleFunc("GET /load", s.serveLoad)
	s.mux.HandleFunc("/", s.serveRequest)
	return s
}

// ServeHTTP serves load reports, the admin API and, on all other paths, requests to
// the service.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetFaults replaces all faults.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Runs returns the number of runs of each idempotency key.
func (s *Server) Runs() map[string]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]uint64, len(s.runsByKey))
	for key, n := range s.runsByKey {
		runs[key] = n
	}
	return runs
}

func (s *Server) getRuns(w http.ResponseWriter, _ *http.Request) {
	control.WriteJSON(w, s.Runs())
}

func (s *Server) getFaults(w http.ResponseWriter, _ *http.Request) {
	control.WriteJSON(w, s.currentFaults())
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if control.ReadJSON(w, r, &faults) {
		s.SetFaults(faults)
	}
}

func (s *Server) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	control.WriteJSON(w, provider.LoadReport{
		Slots:   s.settings.Slots,
		Running: s.running,
		Waiting: s.waiting,
		Models:  []string{s.settings.Name},
	})
}

// serveRequest runs a request. A run is not cancelled when its caller disconnects.
func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	faults := s.currentFaults()
	switch {
	case faults.HangBeforeRun:
		control.Hang(r)
	case faults.CloseBeforeRun:
		control.Abort()
	case faults.Status != 0:
		http.Error(w, "fault", faults.Status)
		return
	}
	s.acquireSlot()
	defer s.releaseSlot()
	response := s.recordRun(r, body)
	time.Sleep(s.settings.Latency + time.Duration(faults.SlowMillis)*time.Millisecond)
	switch {
	case faults.HangAfterRun:
		control.Hang(r)
	case faults.CloseAfterRun:
		control.Abort()
	}
	writeResponse(w, response, faults.TruncatedBody)
}

// acquireSlot waits for a free slot and occupies it. The wait does not end when the
// caller disconnects.
func (s *Server) acquireSlot() {
	s.addLoad(0, 1)
	if s.slots != nil {
		s.slots <- struct{}{}
	}
	s.addLoad(1, -1)
}

func (s *Server) releaseSlot() {
	if s.slots != nil {
		<-s.slots
	}
	s.addLoad(-1, 0)
}

// addLoad adds to the numbers of running and waiting requests.
func (s *Server) addLoad(running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += running
	s.waiting += waiting
}

// recordRun counts a run of the request and returns the response to it.
func (s *Server) recordRun(r *http.Request, body []byte) Response {
	sum := sha256.Sum256(body)
	key := r.Header.Get("Idempotency-Key")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.totalRuns++
	s.runsByKey[key]++
	return Response{
		Method:     r.Method,
		Path:       r.URL.RequestURI(),
		Key:        key,
		Run:        s.totalRuns,
		BodySHA256: hex.EncodeToString(sum[:]),
	}
}

// writeResponse sends the response. If truncate is set, it drops the connection after
// half of the announced body.
func writeResponse(w http.ResponseWriter, response Response, truncate bool) {
	data, err := json.Marshal(response)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	if truncate {
		_, _ = w.Write(data[:len(data)/2])
		_ = http.NewResponseController(w).Flush()
		control.Abort()
	}
	_, _ = w.Write(data)
}
