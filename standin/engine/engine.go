// Package engine is a stand-in for a model engine with continuous batching.
//
// A test may rely on token i of an answer being Token(prompt, i), whichever
// engine runs the request and whether it was resumed, so that any whole
// answer can be checked. Closing the connection cancels the request and
// frees its slot at once.
package engine

import (
	"os"
	"sync"
	"sync/atomic"
	"time"

	"net/http"

	"github.com/sesameswitch/sesameswitch/clock"
	"github.com/sesameswitch/sesameswitch/provider"
	"github.com/sesameswitch/sesameswitch/standin/internal/control"
)

// HeaderRunID names the identity under which runs are counted.
const HeaderRunID = "Sesame-Run-Id"

// crashExitCode is the exit code of an engine told to crash.
const crashExitCode = 70

// Server is the stand-in. It is an http.Handler.
type Server struct {
	settings Settings
	mux      *http.ServeMux
	clock    clock.Clock
	faults   atomic.Pointer[Faults]
	// changed wakes the batch loop.
	changed chan struct{}
	stop    chan struct{}
	stopped sync.Once

	mu      sync.Mutex
	batch   *batch
	runs    map[string]uint64
	reports []timedReport
	models  map[string]bool
	fence   uint64
}

// timedReport is the load from a time on.
type timedReport struct {
	from   time.Time
	report provider.LoadReport
}

// New returns a running engine; Close stops it.
func New(settings Settings) *Server {
	s := &Server{
		settings: settings.scaled(),
		mux:      http.NewServeMux(),
		clock:    clock.New(),
		changed:  make(chan struct{}, 1),
		stop:     make(chan struct{}),
		runs:     make(map[string]uint64),
		models:   make(map[string]bool),
	}
	s.batch = newBatch(s.settings)
	for _, model := range settings.Models {
		s.models[model] = true
	}
	s.faults.Store(&Faults{})
	s.routes()
	s.mu.Lock()
	s.recordLoad(s.clock.Now())
	s.mu.Unlock()
	go s.loop()
	return s
}

func (s *Server) routes() {
	s.mux.HandleFunc("POST /v1/chat/completions", s.complete)
	s.mux.HandleFunc("GET /v1/models", s.listModels)
	s.mux.HandleFunc("GET /load", s.load)
	s.mux.HandleFunc("POST /orders", s.order)
	s.mux.HandleFunc("GET /admin/counters", s.getCounters)
	s.mux.HandleFunc("GET /admin/faults", func(w http.ResponseWriter, _ *http.Request) {
		control.WriteJSON(w, s.faults.Load())
	})
	s.mux.HandleFunc("PUT /admin/faults", func(w http.ResponseWriter, r *http.Request) {
		var faults Faults
		if control.ReadJSON(w, r, &faults) {
			s.SetFaults(faults)
		}
	})
}

// ServeHTTP serves callers and the control interface.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Close stops the engine's batch loop.
func (s *Server) Close() { s.stopped.Do(func() { close(s.stop) }) }

// SetFaults replaces all faults. A crash ends the process.
func (s *Server) SetFaults(faults Faults) {
	if faults.Crash {
		os.Exit(crashExitCode)
	}
	s.faults.Store(&faults)
	s.wake()
}

// CounterReport is the answer of the control interface's counters.
type CounterReport struct {
	Counters
	// Runs counts the requests of each run identity.
	Runs map[string]uint64 `json:"runs"`
}

// Counters returns the counters since the start.
func (s *Server) Counters() CounterReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	report := CounterReport{Counters: s.batch.counters, Runs: make(map[string]uint64, len(s.runs))}
	for id, n := range s.runs {
		report.Runs[id] = n
	}
	return report
}

func (s *Server) getCounters(w http.ResponseWriter, r *http.Request) {
	report := s.Counters()
	if r.URL.Query().Get("runs") == "0" {
		report.Runs = nil
	}
	control.WriteJSON(w, report)
}

// wake tells the batch loop to look again.
func (s *Server) wake() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// loop runs the batch: one step after another while requests run.
func (s *Server) loop() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	next := time.Time{}
	for {
		busy, wait := s.advance(&next)
		if !busy {
			select {
			case <-s.changed:
				continue
			case <-s.stop:
				return
			}
		}
		timer.Reset(wait)
		select {
		case <-timer.C:
		case <-s.stop:
			return
		}
	}
}

// advance runs the step that is due and returns how long to wait for the
// next one. It is not busy while nothing can run.
func (s *Server) advance(next *time.Time) (busy bool, wait time.Duration) {
	faults := s.faults.Load()
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if faults.Hang {
		*next = time.Time{}
		return false, 0
	}
	if !next.IsZero() && !now.Before(*next) {
		s.batch.step(now)
	}
	s.batch.admit(now, faults.slow())
	s.recordLoad(now)
	if len(s.batch.running) == 0 {
		*next = time.Time{}
		return false, 0
	}
	s.schedule(next, now, faults.slow())
	return true, next.Sub(now)
}

// schedule sets the time of the next step. A late step is not made up for by
// more than one step time.
func (s *Server) schedule(next *time.Time, now time.Time, slow float64) {
	step := s.batch.stepTime(slow)
	switch {
	case next.IsZero():
		*next = now.Add(step)
	case !now.Before(*next):
		*next = next.Add(step)
		if next.Before(now) {
			*next = now
		}
	}
}
