package outcome

import (
	"math"
	"net/http"
	"time"
)

// ProblemContentType is the media type of a problem document (RFC 9457).
const ProblemContentType = "application/problem+json"

// Problem is a problem document (RFC 9457) with the outcome of the request.
type Problem struct {
	Type      string  `json:"type"`
	Title     string  `json:"title"`
	Status    int     `json:"status"`
	Detail    string  `json:"detail,omitempty"`
	Outcome   Outcome `json:"outcome"`
	Reason    Reason  `json:"reason"`
	RequestID string  `json:"request_id,omitempty"`
	// Error repeats the problem in the format of the OpenAI API.
	Error ProblemError `json:"error"`
}

// ProblemError is the error object that OpenAI client libraries expect.
type ProblemError struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    Reason `json:"code"`
}

// statuses maps each reason to the HTTP status of the response.
var statuses = map[Reason]int{
	ReasonBadRequest:          http.StatusBadRequest,
	ReasonTooLarge:            http.StatusRequestEntityTooLarge,
	ReasonHeadersTooLarge:     http.StatusRequestHeaderFieldsTooLarge,
	ReasonSlowRequest:         http.StatusRequestTimeout,
	ReasonUnauthenticated:     http.StatusUnauthorized,
	ReasonForbidden:           http.StatusForbidden,
	ReasonNotFound:            http.StatusNotFound,
	ReasonKeyMissing:          http.StatusBadRequest,
	ReasonKeyInvalid:          http.StatusBadRequest,
	ReasonKeyExpired:          http.StatusGone,
	ReasonKeyFuture:           http.StatusBadRequest,
	ReasonKeyReused:           http.StatusConflict,
	ReasonKeySealed:           http.StatusConflict,
	ReasonKeyTableFull:        http.StatusServiceUnavailable,
	ReasonWrongIncarnation:    http.StatusBadGateway,
	ReasonRateLimited:         http.StatusTooManyRequests,
	ReasonQueueFull:           http.StatusServiceUnavailable,
	ReasonShed:                http.StatusServiceUnavailable,
	ReasonDeadline:            http.StatusServiceUnavailable,
	ReasonDraining:            http.StatusServiceUnavailable,
	ReasonStarting:            http.StatusServiceUnavailable,
	ReasonStaleConfig:         http.StatusServiceUnavailable,
	ReasonNoBackendServer:     http.StatusServiceUnavailable,
	ReasonMemory:              http.StatusServiceUnavailable,
	ReasonRingFull:            http.StatusServiceUnavailable,
	ReasonCancelled:           499, // client closed request; not a registered status
	ReasonBackendServerFailed: http.StatusBadGateway,
	ReasonConnectionLost:      http.StatusBadGateway,
	ReasonTimeout:             http.StatusGatewayTimeout,
}

// Status returns the HTTP status of the response that reports the refusal.
func (r *Refusal) Status() int {
	status, ok := statuses[r.Reason]
	if !ok {
		return http.StatusInternalServerError
	}
	return status
}

// Problem returns the refusal as a problem document.
func (r *Refusal) Problem(requestID string) Problem {
	status := r.Status()
	title := http.StatusText(status)
	if title == "" {
		title = "Client Closed Request" // for status 499, which StatusText does not know
	}
	return Problem{
		Type:      "urn:sesameswitch:problem:" + string(r.Reason),
		Title:     title,
		Status:    status,
		Detail:    r.Detail,
		Outcome:   r.Outcome,
		Reason:    r.Reason,
		RequestID: requestID,
		Error:     ProblemError{Message: r.Detail, Type: title, Code: r.Reason},
	}
}

// RetryAfterSeconds returns the value of the Retry-After header: whole seconds,
// rounded up, or 0 if a retry does not help.
func (r *Refusal) RetryAfterSeconds() int {
	if r.RetryAfter <= 0 {
		return 0
	}
	return int(math.Ceil(float64(r.RetryAfter) / float64(time.Second)))
}
