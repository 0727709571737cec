package quarantine

import (
	"math"
	"strings"
	"time"
)

const (
	// rateHalfLife is the half-life of the counts of attempts.
	rateHalfLife = 20 * time.Second
	// priorAttempts and priorBroken are the counts of a gateway that knows nothing yet.
	priorAttempts, priorBroken = 10.0, 1.0
	// maxChance is the greatest chance with which a trait may have been at all crashes that
	// are held against it without being their cause; certainChance leaves no doubt.
	maxChance, certainChance = 1e-3, 1e-6
	// maxBrokenShare is the share of broken attempts beyond which crashes show nothing about
	// single requests.
	maxBrokenShare = 0.85
)

// group returns what kind of servers the trait concerns: the text before the first slash.
func (t Trait) group() string {
	name, _, _ := strings.Cut(string(t), "/")
	return name
}

// outcomes counts how attempts of a group ended lately, with exponential decay.
type outcomes struct {
	attempts, broken float64
	at               time.Time
}

func (o *outcomes) decay(now time.Time) {
	if elapsed := now.Sub(o.at); elapsed > 0 {
		factor := math.Exp2(-elapsed.Seconds() / rateHalfLife.Seconds())
		o.attempts, o.broken, o.at = o.attempts*factor, o.broken*factor, now
	}
}

// crashesFor returns how many crashes a trait must have been at, if crashes break the given
// share of all attempts, for the chance that it is not their cause to be at most chance.
func crashesFor(chance, share float64) int {
	if share > maxBrokenShare {
		return math.MaxInt
	}
	return int(math.Ceil(math.Log(chance) / math.Log(share)))
}

// maxGroups limits the groups whose outcomes are counted.
const maxGroups = 256

// outcomesOf returns the counts of a group.
func (r *Register) outcomesOf(now time.Time, group string) *outcomes {
	o := r.outcomes[group]
	if o == nil {
		if len(r.outcomes) >= maxGroups {
			clear(r.outcomes)
		}
		o = &outcomes{at: now}
		r.outcomes[group] = o
	}
	o.decay(now)
	return o
}

// brokenShare returns the share of the attempts that crashes have broken lately in the group
// of a trait, without those that were broken at the given number of crashes.
func (r *Register) brokenShare(t Trait, crashes int) float64 {
	o := r.outcomes[t.group()]
	if o == nil {
		o = &outcomes{}
	}
	own := min(float64(crashes), o.broken)
	return (o.broken - own + priorBroken) / (o.attempts - own + priorAttempts)
}
