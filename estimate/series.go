package estimate

import (
	"time"

	"github.com/caio/go-tdigest/v4"
)

const (
	// compression sets the size of a digest, some 1 KB, and its error.
	compression = 50
	digestSeed  = 1
)

// What a sample holds, in order.
const (
	firstToken = iota
	whole
	tokens
	dimensions
)

// sample is one observation: seconds to the first token, seconds to the end
// and the number of tokens.
type sample [dimensions]float64

// generation is half a window of observations.
type generation struct {
	digests [dimensions]*tdigest.TDigest
	count   int
}

// series keeps the quantiles of the last window, as two halves.
type series struct {
	fresh  generation
	old    generation
	since  time.Time
	seenAt time.Time
}

func newSeries() *series {
	return &series{fresh: newGeneration()}
}

func newGeneration() generation {
	var g generation
	for i := range g.digests {
		digest, err := tdigest.New(tdigest.Compression(compression), tdigest.LocalRandomNumberGenerator(digestSeed))
		if err != nil {
			panic("estimate: the digest refuses its constant options: " + err.Error())
		}
		g.digests[i] = digest
	}
	return g
}

func (s *series) add(now time.Time, window time.Duration, observed sample) {
	s.rotate(now, window)
	s.seenAt = now
	for i, value := range observed {
		if s.fresh.digests[i].Add(value) != nil {
			return
		}
	}
	s.fresh.count++
}

// rotate starts a new half when the present one is full of time.
func (s *series) rotate(now time.Time, window time.Duration) {
	if s.since.IsZero() {
		s.since = now
	}
	age := now.Sub(s.since)
	if age < window/2 {
		return
	}
	s.old = s.fresh
	if age >= window {
		s.old = generation{}
	}
	s.fresh = newGeneration()
	s.since = now
}

func (s *series) count() int { return s.fresh.count + s.old.count }

// current returns the newer half, or the older one while the newer has too
// few observations.
func (s *series) current() *generation {
	if s.fresh.count < minCount && s.old.count > s.fresh.count {
		return &s.old
	}
	return &s.fresh
}

func (s *series) quantile(q float64) Estimate {
	g := s.current()
	return Estimate{
		FirstToken: seconds(g.digests[firstToken].Quantile(q)),
		Completion:      seconds(g.digests[whole].Quantile(q)),
		Tokens:     int(g.digests[tokens].Quantile(q) + 0.5),
		Count:      g.count,
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
