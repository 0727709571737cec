package history

import (
	"fmt"
	"math"
	"slices"
	"sync"

	"github.com/sesameswitch/sesameswitch/admission"
	"github.com/sesameswitch/sesameswitch/outcome"
)

// Trace collects the decisions of one agent's admission queue. Its Record
// method is meant for admission.Config.Trace. Trace is safe for concurrent use.
type Trace struct {
	mu     sync.Mutex
	events []admission.Event
}

// Record appends a decision. It copies e.Classes, which is valid only during
// the call.
func (t *Trace) Record(e admission.Event) {
	e.Classes = slices.Clone(e.Classes)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.events = append(t.events, e)
}

// Events returns a copy of the decisions recorded so far.
func (t *Trace) Events() []admission.Event {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.events)
}

// Classes maps the name of each class in a manifest to its definition. The
// checkers read tiers and floors from Classes instead of the events of the
// queue under test, so that they also detect a queue that uses wrong values.
type Classes map[string]admission.Class

// ClassesByName returns classes indexed by name.
func ClassesByName(classes []admission.Class) Classes {
	byName := make(Classes, len(classes))
	for _, c := range classes {
		byName[c.Name] = c
	}
	return byName
}

// CheckTierOrder checks that the queue never prefers a request of a lower tier,
// that is, of a tier with a greater number:
//
//   - a request is refused for lack of capacity, or evicted, only while no
//     lower tier occupies shared capacity;
//   - a request is evicted only for a newcomer of the same or a higher tier;
//   - a request starts before a queued request of a higher tier only by the
//     floor of its class. Such starts are at most the floor's share of all
//     starts, plus maxFloorCredit.
//
// Refusals of requests that cannot meet their deadline are not checked, because
// they favour no other request.
func CheckTierOrder(events []admission.Event, classes Classes) []Violation {
	var found []Violation
	floorStarts := make(map[string]int)
	starts := 0
	for _, e := range events {
		switch e.Action {
		case admission.ActionRefuse, admission.ActionEvict:
			found = append(found, checkRefusalOrEviction(e, classes)...)
		case admission.ActionStart:
			starts++
			if !startsBeforeHigherTier(e, classes) {
				continue
			}
			floorStarts[e.Request.Class]++
			found = append(found, checkFloorStart(e, floorStarts, classes, starts)...)
		}
	}
	return found
}

// maxFloorCredit is the largest credit, in starts, that a class may accumulate
// by its floor. It equals the queue's maxCredit and is defined separately, so
// that a fault in the queue cannot change the check.
const maxFloorCredit = 2

func checkRefusalOrEviction(e admission.Event, classes Classes) []Violation {
	if e.Action == admission.ActionRefuse && !refusedForCapacity(e) {
		return nil
	}
	tier := classes[e.Request.Class].Tier
	if e.Action == admission.ActionEvict && e.Newcomer != nil && classes[e.Newcomer.Class].Tier > tier {
		return []Violation{tierViolation(e, fmt.Sprintf("evicted for %s of class %s", e.Newcomer.ID, e.Newcomer.Class))}
	}
	for _, c := range e.Classes {
		if other := classes[c.Class].Tier; other > tier && c.SharedUsed > 0 {
			return []Violation{tierViolation(e, fmt.Sprintf("%s while class %s of tier %d occupies %d units of shared capacity",
				e.Action, c.Class, other, c.SharedUsed))}
		}
	}
	return nil
}

func refusedForCapacity(e admission.Event) bool {
	return e.Reason == outcome.ReasonQueueFull || e.Reason == outcome.ReasonShed
}

// startsBeforeHigherTier reports whether the request of a start event starts
// while a request of a higher tier is queued.
func startsBeforeHigherTier(e admission.Event, classes Classes) bool {
	tier := classes[e.Request.Class].Tier
	for _, c := range e.Classes {
		if classes[c.Class].Tier < tier && c.Queued > 0 {
			return true
		}
	}
	return false
}

func checkFloorStart(e admission.Event, floorStarts map[string]int, classes Classes, starts int) []Violation {
	class := e.Request.Class
	if e.Rule != admission.RuleFloor {
		return []Violation{tierViolation(e, "started before a queued request of a higher tier by a rule other than its floor")}
	}
	floor := classes[class].Floor
	allowed := floor*float64(starts) + maxFloorCredit
	if float64(floorStarts[class]) > allowed {
		return []Violation{tierViolation(e, fmt.Sprintf("%d of %d starts were by the floor, which is %g", floorStarts[class], starts, floor))}
	}
	return nil
}

func tierViolation(e admission.Event, detail string) Violation {
	return Violation{Guarantee: TierOrder, Subject: e.Request.ID + " of class " + e.Request.Class, Detail: detail}
}

// CheckFloors checks that no class with a floor starves. While a class has
// queued requests, at most 1/floor starts of other classes, plus one for each
// class of the queue, may come between two of its own starts, or before its
// first.
func CheckFloors(events []admission.Event, classes Classes) []Violation {
	var found []Violation
	otherStarts := make(map[string]int) // consecutive starts of other classes
	for _, e := range events {
		if e.Action != admission.ActionStart {
			continue
		}
		for _, c := range e.Classes {
			floor := classes[c.Class].Floor
			if c.Queued == 0 || c.Class == e.Request.Class || floor <= 0 {
				otherStarts[c.Class] = 0
				continue
			}
			otherStarts[c.Class]++
			allowed := int(math.Ceil(1/floor)) + len(e.Classes)
			if otherStarts[c.Class] == allowed+1 {
				found = append(found, Violation{
					Guarantee: Floor,
					Subject:   c.Class,
					Detail:    fmt.Sprintf("%d starts of other classes without a start of this class, whose floor is %g", otherStarts[c.Class], floor),
				})
			}
		}
	}
	return found
}
