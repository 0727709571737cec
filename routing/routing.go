// Package routing is an entry's choice among agents: by the completion time
// that it estimates from what the entry saw itself, corrected by the agents'
// reports for as long as they are fresh. It does no I/O; time and randomness
// are injected. A Router is safe for concurrent use.
//
// A caller may rely on Pick looking at a few candidates only and allocating
// nothing, and on it choosing some fit candidate whenever there is one. A
// wrong or old report costs time, never the choice of an agent that is not
// serving. docs/design/routing.md gives the ways weighed.
package routing

import (
	"time"

	"github.com/sesameswitch/sesameswitch/agentapi"
)

// Policy names a way to choose.
type Policy string

// Policies.
const (
	// PolicySesame takes the least estimated completion of a few candidates.
	PolicySesame Policy = "sesame"
	// PolicyRoundRobin takes the candidates in turn.
	PolicyRoundRobin Policy = "round_robin"
	// PolicyLeastRequests takes the candidate with the fewest requests outstanding.
	PolicyLeastRequests Policy = "least"
)

// Config configures a Router. Zero fields take the defaults.
type Config struct {
	// Policy defaults to PolicySesame.
	Policy Policy
	// DataCentre is the entry's own; its agents come first.
	DataCentre string
	// SampleSize is how many local candidates, and how many of all, are
	// compared.
	SampleSize int
}

// DefaultSampleSize is the default of Config.Choices.
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
	// ReportedAt is when the agent said so; zero is never.
	ReportedAt time.Time
	// Outstanding is how many of this entry's own requests the agent holds.
	Outstanding int
	// Allowed is false while the agent's circuit breaker is open.
	Allowed bool
}

// Request is what the choice depends on.
type Request struct {
	Tier       int
	Class      string
	Model      string
	Service    string
	Account    string
	PrefixHash uint64
	// InterTokenTarget is the target of the class; zero is none.
	InterTokenTarget time.Duration
	// Excluded holds the VMs that were tried already.
	Excluded map[string]bool
}

// ObservationKind is what an Observation reports.
type ObservationKind int

// Kinds of observations. Each request that is sent gives one KindSent, at
// most one KindFirstToken, and one of the other kinds at its end.
const (
	KindSent ObservationKind = iota
	KindFirstToken
	KindCompleted
	KindFailed
	KindRefused
	KindCancelled
)

// Observation is what this entry saw of one request at an agent.
type Observation struct {
	Kind ObservationKind
	// FirstToken is the time from sending to the first token. At the end of a
	// request it is zero when no first token was reported.
	FirstToken time.Duration
	// Completion is the time from sending to the end.
	Completion time.Duration
	// Tokens is how many tokens came in that time.
	Tokens int
	// RetryDelay is the time to come back that a refusal told.
	RetryDelay time.Duration
	// Tier is the tier of the request; a refusal counts for it and the tiers
	// below.
	Tier int
	// Class and Model tell requests of unlike length apart.
	Class string
	Model string
}
