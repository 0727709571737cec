// Package history records what callers, entries, agents and backend servers
// saw in one concurrent run, and judges it against the promises of
// sesameswitch. It is test support.
//
// A checker reads the history only; it knows nothing of the code that made
// it. An empty result means that this history breaks no promise, and nothing
// more. Questions of order between concurrent operations are models for
// Porcupine, the others are predicates; each doc comment states the model.
package history

import (
	"fmt"
	"sync"
	"time"

	"github.com/sesameswitch/sesameswitch/outcome"
)

// Guarantee names what a checker checks.
type Guarantee string

// The promises.
const (
	AtMostOnce       Guarantee = "at most once"
	RefusedNotRun    Guarantee = "refused as not run"
	CompleteResponse Guarantee = "whole answer"
	TierOrder        Guarantee = "tier order"
	ConfigVersion    Guarantee = "configuration version"
	ConfigActivation Guarantee = "configuration in force"
	Draining         Guarantee = "leaving"
	GracefulShutdown Guarantee = "graceful shutdown"
	Floor            Guarantee = "floor of service"
	SlotsReleased    Guarantee = "slots freed"
)

// Violation is a promise that a history breaks.
type Violation struct {
	Guarantee Guarantee
	// Subject is the key, request, process or class concerned.
	Subject string
	// Detail says what was seen.
	Detail string
}

// String returns the violation as one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s: %s: %s", v.Guarantee, v.Subject, v.Detail)
}

// Call is one request of a caller, from its invocation to its completion.
type Call struct {
	// Key is the idempotency key; empty for a request that may be repeated.
	Key string
	// Request identifies the request by what it asks: two calls with the same
	// key and Request are repeats of each other.
	Request string
	Entry   string
	// Invoked and Completed are times since the start of the history.
	Invoked   time.Duration
	Completed time.Duration
	// Returned is false when the caller gave up or lost the connection. Such
	// a call may have done anything or nothing.
	Returned bool
	// ShortTimeout says that the caller meant to give up early.
	ShortTimeout bool
	Outcome      outcome.Outcome
	Reason       outcome.Reason
	// RunID identifies the run that the answer came from, when it says so.
	RunID string
	// Want and Got are the whole answer as it must be and as it was received.
	Want string
	Got  string
	// LooksComplete says that the answer ended the way whole answers end.
	LooksComplete bool
}

// Run is one run of a request at a backend server.
type Run struct {
	// ID tells runs apart.
	ID      string
	Key     string
	Request string
	Agent   string
	// Started and Ended bound the run, as times since the start of the
	// history. A run whose end was not seen ends with the history.
	Started time.Duration
	Ended   time.Duration
}

// Observation is a configuration version that a process reported in force.
type Observation struct {
	// Process is one life of a process.
	Process string
	At      time.Duration
	Version uint64
}

// Publication is a configuration version that an operator published.
type Publication struct {
	At      time.Duration
	Version uint64
	// Valid is false for a document that must be refused.
	Valid bool
}

// History is what was recorded of one run.
type History struct {
	Calls        []Call
	Runs         []Run
	Observations []Observation
	Publications []Publication
}

// Recorder collects a History. It is safe for concurrent use.
type Recorder struct {
	mu      sync.Mutex
	history History
}

// RecordCall records a call.
func (r *Recorder) RecordCall(c Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Calls = append(r.history.Calls, c)
}

// RecordRun records a run.
func (r *Recorder) RecordRun(run Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Runs = append(r.history.Runs, run)
}

// RecordObservation records a version seen in force.
func (r *Recorder) RecordObservation(o Observation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Observations = append(r.history.Observations, o)
}

// RecordPublication records a publication.
func (r *Recorder) RecordPublication(p Publication) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Publications = append(r.history.Publications, p)
}

// History returns a copy of what was recorded so far.
func (r *Recorder) History() History {
	r.mu.Lock()
	defer r.mu.Unlock()
	return History{
		Calls:        append([]Call(nil), r.history.Calls...),
		Runs:         append([]Run(nil), r.history.Runs...),
		Observations: append([]Observation(nil), r.history.Observations...),
		Publications: append([]Publication(nil), r.history.Publications...),
	}
}

// CheckRequests judges all calls and runs: at most once, refusals and whole
// answers.
func CheckRequests(h History) []Violation {
	found := CheckAtMostOnce(h)
	found = append(found, CheckNotRun(h)...)
	return append(found, CheckCompleteResponses(h)...)
}
