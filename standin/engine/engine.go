// Package engine is a stand-in for a model engine with continuous batching.
//
// Tests may assume that token i of a response is Token(prompt, i), whichever
// engine runs the request and whether or not the response was resumed. Every complete
// response can therefore be verified. Closing the connection cancels the run and
// frees its slot immediately.
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

// HeaderRunID is the request header with the ID that the sender gives to a run. The
// engine counts the runs of each ID, so that a test can detect a request that ran more
// than once.
const HeaderRunID = "Sesame-Run-Id"

// crashExitCode is the exit code of the process when the fault Crash is set.
const crashExitCode = 70

// Server is a stand-in for a model engine. It is an http.Handler.
type Server struct {
	settings Settings
	mux      *http.ServeMux
	clock    clock.Clock
	faults   atomic.Pointer[Faults]
	// loopWake wakes the batch loop while it is idle. A signal that is sent while
	// the loop is busy stays in the buffer until the loop is idle again.
	loopWake chan struct{}
	stop     chan struct{}
	stopOnce sync.Once

	mu    sync.Mutex
	batch *batch
	// runs counts the runs of each run ID.
	runs map[string]uint64
	// loadHistory is in the order of time.
	loadHistory []timedLoad
	// models is the set of loaded models and adapters.
	models map[string]bool
	// highestFence is the highest fence that a command has had.
	highestFence uint64
}

// timedLoad is one entry of the load history: the load from its time until that of
// the next entry.
type timedLoad struct {
	since  time.Time
	report provider.LoadReport
}

// New returns a running engine; Close stops it.
func New(settings Settings) *Server {
	s := &Server{
		settings: settings.scaled(),
		mux:      http.NewServeMux(),
		clock:    clock.New(),
		loopWake: make(chan struct{}, 1),
		stop:     make(chan struct{}),
		runs:     make(map[string]uint64),
		models:   make(map[string]bool),
	}
	s.batch = newBatch(s.settings)
	for _, model := range settings.Models {
		s.models[model] = true
	}
	s.faults.Store(&Faults{})
	s.registerRoutes()
	s.mu.Lock()
	s.recordLoad(s.clock.Now())
	s.mu.Unlock()
	go s.loop()
	return s
}

func (s *Server) registerRoutes() {
	s.mux.HandleFunc("POST /v1/chat/completions", s.serveCompletion)
	s.mux.HandleFunc("GET /v1/models", s.serveModels)
	s.mux.HandleFunc("GET /load", s.serveLoad)
	s.mux.HandleFunc("POST /orders", s.serveCommand)
	s.mux.HandleFunc("GET /admin/counters", s.serveCounters)
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

// ServeHTTP serves completions, models, load reports, engine commands and the
// admin API.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Close stops the batch loop and aborts the responses that are in progress.
func (s *Server) Close() { s.stopOnce.Do(func() { close(s.stop) }) }

// SetFaults replaces all faults. If Crash is set, the process exits with
// crashExitCode.
func (s *Server) SetFaults(faults Faults) {
	if faults.Crash {
		os.Exit(crashExitCode)
	}
	s.faults.Store(&faults)
	s.wakeLoop()
}

// CounterReport is the body of the response to GET /admin/counters.
type CounterReport struct {
	Counters
	// Runs counts the accepted runs of each run ID. It is null if the request has
	// the query runs=0.
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

func (s *Server) serveCounters(w http.ResponseWriter, r *http.Request) {
	report := s.Counters()
	if r.URL.Query().Get("runs") == "0" {
		report.Runs = nil
	}
	control.WriteJSON(w, report)
}

// wakeLoop wakes the batch loop after a change of the queue or the faults.
func (s *Server) wakeLoop() {
	select {
	case s.loopWake <- struct{}{}:
	default:
	}
}

// loop executes the steps of the batch. While the batch is empty or the engine hangs,
// it waits for wakeLoop.
func (s *Server) loop() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	next := time.Time{}
	for {
		busy, wait := s.advance(&next)
		if !busy {
			select {
			case <-s.loopWake:
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

// advance executes the step that is due, fills free slots and returns the time until
// the next step. It returns busy as false if the batch is empty or the engine hangs.
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
	s.batch.admit(now, faults.slowdown())
	s.recordLoad(now)
	if len(s.batch.running) == 0 {
		*next = time.Time{}
		return false, 0
	}
	s.schedule(next, now, faults.slowdown())
	return true, next.Sub(now)
}

// schedule sets the time of the next step. A late step shortens the interval to the
// next one by its delay, at most to 0, so that the average rate of tokens is kept
// unless a step is late by more than one step time.
func (s *Server) schedule(next *time.Time, now time.Time, slowdown float64) {
	step := s.batch.stepTime(slowdown)
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
