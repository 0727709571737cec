// Package outcome defines what became of a request, as values.
//
// A caller of sesameswitch may rely on NotRun: the request did not run and
// never will under that identity. Unknown promises nothing, and the system
// does not send such a request again.
package outcome

import (
	"fmt"
	"time"
)

// Outcome is the final word on one request.
type Outcome string

// The outcomes that a final answer can carry.
const (
	// Completed means that the whole answer was produced by one run.
	Completed Outcome = "completed"
	// NotRun means that the request did not run and will not run.
	NotRun Outcome = "not_run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
)

// HeaderOutcome is the HTTP header or trailer that carries the Outcome.
const HeaderOutcome = "Sesame-Outcome"

// Reason is the machine-readable cause of a refusal or failure.
type Reason string

// Reasons of refusals and failures.
const (
	ReasonNone                Reason = ""
	ReasonBadRequest          Reason = "bad_request"
	ReasonTooLarge            Reason = "too_large"
	ReasonHeadersTooLarge     Reason = "headers_too_large"
	ReasonSlowRequest         Reason = "slow_request"
	ReasonUnauthenticated     Reason = "unauthenticated"
	ReasonForbidden           Reason = "forbidden"
	ReasonNotFound            Reason = "not_found"
	ReasonKeyMissing          Reason = "key_missing"
	ReasonKeyInvalid          Reason = "key_invalid"
	ReasonKeyExpired          Reason = "key_expired"
	ReasonKeyFuture           Reason = "key_future"
	ReasonKeyReused           Reason = "key_reused"
	ReasonKeySealed           Reason = "key_sealed"
	ReasonKeyTableFull        Reason = "key_table_full"
	ReasonWrongIncarnation    Reason = "wrong_incarnation"
	ReasonRateLimited         Reason = "rate_limited"
	ReasonQueueFull           Reason = "queue_full"
	ReasonShed                Reason = "shed"
	ReasonDeadline            Reason = "deadline"
	ReasonDraining            Reason = "leaving"
	ReasonStarting            Reason = "starting"
	ReasonStaleConfig         Reason = "stale_config"
	ReasonNoBackendServer     Reason = "no_backend_server"
	ReasonRingFull            Reason = "ring_full"
	ReasonCancelled           Reason = "cancelled"
	ReasonBackendServerFailed Reason = "backend_server_failed"
	ReasonConnectionLost      Reason = "connection_lost"
	ReasonTimeout             Reason = "timeout"
)

// Refusal says why a request was not completed.
type Refusal struct {
	Outcome Outcome
	Reason  Reason
	// Detail is a sentence for a person; it names the fault.
	Detail string
	// RetryAfter is when asking again can help; zero when it cannot.
	RetryAfter time.Duration
}

// Error makes a Refusal usable as an error value.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s: %s", r.Outcome, r.Reason, r.Detail)
}

// Refuse returns a refusal of a request that did not run.
func Refuse(reason Reason, detail string) *Refusal {
	return &Refusal{Outcome: NotRun, Reason: reason, Detail: detail}
}

// NewUnknown returns the refusal of a request that may have run. Its outcome is
// Unknown.
func NewUnknown(reason Reason, detail string) *Refusal {
	return &Refusal{Outcome: Unknown, Reason: reason, Detail: detail}
}

// WithRetryAfter returns a copy of the refusal with the given retry delay.
func (r *Refusal) WithRetryAfter(wait time.Duration) *Refusal {
	later := *r
	later.RetryAfter = wait
	return &later
}
