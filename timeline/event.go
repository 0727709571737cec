// Package timeline records what a process did as a bounded sequence of events
// and merges the sequences of several processes.
//
// A caller may rely on Record never waiting for a reader and on memory staying
// bounded: the oldest event gives way to the newest, and the loss is counted
// and visible as a gap in the sequence numbers. Nothing outlives the process.
package timeline

import "time"

// Process identifies the process that recorded an event.
type Process struct {
	VM          string `json:"vm"`
	Role        string `json:"role"`
	DataCentre  string `json:"data_centre"`
	Incarnation string `json:"incarnation"`
}

// less orders processes by VM, role and incarnation.
func (p Process) less(q Process) bool {
	if p.VM != q.VM {
		return p.VM < q.VM
	}
	if p.Role != q.Role {
		return p.Role < q.Role
	}
	return p.Incarnation < q.Incarnation
}

// Kind says what happened.
type Kind string

// Kinds of events.
const (
	RequestReceived   Kind = "request_received"
	RequestRefused    Kind = "request_refused"
	AttemptSent       Kind = "attempt_sent"
	AttemptAccepted   Kind = "attempt_accepted"
	AttemptRefused    Kind = "attempt_refused"
	RunQueued         Kind = "run_queued"
	RunStarted        Kind = "run_started"
	RunFinished       Kind = "run_finished"
	RunShed           Kind = "run_shed"
	RunCancelled      Kind = "run_cancelled"
	ResponseCompleted Kind = "answer_completed"
	ResponseFailed    Kind = "answer_failed"
	ConfigAccepted    Kind = "config_accepted"
	ConfigRefused     Kind = "config_refused"
	ProcessState      Kind = "process_state"
	PeerConnected     Kind = "peer_connected"
	PeerSilent        Kind = "peer_silent"
	BreakerState      Kind = "breaker_state"
	VMState           Kind = "vm_state"
)

// Attributes are the typed details that tools can filter and count by. All
// are optional.
type Attributes struct {
	// Class is the service class of the request.
	Class string `json:"class,omitempty"`
	// Account is the client account of the request.
	Account string `json:"account,omitempty"`
	// Peer is the VM of the other process.
	Peer string `json:"peer,omitempty"`
	// Attempt counts the attempts of a request, from 1.
	Attempt int `json:"attempt,omitempty"`
	// ConfigVersion is the version of the manifest in question.
	ConfigVersion uint64 `json:"config_version,omitempty"`
	// Outcome is the outcome of an answer.
	Outcome string `json:"outcome,omitempty"`
	// Reason is the cause of a refusal or failure.
	Reason string `json:"reason,omitempty"`
}

// Event is one entry of the time line.
type Event struct {
	Time    time.Time `json:"time"`
	Process Process   `json:"process"`
	// Seq numbers the events of one process from 1, without gaps as recorded.
	Seq        uint64     `json:"seq"`
	Kind       Kind       `json:"kind"`
	RequestID  string     `json:"request_id,omitempty"`
	Detail     string     `json:"detail,omitempty"`
	Attributes Attributes `json:"attributes,omitzero"`
}
