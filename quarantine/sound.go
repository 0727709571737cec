package quarantine

import "time"

// maxSoundTraits limits the sound traits that are remembered: the last ones, and up to as
// many before them.
const maxSoundTraits = 4096

// soundTraits holds when attempts with a trait last succeeded, of the last traits.
type soundTraits struct {
	recent, older map[Trait]time.Time
}

func newSoundTraits() soundTraits {
	return soundTraits{recent: make(map[Trait]time.Time)}
}

// record records a success. Successes may be recorded in any order.
func (s *soundTraits) record(t Trait, at time.Time) {
	if known, found := s.last(t); found && known.After(at) {
		at = known
	}
	if _, found := s.recent[t]; !found && len(s.recent) >= maxSoundTraits {
		s.older, s.recent = s.recent, make(map[Trait]time.Time)
	}
	s.recent[t] = at
}

// last returns when an attempt with the trait last succeeded.
func (s *soundTraits) last(t Trait) (at time.Time, found bool) {
	if at, found = s.recent[t]; !found {
		at, found = s.older[t]
	}
	return at, found
}

// known reports whether a success is remembered.
func (s *soundTraits) known(t Trait) bool {
	_, found := s.last(t)
	return found
}

// after reports whether an attempt with the trait succeeded after the given time.
func (s *soundTraits) after(t Trait, at time.Time) bool {
	last, found := s.last(t)
	return found && last.After(at)
}
