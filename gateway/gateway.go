// Package gateway implements a gateway: it accepts requests of callers and sends
// them to backend servers directly. For each request it looks up the route,
// authenticates the caller, chooses a backend server, makes attempts within the
// retry budget, and sends one final response. It also implements the lifecycle of
// the process from start to stop.
//
// Callers may assume the following under any failure. A response 429, 503, 408
// or 421 that the gateway itself generates means that no backend server has run
// the request or will run it. A request that is not idempotent is sent to one
// backend server only, unless that server states that it did not run the
// request. A truncated response never looks complete. A gateway keeps soft state
// only.
package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/sesameswitch/sesameswitch/directory"
	"github.com/sesameswitch/sesameswitch/ingress"
	"github.com/sesameswitch/sesameswitch/routes"
	"github.com/sesameswitch/sesameswitch/routing"
	"github.com/sesameswitch/sesameswitch/storeera"
)

// RequestInfo is the metadata of a caller's request, decoded once.
type RequestInfo struct {
	// ID identifies the request. If the caller retries, the new request has
	// another ID.
	ID string
	// APIKey is the caller's API key; empty if the request has none.
	APIKey string
	// Timeout is how long the caller waits for the response; zero if the
	// request does not state it.
	Timeout time.Duration
	// Segments are the leading segments of the prompt that other requests may
	// share.
	Segments []routing.Segment
	// PromptTokens and OutputTokens are the length of the prompt and the
	// expected length of the response; zero if the request does not state them.
	PromptTokens int
	OutputTokens int
	// ResumeAfter is the ID of the last event of the stream that the caller has
	// received; zero if there is none.
	ResumeAfter int64
	// Resumes is the ID of the request that brought the first event of that stream;
	// empty if the request does not state it.
	Resumes string
}

// AttemptInfo is the metadata that a gateway adds to a request for one attempt.
type AttemptInfo struct {
	// ServerID is the ID of the backend server that must handle the attempt.
	ServerID string
	// Account is the name of the client account; empty if there is none.
	Account string
	// TimeRemaining is the time until the deadline of the request.
	TimeRemaining time.Duration
	// Rank is the rank of the request at the backend server, 0 for the most urgent.
	Rank int
	// ResumeAfter is the ID of the last event that was forwarded; zero if there
	// is none.
	ResumeAfter int64
	// TransferSource is the address of the backend server from which the KV
	// cache of the prompt's shared segments is copied; empty if nothing is
	// copied.
	TransferSource string
}

// ResponseInfo is the metadata in the head of a backend server's response.
type ResponseInfo struct {
	// Authentic reports whether a backend server marked the response as its own.
	Authentic bool
	// NotRun reports whether the backend server stated that it did not run the
	// request.
	NotRun bool
	// OtherServer reports whether another server than the expected one responded: its address
	// has been taken over.
	OtherServer bool
	// Leaving reports whether the server stated that it is leaving.
	Leaving bool
	// Pause is how long the server asked this gateway to send nothing; zero if it did
	// not ask.
	Pause time.Duration
	// LimitStated reports whether the server limits the rate of requests that it takes
	// from all gateways together, Limit is that rate in requests per second.
	LimitStated bool
	Limit       float64
	// LimitInvalid reports whether the stated limit was ignored because it is not valid.
	LimitInvalid bool
	// ColdFor is how long the server states that it stays cold; zero if it does not.
	ColdFor time.Duration
	// InvalidFields names the header fields that were ignored, or bounded, because their
	// value is not valid.
	InvalidFields []string
	// LoadKnown reports whether the response states the server's load: the
	// numbers of running and waiting requests, and of slots.
	LoadKnown               bool
	Running, Waiting, Slots int
	// Slowness is how many times longer than usual the server states that work takes on
	// its machine now: 1 means as usual, 0 that it does not state it.
	Slowness float64
}

// MaxColdTime bounds the time for which a backend server states that it stays cold. Servers
// are cold for some seconds; a longer time is a mistake that would keep requests away.
const MaxColdTime = time.Minute

// Codec translates between the wire format and the types above. It makes no
// decisions.
type Codec interface {
	// DecodeRequest decodes the metadata of a request.
	DecodeRequest(r *ingress.Request) (*RequestInfo, error)
	// EncodeHead returns the head of an attempt that is sent to the address of a
	// backend server.
	EncodeHead(r *ingress.Request, info *RequestInfo, address string, attempt *AttemptInfo) []byte
	// Matches reports whether a response with the header belongs to the request.
	Matches(info *RequestInfo, header http.Header) bool
	// Identified reports whether a response with these headers names its request.
	Identified(header http.Header) bool
	// DecodeResponse decodes the metadata in the head of a response.
	DecodeResponse(status int, header http.Header) ResponseInfo
	// ForwardedHeader returns the header fields of a response that are forwarded
	// to the caller.
	ForwardedHeader(header http.Header) http.Header
	// RefusalHeader returns the header of a response that the gateway itself
	// generates. The header contains no retry delay if retryAfter is zero.
	RefusalHeader(info *RequestInfo, retryAfter time.Duration) http.Header
}

// Snapshot is the state of the platform's store, limited to the entries that a
// gateway uses.
type Snapshot struct {
	// Era is the era that all answers of the listing state.
	Era storeera.Era
	// Revision is the revision of the store when the listing began.
	Revision uint64
	// Table is nil if the store holds no configuration yet.
	Table *routes.Table
	// ServerChanges hold one version of each backend server's registry entry.
	ServerChanges []directory.Change
	// Evacuations are the evacuated data centres.
	Evacuations []directory.Evacuation
	// EntryErrors are the errors of entries that could not be decoded.
	EntryErrors []error
}

// Delta holds the changes of the store after a revision.
type Delta struct {
	Era storeera.Era
	// Revision is the revision up to which the changes are complete.
	Revision uint64
	// Tables are the new versions of the configuration in order.
	Tables []*routes.Table
	// TableUnreadable reports whether the newest version could not be decoded.
	TableUnreadable bool
	ServerChanges   []directory.Change
	Evacuations     []directory.Evacuation
	EntryErrors     []error
}

// ConfigurationRead is the current configuration of the store.
type ConfigurationRead struct {
	Era storeera.Era
	// Table is nil if the store holds no configuration.
	Table *routes.Table
}

// AnswerError is the error of a call that the store answered. It carries the era that
// the answer states.
type AnswerError struct {
	Era storeera.Era
	Err error
}

// Error implements error.
func (e *AnswerError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *AnswerError) Unwrap() error { return e.Err }

// Store reads the platform's store. Any call may fail, be refused by the store,
// or block until its context ends. An error of a call that was answered contains an
// AnswerError.
type Store interface {
	// List reads the complete state.
	List(ctx context.Context) (*Snapshot, error)
	// Watch returns the changes after the revision. If there are none, it
	// returns an empty Delta after the wait. It fails with ErrCompacted if the
	// store no longer has all changes after the revision, and with ErrUnreadable if
	// the answer is too large or cannot be decoded.
	Watch(ctx context.Context, after uint64, wait time.Duration) (*Delta, error)
	// Configuration reads the current configuration.
	Configuration(ctx context.Context) (*ConfigurationRead, error)
	// Probe makes a cheap call. Its error is nil if the store has answered it.
	Probe(ctx context.Context) error
	// CloseIdleConnections closes the connections that no call uses, so that the next call
	// opens a new one.
	CloseIdleConnections()
}
