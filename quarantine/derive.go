package quarantine

import (
	"math/bits"
	"slices"
	"strings"
	"time"
)

const (
	// minCrashes is the number of crashes that a rule must explain. At least minChain of
	// them must have happened one after another, the attempt of each sent after the crash
	// before: a fault that ends many servers at once shows little about what they ran.
	minCrashes = 3
	minChain   = 2
	// minCrashesOfSound and minChainOfSound apply to traits with which attempts have
	// succeeded before.
	minCrashesOfSound = 5
	minChainOfSound   = 3
)

// evidence is what the crashes on record show about each trait.
type evidence struct {
	crashes []Crash
	// exposures holds, for each crash, the attempts that may have caused it, with the
	// traits that were not sound later.
	exposures [][]Exposure
	// seen holds, for each trait, the crashes with an attempt that has it, as a set of
	// indices, without those in waves.
	seen map[Trait]uint64
	// shareOf returns the share of attempts that crashes have broken lately, among those
	// that may have the trait, apart from the given number of crashes.
	shareOf func(t Trait, crashes int) float64
}

// derive returns the rules that explain the crashes, which are ordered by time: first
// those of traits with which no attempt has succeeded, each time the one that most
// likely caused the crashes that are not explained yet. shareOf returns the share of
// attempts that crashes have broken lately, among those that may have a trait, apart from
// the given number of crashes.
func derive(crashes []Crash, sound *soundTraits, shareOf func(t Trait, crashes int) float64) []rule {
	if len(crashes) < minCrashes {
		return nil
	}
	ev := gather(crashes, sound)
	ev.shareOf = shareOf
	unexplained := uint64(1)<<len(crashes) - 1
	var rules []rule
	for _, known := range []bool{false, true} {
		for {
			t, set := ev.strongest(unexplained, func(t Trait) bool { return sound.known(t) == known }, known)
			if set == 0 {
				break
			}
			unexplained &^= ev.seen[t]
			rules = append(rules, rule{
				traits: ev.common(t, set, sound, known), evidenceAt: crashes[63-bits.LeadingZeros64(set)].At, crashes: bits.OnesCount64(set), since: crashes[bits.TrailingZeros64(set)].At,
				certain: !known && ev.chain(t, set) >= crashesFor(certainChance, shareOf(t, bits.OnesCount64(set))),
			})
		}
	}
	return rules
}

func gather(crashes []Crash, sound *soundTraits) *evidence {
	ev := &evidence{crashes: crashes, exposures: make([][]Exposure, len(crashes)), seen: make(map[Trait]uint64)}
	for i, c := range crashes {
		for _, e := range c.Exposures {
			traits := slices.DeleteFunc(slices.Clone(e.Traits), func(t Trait) bool { return sound.after(t, c.At) })
			ev.exposures[i] = append(ev.exposures[i], Exposure{Traits: traits, SentAt: e.SentAt})
			for _, t := range traits {
				if !strings.HasSuffix(string(t), noneSuffix) {
					ev.seen[t] |= 1 << i
				}
			}
		}
	}
	ev.leaveOutWaves()
	return ev
}

// leaveOutWaves takes crashes off the evidence against a trait that happened at about the
// same time as others which it does not explain.
func (ev *evidence) leaveOutWaves() {
	near := make([]uint64, len(ev.crashes))
	for i, c := range ev.crashes {
		for k := i + 1; k < len(ev.crashes) && ev.crashes[k].At.Sub(c.At) <= waveTime; k++ {
			near[i] |= 1 << k
			near[k] |= 1 << i
		}
	}
	for t, seen := range ev.seen {
		kept := seen
		for set := seen; set != 0; set &= set - 1 {
			if i := bits.TrailingZeros64(set); near[i]&^seen != 0 {
				kept &^= 1 << i
			}
		}
		ev.seen[t] = kept
	}
}

// strongest returns the candidate that most likely caused the unexplained crashes with it,
// and these; the set is empty if none explains enough.
func (ev *evidence) strongest(unexplained uint64, candidate func(Trait) bool, knownSound bool) (best Trait, bestSet uint64) {
	bestWeight := 0.0
	for t, seen := range ev.seen {
		set := seen & unexplained
		if !ev.enough(t, set, knownSound) || !candidate(t) {
			continue
		}
		if weight := ev.weight(t, set); weight > bestWeight || weight == bestWeight && t < best {
			best, bestSet, bestWeight = t, set, weight
		}
	}
	return best, bestSet
}

// weight returns how many crashes of a set the trait explains, if all attempts at a crash
// are equally likely its cause.
func (ev *evidence) weight(t Trait, set uint64) float64 {
	weight := 0.0
	for i, exposures := range ev.exposures {
		if set&(1<<i) == 0 {
			continue
		}
		with := 0
		for _, e := range exposures {
			if slices.Contains(e.Traits, t) {
				with++
			}
		}
		weight += float64(with) / float64(len(exposures))
	}
	return weight
}

// enough reports whether a set of crashes calls for a rule with the trait.
func (ev *evidence) enough(t Trait, set uint64, knownSound bool) bool {
	crashes := bits.OnesCount64(set)
	if crashes < minCrashes || crashes < crashesFor(maxChance, ev.shareOf(t, crashes)) {
		return false
	}
	if knownSound {
		return crashes >= minCrashesOfSound && ev.chain(t, set) >= minChainOfSound
	}
	return ev.chain(t, set) >= minChain
}

// chain returns how many of a set of crashes happened one after another.
func (ev *evidence) chain(t Trait, set uint64) int {
	length := 0
	var last time.Time
	for i, c := range ev.crashes {
		if set&(1<<i) == 0 {
			continue
		}
		if length == 0 || slices.ContainsFunc(ev.exposures[i], func(e Exposure) bool { return slices.Contains(e.Traits, t) && e.SentAt.After(last) }) {
			length++
			last = c.At
		}
	}
	return length
}

// common returns the trait and those that accompany it at each crash of a set, in order.
// Traits with which attempts have succeeded are left out, unless the trait is one of them.
func (ev *evidence) common(t Trait, set uint64, sound *soundTraits, knownSound bool) []Trait {
	var shared []Trait
	first := true
	for i := range ev.crashes {
		if set&(1<<i) == 0 {
			continue
		}
		var beside []Trait // several attempts with the trait: each may be the cause
		for _, e := range ev.exposures[i] {
			if slices.Contains(e.Traits, t) {
				beside = append(beside, e.Traits...)
			}
		}
		if first {
			shared, first = beside, false
			continue
		}
		shared = slices.DeleteFunc(shared, func(other Trait) bool { return !slices.Contains(beside, other) })
	}
	shared = slices.DeleteFunc(shared, func(other Trait) bool { return !knownSound && sound.known(other) })
	slices.Sort(shared)
	return slices.Compact(shared)
}
