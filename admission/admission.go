// Package admission decides at an agent which requests wait, which are shed
// and which runs next. It also contains the admission gate of a gateway, Gate.
// It does no I/O; time is passed in. A Queue is not safe for concurrent use.
//
// Under PolicySesame, callers may assume that a request is never refused or
// evicted for lack of queue capacity while a request of a lower tier occupies
// shared capacity, and that every class with requests queued gets at least its
// floor of the starts. docs/design/scheduling.md describes how tiers and floors
// are combined.
package admission

import (
	"math/rand/v2"
	"time"

	"github.com/sesameswitch/sesameswitch/outcome"
)

// NumTiers is the number of service tiers. Tier 1 is the highest tier, with the
// most urgent requests, and tier NumTiers the lowest.
const NumTiers = 4

// Class contains the settings of a service class that the queue uses.
type Class struct {
	Name string
	// Tier is between 1, the highest, and NumTiers.
	Tier int
	// Floor is the minimum share of starts that the class gets while it has
	// requests queued. Less than MinFloor counts as MinFloor; MaxFloorSum
	// limits the sum. Only PolicySesame has floors.
	Floor float64
}

// Policy is a way to order and shed requests.
type Policy string

// Policies.
const (
	// PolicySesame sheds by strict tiers, guarantees floors, shares a class
	// fairly among accounts and refuses early the requests that cannot start by
	// their deadline.
	PolicySesame Policy = "sesame"
	// PolicyFIFO starts requests in order of arrival and refuses new ones when
	// the queue is full.
	PolicyFIFO Policy = "fifo"
	// PolicyStrict starts the highest tier first, in order of arrival within
	// a tier, and sheds the lowest tier first.
	PolicyStrict Policy = "strict"
)

// Config configures a Queue.
type Config struct {
	// Policy defaults to PolicySesame.
	Policy Policy
	// Capacity bounds the queued requests. Under PolicySesame the queue holds at
	// least one request of each class and one more, even if Capacity is less.
	Capacity int
	// Slots is how many requests the backend server runs concurrently.
	Slots   int
	Classes []Class
	// Rand is the source of the jitter of retry delays. Nil means a source with
	// a fixed seed.
	Rand *rand.Rand
	// Trace, if set, is called for each decision, before it takes effect. It
	// must not call the queue. Remove, Drain, Reconfigure and the refusals for
	// an unknown class or a duplicate ID are not traced.
	Trace func(Event)
}

// Request is a request for a slot. The queue keeps a pointer to it until the
// request is started, refused, evicted, expired or removed. A Request must be
// offered only once.
type Request struct {
	// ID is unique among the queued requests.
	ID      string
	Class   string
	Account string
	// Weight is the account's share of its class relative to other accounts;
	// zero counts as one.
	Weight int
	// Arrived is the time from which the slot reserve measures the wait. The
	// order of arrival in the queue is that of the calls of Offer.
	Arrived time.Time
	// StartBy is the deadline for the start of the request. Zero means no
	// deadline.
	StartBy time.Time
	// Cost is how long the request is expected to hold a slot. Zero means the
	// moving average of its class or, before the first run of the class, of all
	// requests.
	Cost time.Duration
	// Value belongs to the caller; the queue does not use it.
	Value any

	queueState queueState
}

// Rule is the scheduling rule that selected a request to start.
type Rule string

// Scheduling rules: RuleTier selects a request of the highest tier that has
// requests queued, RuleFloor a request of a class whose floor owes it a start.
const (
	RuleNone  Rule = ""
	RuleTier  Rule = "tier"
	RuleFloor Rule = "floor"
)

// Action is the kind of decision that an Event reports.
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
	// Reserved is the part of the queue capacity that only this class may use.
	Reserved int
	// SharedUsed is how much of the shared capacity the class occupies.
	SharedUsed int
	// Credit is the number of starts that the floor owes the class. With a
	// credit of at least one, the class may start ahead of higher tiers.
	Credit float64
}

// Event is one decision of the queue, reported to Config.Trace.
type Event struct {
	At     time.Time
	Action Action
	// Reason is set for ActionRefuse, ActionEvict and ActionExpire.
	Reason outcome.Reason
	// Rule is set for ActionStart.
	Rule    Rule
	Request *Request
	// Newcomer is set for ActionEvict: the request in whose favour Request is
	// evicted.
	Newcomer *Request
	// SharedCapacity is the part of the queue capacity that any class may use.
	SharedCapacity int
	// Classes is the state before the decision. It is valid only during the call
	// of Config.Trace.
	Classes []ClassState
}
