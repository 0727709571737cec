// Package estimate keeps quantiles of the service time and the output length
// of requests per class and model, as neither is known before a request runs.
// It does no I/O; the caller passes the time in. An Estimator is safe for
// concurrent use.
//
// Callers may assume that memory is bounded by Config.MaxSeries, and that
// observations older than Config.Window have no effect once newer ones have
// been added. No estimate is returned before the first observation.
package estimate

import (
	"sync"
	"time"
)

// Config configures an Estimator. Zero fields take the defaults.
type Config struct {
	// Window is how long an observation is taken into account.
	Window time.Duration
	// MaxSeries bounds the number of series, that is of classes and pairs of
	// class and model with quantiles of their own. Observations beyond the bound
	// are added to the wider series only.
	MaxSeries int
}

// Defaults of Config.
const (
	DefaultWindow    = 2 * time.Minute
	DefaultMaxSeries = 256
)

// minCount is the number of observations from which a series is preferred to a
// wider one, and the newer half of a window to the older one.
const minCount = 10

// Estimate is one quantile of the observations.
type Estimate struct {
	// FirstToken is the time from the start of a request to its first token.
	FirstToken time.Duration
	// Completion is the time from the start of a request to the end of its
	// response.
	Completion time.Duration
	// Tokens is the length of the response.
	Tokens int
	// Count is the number of observations behind the estimate.
	Count int
}

// seriesKey names a series. Without a model it names the series of the class
// over all models; the zero key names the series of all observations.
type seriesKey struct{ class, model string }

// Estimator keeps quantiles per class and model.
type Estimator struct {
	mu     sync.Mutex
	cfg    Config
	series map[seriesKey]*series
}

// New returns an estimator without observations.
func New(cfg Config) *Estimator {
	if cfg.Window == 0 {
		cfg.Window = DefaultWindow
	}
	if cfg.MaxSeries == 0 {
		cfg.MaxSeries = DefaultMaxSeries
	}
	return &Estimator{cfg: cfg, series: map[seriesKey]*series{{}: newSeries()}}
}

// Observe adds one finished request.
func (e *Estimator) Observe(now time.Time, class, model string, firstToken, completion time.Duration, tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	sample := sample{firstToken.Seconds(), completion.Seconds(), float64(tokens)}
	e.add(now, seriesKey{}, sample)
	if class == "" {
		return
	}
	e.add(now, seriesKey{class: class}, sample)
	if model != "" {
		e.add(now, seriesKey{class, model}, sample)
	}
}

func (e *Estimator) add(now time.Time, key seriesKey, observed sample) {
	s, found := e.series[key]
	if !found {
		if len(e.series) >= e.cfg.MaxSeries && !e.evictOldest(now) {
			return
		}
		s = newSeries()
		e.series[key] = s
	}
	s.add(now, e.cfg.Window, observed)
}

// evictOldest removes the series whose last observation is the oldest, unless
// that observation is still within the window. The series of all observations
// is never removed. It reports whether a series was removed.
func (e *Estimator) evictOldest(now time.Time) bool {
	var oldest seriesKey
	var at time.Time
	for key, s := range e.series {
		if key != (seriesKey{}) && (at.IsZero() || s.lastObserved.Before(at)) {
			oldest, at = key, s.lastObserved
		}
	}
	if at.IsZero() || now.Sub(at) <= e.cfg.Window {
		return false
	}
	delete(e.series, oldest)
	return true
}

// Quantile returns the q-quantile for the class and model. With fewer than
// minCount observations it falls back to the class over all models, then to all
// observations. The second result is false when there are no observations at all.
func (e *Estimator) Quantile(class, model string, q float64) (Estimate, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var best *series
	for _, key := range [...]seriesKey{{class, model}, {class: class}, {}} {
		s := e.series[key]
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
