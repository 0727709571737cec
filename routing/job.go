package routing

import (
	"time"
)

// Segment is a section of a prompt that requests may share. Leading segments that
// requests share form a prefix that engines cache.
type Segment struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // makes the codec encode the fields as an array
	// ID is equal for segments with equal content.
	ID     string
	Tokens int
	// Prefilled is false while the segment has only been sent to a server.
	Prefilled bool
	// Retracted reports that a server to which the segment was sent did not
	// prefill it.
	Retracted bool
}

// Job holds the properties of a request that the choice of a server depends on.
type Job struct {
	// Route is the name of the route; requests of one route have similar service
	// times and failure rates.
	Route string
	// Service is the name of the service that runs the request.
	Service string
	// Generates reports whether an engine prefills a prompt and generates tokens.
	Generates bool
	// Rank is the urgency, from 0 for the most urgent to 9 for the least.
	Rank int
	// Segments are the leading segments of the prompt that other requests may
	// share, in order.
	Segments []Segment
	// PromptTokens is the length of the prompt in tokens, including its segments.
	PromptTokens int
	// OutputTokens is the expected length of the response in tokens.
	OutputTokens int
	// LatencyTarget is the target for the time to the response, or to the first
	// event of a stream; zero means none.
	LatencyTarget time.Duration
	// MaxEventGap is the target for the longest inter-event gap; zero means none.
	MaxEventGap time.Duration
	// KVCacheTokens is the capacity of the KV cache of one server, in tokens.
	KVCacheTokens int
	// TransferRate is how many tokens per millisecond a server can copy from the
	// KV cache of another; zero means that it cannot.
	TransferRate float64
	// TokenBytes is the size of one token in the KV cache, in bytes.
	TokenBytes float64
}

// unsharedPromptTokens returns the length of the prompt without its segments, in
// tokens.
func (j *Job) unsharedPromptTokens() int {
	unshared := j.PromptTokens
	for _, segment := range j.Segments {
		unshared -= segment.Tokens
	}
	return max(0, unshared)
}

// cacheOverflow returns by how many tokens the job and the unshared tokens already
// present would exceed the limit of unshared tokens in a server's KV cache.
func (j *Job) cacheOverflow(present int) float64 {
	if j.KVCacheTokens == 0 {
		return 0
	}
	limit := unsharedCacheShare * (1 - rankReserve*float64(j.Rank)) * float64(j.KVCacheTokens)
	return max(0, float64(present+j.unsharedPromptTokens()+j.OutputTokens)-limit)
}

// Server is a candidate for a job.
type Server struct {
	ID         string
	DataCentre string
	// SoftwareVersion is the version of the server's software. KV cache is transferred only
	// between servers of the same one.
	SoftwareVersion string
	// StartedAtMs is the Unix time of the server's start, in milliseconds; zero if
	// unknown. Incarnations with the same ID differ in it.
	StartedAtMs int64
	// Slots is how many requests a server of a plain service runs concurrently; it
	// is not used for engines.
	Slots int
}

// Choice is the chosen server with its estimates; times are in milliseconds.
type Choice struct {
	// Index is the index of the server among the candidates.
	Index int
	// Cost is the time of the request, weighted by its latency target, plus Penalty.
	// With PolicyLeastRequests it is the number of requests in flight instead.
	Cost float64
	// ServiceTime is the time to prefill the uncached tokens at an engine, or to
	// run the request at a plain service.
	ServiceTime float64
	// Wait is the time before the server begins with the request.
	Wait float64
	// Penalty is the sum of the penalties that are not part of the time of the
	// request itself, such as for another data centre, the other pool, duplicate
	// prefill and failures.
	Penalty float64
	// UncachedTokens is how many prompt tokens the server is expected to prefill.
	UncachedTokens int
	// Full reports that an engine has no capacity for the job at its rank: too many
	// unshared tokens are in its KV cache, or too many prompt tokens are pending. A
	// plain service is never reported as full.
	Full bool
	// FleetWait is the median over all servers of the wait for pending prefill.
	FleetWait float64
	// Peers is the number of peer gateways whose load hints have not expired.
	Peers int
	// TransferSource is the ID of the server from whose KV cache segments are
	// transferred; empty means none.
	TransferSource string
}
