// Package quarantine decides which requests are kept away from servers because they crash
// them.
//
// It is designed for this load: of thousands of requests, few contain something that ends
// each server that begins to run it. Each of them arrives at another gateway, and at a
// crash many sound requests are in flight at the same server, some of which share most of
// what the harmful one contains.
//
// A request is described by its traits. The package keeps the last crashes of servers and,
// for each, the attempts that had made no progress. From these it derives rules: sets of
// traits that explain as many crashes as possible and with which no attempt has succeeded
// since. A request that has all traits of a rule is blocked. From time to time one gateway
// sends one such request as a trial: if it succeeds, the rule is lifted.
//
// Callers may assume that a rule which blocks sound requests is lifted by the first trial,
// and that a rule which does not is followed by one crash for each trial, at most a few if
// messages between gateways are lost. What a gateway knows reaches the others by reports,
// which may be applied late, repeatedly and in any order. The package does no I/O; times
// are passed in.
package quarantine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// evidenceHold is how long a crash counts.
	evidenceHold = 10 * time.Minute
	// maxCrashes limits the crashes on record, maxExposures the attempts of each.
	maxCrashes   = 64
	maxExposures = 48
	// firstTrial is the time from the start of an uncertain rule to its first trial.
	// Attempts that were in flight then have mostly ended.
	firstTrial = time.Second
	// firstHold is the time to the next trial after one that has crashed a server, or if
	// the rule is certain. After each further one it is holdFactor times as long, up to
	// MaxHold.
	firstHold  = time.Minute
	holdFactor = 8
	// MaxHold is the maximum time to the next trial.
	MaxHold = time.Hour
	// maxDoubtfulTrials is how many trials in a row may end with a crash that something else
	// may have caused.
	maxDoubtfulTrials = 2
	// minRuleTime is how long a rule lasts at least without a trial.
	minRuleTime = 10 * time.Minute
	// trialTime is how long all gateways wait for the result of a trial.
	trialTime = 3 * time.Second
	// minRetryTime is after which time at least a blocked request may be sent again.
	minRetryTime = 500 * time.Millisecond
	// MaxTraits limits the traits of a request.
	MaxTraits = 16
	// maxRules limits the rules.
	maxRules = 256
	// maxLiftedRules limits the lifted rules that are remembered.
	maxLiftedRules = 256
)

// Trait is something that requests have in common, such as a segment of a prompt.
type Trait string

// ChangeKind is a kind of Change.
type ChangeKind string

// Kinds of changes.
const (
	Started   ChangeKind = "quarantine_started"
	Confirmed ChangeKind = "quarantine_confirmed"
	Lifted    ChangeKind = "quarantine_lifted"
)

// Change is a change of a rule.
type Change struct {
	Kind   ChangeKind
	Traits []Trait
	// Crashes is the number of crashes that the rule explains, Hold the time until its next trial.
	Crashes int
	Hold    time.Duration
}

// Decision is the decision about a request.
type Decision struct {
	// Rule is the rule that concerns the request; empty if none does.
	Rule string
	// Traits are those of the rule.
	Traits []Trait
	// Blocked reports whether the request must not be sent, Until when it may be sent at
	// the earliest. Otherwise it is sent as a trial of the rule, if there is one.
	Blocked bool
	Until   time.Time
}

// Register holds crashes and the rules that follow from them. It is safe for concurrent
// use.
type Register struct {
	mu sync.Mutex
	// crashes are the last crashes, by time. lastCrash holds when the last one happened
	// with an attempt that has a trait.
	crashes   []Crash
	lastCrash map[Trait]time.Time
	// sound holds when attempts with a trait last succeeded.
	sound soundTraits
	// outcomes holds how the attempts of this gateway ended, by group of traits.
	outcomes map[string]*outcomes
	rules    []*rule
	// stale reports whether the rules must be derived again.
	stale bool
	// lifted holds the rules that were lifted, with the evidence of which others may still
	// report them.
	lifted []rule
	outbox outbox
	// active is the number of rules. It is read without mu.
	active atomic.Int64
}

// New returns an empty register.
func New() *Register {
	return &Register{sound: newSoundTraits(), outbox: newOutbox(), lastCrash: make(map[Trait]time.Time), outcomes: make(map[string]*outcomes)}
}

// Decide decides whether a request with the given traits may be sent. trialOf is the rule
// as a trial of which it was admitted before; empty if it was not.
func (r *Register) Decide(now time.Time, traits []Trait, trialOf string) (Decision, []Change) {
	if r.active.Load() == 0 {
		return Decision{}, nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var decision Decision
	var changes []Change
	for _, known := range r.rules {
		if !containsAll(traits, known.traits) {
			continue
		}
		if known.crashedServer != "" && !now.Before(known.trialAt) {
			changes = append(changes, r.endTrial(now, known)...)
		}
		key := known.key()
		if key == trialOf {
			decision = Decision{Rule: key, Traits: known.traits}
			continue
		}
		if decision.Rule != "" || trialOf != "" || !r.conclusive(known, traits) || now.Before(known.trialAt) {
			return Decision{Rule: key, Traits: known.traits, Blocked: true, Until: later(known.trialAt, now.Add(minRetryTime))}, changes
		}
		known.trialAt = now.Add(trialTime)
		r.outbox.add(now, Report{Kind: TrialReport, At: now, Traits: known.traits})
		decision = Decision{Rule: key, Traits: known.traits}
	}
	return decision, changes
}

// conclusive reports whether a request is a fit trial of a rule: nothing else about it is
// suspected.
func (r *Register) conclusive(known *rule, traits []Trait) bool {
	return !slices.ContainsFunc(traits, func(t Trait) bool {
		at, onRecord := r.lastCrash[t]
		return onRecord && !r.sound.after(t, at) && !slices.Contains(known.traits, t)
	})
}

// RecordCrash records a crash that this gateway has seen.
func (r *Register) RecordCrash(now time.Time, c Crash) []Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(c.Exposures) > 0 && len(c.Exposures[0].Traits) > 0 {
		o := r.outcomesOf(now, c.Exposures[0].Traits[0].group())
		o.attempts += float64(c.Broken)
		o.broken += float64(c.Broken)
	}
	for _, e := range c.Exposures {
		r.outbox.add(now, Report{Kind: CrashReport, Server: c.Server, At: c.At, SentAt: e.SentAt, Begun: e.Begun, Traits: e.Traits})
		r.tellSound(now, e.Traits)
	}
	return append(r.recordCrash(now, c), r.update(now)...)
}

// recordCrash records a crash. The caller holds mu.
func (r *Register) recordCrash(now time.Time, c Crash) []Change {
	if len(c.Exposures) == 0 || c.At.After(now) || now.Sub(c.At) > evidenceHold {
		return nil
	}
	at := slices.IndexFunc(r.crashes, func(known Crash) bool { return known.Server == c.Server })
	if at < 0 {
		at, _ = slices.BinarySearchFunc(r.crashes, c, func(a, b Crash) int { return a.At.Compare(b.At) })
		r.crashes = slices.Insert(r.crashes, at, Crash{Server: c.Server, At: c.At})
	}
	isNew := false
	for _, e := range c.Exposures {
		isNew = r.crashes[at].add(e) || isNew
	}
	if !isNew {
		return nil
	}
	r.crashes = r.crashes[max(0, len(r.crashes)-maxCrashes):]
	var changes []Change
	for _, known := range r.rules {
		if known.crashedServer == c.Server || !slices.ContainsFunc(c.Exposures, func(e Exposure) bool {
			return e.SentAt.After(known.startedAt) && containsAll(e.Traits, known.traits)
		}) {
			continue
		}
		if known.crashedServer != "" {
			changes = append(changes, r.endTrial(now, known)...)
		}
		known.crashedServer = c.Server
		known.trialAt = later(known.trialAt, now.Add(trialTime))
	}
	r.stale = true
	return changes
}

// endTrial decides on the last crash by a request that was sent although the rule was known.
// It puts off the next trial if nothing else can have caused that crash, or if it is the
// second one; a crash in a wave shows nothing. By then all gateways have reported it.
func (r *Register) endTrial(now time.Time, known *rule) []Change {
	at := slices.IndexFunc(r.crashes, func(c Crash) bool { return c.Server == known.crashedServer })
	known.crashedServer = ""
	if at < 0 || inWave(r.crashes, at, known.traits) {
		return nil
	}
	known.failedTrials++
	if known.failedTrials < maxDoubtfulTrials && slices.ContainsFunc(r.crashes[at].Exposures, func(e Exposure) bool { return !containsAll(e.Traits, known.traits) }) {
		return nil
	}
	known.confirm(now, r.crashes[at].At)
	return []Change{known.change(Confirmed, now)}
}

// update derives the rules from the crashes on record, starts the new ones and lifts those
// that no longer follow. The caller holds mu.
func (r *Register) update(now time.Time) []Change {
	if !r.stale {
		return nil
	}
	r.stale = false
	r.crashes = slices.DeleteFunc(r.crashes, func(c Crash) bool { return now.Sub(c.At) > evidenceHold })
	r.index()
	derived := derive(r.crashes, &r.sound, r.brokenShare)
	var changes []Change
	r.rules = slices.DeleteFunc(r.rules, func(known *rule) bool {
		if known.outdated(now) {
			return true
		}
		traits := r.revise(known, derived)
		switch {
		case len(traits) == 0:
			changes = append(changes, r.lift(now, known))
			return true
		case len(traits) < len(known.traits):
			known.traits = traits
			changes = append(changes, known.change(Started, now))
		}
		return false
	})
	for _, d := range derived {
		at := slices.IndexFunc(r.rules, func(known *rule) bool { return slices.Equal(known.traits, d.traits) })
		if at < 0 && len(r.rules) < maxRules {
			d.startedAt, d.trialAt = now, now.Add(firstTrial)
			if d.certain {
				d.confirm(now, d.evidenceAt)
			}
			r.rules = append(r.rules, &d)
			changes = append(changes, d.change(Started, now))
		} else if at >= 0 {
			known := r.rules[at]
			known.evidenceAt, known.crashes, known.adopted = later(known.evidenceAt, d.evidenceAt), d.crashes, false
			known.since = d.since
			if d.certain && known.confirmedAt.IsZero() {
				known.confirm(now, d.evidenceAt)
				changes = append(changes, known.change(Confirmed, now))
			}
		}
	}
	r.active.Store(int64(len(r.rules)))
	return changes
}

// index updates lastCrash.
func (r *Register) index() {
	clear(r.lastCrash)
	for _, c := range r.crashes {
		for _, e := range c.Exposures {
			for _, t := range e.Traits {
				r.lastCrash[t] = c.At
			}
		}
	}
}

// revise returns the traits that a rule should have now; none if it must be lifted, because
// attempts with them have succeeded, because a more general rule covers it, or because
// other rules explain its crashes.
func (r *Register) revise(known *rule, derived []rule) []Trait {
	traits := slices.DeleteFunc(slices.Clone(known.traits), func(t Trait) bool { return r.sound.after(t, known.evidenceAt) })
	for _, d := range derived {
		if slices.Equal(d.traits, known.traits) {
			return known.traits
		}
	}
	for _, d := range derived {
		if containsAll(traits, d.traits) {
			return nil
		}
	}
	if known.adopted || len(r.crashes) == 0 || r.crashes[0].At.After(known.since) {
		return traits // not all of its crashes are on record
	}
	return nil
}

// lift ends the quarantine of a rule early. The caller removes the rule.
func (r *Register) lift(now time.Time, known *rule) Change {
	r.lifted = slices.DeleteFunc(r.lifted, func(o rule) bool { return slices.Equal(o.traits, known.traits) })
	r.lifted = append(r.lifted, *known)
	r.lifted = r.lifted[max(0, len(r.lifted)-maxLiftedRules):]
	r.outbox.add(now, Report{Kind: LiftReport, At: known.evidenceAt, Traits: known.traits})
	return known.change(Lifted, now)
}

// RecordSuccess records that a server has completed a response to a request with the given
// traits, or has made progress with it for some time.
func (r *Register) RecordSuccess(now time.Time, traits []Trait) []Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(traits) > 0 {
		r.outcomesOf(now, traits[0].group()).attempts++
	}
	cleared := false
	for _, t := range traits {
		if r.suspected(t) {
			r.outbox.add(now, Report{Kind: SoundReport, At: now, Traits: []Trait{t}})
			cleared = true
		}
		r.sound.record(t, now)
	}
	r.stale = r.stale || cleared
	return r.update(now)
}

// suspected reports whether there is evidence against a trait which a success refutes.
func (r *Register) suspected(t Trait) bool {
	at, found := r.lastCrash[t]
	for _, known := range r.rules {
		if slices.Contains(known.traits, t) && known.evidenceAt.After(at) {
			at, found = known.evidenceAt, true
		}
	}
	return found && !r.sound.after(t, at)
}

// Active returns the number of rules.
func (r *Register) Active() int { return int(r.active.Load()) }

func containsAll(traits, wanted []Trait) bool {
	for _, t := range wanted {
		if !slices.Contains(traits, t) {
			return false
		}
	}
	return true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
