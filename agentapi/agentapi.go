// Package agentapi defines the messages between an entry and an agent. They are
// sent by net/rpc (package peer), so each call is one request and one reply.
// The entry reads a response of any length in chunks, each from a byte offset.
//
// The offsets prevent the loss of data when a connection breaks: the entry
// reconnects to the same agent and continues after the last byte that it has.
package agentapi

import (
	"time"

	"github.com/sesameswitch/sesameswitch/outcome"
)

// Names of the RPC methods that an agent serves.
const (
	MethodSubmit = "Agent.Submit"
	MethodRead   = "Agent.Read"
	MethodCancel = "Agent.Cancel"
	MethodStatus = "Agent.Status"
)

// State is the state that an agent reports of itself.
type State string

// States of an agent. Only a serving agent accepts new runs.
const (
	StateStarting State = "starting"
	StateServing  State = "serving"
	StateDraining State = "leaving"
)

// Incarnation identifies one start of an agent process. A restarted agent has a
// new one, even on the same VM and address.
type Incarnation string

// Status is what an agent reports of itself. The replies to Submit, Cancel and
// Status always contain it; for the replies to Read, see ReadReply.
type Status struct {
	VM          string
	DataCentre  string
	Incarnation Incarnation
	State       State
	Models      []string
	Services    []string
	// SoftwareVersion is the version of the backend server's software; empty if the agent
	// was not informed.
	SoftwareVersion string
	// ConfigVersion is the version of the agent's active configuration.
	ConfigVersion uint64
	// Slots is the number of runs that the backend server executes at a time;
	// Running and Queued are the numbers of runs in these states.
	Slots   int
	Running int
	Queued  int
	// WaitByTier estimates how long a request of each tier that arrives now
	// would wait for a slot; index 0 is tier 1.
	WaitByTier [4]time.Duration
}

// Serves reports whether the agent's backend server has the model, or the
// service when model is empty.
func (s *Status) Serves(model, service string) bool {
	if model != "" {
		return contains(s.Models, model)
	}
	return contains(s.Services, service)
}

func contains(list []string, wanted string) bool {
	for _, item := range list {
		if item == wanted {
			return true
		}
	}
	return false
}

// SubmitArgs asks an agent to run a request.
type SubmitArgs struct {
	// ID identifies the run at the agent. For at-most-once requests it is the
	// idempotency key; otherwise it is unique to the attempt.
	ID string
	// RequestID correlates the events of all processes that handle the request.
	RequestID string
	// Entry is the VM of the sending entry.
	Entry string
	// Incarnation is the incarnation of the agent that the request is meant
	// for. An agent refuses requests for any other. Empty means any.
	Incarnation Incarnation
	// ConfigVersion is the version of the entry's configuration, from which
	// the agent learns of newer versions.
	ConfigVersion uint64
	Account       string
	Class         string
	// Model is the requested model, or Service the requested plain service; the
	// other one is empty.
	Model   string
	Service string
	Method  string
	// Path is the path at the backend server, with the query.
	Path   string
	Header map[string]string
	Body   []byte
	// BodySum is the SHA-256 of method, path and body; every request with the
	// same key must have the same sum.
	BodySum [32]byte
	// Keyed is true for an at-most-once request; ID is then its idempotency
	// key.
	Keyed bool
	// Stream is true when the response is a stream of server-sent events.
	Stream bool
	// ResumeAfter is the number of tokens that the caller already has.
	ResumeAfter int
	// TargetLeft is the time that remains of the class's latency target when
	// the request arrives at the agent; zero means no target.
	TargetLeft time.Duration
	// QueueFor is the maximum time in the agent's queue, after which the entry
	// prefers another agent. Zero means no limit other than the latency target.
	QueueFor time.Duration
	// Read, when its Wait is above zero, asks for the first chunk of the
	// response in the reply, like a call of Read from offset 0.
	Read ReadArgs
	// Refuse, when set, is the reason for which the entry refuses a keyed
	// request. The agent then seals the key, so that the request can never run.
	// If it has accepted a request with the key before, the call joins that run
	// instead.
	Refuse outcome.Reason
}

// SubmitReply reports whether the agent accepted the request.
type SubmitReply struct {
	// Accepted is true when the agent has the run: queued, running or finished.
	Accepted bool
	// Joined is true when the run existed before this call.
	Joined bool
	// Refusal is set when the request was not accepted.
	Refusal *outcome.Refusal
	// First is the first chunk of the response, if SubmitArgs.Read asked for
	// it.
	First  ReadReply
	Status Status
}

// ReadArgs asks for a chunk of a run's response.
type ReadArgs struct {
	ID          string
	Account     string
	Incarnation Incarnation
	// Offset is the number of bytes that the reader already has.
	Offset int64
	// MinBytes is the amount of data for which the agent waits. It replies with
	// less when the run has ended or Wait has passed. 0 means any amount.
	MinBytes int
	// MaxBytes is the maximum amount of data in the reply; the agent may have a
	// lower limit.
	MaxBytes int
	// Wait is how long the agent may wait for data; the agent may have a lower
	// limit. If no data arrived, the reply is empty.
	Wait time.Duration
}

// ReadReply is a chunk of a run's response.
type ReadReply struct {
	// Known is false when the agent has no such run, or no longer has its
	// response from the offset on.
	Known bool
	// Begun is true once the agent has the head of the response: Code, and
	// Header, which is only in the reply to a read from offset 0.
	Begun  bool
	Code   int
	Header map[string]string
	Data   []byte
	// Final is true when the run has ended, successfully or not, and Data
	// reaches the end of its response.
	Final bool
	// Refusal is set, with Final, when the run did not complete.
	Refusal *outcome.Refusal
	// Length is the length of the complete response in bytes, set with Final.
	Length int64
	// Status is set in the reply to a read from offset 0, with Final, and when
	// the agent has no such run.
	Status Status
}

// CancelArgs asks an agent to cancel a run. It has no effect on an at-most-once
// run.
type CancelArgs struct {
	ID      string
	Account string
	Reason  outcome.Reason
}

// CancelReply is the reply to a cancellation.
type CancelReply struct {
	// Known is false when the agent has no such run or could not handle the
	// call.
	Known  bool
	Status Status
}

// StatusArgs asks for the agent's status. The call is also the heartbeat.
type StatusArgs struct {
	// Entry and ConfigVersion are as in SubmitArgs.
	Entry         string
	ConfigVersion uint64
}

// StatusReply contains the agent's status.
type StatusReply struct {
	Status Status
}
