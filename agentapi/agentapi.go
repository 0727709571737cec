// Package agentapi defines the messages between an entry and an agent. They
// travel by net/rpc (package peer), so each call is one request and one
// reply; answers of any length are read piece by piece from an offset.
//
// Offsets make a lost connection harmless: the entry reads again from the
// last byte it has, over a new connection, from the same agent.
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

// State is what an agent says of itself.
type State string

// States of an agent.
const (
	StateStarting State = "starting"
	StateServing  State = "serving"
	StateDraining State = "leaving"
)

// Incarnation identifies one life of an agent process. A restarted agent has
// another one, even on the same VM and address.
type Incarnation string

// Status is the agent's view of itself. It rides on every reply.
type Status struct {
	VM            string
	DataCentre    string
	Incarnation   Incarnation
	State         State
	Models        []string
	Services      []string
	ConfigVersion uint64
	Slots         int
	Running       int
	Queued        int
	// WaitByTier estimates how long a request of each tier would wait for a
	// slot now; index 0 is tier 1.
	WaitByTier [4]time.Duration
}

// Serves reports whether the agent's backend server has the model or service.
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
	// RequestID joins the events of all processes on one request.
	RequestID string
	// Entry is the VM of the sending entry.
	Entry string
	// Incarnation is the life of the agent that the request is meant for. An
	// agent refuses another's. Empty means any.
	Incarnation   Incarnation
	ConfigVersion uint64
	Account       string
	Class         string
	Model         string
	Service       string
	Method        string
	Path          string
	Header        map[string]string
	Body          []byte
	// BodySum is the SHA-256 of method, path and body; a repeat of a key must
	// carry the same.
	BodySum [32]byte
	// Keyed says that the entry knows the request to run at most once and ID
	// to be its idempotency key.
	Keyed bool
	// Stream says that the answer is a server-sent event stream.
	Stream bool
	// ResumeAfter is the number of tokens that the caller already has.
	ResumeAfter int
	// TargetLeft is what is left of the class's latency target when the
	// request arrives at the agent; zero is no target.
	TargetLeft time.Duration
	// QueueFor is how long the request may wait in the agent's queue before
	// the entry would rather ask another agent. Zero is as long as the target
	// allows.
	QueueFor time.Duration
	// Read, with Wait above zero, asks for the first part of the answer in the
	// reply, as a call of Read from offset 0 would.
	Read ReadArgs
	// Refuse asks the agent to seal the key without running it, unless it
	// already ran. It is set when the entry would refuse the request.
	Refuse outcome.Reason
}

// SubmitReply says whether the agent took the request.
type SubmitReply struct {
	// Accepted is true when the run is queued, running or finished here.
	Accepted bool
	// Joined is true when the run existed before this call.
	Joined bool
	// Refusal is set when the request was not accepted.
	Refusal *outcome.Refusal
	// First is the first part of the answer, when it was asked for.
	First  ReadReply
	Status Status
}

// ReadArgs asks for a part of a run's answer.
type ReadArgs struct {
	ID          string
	Account     string
	Incarnation Incarnation
	// Offset is the number of bytes that the reader already has.
	Offset int64
	// MinBytes is how much data is worth a reply before the answer is over; 0
	// stands for any.
	MinBytes int
	// MaxBytes bounds the reply's data.
	MaxBytes int
	// Wait is how long the agent may wait for data before it answers empty.
	Wait time.Duration
}

// ReadReply is a part of a run's answer.
type ReadReply struct {
	// Known is false when the agent has no such run.
	Known bool
	// Begun is true once the head of the answer is there; the head is sent
	// with the part at offset 0.
	Begun  bool
	Code   int
	Header map[string]string
	Data   []byte
	// Final is true when Data reaches the end of the answer and the run is
	// over, well or not.
	Final bool
	// Refusal is set, with Final, when the run did not complete.
	Refusal *outcome.Refusal
	// Length is the length of the whole answer, in bytes, once Final.
	Length int64
	// Status is set with the first and the last part.
	Status Status
}

// CancelArgs gives up a run. A run that may not be repeated goes on once it
// has started.
type CancelArgs struct {
	ID      string
	Account string
	Reason  outcome.Reason
}

// CancelReply says what the cancel met.
type CancelReply struct {
	// Known is false when the agent has no such run.
	Known  bool
	Status Status
}

// StatusArgs asks for the agent's status; it is also the heartbeat.
type StatusArgs struct {
	Entry         string
	ConfigVersion uint64
}

// StatusReply is the agent's status.
type StatusReply struct {
	Status Status
}
