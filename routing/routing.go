// Package routing chooses where a request is sent. A Router is an entry's
// choice among agents. A Scheduler is a gateway's choice among backend servers
// that many gateways use at the same time. The package does no I/O; time and
// randomness are injected. Routers and Schedulers are safe for concurrent use.
//
// A Router estimates the completion time of a request at a few candidate
// agents. The estimate is based on what the entry has observed itself and is
// corrected by the agents' load reports, whose weight decays with their age.
//
// Callers may assume that Pick does not allocate, and that it returns an
// eligible candidate whenever there is one. With PolicySesame it estimates the
// completion time at a few candidates only, however many there are. A wrong or
// outdated load report can make a choice slower, but Pick never returns an
// agent that is not serving. docs/design/routing.md compares the alternatives.
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
	// PolicyRoundRobin selects the candidates in turn.
	PolicyRoundRobin Policy = "round_robin"
	// PolicyLeastRequests selects the candidate with the fewest outstanding
	// requests.
	PolicyLeastRequests Policy = "least"
)

// Config configures a Router. Zero fields take the defaults.
type Config struct {
	// Policy defaults to PolicySesame.
	Policy Policy
	// DataCentre is the data centre of the entry, whose agents are preferred.
	DataCentre string
	// SampleSize is how many candidates of the entry's data centre, and how many
	// of all candidates, are compared.
	SampleSize int
}

// DefaultSampleSize is the default of Config.SampleSize.
const DefaultSampleSize = 8

// Candidate is what an entry knows of one agent at the time of a choice.
type Candidate struct {
	VM         string
	DataCentre string
	State      agentapi.State
	Slots      int
	Running    int
	Queued     int
	// WaitByTier is the agent's own estimate; index 0 is tier 1.
	WaitByTier [4]time.Duration
	// ReportedAt is when the agent last reported its load; zero means never.
	ReportedAt time.Time
	// Outstanding is the number of this entry's own requests at the agent.
	Outstanding int
	// Allowed is false while the agent's circuit breaker is open.
	Allowed bool
}

// Request holds the properties of a request that the choice depends on.
type Request struct {
	Tier       int
	Class      string
	Model      string
	Service    string
	Account    string
	PrefixHash uint64
	// InterTokenTarget is the inter-token latency target of the class; zero
	// means none.
	InterTokenTarget time.Duration
	// Excluded holds the VMs that the request was already sent to.
	Excluded map[string]bool
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
	// RetryDelay is how long a refusal asked the caller to wait before a retry.
	RetryDelay time.Duration
	// Tier is the tier of the request; a refusal applies to it and to the less
	// urgent tiers.
	Tier int
	// Class and Model distinguish requests of different lengths.
	Class string
	Model string
}
