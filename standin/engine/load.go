package engine

import (
	"net/http"
	"sort"
	"time"

	"github.com/sesameswitch/sesameswitch/provider"
	"github.com/sesameswitch/sesameswitch/standin/internal/control"
)

// Kinds of engine commands.
const (
	CommandLoadModel   = "load_model"
	CommandUnloadModel = "unload_model"
	CommandLoadAdapter = "load_adapter"
	CommandSetRole     = "set_role"
)

// maxReports bounds the remembered load; the oldest goes first.
const maxReports = 1 << 16

// recordLoad remembers the present load when it differs from the last one.
// The caller holds the lock.
func (s *Server) recordLoad(now time.Time) {
	report := provider.LoadReport{
		Slots:   s.settings.Slots,
		Running: len(s.batch.running),
		Waiting: len(s.batch.waiting),
	}
	if n := len(s.reports); n > 0 {
		last := s.reports[n-1].report
		if last.Running == report.Running && last.Waiting == report.Waiting {
			return
		}
	}
	if len(s.reports) >= maxReports {
		s.reports = append(s.reports[:0], s.reports[maxReports/2:]...)
	}
	s.reports = append(s.reports, timedReport{from: now, report: report})
}

// lag returns how old load reports are.
func (s *Server) lag(faults *Faults) time.Duration {
	if faults.LoadLagMillis > 0 {
		return time.Duration(faults.LoadLagMillis) * time.Millisecond
	}
	return s.settings.LoadLag
}

func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	faults := s.faults.Load()
	lag := s.lag(faults)
	s.mu.Lock()
	report := s.loadAt(s.clock.Now().Add(-lag))
	report.Models = s.modelNames()
	s.mu.Unlock()
	report.AgeMillis = lag.Milliseconds()
	if faults.ReportIdle {
		report.Running, report.Waiting, report.AgeMillis = 0, 0, 0
	}
	control.WriteJSON(w, report)
}

// loadAt returns the load at a time; before the first record it is idle.
func (s *Server) loadAt(at time.Time) provider.LoadReport {
	later := sort.Search(len(s.reports), func(i int) bool {
		return s.reports[i].from.After(at)
	})
	if later == 0 {
		return provider.LoadReport{Slots: s.settings.Slots}
	}
	return s.reports[later-1].report
}

// modelNames lists the loaded models in order. The caller holds the lock.
func (s *Server) modelNames() []string {
	names := make([]string, 0, len(s.models))
	for name := range s.models {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// order carries out an order unless its fence is checked and too low.
func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	var order provider.EngineCommand
	if !control.ReadJSON(w, r, &order) {
		return
	}
	if !s.takeFence(order.Fence) {
		http.Error(w, "stale fence", http.StatusConflict)
		return
	}
	time.Sleep(s.settings.LoadTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch order.Kind {
	case CommandLoadModel:
		s.models[order.Model] = true
	case CommandUnloadModel:
		delete(s.models, order.Model)
	case CommandLoadAdapter:
		s.models[order.Model+":"+order.Adapter] = true
	case CommandSetRole:
	default:
		http.Error(w, "unknown order", http.StatusBadRequest)
	}
}

// takeFence counts the order and reports whether it may be carried out.
func (s *Server) takeFence(fence uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.batch.counters.Commands++
	if fence >= s.fence {
		s.fence = fence
		return true
	}
	s.batch.counters.StaleCommands++
	return !s.settings.CheckFence
}

// modelList is an answer of GET /v1/models.
type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

func (s *Server) listModels(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	names := s.modelNames()
	s.mu.Unlock()
	answer := modelList{Object: "list", Data: []modelEntry{}}
	for _, name := range names {
		answer.Data = append(answer.Data, modelEntry{ID: name, Object: "model"})
	}
	control.WriteJSON(w, answer)
}
