// Package admission decides at an agent which requests wait, which are shed
// and which runs next. It does no I/O; time is passed in, and one goroutine
// owns a Queue.
//
// A caller may rely on a request of a higher tier never being refused or
// evicted for want of room while one of a lower tier occupies shared room,
// and on every class with requests queued getting its floor of the starts.
// docs/design/scheduling.md states how the two fit together.
package admission

import (
	"math/rand/v2"
	"time"

	"github.com/sesameswitch/sesameswitch/outcome"
)

// NumTiers is the number of service tiers; tier 1 is the most urgent.
const NumTiers = 4

// Class is what the queue needs to know of a service class.
type Class struct {
	Name string
	// Tier is 1 for the most urgent to 4.
	Tier int
	// Floor is the share of starts that the class gets at least while it has
	// requests queued. Zero gives it MinFloor.
	Floor float64
}

// Policy names a way to order and shed requests.
type Policy string

// Policies.
const (
	// PolicySesame sheds by strict tiers, serves floors, shares a class fairly
	// among accounts and refuses early what cannot start in time.
	PolicySesame Policy = "sesame"
	// PolicyFIFO serves in order of arrival and refuses newcomers when full.
	PolicyFIFO Policy = "fifo"
	// PolicyStrict serves the highest tier first, in order of arrival within
	// a tier, and sheds the lowest tier first.
	PolicyStrict Policy = "strict"
)

// Config configures a Queue.
type Config struct {
	// Policy defaults to PolicySesame.
	Policy Policy
	// Capacity bounds the queued requests.
	Capacity int
	// Slots is how many requests the backend server runs at once.
	Slots   int
	Classes []Class
	// Rand spreads the times to come back. Nil stands for a fixed seed.
	Rand *rand.Rand
	// Trace, when set, is called at each decision with the state of the queue
	// before it. It must not call the queue.
	Trace func(Event)
}

// Request is one request for a slot. The queue keeps a pointer to it until it
// is started, refused, evicted or removed; a Request is offered once.
type Request struct {
	ID      string
	Class   string
	Account string
	// Weight is the account's share of its class relative to other accounts;
	// zero counts as one.
	Weight  int
	Arrived time.Time
	// StartBy is when the request must have started. Zero is no bound.
	StartBy time.Time
	// Cost is how long the request is expected to hold a slot. Zero stands
	// for the mean of what was seen.
	Cost  time.Duration
	Value any

	place place
}

// Rule is the scheduling rule that selected a request to start.
type Rule string

// Scheduling rules: RuleTier selects by tier and start deadline, RuleFloor
// selects a class that is owed a start by its floor.
const (
	RuleNone  Rule = ""
	RuleTier  Rule = "tier"
	RuleFloor Rule = "floor"
)

// Action is what an Event reports.
type Action string

// Actions of a queue.
const (
	ActionAdmit  Action = "admit"
	ActionRefuse Action = "refuse"
	ActionEvict  Action = "evict"
	ActionStart  Action = "start"
	ActionExpire Action = "expire"
)

// ClassState is the state of one class at a decision.
type ClassState struct {
	Class  string
	Tier   int
	Queued int
	// Reserved is how many places only this class may use.
	Reserved int
	// SharedUsed is how much of the shared capacity the class occupies.
	SharedUsed int
	// Credit is the class's claim to a start by its floor; a claim of one is
	// due.
	Credit float64
}

// Event is one decision, for checkers and time lines.
type Event struct {
	At      time.Time
	Action  Action
	Reason  outcome.Reason
	Rule    Rule
	Request *Request
	// Newcomer is the request in whose favour Request was evicted.
	Newcomer *Request
	// SharedCapacity is the part of the capacity that any class may use.
	SharedCapacity int
	// Classes is the state before the decision. It is valid during the call.
	Classes []ClassState
}
