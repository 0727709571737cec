// Package processstatus defines the status document that each entry and agent
// process serves at /status on its admin listener.
//
// Callers may assume that a document describes one process at one moment.
// Documents of different processes describe different moments.
package processstatus

import (
	"encoding/json"
	"net/http"

	"github.com/sesameswitch/sesameswitch/timeline"
)

// Paths on the admin listener of an entry or agent process.
const (
	PathStatus   = "/status"
	PathTimeline = "/timeline"
	PathMetrics  = "/metrics"
)

// Load is the load of a process, in requests.
type Load struct {
	// Slots is how many requests can run concurrently, or 0 if there is no limit.
	Slots   int `json:"slots"`
	Running int `json:"running"`
	Queued  int `json:"queued"`
}

// Document is the status of one process.
type Document struct {
	Process timeline.Process `json:"process"`
	// State is a state of the process chart.
	State string `json:"state"`
	// ConfigVersion is the version of the active manifest, or 0 if there is none.
	ConfigVersion uint64 `json:"config_version"`
	Load          Load   `json:"load"`
	// Counters maps the name of each counter, with its labels, to its value.
	Counters map[string]int64 `json:"counters"`
}

// Handler returns a handler that serves the document returned by collect as JSON.
// collect is called for each request and must be safe for concurrent use.
func Handler(collect func() Document) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(collect()) // fails only if the connection does
	})
}
