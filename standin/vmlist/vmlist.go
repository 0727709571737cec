// Package vmlist is a stand-in for the platform's list of VMs. The list and
// the faults are set by the methods of Server or by its admin API (paths below
// /admin/). The fault LagMillis delays the list for readers.
package vmlist

import (
	"net/http"
	"sync"
	"time"

	"github.com/sesameswitch/sesameswitch/clock"
	"github.com/sesameswitch/sesameswitch/provider"
	"github.com/sesameswitch/sesameswitch/standin/internal/control"
)

// Faults are the failures that the stand-in simulates for its readers. The zero
// value simulates none.
type Faults struct {
	// LagMillis serves the list as it was this many milliseconds ago.
	LagMillis int64 `json:"lag_ms,omitempty"`
	// Down responds with 503.
	Down bool `json:"down,omitempty"`
	// Hang accepts calls and never responds. It takes precedence over Down.
	Hang bool `json:"hang,omitempty"`
}

// listVersion is a list and the time at which it was set.
type listVersion struct {
	setAt time.Time
	vms   []provider.VM
}

// Server is a stand-in for the list of VMs. It is an http.Handler.
type Server struct {
	mux   *http.ServeMux
	clock clock.Clock

	mu     sync.Mutex
	faults Faults
	// versions holds all lists since the start, in the order of their times.
	versions []listVersion
	// listCalls counts the calls of readers.
	listCalls uint64
}

// New returns a stand-in with an empty list.
func New(c clock.Clock) *Server {
	s := &Server{mux: http.NewServeMux(), clock: c}
	s.mux.HandleFunc("GET /v1/vms", s.serveList)
	s.mux.HandleFunc("PUT /admin/vms", s.putVMs)
	s.mux.HandleFunc("PUT /admin/faults", s.putFaults)
	s.mux.HandleFunc("GET /admin/faults", s.getFaults)
	s.mux.HandleFunc("GET /admin/calls", s.getCallCounts)
	return s
}

// ServeHTTP serves the readers' API and the admin API.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetVMs replaces the list. Readers receive the new list after the lag, the first one
// immediately.
func (s *Server) SetVMs(vms []provider.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions = append(s.versions, listVersion{setAt: s.clock.Now(), vms: vms})
}

// SetFaults replaces all faults.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

func (s *Server) serveList(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.listCalls++
	faults := s.faults
	vms := s.listAt(s.clock.Now().Add(-time.Duration(faults.LagMillis) * time.Millisecond))
	s.mu.Unlock()
	switch {
	case faults.Hang:
		control.Hang(r)
	case faults.Down:
		http.Error(w, "down", http.StatusServiceUnavailable)
	default:
		control.WriteJSON(w, vms)
	}
}

// listAt returns the list as it was at a time. For times before the first version it
// returns the first version, so that a lag does not hide a deployment that has just
// started. The caller holds the lock.
func (s *Server) listAt(at time.Time) []provider.VM {
	vms := []provider.VM{}
	for i, v := range s.versions {
		if i > 0 && v.setAt.After(at) {
			break
		}
		vms = v.vms
	}
	return vms
}

func (s *Server) putVMs(w http.ResponseWriter, r *http.Request) {
	var vms []provider.VM
	if control.ReadJSON(w, r, &vms) {
		s.SetVMs(vms)
	}
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if control.ReadJSON(w, r, &faults) {
		s.SetFaults(faults)
	}
}

func (s *Server) getFaults(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	control.WriteJSON(w, s.faults)
}

// callCounts is the body of the response to GET /admin/calls.
type callCounts struct {
	Lists uint64 `json:"lists"`
}

func (s *Server) getCallCounts(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	control.WriteJSON(w, callCounts{Lists: s.listCalls})
}
