package quarantine

import (
	"strings"
	"time"
)

// rule blocks the requests that have all of its traits.
type rule struct {
	traits []Trait // in order
	// evidenceAt is when the last crash happened that it explains.
	evidenceAt time.Time
	// crashes is their number, since when the first one happened.
	crashes int
	since   time.Time
	// certain reports whether the crashes alone leave no doubt.
	certain bool
	// confirmedAt is when a crash last put off the next trial; zero if none has.
	confirmedAt time.Time
	// crashedServer is the server that a request has crashed which was sent although the
	// rule was known; empty if there is none, or if it was taken into account.
	crashedServer ServerID
	// failedTrials is the number of such crashes since the last hold.
	failedTrials int
	// startedAt is when the rule was derived or adopted, trialAt when the next trial may
	// start, hold the time to that since the last one; zero if there was none.
	startedAt, trialAt time.Time
	hold               time.Duration
	// adopted reports whether the rule is another gateway's.
	adopted bool
}

// key identifies the traits of a rule.
func (r *rule) key() string {
	var key strings.Builder
	for _, t := range r.traits {
		key.WriteString(string(t))
		key.WriteByte(' ')
	}
	return key.String()
}

func (r *rule) change(kind ChangeKind, now time.Time) Change {
	return Change{Kind: kind, Traits: r.traits, Crashes: r.crashes, Hold: max(0, r.trialAt.Sub(now))}
}

// outdated reports whether the rule is no longer needed: no request has been sent as a
// trial for long.
func (r *rule) outdated(now time.Time) bool { return now.Sub(r.trialAt) >= max(r.hold, minRuleTime) }

// confirm puts off the next trial.
func (r *rule) confirm(now, crashedAt time.Time) {
	r.failedTrials = 0
	r.confirmedAt, r.evidenceAt = crashedAt, later(r.evidenceAt, crashedAt)
	r.hold = min(max(firstHold, holdFactor*r.hold), MaxHold)
	r.trialAt = now.Add(r.hold)
}
