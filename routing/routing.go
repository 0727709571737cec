// Package routing is an entry's choice among agents. It does no I/O; time and
// randomness are injected. A Router is not safe for concurrent use.
package routing

import (
	"math/rand/v2"
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
	// PolicyLeast takes the candidate with the fewest requests outstanding.
	PolicyLeast Policy = "least"
)

// Config configures a Router. Zero fields take the defaults.
type Config struct {
	// Policy defaults to PolicySesame.
	Policy Policy
	// DataCentre is the entry's own; its agents come first.
	DataCentre string
	// Choices is how many candidates are compared.
	Choices int
}

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
	// Excluded holds the VMs that were tried already.
	Excluded map[string]bool
}

// Kind is what an Observation reports.
type Kind int

// Kinds of observations. Each request that is sent gives one KindSent, at
// most one KindFirstToken, and one of the other kinds at its end.
const (
	KindSent Kind = iota
	KindFirstToken
	KindCompleted
	KindFailed
	KindRefused
	KindCancelled
)

// Observation is what this entry saw of one request at an agent.
type Observation struct {
	Kind Kind
	// FirstToken is the time from sending to the first token. At the end of a
	// request it is zero when no first token was reported.
	FirstToken time.Duration
	// Whole is the time from sending to the end.
	Whole time.Duration
	// Wait is the time to come back that a refusal told.
	Wait time.Duration
}

// Router chooses agents.
type Router struct {
	cfg  Config
	rng  *rand.Rand
	turn int
}

// New returns a router that has seen nothing.
func New(cfg Config, rng *rand.Rand) *Router { return &Router{cfg: cfg, rng: rng} }

// Pick returns the index of the chosen candidate; ok is false when none is
// fit.
func (r *Router) Pick(_ time.Time, req *Request, candidates []Candidate) (index int, ok bool) {
	best := -1
	for i := range candidates {
		at := (r.turn + i) % len(candidates)
		c := &candidates[at]
		if c.State != agentapi.StateServing || !c.Allowed || req.Excluded[c.VM] {
			continue
		}
		if best < 0 || c.Outstanding < candidates[best].Outstanding {
			best = at
		}
	}
	r.turn++
	return best, best >= 0
}

// Observe takes in what happened to a request at the VM's agent.
func (r *Router) Observe(_ time.Time, _ string, _ Observation) {}
