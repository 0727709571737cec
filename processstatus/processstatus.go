// Package processstatus defines what a process of the system says of itself
// at /status on its admin listener.
//
// A reader may rely on one document being taken at one moment by the process
// it names; documents of different processes are not taken together.
package processstatus

import (
	"encoding/json"
	"net/http"

	"github.com/sesameswitch/sesameswitch/timeline"
)

// Paths on the admin listener of each process.
const (
	PathStatus   = "/status"
	PathTimeline = "/timeline"
	PathMetrics  = "/metrics"
)

// Load is how busy a process is.
type Load struct {
	// Slots is how many requests can run at once; 0 where there is no limit.
	Slots   int `json:"slots"`
	Running int `json:"running"`
	Queued  int `json:"queued"`
}

// Document is the status of one process.
type Document struct {
	Process timeline.Process `json:"process"`
	// State is a state of the process chart.
	State string `json:"state"`
	// ConfigVersion is the version of the manifest in force; 0 is none yet.
	ConfigVersion uint64 `json:"config_version"`
	Load          Load   `json:"load"`
	// Counters are the counters by their name with labels.
	Counters map[string]int64 `json:"counters"`
}

// Handler serves the document that take returns, as JSON. Take is called for
// each request and must be safe for concurrent use.
func Handler(take func() Document) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(take())
	})
}
