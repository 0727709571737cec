// Package vmlist is a stand-in for the platform's list of VMs. The list that
// readers see lags behind the one set through the control interface.
package vmlist

import (
	"net/http"
	"sync"
	"time"

	"github.com/sesameswitch/sesameswitch/clock"
	"github.com/sesameswitch/sesameswitch/provider"
	"github.com/sesameswitch/sesameswitch/standin/internal/control"
)

// Faults says how the list misbehaves.
type Faults struct {
	// LagMillis serves the list as it was this long ago.
	LagMillis int64 `json:"lag_ms,omitempty"`
	// Down answers 503.
	Down bool `json:"down,omitempty"`
	// Hang accepts calls and never answers.
	Hang bool `json:"hang,omitempty"`
}

// version is the list from a time on.
type version struct {
	from time.Time
	vms  []provider.VM
}

// Server is the stand-in. It is an http.Handler.
type Server struct {
	mux   *http.ServeMux
	clock clock.Clock

	mu       sync.Mutex
	faults   Faults
	versions []version
	calls    uint64
}

// New returns an empty list.
func New(c clock.Clock) *Server {
	s := &Server{mux: http.NewServeMux(), clock: c}
	s.mux.HandleFunc("GET /v1/vms", s.list)
	s.mux.HandleFunc("PUT /admin/vms", s.putVMs)
	s.mux.HandleFunc("PUT /admin/faults", s.putFaults)
	s.mux.HandleFunc("GET /admin/faults", s.getFaults)
	s.mux.HandleFunc("GET /admin/calls", s.getCalls)
	return s
}

// ServeHTTP serves readers and the control interface.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetVMs replaces the list from now on.
func (s *Server) SetVMs(vms []provider.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions = append(s.versions, version{from: s.clock.Now(), vms: vms})
}

// SetFaults replaces all faults.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	faults := s.faults
	vms := s.seen(s.clock.Now().Add(-time.Duration(faults.LagMillis) * time.Millisecond))
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

// seen returns the list in force at a time. Before the first version it is
// the first one, so that a lag set at start does not hide the deployment.
func (s *Server) seen(at time.Time) []provider.VM {
	vms := []provider.VM{}
	for i, v := range s.versions {
		if i > 0 && v.from.After(at) {
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

// callCount is the answer of the control interface's call counter.
type callCount struct {
	Lists uint64 `json:"lists"`
}

func (s *Server) getCalls(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	control.WriteJSON(w, callCount{Lists: s.calls})
}
