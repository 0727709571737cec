package retry

import "time"

// BreakerState is the state of a circuit breaker.
type BreakerState string

// States of a circuit breaker.
const (
	BreakerClosed   BreakerState = "closed"
	BreakerOpen     BreakerState = "open"
	BreakerHalfOpen BreakerState = "half_open"
)

// BreakerConfig configures a Breaker. Zero fields take the defaults.
type BreakerConfig struct {
	// Failures is how many failures in a row open the breaker.
	Failures int
	// OpenFor is how long it stays open at first; it doubles with each failed
	// trial up to OpenMax.
	OpenFor time.Duration
	OpenMax time.Duration
	// Trials is how many successes in the half-open state close it.
	Trials int
}

// Defaults of BreakerConfig.
const (
	DefaultBreakerFailures = 5
	DefaultBreakerOpenFor  = time.Second
	DefaultBreakerOpenMax  = 30 * time.Second
	DefaultBreakerTrials   = 2
)

// Breaker is the circuit breaker of one backend server.
type Breaker struct {
	cfg       BreakerConfig
	state     BreakerState
	failures  int
	successes int
	openFor   time.Duration
	until     time.Time
	trialAt   time.Time
}

// NewBreaker returns a closed breaker.
func NewBreaker(cfg BreakerConfig) *Breaker {
	if cfg.Failures == 0 {
		cfg.Failures = DefaultBreakerFailures
	}
	if cfg.OpenFor == 0 {
		cfg.OpenFor = DefaultBreakerOpenFor
	}
	if cfg.OpenMax == 0 {
		cfg.OpenMax = DefaultBreakerOpenMax
	}
	if cfg.Trials == 0 {
		cfg.Trials = DefaultBreakerTrials
	}
	return &Breaker{cfg: cfg, state: BreakerClosed, openFor: cfg.OpenFor}
}

// State returns the state at the last call.
func (b *Breaker) State() BreakerState { return b.state }

// Ready reports whether Allow would let a call through now. It changes
// nothing.
func (b *Breaker) Ready(now time.Time) bool {
	switch b.state {
	case BreakerOpen:
		return !now.Before(b.until)
	case BreakerHalfOpen:
		return b.trialAt.IsZero() || now.Sub(b.trialAt) >= b.openFor
	default:
		return true
	}
}

// Allow reports whether a call may be sent and, in the half-open state,
// reserves the one trial. A trial without a word frees its place after the
// time that the breaker was open.
func (b *Breaker) Allow(now time.Time) bool {
	if !b.Ready(now) {
		return false
	}
	if b.state == BreakerClosed {
		return true
	}
	b.state = BreakerHalfOpen
	b.trialAt = now
	return true
}

// Success reports a call that the backend server answered.
func (b *Breaker) Success(_ time.Time) {
	b.failures = 0
	if b.state != BreakerHalfOpen {
		return
	}
	b.trialAt = time.Time{}
	b.successes++
	if b.successes >= b.cfg.Trials {
		b.state = BreakerClosed
		b.successes = 0
		b.openFor = b.cfg.OpenFor
	}
}

// Failure reports a call that failed. A refusal is not a failure.
func (b *Breaker) Failure(now time.Time) {
	b.failures++
	switch b.state {
	case BreakerHalfOpen:
		b.openFor = min(2*b.openFor, b.cfg.OpenMax)
		b.open(now)
	case BreakerClosed:
		if b.failures >= b.cfg.Failures {
			b.open(now)
		}
	}
}

func (b *Breaker) open(now time.Time) {
	b.state = BreakerOpen
	b.until = now.Add(b.openFor)
	b.trialAt = time.Time{}
	b.successes = 0
}
