package quarantine

import (
	"slices"
	"time"
)

const (
	// reportTime is how long a report is repeated to other gateways.
	reportTime = 2500 * time.Millisecond
	// maxReports limits the reports that are repeated, the newest ones.
	maxReports = 256
	// maxReportAge bounds the age of what other gateways report.
	maxReportAge = evidenceHold
	// reportSlack is by how much the time of the same event differs between gateways at
	// most: reports state ages, and may be delayed.
	reportSlack = time.Second
)

// ReportKind is a kind of Report.
type ReportKind int

// Kinds of reports.
const (
	// CrashReport: a server crashed while an attempt with the traits had made no progress.
	CrashReport ReportKind = iota
	// SoundReport: an attempt with the trait succeeded.
	SoundReport
	// RuleReport: requests with all of the traits are blocked.
	RuleReport
	// LiftReport: the rule with the traits was lifted.
	LiftReport
	// TrialReport: a request with the traits is sent as a trial of their rule.
	TrialReport
)

// Report is what a gateway reports to the others.
type Report struct {
	Kind ReportKind
	// At is when the crash or the success happened; for a rule, the last crash that it
	// explains.
	At time.Time
	// Server, SentAt and Begun are those of a crash and an attempt.
	Server ServerID
	SentAt time.Time
	Begun  bool
	// TrialAt is when the next trial of a rule may start.
	TrialAt time.Time
	Traits  []Trait
}

// repeatedReport is a report that is repeated until a time.
type repeatedReport struct {
	Report
	until time.Time
}

// outbox holds the reports to other gateways.
type outbox struct {
	// fresh are the reports to be sent at once.
	fresh    []Report
	repeated []repeatedReport
	// reportedAt holds when a trait was last reported to be sound, by any gateway.
	reportedAt map[Trait]time.Time
	// next is the position among the active rules at which the next reports go on.
	next int
	// changed gets a value when there are fresh reports.
	changed chan struct{}
}

func newOutbox() outbox {
	return outbox{changed: make(chan struct{}, 1), reportedAt: make(map[Trait]time.Time)}
}

// add adds a report that is sent at once and then repeated.
func (o *outbox) add(now time.Time, report Report) {
	o.fresh = append(o.fresh, report)
	o.fresh = o.fresh[max(0, len(o.fresh)-maxReports):]
	o.repeat(now, report)
	select {
	case o.changed <- struct{}{}:
	default: // a notification is pending
	}
}

// repeat adds a report that need not be sent at once.
func (o *outbox) repeat(now time.Time, report Report) {
	o.repeated = append(o.repeated, repeatedReport{report, now.Add(reportTime)})
	o.repeated = o.repeated[max(0, len(o.repeated)-maxReports):]
}

// noteSound notes that a trait was reported to be sound, and reports whether it was not
// for some time.
func (o *outbox) noteSound(now time.Time, t Trait) bool {
	if at, found := o.reportedAt[t]; found && now.Sub(at) < reportTime {
		return false
	}
	if len(o.reportedAt) >= maxSoundTraits {
		clear(o.reportedAt)
	}
	o.reportedAt[t] = now
	return true
}

// tellSound reports which traits are known to be sound, as the other gateways may have
// seen no request with them.
func (r *Register) tellSound(now time.Time, traits []Trait) {
	for _, t := range traits {
		if at, found := r.sound.last(t); found && now.Sub(at) <= maxReportAge && r.outbox.noteSound(now, t) {
			r.outbox.repeat(now, Report{Kind: SoundReport, At: at, Traits: []Trait{t}})
		}
	}
}

// Changed returns a channel that gets a value when NewReports has reports to return.
func (r *Register) Changed() <-chan struct{} { return r.outbox.changed }

// NewReports returns what the other gateways must know at once.
func (r *Register) NewReports() []Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	reports := r.outbox.fresh
	r.outbox.fresh = nil
	return reports
}

// Reports returns at most limit reports that other gateways may lack: those of the last
// reportTime and, with withRules, rules in turn.
func (r *Register) Reports(now time.Time, limit int, withRules bool) []Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	var rules []*rule
	if withRules {
		rules = r.rules
	}
	r.outbox.repeated = slices.DeleteFunc(r.outbox.repeated, func(o repeatedReport) bool { return !now.Before(o.until) })
	repeated := r.outbox.repeated[max(0, len(r.outbox.repeated)-max(limit/2, limit-len(rules))):]
	var reports []Report
	for i := range min(len(rules), limit-len(repeated)) {
		known := rules[(r.outbox.next+i)%len(rules)]
		reports = append(reports, Report{Kind: RuleReport, At: known.evidenceAt, TrialAt: later(known.trialAt, now), Traits: known.traits})
	}
	r.outbox.next += len(reports)
	for _, o := range repeated {
		reports = append(reports, o.Report)
	}
	return reports
}

// Apply applies reports of another gateway. A report out of bounds is ignored.
func (r *Register) Apply(now time.Time, reports ...Report) []Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	var changes []Change
	for _, report := range reports {
		if len(report.Traits) > 0 && len(report.Traits) <= MaxTraits && !report.At.After(now) && (now.Sub(report.At) <= maxReportAge || report.Kind == RuleReport) {
			changes = append(changes, r.apply(now, report)...)
		}
	}
	return append(changes, r.update(now)...)
}

func (r *Register) apply(now time.Time, report Report) []Change {
	switch report.Kind {
	case CrashReport:
		if report.SentAt.After(report.At) || report.At.Sub(report.SentAt) > maxReportAge {
			return nil
		}
		r.tellSound(now, report.Traits)
		return r.recordCrash(now, Crash{Server: report.Server, At: report.At, Exposures: []Exposure{{Traits: report.Traits, SentAt: report.SentAt, Begun: report.Begun}}})
	case SoundReport:
		r.applySound(now, report)
	case RuleReport:
		return r.adopt(now, report)
	case LiftReport:
		return r.applyLift(now, report)
	case TrialReport:
		r.applyTrial(now, report)
	}
	return nil
}

// applySound applies a report that attempts with traits have succeeded.
func (r *Register) applySound(now time.Time, report Report) {
	for _, t := range report.Traits {
		r.outbox.noteSound(now, t)
		_, onRecord := r.lastCrash[t]
		r.stale = r.stale || r.suspected(t) || onRecord && !r.sound.known(t)
		r.sound.record(t, report.At)
	}
}

// applyLift lifts a rule that was adopted, for the evidence that another gateway has
// refuted. A gateway that has the evidence decides itself.
func (r *Register) applyLift(now time.Time, report Report) []Change {
	var changes []Change
	r.rules = slices.DeleteFunc(r.rules, func(known *rule) bool {
		lifted := known.adopted && slices.Equal(known.traits, report.Traits) && !known.evidenceAt.After(report.At.Add(reportSlack))
		if lifted {
			changes = append(changes, known.change(Lifted, now))
		}
		return lifted
	})
	r.lifted = append(r.lifted, rule{traits: report.Traits, evidenceAt: report.At})
	r.lifted = r.lifted[max(0, len(r.lifted)-maxLiftedRules):]
	r.active.Store(int64(len(r.rules)))
	return changes
}

// applyTrial puts off trials of the rule while another gateway awaits the result of one.
func (r *Register) applyTrial(now time.Time, report Report) {
	for _, known := range r.rules {
		if slices.Equal(known.traits, report.Traits) && now.Sub(report.At) < trialTime {
			known.trialAt = later(known.trialAt, report.At.Add(trialTime))
		}
	}
}

// adopt takes over a rule of another gateway, or its time of the next trial, unless this
// one knows better.
func (r *Register) adopt(now time.Time, report Report) []Change {
	if report.TrialAt.Sub(now) > MaxHold || now.Sub(report.At) > 2*MaxHold {
		return nil
	}
	traits := slices.DeleteFunc(slices.Clone(report.Traits), func(t Trait) bool { return r.sound.after(t, report.At) })
	slices.Sort(traits)
	for _, o := range r.lifted {
		if slices.Equal(o.traits, traits) && !report.At.After(o.evidenceAt.Add(reportSlack)) {
			return nil
		}
	}
	for _, known := range r.rules {
		if slices.Equal(known.traits, traits) {
			if report.TrialAt.After(known.trialAt.Add(reportSlack)) {
				known.trialAt, known.hold = report.TrialAt, max(known.hold, min(report.TrialAt.Sub(now), MaxHold))
			}
			return nil
		}
		if containsAll(traits, known.traits) {
			return nil
		}
	}
	if len(traits) == 0 || len(r.rules) >= maxRules {
		return nil
	}
	adopted := &rule{traits: traits, evidenceAt: report.At, startedAt: now, trialAt: report.TrialAt, hold: report.TrialAt.Sub(now), adopted: true}
	r.rules = slices.DeleteFunc(r.rules, func(known *rule) bool { return containsAll(known.traits, traits) })
	r.rules = append(r.rules, adopted)
	r.active.Store(int64(len(r.rules)))
	return []Change{adopted.change(Started, now)}
}
