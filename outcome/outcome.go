// Package outcome defines the outcomes of requests and the reasons for refusals
// and failures.
//
// Callers of sesameswitch may assume that a request with the outcome NotRun did
// not run and never will. If the request has an idempotency key, the same holds for
// its retries with that key. The outcome Unknown guarantees nothing, and
// sesameswitch does not retry such a request.
package outcome

import (
	"fmt"
	"time"
)

// Outcome is the final result of a request.
type Outcome string

// Outcomes that a final response can carry.
const (
	// Completed means that one run produced the complete response.
	Completed Outcome = "completed"
	// NotRun means that the request did not run and never will.
	NotRun Outcome = "not_run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
)

// HeaderOutcome is the name of the HTTP header or trailer that carries the
// Outcome.
const HeaderOutcome = "Sesame-Outcome"

// Reason is the machine-readable cause of a refusal or failure.
type Reason string

// Reasons of refusals and failures.
const (
	ReasonNone            Reason = ""
	ReasonBadRequest      Reason = "bad_request"
	ReasonTooLarge        Reason = "too_large"
	ReasonHeadersTooLarge Reason = "headers_too_large"
	ReasonSlowRequest     Reason = "slow_request"
	ReasonUnauthenticated Reason = "unauthenticated"
	ReasonForbidden       Reason = "forbidden"
	ReasonNotFound        Reason = "not_found"
	ReasonKeyMissing      Reason = "key_missing"
	ReasonKeyInvalid      Reason = "key_invalid"
	ReasonKeyExpired      Reason = "key_expired"
	// ReasonKeyFuture means that the minting time of the idempotency key is in the
	// future.
	ReasonKeyFuture Reason = "key_future"
	ReasonKeyReused Reason = "key_reused"
	// ReasonKeySealed means that the idempotency key was sealed: marked so that it
	// can never run afterwards.
	ReasonKeySealed    Reason = "key_sealed"
	ReasonKeyTableFull Reason = "key_table_full"
	// ReasonWrongIncarnation means that the request is bound to another incarnation
	// (one start of a process) of the agent.
	ReasonWrongIncarnation Reason = "wrong_incarnation"
	ReasonRateLimited      Reason = "rate_limited"
	ReasonQueueFull        Reason = "queue_full"
	// ReasonShed means that the request was removed from a queue in favour of
	// another request, or because the queue capacity was reduced.
	ReasonShed Reason = "shed"
	// ReasonDeadline means that the request can no longer start by its deadline.
	ReasonDeadline Reason = "deadline"
	// ReasonDraining means that the process finishes its requests and takes no new
	// ones.
	ReasonDraining Reason = "leaving"
	ReasonStarting Reason = "starting"
	// ReasonStaleConfig means that the class of the request is not configured at
	// the agent, or has another repeatability there: the configuration of the agent
	// or of the entry is out of date.
	ReasonStaleConfig Reason = "stale_config"
	// ReasonNoBackendServer means that no suitable backend server is known and
	// reachable, or that the agent's backend server does not serve the model or
	// the service.
	ReasonNoBackendServer Reason = "no_backend_server"
	// ReasonMemory means that requests already hold the memory that the process has for them.
	ReasonMemory Reason = "memory"
	// ReasonRingFull means that the agent's command ring (a bounded queue) was full.
	ReasonRingFull            Reason = "ring_full"
	ReasonCancelled           Reason = "cancelled"
	ReasonBackendServerFailed Reason = "backend_server_failed"
	// ReasonConnectionLost means that the agent could not be reached, or that the
	// response was lost with the connection to it.
	ReasonConnectionLost Reason = "connection_lost"
	// ReasonTimeout means that an agent or a backend server sent nothing for too
	// long.
	ReasonTimeout Reason = "timeout"
)

// Refusal is the error for a request that was not completed. The request either
// did not run (NotRun) or may have run (Unknown).
type Refusal struct {
	Outcome Outcome
	Reason  Reason
	// Detail describes the cause for human readers.
	Detail string
	// RetryAfter is the retry delay, or zero if a retry does not help.
	RetryAfter time.Duration
}

// Error implements the error interface.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s: %s", r.Outcome, r.Reason, r.Detail)
}

// Refuse returns the refusal of a request that did not run. Its outcome is NotRun.
func Refuse(reason Reason, detail string) *Refusal {
	return &Refusal{Outcome: NotRun, Reason: reason, Detail: detail}
}

// NewUnknown returns the refusal of a request that may have run. Its outcome is
// Unknown.
func NewUnknown(reason Reason, detail string) *Refusal {
	return &Refusal{Outcome: Unknown, Reason: reason, Detail: detail}
}

// WithRetryAfter returns a copy of the refusal with the given retry delay.
func (r *Refusal) WithRetryAfter(delay time.Duration) *Refusal {
	refusal := *r
	refusal.RetryAfter = delay
	return &refusal
}
