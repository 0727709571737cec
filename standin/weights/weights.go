// Package weights is a stand-in for the store of model weights, which limits the
// rate at which downloads start. It sends no weights: a download that may start
// gets an empty response.
package weights

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/sesameswitch/sesameswitch/standin/internal/control"
)

// HeaderRetryAfterMillis is the response header with the retry delay of a refused
// download, in milliseconds.
const HeaderRetryAfterMillis = "Retry-After-Ms"

// Faults are the failures that the store simulates. The zero value simulates
// none.
type Faults struct {
	// Down responds with 503.
	Down bool `json:"down,omitempty"`
	// Hang accepts calls and never responds. It takes precedence over Down.
	Hang bool `json:"hang,omitempty"`
}

// Server is a stand-in for the weight store. It is an http.Handler.
type Server struct {
	mux     *http.ServeMux
	limiter *rate.Limiter
	faults  atomic.Pointer[Faults]
	started atomic.Uint64
	refused atomic.Uint64
}

// counters is the body of the response to GET /admin/counters.
type counters struct {
	Started uint64 `json:"started"`
	Refused uint64 `json:"refused"`
}

// New returns a store that starts at most perSecond downloads per second on average,
// and at most burst downloads at once.
func New(perSecond float64, burst int) *Server {
	s := &Server{mux: http.NewServeMux(), limiter: rate.NewLimiter(rate.Limit(perSecond), burst)}
	s.faults.Store(&Faults{})
	s.mux.HandleFunc("GET /v1/weights/{model}", s.serveDownload)
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

// ServeHTTP serves downloads and the admin API.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// serveDownload starts a download if the rate limit allows it. Otherwise it responds
// with 429 and the retry delay; a refused download does not count towards the limit.
func (s *Server) serveDownload(w http.ResponseWriter, r *http.Request) {
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
