// Package gateway is an entry that sends requests to backend servers itself. It
// carries each request from its head to one final answer: route and key, choice
// of a backend server, attempts within the budget of repeats, delivery, and the
// life of the process from start to stop.
//
// A caller may rely on these, whatever fails: an answer 429, 503, 408 or 421 of
// the gateway's own stands for a request that no backend server ran or will
// run; a request that is not idempotent is written to one backend server,
// unless that one says that it did not run it; an answer that ended early never
// looks whole. A gateway keeps soft state only.
package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/sesameswitch/sesameswitch/directory"
	"github.com/sesameswitch/sesameswitch/ingress"
	"github.com/sesameswitch/sesameswitch/routes"
	"github.com/sesameswitch/sesameswitch/routing"
)

// Call is what a caller's request says of itself, decoded once.
type Call struct {
	// ID names one attempt of the caller.
	ID string
	// Key is the caller's key; empty is none.
	Key string
	// Deadline is how long the caller waits; zero is not said.
	Deadline time.Duration
	// Parts are the parts of the prompt that other requests may share.
	Parts []routing.Segment
	// PromptTokens and OutputTokens are the length of the prompt and the
	// expected length of the answer; zero is not said.
	PromptTokens int
	OutputTokens int
	// ResumeAfter is the id of the last event that the caller has; zero is
	// none.
	ResumeAfter int64
}

// Send is what a gateway adds to a request that it sends.
type Send struct {
	// Server is the id of the backend server that is meant.
	Server string
	// Account is the name of the client account; empty is none.
	Account string
	// Deadline is what is left of the caller's.
	Deadline time.Duration
	// Urgency is 0 for the most urgent.
	Urgency int
	// ResumeAfter is the id of the last event that was delivered; zero is
	// none.
	ResumeAfter int64
	// FetchFrom is the address of the backend server whose memory the prompt's
	// shared parts are fetched from; empty is none.
	FetchFrom string
}

// Notes are what the head of a backend server's answer says.
type Notes struct {
	// Sealed says that a backend server vouches for the answer.
	Sealed bool
	// NotExecuted says that the request did not run.
	NotExecuted bool
	// Running, Waiting and Slots are the server's load when LoadKnown.
	LoadKnown               bool
	Running, Waiting, Slots int
}

// Codec translates between the wire and the types above. It decides nothing.
type Codec interface {
	// Decode reads what a request says of itself.
	Decode(r *ingress.Request) (*Call, error)
	// Head returns the head of a request to a backend server.
	Head(r *ingress.Request, c *Call, address string, s *Send) []byte
	// Belongs reports whether an answer's head belongs to the call.
	Belongs(c *Call, header http.Header) bool
	// Notes reads the head of an answer.
	Notes(status int, header http.Header) Notes
	// Pass returns the headers of an answer that the caller gets.
	Pass(header http.Header) http.Header
	// Refusal returns the headers of an answer of the gateway's own; a zero
	// retryAfter is not said.
	Refusal(c *Call, retryAfter time.Duration) http.Header
}

// Snapshot is the whole state of the platform's store that concerns a gateway.
type Snapshot struct {
	// Revision is the store's when the listing began.
	Revision uint64
	// Table is nil when no configuration was written yet.
	Table   *routes.Table
	Servers []directory.Change
	// Faults are entries that could not be read.
	Faults []error
}

// Delta is what changed after a revision.
type Delta struct {
	Revision uint64
	// Tables are the versions of the configuration in order.
	Tables []*routes.Table
	// TableUnread says that the newest version could not be read.
	TableUnread bool
	Servers     []directory.Change
	Faults      []error
}

// Store reads the platform's store. Any call may fail, hang until its context
// ends, or be refused.
type Store interface {
	// List reads everything.
	List(ctx context.Context) (*Snapshot, error)
	// Watch returns what changed after the revision, at the latest after the
	// wait.
	Watch(ctx context.Context, after uint64, wait time.Duration) (*Delta, error)
	// Configuration reads the present configuration.
	Configuration(ctx context.Context) (*routes.Table, error)
}
