// Package history records what callers, entries, agents and backend servers
// observe during one concurrent test, and checks the recorded history against
// the guarantees of sesameswitch. It is used by tests only.
//
// The checkers depend on the recorded history only, not on the code that
// produced it. An empty result means that this history violates no guarantee;
// it does not show that other histories would not. Guarantees on the order of
// concurrent operations are models that the linearizability checker Porcupine
// evaluates. The other guarantees are predicates on the history. The doc
// comment of each checker states its model.
package history

import (
	"fmt"
	"sync"
	"time"

	"github.com/sesameswitch/sesameswitch/outcome"
)

// Guarantee is the name of a guarantee that a checker verifies.
type Guarantee string

// Guarantees of sesameswitch. Their values name them in test reports.
const (
	AtMostOnce       Guarantee = "at most once"
	RefusedNotRun    Guarantee = "refused as not run"
	CompleteResponse Guarantee = "complete response"
	TierOrder        Guarantee = "tier order"
	ConfigVersion    Guarantee = "configuration version"
	ConfigActivation Guarantee = "configuration activation"
	Draining         Guarantee = "draining"
	GracefulShutdown Guarantee = "graceful shutdown"
	Floor            Guarantee = "floor of service"
	SlotsReleased    Guarantee = "slots released"
)

// Violation describes how a history violates a guarantee.
type Violation struct {
	Guarantee Guarantee
	// Subject is the key, request, process or class that is affected.
	Subject string
	// Detail describes what was observed.
	Detail string
}

// String formats the violation as one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s: %s: %s", v.Guarantee, v.Subject, v.Detail)
}

// Call is one request of a caller, from its invocation to its completion.
type Call struct {
	// Key is the idempotency key. It is empty for an idempotent request.
	Key string
	// Request identifies the request. With a key, it stands for the content:
	// calls with the same Key and the same Request are retries of one request.
	// Without a key, it is unique to the call, or empty if no response arrived.
	Request string
	Entry   string
	// InvokedAt and CompletedAt are relative to the start of the history.
	InvokedAt   time.Duration
	CompletedAt time.Duration
	// Returned is false if the caller timed out or lost the connection. The
	// request of such a call may or may not have run.
	Returned bool
	// ShortTimeout reports whether the caller used a timeout that is expected to
	// expire before the response arrives.
	ShortTimeout bool
	Outcome      outcome.Outcome
	Reason       outcome.Reason
	// RunID identifies the run that produced the response, if the response
	// names it.
	RunID string
	// Want is the complete response that the caller must receive, Got the
	// response that it received.
	Want string
	Got  string
	// LooksComplete reports whether the received response ended the way a
	// complete response ends.
	LooksComplete bool
}

// Run is one run of a request on a backend server.
type Run struct {
	// ID is unique among the runs of a history.
	ID string
	// Key and Request are those of the Call that the run belongs to.
	Key     string
	Request string
	Agent   string
	// StartedAt and EndedAt are relative to the start of the history. EndedAt is
	// zero if the end was not observed; such a run counts as running until the end
	// of the history.
	StartedAt time.Duration
	EndedAt   time.Duration
}

// Observation is a configuration version that a process reported as active.
type Observation struct {
	// Process identifies one incarnation of a process.
	Process string
	At      time.Duration
	// Version is 0 if no configuration was active.
	Version uint64
}

// Publication is a configuration version that an operator published.
type Publication struct {
	At      time.Duration
	Version uint64
	// Valid is false for a document that every process must refuse.
	Valid bool
}

// History is the record of one test.
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

// RecordObservation records an active version that a process reported.
func (r *Recorder) RecordObservation(o Observation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Observations = append(r.history.Observations, o)
}

// RecordPublication records a published version.
func (r *Recorder) RecordPublication(p Publication) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Publications = append(r.history.Publications, p)
}

// History returns a copy of the history recorded so far.
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

// CheckRequests runs the checkers of calls and runs: CheckAtMostOnce,
// CheckNotRun and CheckCompleteResponses.
func CheckRequests(h History) []Violation {
	found := CheckAtMostOnce(h)
	found = append(found, CheckNotRun(h)...)
	return append(found, CheckCompleteResponses(h)...)
}
