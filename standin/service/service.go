// Package service is a stand-in for a plain service. It runs every call that
// reaches it, counts the runs of each idempotency key, and does not
// deduplicate.
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

const maxBodyBytes = 64 << 20

// Settings shape the service.
type Settings struct {
	// Latency is how long one call runs.
	Latency time.Duration
	// Slots bounds the calls that run at once; 0 is no bound.
	Slots int
	// Name is the service's name in its load report.
	Name string
}

// Faults says how the service misbehaves.
type Faults struct {
	// HangBeforeRun accepts calls and neither runs nor answers them.
	HangBeforeRun bool `json:"hang_before,omitempty"`
	// HangAfterRun runs calls and never answers.
	HangAfterRun bool `json:"hang_after,omitempty"`
	// CloseBeforeRun drops the connection without a run.
	CloseBeforeRun bool `json:"close_before,omitempty"`
	// CloseAfterRun drops the connection after the run.
	CloseAfterRun bool `json:"close_after,omitempty"`
	// TruncatedBody announces more bytes than it sends.
	TruncatedBody bool `json:"short_length,omitempty"`
	// SlowMillis is added to the latency.
	SlowMillis int64 `json:"slow_ms,omitempty"`
	// Status, when set, is answered instead of a run.
	Status int `json:"status,omitempty"`
}

// Response is the body of the response to a run.
type Response struct {
	Method     string `json:"method"`
	Path       string `json:"path"`
	Key        string `json:"key"`
	Run        uint64 `json:"run"`
	BodySHA256 string `json:"body_sha256"`
}

// Server is the stand-in. It is an http.Handler.
type Server struct {
	mux      *http.ServeMux
	settings Settings
	slots    chan struct{}

	mu      sync.Mutex
	faults  Faults
	runs    map[string]uint64
	total   uint64
	running int
	waiting int
}

// New returns a service.
func New(settings Settings) *Server {
	s := &Server{mux: http.NewServeMux(), settings: settings, runs: make(map[string]uint64)}
	if settings.Slots > 0 {
		s.slots = make(chan struct{}, settings.Slots)
	}
	s.mux.HandleFunc("GET /admin/runs", s.getRuns)
	s.mux.HandleFunc("GET /admin/faults", s.getFaults)
	s.mux.HandleFunc("PUT /admin/faults", s.putFaults)
	s.mux.HandleFunc("GET /load", s.load)
	s.mux.HandleFunc("/", s.serve)
	return s
}

// ServeHTTP serves callers and the control interface.
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
	runs := make(map[string]uint64, len(s.runs))
	for key, n := range s.runs {
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

func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	control.WriteJSON(w, provider.LoadReport{
		Slots:   s.settings.Slots,
		Running: s.running,
		Waiting: s.waiting,
		Models:  []string{s.settings.Name},
	})
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
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
	s.enter()
	defer s.leave()
	answer := s.run(r, body)
	time.Sleep(s.settings.Latency + time.Duration(faults.SlowMillis)*time.Millisecond)
	switch {
	case faults.HangAfterRun:
		control.Hang(r)
	case faults.CloseAfterRun:
		control.Abort()
	}
	write(w, answer, faults.TruncatedBody)
}

// enter takes a slot, waiting for a free one.
func (s *Server) enter() {
	s.addLoad(0, 1)
	if s.slots != nil {
		s.slots <- struct{}{}
	}
	s.addLoad(1, -1)
}

func (s *Server) leave() {
	if s.slots != nil {
		<-s.slots
	}
	s.addLoad(-1, 0)
}

func (s *Server) addLoad(running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += running
	s.waiting += waiting
}

// run counts one run of the call.
func (s *Server) run(r *http.Request, body []byte) Response {
	sum := sha256.Sum256(body)
	key := r.Header.Get("Idempotency-Key")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total++
	s.runs[key]++
	return Response{
		Method:     r.Method,
		Path:       r.URL.RequestURI(),
		Key:        key,
		Run:        s.total,
		BodySHA256: hex.EncodeToString(sum[:]),
	}
}

// write answers; with short set the connection ends before the announced
// length.
func write(w http.ResponseWriter, answer Response, short bool) {
	data, err := json.Marshal(answer)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	if short {
		_, _ = w.Write(data[:len(data)/2])
		_ = http.NewResponseController(w).Flush()
		control.Abort()
	}
	_, _ = w.Write(data)
}
