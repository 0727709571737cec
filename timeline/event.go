// Package timeline records the events of a process in a bounded buffer and merges
// the events of several processes.
//
// Callers may assume that Record never waits for a reader and that the memory
// used is bounded: when the buffer is full, a new event overwrites the oldest
// one. Overwritten events are counted and show as a gap in the sequence numbers.
// Events are kept in memory only and are lost when the process ends.
package timeline

import "time"

// Process identifies the process that recorded an event.
type Process struct {
	VM          string `json:"vm"`
	Role        string `json:"role"`
	DataCentre  string `json:"data_centre"`
	Incarnation string `json:"incarnation"`
}

// before reports whether p sorts before q, by VM, role and incarnation.
func (p Process) before(q Process) bool {
	if p.VM != q.VM {
		return p.VM < q.VM
	}
	if p.Role != q.Role {
		return p.Role < q.Role
	}
	return p.Incarnation < q.Incarnation
}

// Kind is the type of an event: what happened.
type Kind string

// Kinds of events.
const (
	RequestReceived Kind = "request_received"
	RequestRefused  Kind = "request_refused"
	AttemptSent     Kind = "attempt_sent"
	AttemptAccepted Kind = "attempt_accepted"
	AttemptRefused  Kind = "attempt_refused"
	RunQueued       Kind = "run_queued"
	RunStarted      Kind = "run_started"
	RunFinished     Kind = "run_finished"
	// RunRefused means that a run was refused before it started, for any reason.
	RunRefused        Kind = "run_shed"
	RunCancelled      Kind = "run_cancelled"
	ResponseCompleted Kind = "answer_completed"
	ResponseFailed    Kind = "answer_failed"
	// ResponseDiscarded means that an agent dropped a response that nobody read.
	ResponseDiscarded Kind = "answer_discarded"
	ConfigAccepted    Kind = "config_accepted"
	ConfigRefused     Kind = "config_refused"
	ProcessState      Kind = "process_state"
	PeerConnected     Kind = "peer_connected"
	PeerSilent        Kind = "peer_silent"
	// BreakerState means that the circuit breaker of a peer changed its state.
	BreakerState Kind = "breaker_state"
	// VMState means that an entry observed a new state of the agent on a VM.
	VMState Kind = "vm_state"
)

// Attributes are structured details of an event, by which tools can filter and
// count. All are optional.
type Attributes struct {
	// Class is the service class of the request.
	Class string `json:"class,omitempty"`
	// Account is the client account of the request.
	Account string `json:"account,omitempty"`
	// Peer is the VM name of the other process that the event concerns.
	Peer string `json:"peer,omitempty"`
	// Attempt is the number of the attempt within its request, from 1.
	Attempt int `json:"attempt,omitempty"`
	// ConfigVersion is the version of the manifest that the event concerns.
	ConfigVersion uint64 `json:"config_version,omitempty"`
	// Outcome is the outcome of the request.
	Outcome string `json:"outcome,omitempty"`
	// Reason is the reason for a refusal or failure.
	Reason string `json:"reason,omitempty"`
}

// Event is one entry of the time line of a process.
type Event struct {
	Time    time.Time `json:"time"`
	Process Process   `json:"process"`
	// Seq is the sequence number of the event within its process. Recorded events
	// are numbered from 1 without gaps.
	Seq        uint64     `json:"seq"`
	Kind       Kind       `json:"kind"`
	RequestID  string     `json:"request_id,omitempty"`
	Detail     string     `json:"detail,omitempty"`
	Attributes Attributes `json:"attributes,omitzero"`
}
