// Package weights is a stand-in for the rate-limited store of model weights.
package weights

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/sesameswitch/sesameswitch/standin/internal/control"
)

// HeaderRetryAfterMillis carries the wait for a free download, in
// milliseconds.
const HeaderRetryAfterMillis = "Retry-After-Ms"

// Faults says how the store misbehaves.
type Faults struct {
	Down bool `json:"down,omitempty"`
	Hang bool `json:"hang,omitempty"`
}

// Server is the stand-in. It is an http.Handler.
type Server struct {
	mux     *http.ServeMux
	limiter *rate.Limiter
	faults  atomic.Pointer[Faults]
	started atomic.Uint64
	refused atomic.Uint64
}

// counters is the answer of the control interface.
type counters struct {
	Started uint64 `json:"started"`
	Refused uint64 `json:"refused"`
}

// New returns a store that starts perSecond downloads a second, and burst at
// once.
func New(perSecond float64, burst int) *Server {
	s := &Server{mux: http.NewServeMux(), limiter: rate.NewLimiter(rate.Limit(perSecond), burst)}
	s.faults.Store(&Faults{})
	s.mux.HandleFunc("GET /v1/weights/{model}", s.fetch)
	s.mux.HandleFunc("GET /admin/counters", func(w http.ResponseWriter, _ *http.Request) {
		control.WriteJSON(w, counters{Started: s.started.Load(), Refused: s.refused.Load()})
	})
	s.mux.HandleFunc("PUT /admin/faults", func(w http.ResponseWriter, r *http.Request) {
		var faults Faults
		if control.ReadJSON(w, r, &faults) {
			s.faults.Store(&faults)
		}
	})
	return s
}

// ServeHTTP serves downloads and the control interface.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Server) fetch(w http.ResponseWriter, r *http.Request) {
	faults := s.faults.Load()
	switch {
	case faults.Hang:
		control.Hang(r)
	case faults.Down:
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	reservation := s.limiter.Reserve()
	wait := reservation.Delay()
	if wait == 0 {
		s.started.Add(1)
		return
	}
	reservation.Cancel()
	s.refused.Add(1)
	millis := max(1, wait.Round(time.Millisecond).Milliseconds())
	w.Header().Set(HeaderRetryAfterMillis, strconv.FormatInt(millis, 10))
	w.WriteHeader(http.StatusTooManyRequests)
}
