package quarantine

import (
	"slices"
	"time"
)

// ServerID identifies one start of a server.
type ServerID string

// Exposure is an attempt that had made no progress when its server crashed.
type Exposure struct {
	Traits []Trait
	SentAt time.Time
	// Begun reports whether its response had begun. If there are such attempts, they are
	// more likely the cause than the others.
	Begun bool
}

// Crash is the end of a server.
type Crash struct {
	Server ServerID
	At     time.Time
	// Exposures are the attempts that may have caused it. If this gateway had none, it is
	// NoExposure.
	Exposures []Exposure
	// Broken is the number of attempts of this gateway that had made no progress,
	// Exposures included.
	Broken int
}

// noneSuffix ends the trait that stands for attempts which had made progress.
const noneSuffix = "/none"

// NoExposure stands for attempts at servers of a group that had all made progress when one
// crashed: as far as their gateway knows, something else was the cause.
func NoExposure(group string, at time.Time) Exposure {
	return Exposure{Traits: []Trait{Trait(group + noneSuffix)}, SentAt: at}
}

// waveTime is the time within which crashes belong to one fault that ends many servers.
const waveTime = 5 * time.Millisecond

// inWave reports whether another crash at about the same time has no attempt with all of the
// traits, so that something else must have caused that one and may have caused both.
func inWave(crashes []Crash, at int, traits []Trait) bool {
	for i, c := range crashes {
		if i != at && c.At.Sub(crashes[at].At).Abs() <= waveTime && !slices.ContainsFunc(c.Exposures, func(e Exposure) bool { return containsAll(e.Traits, traits) }) {
			return true
		}
	}
	return false
}

// add adds an attempt, unless it is known or less likely the cause than the known ones.
func (c *Crash) add(e Exposure) (added bool) {
	switch begun := len(c.Exposures) > 0 && c.Exposures[0].Begun; {
	case begun && !e.Begun:
		return false
	case e.Begun && !begun:
		c.Exposures = nil
	case len(c.Exposures) >= maxExposures || slices.ContainsFunc(c.Exposures, func(o Exposure) bool { return o.same(e) }):
		return false
	}
	c.Exposures = append(c.Exposures, e)
	return true
}

// sentSlack is by how much the times at which reports state that the same attempt was sent
// differ.
const sentSlack = 500 * time.Millisecond

// same reports whether the exposures are of the same attempt, reported twice.
func (e Exposure) same(other Exposure) bool {
	return e.SentAt.Sub(other.SentAt).Abs() < sentSlack && slices.Equal(e.Traits, other.Traits)
}
