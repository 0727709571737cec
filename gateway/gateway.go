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

// RequestInfo is what a caller's request says of itself, decoded once.
type RequestInfo struct {
	// ID names one attempt of the caller.
	ID string
	// APIKey is the caller's key; empty is none.
	APIKey string
	// Timeout is how long the caller waits; zero is not said.
	Timeout time.Duration
	// Segments are the parts of the prompt that other requests may share.
	Segments []routing.Segment
	// PromptTokens and OutputTokens are the length of the prompt and the
	// expected length of the answer; zero is not said.
	PromptTokens int
	OutputTokens int
	// ResumeAfter is the id of the last event that the caller has; zero is
	// none.
	ResumeAfter int64
}

// AttemptInfo is what a gateway adds to a request that it sends.
type AttemptInfo struct {
	// ServerID is the id of the backend server that is meant.
	ServerID string
	// Account is the name of the client account; empty is none.
	Account string
	// TimeRemaining is what is left of the caller's.
	TimeRemaining time.Duration
	// Urgency is 0 for the most urgent.
	Urgency int
	// ResumeAfter is the id of the last event that was delivered; zero is
	// none.
	ResumeAfter int64
	// FetchFrom is the address of the backend server whose memory the prompt's
	// shared parts are fetched from; empty is none.
	FetchFrom string
}

// ResponseInfo are what the head of a backend server's answer says.
type ResponseInfo struct {
	// Authentic says that a backend server vouches for the answer.
	Authentic bool
	// NotExecuted says that the request did not run.
	NotExecuted bool
	// Running, Waiting and Slots are the server's load when LoadKnown.
	LoadKnown               bool
	Running, Waiting, Slots int
}

// Codec translates between the wire and the types above. It decides nothing.
type Codec interface {
	// DecodeRequest reads what a request says of itself.
	DecodeRequest(r *ingress.Request) (*RequestInfo, error)
	// EncodeHead returns the head of a request to a backend server.
	EncodeHead(r *ingress.Request, c *RequestInfo, address string, s *AttemptInfo) []byte
	// Matches reports whether an answer's head belongs to the call.
	Matches(c *RequestInfo, header http.Header) bool
	// DecodeResponse reads the head of an answer.
	DecodeResponse(status int, header http.Header) ResponseInfo
	// ForwardedHeader returns the headers of an answer that the caller gets.
	ForwardedHeader(header http.Header) http.Header
	// RefusalHeader returns the headers of an answer of the gateway's own; a zero
	// retryAfter is not said.
	RefusalHeader(c *RequestInfo, retryAfter time.Duration) http.Header
}

// Snapshot is the whole state of the platform's store that concerns a gateway.
type Snapshot struct {
	// Revision is the store's when the listing began.
	Revision uint64
	// Table is nil when no configuration was written yet.
	Table         *routes.Table
	ServerChanges []directory.Change
	// EntryErrors are entries that could not be read.
	EntryErrors []error
}

// Delta is what changed after a revision.
type Delta struct {
	Revision uint64
	// Tables are the versions of the configuration in order.
	Tables []*routes.Table
	// TableUnreadable says that the newest version could not be read.
	TableUnreadable bool
	ServerChanges   []directory.Change
	EntryErrors     []error
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
