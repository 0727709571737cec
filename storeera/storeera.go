// Package storeera decides which answers of the platform's store describe its present
// state. A store that was restored from a backup reuses revision numbers; its era, a
// number in each answer, rises with each restore. It does no I/O.
//
// Callers may assume that the era of a Tracker never falls, and that an answer counts as
// current only if it states the era of the Tracker. Revisions are comparable only
// between answers of the same era.
package storeera

// Era is the era that an answer states.
type Era struct {
	Number uint64
	// Stated is false if the answer states no era, or no valid one.
	Stated bool
}

// Verdict is what an answer is good for.
type Verdict string

// Verdicts. The values are part of logs and metrics.
const (
	// Current: the answer describes the present era.
	Current Verdict = "current"
	// Newer: the answer begins a newer era. What was read before must be read again.
	Newer Verdict = "newer"
	// Superseded: the answer is of an earlier era.
	Superseded Verdict = "superseded"
	// Unstated: the answer states no valid era although earlier ones did.
	Unstated Verdict = "unstated"
	// Implausible: the era is further ahead than maxStep and was not stated often
	// enough in a row.
	Implausible Verdict = "implausible"
)

const (
	// maxStep is the greatest step of the era that one answer is believed.
	maxStep = 1000
	// minRepeats is how many answers in a row must state an era beyond maxStep: a
	// damaged number would make all later answers look superseded.
	minRepeats = 3
)

// Tracker holds the newest era. The zero Tracker has seen no answer. It is not safe for
// concurrent use.
type Tracker struct {
	newest Era
	// candidate is the era beyond maxStep that the last repeats answers stated.
	candidate uint64
	repeats   int
}

// Era returns the newest era; it is not stated if no answer stated one.
func (t *Tracker) Era() Era { return t.newest }

// Observe returns what an answer of the given era is good for, and adopts a newer era.
func (t *Tracker) Observe(e Era) Verdict {
	switch {
	case !e.Stated && !t.newest.Stated:
		return Current // a store without eras
	case !e.Stated:
		return Unstated
	case t.newest.Stated && e.Number == t.newest.Number:
		t.repeats = 0
		return Current
	case t.newest.Stated && e.Number < t.newest.Number:
		return Superseded
	case t.newest.Stated && e.Number-t.newest.Number > maxStep && !t.repeated(e.Number):
		return Implausible
	}
	t.newest, t.repeats = e, 0
	return Newer
}

// repeated counts an era beyond maxStep, and reports whether enough answers in a row
// have stated it.
func (t *Tracker) repeated(number uint64) bool {
	if t.repeats == 0 || number != t.candidate {
		t.candidate, t.repeats = number, 0
	}
	t.repeats++
	return t.repeats >= minRepeats
}
