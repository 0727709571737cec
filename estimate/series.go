package estimate

import (
	"time"

	"github.com/caio/go-tdigest/v4"
)

const (
	// compression is the t-digest parameter that determines the size of a digest,
	// here about 1 KB, and its error.
	compression = 50
	// digestSeed is fixed so that equal observations give equal quantiles.
	digestSeed = 1
)

// Indexes of the values of a sample.
const (
	firstToken = iota
	completion
	tokens
	dimensions
)

// sample is one observation: seconds to the first token, seconds to the end of
// the response, and the number of tokens.
type sample [dimensions]float64

// halfWindow holds the observations of half a window.
type halfWindow struct {
	digests [dimensions]*tdigest.TDigest
	count   int
}

// series holds the observations of the last window in two halves, because a
// digest cannot remove single observations.
type series struct {
	newer halfWindow
	older halfWindow
	// newerSince is when the newer half started.
	newerSince   time.Time
	lastObserved time.Time
}

func newSeries() *series {
	return &series{newer: newHalfWindow()}
}

func newHalfWindow() halfWindow {
	var half halfWindow
	for i := range half.digests {
		digest, err := tdigest.New(tdigest.Compression(compression), tdigest.LocalRandomNumberGenerator(digestSeed))
		if err != nil {
			panic("estimate: the t-digest rejected its constant options: " + err.Error())
		}
		half.digests[i] = digest
	}
	return half
}

func (s *series) add(now time.Time, window time.Duration, observed sample) {
	s.rotate(now, window)
	s.lastObserved = now
	for i, value := range observed {
		if s.newer.digests[i].Add(value) != nil { // only for NaN, which no duration or count gives
			return
		}
	}
	s.newer.count++
}

// rotate starts a new half once the newer one spans half of the window. If it
// spans the window already, its observations have expired and are discarded.
func (s *series) rotate(now time.Time, window time.Duration) {
	if s.newerSince.IsZero() {
		s.newerSince = now
	}
	age := now.Sub(s.newerSince)
	if age < window/2 {
		return
	}
	s.older = s.newer
	if age >= window {
		s.older = halfWindow{}
	}
	s.newer = newHalfWindow()
	s.newerSince = now
}

// count returns the number of observations in both halves.
func (s *series) count() int { return s.newer.count + s.older.count }

// current returns the newer half, or the older one while the newer half has
// too few observations.
func (s *series) current() *halfWindow {
	if s.newer.count < minCount && s.older.count > s.newer.count {
		return &s.older
	}
	return &s.newer
}

func (s *series) quantile(q float64) Estimate {
	half := s.current()
	return Estimate{
		FirstToken: seconds(half.digests[firstToken].Quantile(q)),
		Completion: seconds(half.digests[completion].Quantile(q)),
		Tokens:     int(half.digests[tokens].Quantile(q) + 0.5),
		Count:      half.count,
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
