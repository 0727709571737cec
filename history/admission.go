package history

import (
	"fmt"
	"math"
	"slices"
	"sync"

	"github.com/sesameswitch/sesameswitch/admission"
	"github.com/sesameswitch/sesameswitch/outcome"
)

// Trace collects the decisions of one agent's queue. Its Record method fits
// admission.Config.Trace. It is safe for concurrent use.
type Trace struct {
	mu     sync.Mutex
	events []admission.Event
}

// Record adds a decision.
func (t *Trace) Record(e admission.Event) {
	e.Classes = slices.Clone(e.Classes)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.events = append(t.events, e)
}

// Events returns a copy of the decisions so far.
func (t *Trace) Events() []admission.Event {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.events)
}

// Classes are the classes of a manifest by name. Checkers take tiers and
// floors from here, not from the queue that they judge.
type Classes map[string]admission.Class

// ClassesByName indexes classes by name.
func ClassesByName(classes []admission.Class) Classes {
	byName := make(Classes, len(classes))
	for _, c := range classes {
		byName[c.Name] = c
	}
	return byName
}

// CheckTierOrder checks that no request gives way to one of a lower tier:
//
//   - a request is refused for want of room, or evicted, only while no lower
//     tier occupies shared room;
//   - a request is evicted only for one of the same or a higher tier;
//   - a request starts before one of a higher tier that waits only by its
//     floor, and such starts take no more than the floor's share of all
//     starts, with slack for floorSlack saved starts.
//
// A request that cannot start in time is refused by its deadline, in favour
// of nobody; that is not judged here.
func CheckTierOrder(events []admission.Event, classes Classes) []Violation {
	var found []Violation
	byFloor := make(map[string]int)
	starts := 0
	for _, e := range events {
		switch e.Action {
		case admission.ActionRefuse, admission.ActionEvict:
			found = append(found, checkShed(e, classes)...)
		case admission.ActionStart:
			starts++
			if !startsAhead(e, classes) {
				continue
			}
			byFloor[e.Request.Class]++
			found = append(found, checkAhead(e, byFloor, classes, starts)...)
		}
	}
	return found
}

// floorSlack is the number of starts by its floor that a class may have
// saved up.
const floorSlack = 2

func checkShed(e admission.Event, classes Classes) []Violation {
	if e.Action == admission.ActionRefuse && !wantOfRoom(e) {
		return nil
	}
	tier := classes[e.Request.Class].Tier
	if e.Action == admission.ActionEvict && e.Newcomer != nil && classes[e.Newcomer.Class].Tier > tier {
		return []Violation{tierViolation(e, fmt.Sprintf("evicted for %s of class %s", e.Newcomer.ID, e.Newcomer.Class))}
	}
	for _, c := range e.Classes {
		if lower := classes[c.Class].Tier; lower > tier && c.SharedUsed > 0 {
			return []Violation{tierViolation(e, fmt.Sprintf("%s while class %s of tier %d occupies %d shared places",
				e.Action, c.Class, lower, c.SharedUsed))}
		}
	}
	return nil
}

func wantOfRoom(e admission.Event) bool {
	return e.Reason == outcome.ReasonQueueFull || e.Reason == outcome.ReasonShed
}

// startsAhead reports whether a request starts while one of a higher tier
// waits.
func startsAhead(e admission.Event, classes Classes) bool {
	tier := classes[e.Request.Class].Tier
	for _, c := range e.Classes {
		if classes[c.Class].Tier < tier && c.Queued > 0 {
			return true
		}
	}
	return false
}

func checkAhead(e admission.Event, byFloor map[string]int, classes Classes, starts int) []Violation {
	class := e.Request.Class
	if e.Rule != admission.RuleFloor {
		return []Violation{tierViolation(e, "started ahead of a higher tier, not by its floor")}
	}
	floor := classes[class].Floor
	allowed := floor*float64(starts) + floorSlack
	if float64(byFloor[class]) > allowed {
		return []Violation{tierViolation(e, fmt.Sprintf("%d starts by floor of %d starts, floor %g", byFloor[class], starts, floor))}
	}
	return nil
}

func tierViolation(e admission.Event, detail string) Violation {
	return Violation{Guarantee: TierOrder, Subject: e.Request.ID + " of class " + e.Request.Class, Detail: detail}
}

// CheckFloors checks that no class with a floor starves: while it has
// requests queued, no more starts of other classes pass between two of its
// own, or before its first, than 1/floor and one for each other class.
func CheckFloors(events []admission.Event, classes Classes) []Violation {
	var found []Violation
	passed := make(map[string]int)
	for _, e := range events {
		if e.Action != admission.ActionStart {
			continue
		}
		for _, c := range e.Classes {
			floor := classes[c.Class].Floor
			if c.Queued == 0 || c.Class == e.Request.Class || floor <= 0 {
				passed[c.Class] = 0
				continue
			}
			passed[c.Class]++
			allowed := int(math.Ceil(1/floor)) + len(e.Classes)
			if passed[c.Class] == allowed+1 {
				found = append(found, Violation{
					Guarantee: Floor,
					Subject:   c.Class,
					Detail:    fmt.Sprintf("%d starts of other classes went by, floor %g", passed[c.Class], floor),
				})
			}
		}
	}
	return found
}
