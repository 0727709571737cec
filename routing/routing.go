// Package routing chooses where a request is sent. A Router chooses among agents
// for an entry. A Scheduler chooses for a gateway among backend servers that many
// gateways use at the same time. The package does no I/O; the caller passes in
// the time and the source of randomness. Routers and Schedulers are safe for
// concurrent use.
//
// A Router estimates the completion time of a request at a few candidate
// agents. The estimate is based on the entry's own observations and is corrected
// by the agents' load reports, whose weight decays with their age.
//
// Callers may assume that Pick does not allocate, and that it returns an
// eligible candidate whenever there is one. With PolicySesame it estimates the
// completion time at a few candidates only, however many there are. A wrong or
// outdated load report can lead to the choice of a slower agent, but never of one
// whose Candidate.State is not serving. docs/design/routing.md compares the
// alternatives.
package routing

import (
	"time"

	"github.com/sesameswitch/sesameswitch/agentapi"
)

// Policy names a load-balancing policy.
type Policy string

// Policies.
const (
	// PolicySesame selects the candidate with the least estimated completion
	// time (Router) or cost (Scheduler).
	PolicySesame Policy = "sesame"
	// PolicyRoundRobin selects the candidates in turn (Router only).
	PolicyRoundRobin Policy = "round_robin"
	// PolicyLeastRequests selects the candidate with the fewest requests in
	// flight.
	PolicyLeastRequests Policy = "least"
)

// Config configures a Router. Zero fields take the defaults.
type Config struct {
	// Policy defaults to PolicySesame.
	Policy Policy
	// DataCentre is the data centre of the entry, whose agents are preferred.
	DataCentre string
	// SampleSize is the size of each of the two samples that PolicySesame
	// compares: one from the entry's data centre and one from all candidates. Up
	// to 2*SampleSize candidates are all compared.
	SampleSize int
}

// DefaultSampleSize is the default of Config.SampleSize.
const DefaultSampleSize = 8

// Candidate is what an entry knows about one agent at the time of a choice. State,
// Slots, Running, Queued and WaitByTier are from the agent's last load report.
type Candidate struct {
	// VM is the name of the agent's VM, which identifies the agent.
	VM         string
	DataCentre string
	State      agentapi.State
	// Slots is how many requests the agent runs concurrently.
	Slots   int
	Running int
	Queued  int
	// WaitByTier is the agent's own estimate of how long a request of each tier
	// waits for a slot; index 0 is tier 1.
	WaitByTier [4]time.Duration
	// ReportedAt is when the agent last reported its load; zero means never.
	ReportedAt time.Time
	// InFlight counts this entry's own requests in flight at the agent.
	InFlight int
	// Allowed is false while the agent's circuit breaker is open.
	Allowed bool
	// SoftwareVersion is the version of the backend server's software; empty if unknown.
	SoftwareVersion string
}

// Request describes a request for which an agent is chosen. Pick does not use
// Service and Account: the caller passes only agents that serve the request.
type Request struct {
	// Tier is the urgency, from 1 for the most urgent to 4 for the least.
	Tier    int
	Class   string
	Model   string
	Service string
	Account string
	// PrefixHash identifies the prefix of the prompt; zero means none.
	PrefixHash uint64
	// InterTokenTarget is the inter-token latency target of the class; zero
	// means none.
	InterTokenTarget time.Duration
	// Excluded holds the VMs whose agents must not be picked, as the request was
	// already sent to them.
	Excluded map[string]bool
	// Begun reports whether the caller has received a part of a stream, which goes on only at
	// SoftwareVersion, the one that began it.
	Begun           bool
	SoftwareVersion string
}

// ObservationKind is what an Observation reports.
type ObservationKind int

// Kinds of observations. Each request that is sent gives one KindSent, at
// most one KindFirstToken, and one of the other kinds when it ends.
const (
	KindSent ObservationKind = iota
	KindFirstToken
	KindCompleted
	KindFailed
	KindRefused
	KindCancelled
)

// Observation is what this entry observed of one request at an agent.
type Observation struct {
	Kind ObservationKind
	// FirstToken is the time from sending to the first token. In an observation
	// of the end of a request, zero means that there was no first token.
	FirstToken time.Duration
	// Completion is the time from sending to the end.
	Completion time.Duration
	// Tokens is the number of tokens received in that time.
	Tokens int
	// RetryDelay is the delay before a retry that a refusal asked for.
	RetryDelay time.Duration
	// Tier is the tier of the request; a refusal applies to it and to the less
	// urgent tiers.
	Tier int
	// Class and Model are those of the request; each pair has its own typical
	// times.
	Class string
	Model string
}
