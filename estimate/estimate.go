// Package estimate keeps online quantiles of service time and output length
// per class and model, since neither is known in advance. It does no I/O;
// time is passed in. An Estimator is safe for concurrent use.
//
// A caller may rely on memory staying bounded by Config.MaxSeries, and on
// observations older than Config.Window having no effect once newer ones are
// there. An estimate is false until something was seen.
package estimate

import (
	"sync"
	"time"
)

// Config configures an Estimator. Zero fields take the defaults.
type Config struct {
	// Window is how long an observation counts.
	Window time.Duration
	// MaxSeries bounds the pairs of class and model that are kept apart; what
	// comes beyond it counts only as part of all.
	MaxSeries int
}

// Defaults of Config.
const (
	DefaultWindow    = 2 * time.Minute
	DefaultMaxSeries = 256
)

// minCount is how many observations a series needs before it is preferred to
// a wider or an older one.
const minCount = 10

// Estimate is one quantile of what was seen.
type Estimate struct {
	// FirstToken is the time from start to the first token.
	FirstToken time.Duration
	// Completion is the time from start to the end of the answer.
	Completion time.Duration
	// Tokens is the length of the answer.
	Tokens int
	// Count is the number of observations behind the estimate.
	Count int
}

// kind names a series; an empty model is the class over all models, and the
// empty kind is all that was seen.
type kind struct{ class, model string }

// Estimator keeps quantiles per class and model.
type Estimator struct {
	mu     sync.Mutex
	cfg    Config
	series map[kind]*series
}

// New returns an estimator that has seen nothing.
func New(cfg Config) *Estimator {
	if cfg.Window == 0 {
		cfg.Window = DefaultWindow
	}
	if cfg.MaxSeries == 0 {
		cfg.MaxSeries = DefaultMaxSeries
	}
	return &Estimator{cfg: cfg, series: map[kind]*series{{}: newSeries()}}
}

// Observe adds one finished request.
func (e *Estimator) Observe(now time.Time, class, model string, firstToken, whole time.Duration, tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	sample := sample{firstToken.Seconds(), whole.Seconds(), float64(tokens)}
	e.add(now, kind{}, sample)
	if class == "" {
		return
	}
	e.add(now, kind{class: class}, sample)
	if model != "" {
		e.add(now, kind{class, model}, sample)
	}
}

func (e *Estimator) add(now time.Time, k kind, observed sample) {
	s, found := e.series[k]
	if !found {
		if len(e.series) >= e.cfg.MaxSeries && !e.dropOldest(now) {
			return
		}
		s = newSeries()
		e.series[k] = s
	}
	s.add(now, e.cfg.Window, observed)
}

// dropOldest drops the series that was observed least recently, if that is
// longer ago than the window.
func (e *Estimator) dropOldest(now time.Time) bool {
	var oldest kind
	var at time.Time
	for k, s := range e.series {
		if k != (kind{}) && (at.IsZero() || s.seenAt.Before(at)) {
			oldest, at = k, s.seenAt
		}
	}
	if at.IsZero() || now.Sub(at) <= e.cfg.Window {
		return false
	}
	delete(e.series, oldest)
	return true
}

// Quantile returns the q-quantile for the class and model. With too few
// observations it falls back to the class, then to all that was seen; it is
// false when nothing was.
func (e *Estimator) Quantile(class, model string, q float64) (Estimate, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var best *series
	for _, k := range [...]kind{{class, model}, {class: class}, {}} {
		s := e.series[k]
		if s == nil || s.count() == 0 {
			continue
		}
		if s.count() >= minCount {
			return s.quantile(q), true
		}
		if best == nil {
			best = s
		}
	}
	if best == nil {
		return Estimate{}, false
	}
	return best.quantile(q), true
}
