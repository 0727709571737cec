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
	// CommandLoadAdapter loads an adapter, which is then listed as "model:adapter".
	CommandLoadAdapter = "load_adapter"
	// CommandSetRole is accepted and has no effect.
	CommandSetRole = "set_role"
)

// maxLoadHistory is the maximum number of entries in the load history. When it is
// reached, the older half is discarded.
const maxLoadHistory = 1 << 16

// recordLoad appends the current load to the load history if it differs from the last
// entry. The caller holds the lock.
func (s *Server) recordLoad(now time.Time) {
	report := provider.LoadReport{
		Slots:   s.settings.Slots,
		Running: len(s.batch.running),
		Waiting: len(s.batch.waiting),
	}
	if n := len(s.loadHistory); n > 0 {
		last := s.loadHistory[n-1].report
		if last.Running == report.Running && last.Waiting == report.Waiting {
			return
		}
	}
	if len(s.loadHistory) >= maxLoadHistory {
		s.loadHistory = append(s.loadHistory[:0], s.loadHistory[maxLoadHistory/2:]...)
	}
	s.loadHistory = append(s.loadHistory, timedLoad{since: now, report: report})
}

// loadLag returns the age of load reports, from the faults or else the settings.
func (s *Server) loadLag(faults *Faults) time.Duration {
	if faults.LoadLagMillis > 0 {
		return time.Duration(faults.LoadLagMillis) * time.Millisecond
	}
	return s.settings.LoadLag
}

func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	faults := s.faults.Load()
	lag := s.loadLag(faults)
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

// loadAt returns the load at a time. Before the first entry of the load history the
// engine counts as idle. The caller holds the lock.
func (s *Server) loadAt(at time.Time) provider.LoadReport {
	later := sort.Search(len(s.loadHistory), func(i int) bool {
		return s.loadHistory[i].since.After(at)
	})
	if later == 0 {
		return provider.LoadReport{Slots: s.settings.Slots}
	}
	return s.loadHistory[later-1].report
}

// modelNames returns the names of the loaded models and adapters, sorted. The caller
// holds the lock.
func (s *Server) modelNames() []string {
	names := make([]string, 0, len(s.models))
	for name := range s.models {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// serveCommand executes an engine command. With Settings.CheckFence, it refuses a
// command with a fence below the highest received.
func (s *Server) serveCommand(w http.ResponseWriter, r *http.Request) {
	var cmd provider.EngineCommand
	if !control.ReadJSON(w, r, &cmd) {
		return
	}
	if !s.acceptFence(cmd.Fence) {
		http.Error(w, "stale fence", http.StatusConflict)
		return
	}
	time.Sleep(s.settings.LoadTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch cmd.Kind {
	case CommandLoadModel:
		s.models[cmd.Model] = true
	case CommandUnloadModel:
		delete(s.models, cmd.Model)
	case CommandLoadAdapter:
		s.models[cmd.Model+":"+cmd.Adapter] = true
	case CommandSetRole:
	default:
		http.Error(w, "unknown order", http.StatusBadRequest)
	}
}

// acceptFence counts a command with the fence, records the fence if it is the highest
// and reports whether the command may be executed.
func (s *Server) acceptFence(fence uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.batch.counters.Commands++
	if fence >= s.highestFence {
		s.highestFence = fence
		return true
	}
	s.batch.counters.StaleCommands++
	return !s.settings.CheckFence
}

// modelList is the body of the response to GET /v1/models.
type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

func (s *Server) serveModels(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	names := s.modelNames()
	s.mu.Unlock()
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, name := range names {
		list.Data = append(list.Data, modelEntry{ID: name, Object: "model"})
	}
	control.WriteJSON(w, list)
}
