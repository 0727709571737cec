// Package estimate keeps quantiles of the time to first token, the completion
// time and the response length of requests, per class and model, as none of them
// is known before a request runs. It does no I/O; the caller passes the time in.
// An Estimator is safe for concurrent use.
//
// Callers may assume that memory is bounded by Config.MaxSeries, and that an
// observation older than 1.5 times Config.Window has no effect once a newer one
// has been added for the same class and model. Without newer ones, observations
// do not expire. No estimate is returned before the first observation.
package estimate

import (
	"sync"
	"time"
)

// Config configures an Estimator. Zero fields take the defaults.
type Config struct {
	// Window is the span of time that a series covers, in two halves that are
	// replaced in turn. An estimate is taken from one half: the newer one, once it
	// has enough observations.
	Window time.Duration
	// MaxSeries bounds the number of series: one for all observations, one for
	// each class, and one for each pair of class and model. At the bound a new
	// series replaces one without observations in the last window. If there is
	// none, the observation is added to the existing wider series only.
	MaxSeries int
}

// Defaults of Config.
const (
	DefaultWindow    = 2 * time.Minute
	DefaultMaxSeries = 256
)

// minCount is the least number of observations for a reliable quantile. With fewer,
// an estimate is taken from a wider series, and within a series from the older half
// of the window if that has more observations than the newer one.
const minCount = 10

// Estimate holds the same quantile of each observed quantity. The values may come
// from different requests.
type Estimate struct {
	// FirstToken is the time from the start of a request to its first token.
	FirstToken time.Duration
	// Completion is the time from the start of a request to the end of its
	// response.
	Completion time.Duration
	// Tokens is the length of the response in tokens.
	Tokens int
	// Count is the number of observations behind the estimate.
	Count int
}

// seriesKey identifies a series. Without a model it identifies the series of the
// class over all models; the zero key identifies the series of all observations.
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

// add adds an observation to the series of the key, which it creates if the bound
// on the number of series permits.
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

// evictOldest removes the series that has gone longest without an observation,
// unless its last observation is still within the window. It never removes the
// series of all observations. It reports whether a series was removed.
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
// observations, and if those are too few as well to the narrowest series that has
// any. The second result is false when there are no observations at all.
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
