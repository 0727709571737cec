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
	// FailureThreshold is how many consecutive failures open the breaker.
	FailureThreshold int
	// OpenDuration is how long the breaker stays open at first. Each failed
	// trial call doubles the time, up to MaxOpenDuration.
	OpenDuration    time.Duration
	MaxOpenDuration time.Duration
	// SuccessThreshold is how many successful trial calls close the breaker.
	SuccessThreshold int
}

// Defaults of BreakerConfig.
const (
	DefaultBreakerFailureThreshold = 5
	DefaultBreakerOpenDuration     = time.Second
	DefaultBreakerMaxOpenDuration  = 30 * time.Second
	DefaultBreakerSuccessThreshold = 2
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
	if cfg.FailureThreshold == 0 {
		cfg.FailureThreshold = DefaultBreakerFailureThreshold
	}
	if cfg.OpenDuration == 0 {
		cfg.OpenDuration = DefaultBreakerOpenDuration
	}
	if cfg.MaxOpenDuration == 0 {
		cfg.MaxOpenDuration = DefaultBreakerMaxOpenDuration
	}
	if cfg.SuccessThreshold == 0 {
		cfg.SuccessThreshold = DefaultBreakerSuccessThreshold
	}
	return &Breaker{cfg: cfg, state: BreakerClosed, openFor: cfg.OpenDuration}
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

// RecordSuccess records a call to which the backend server responded.
func (b *Breaker) RecordSuccess(_ time.Time) {
	b.failures = 0
	if b.state != BreakerHalfOpen {
		return
	}
	b.trialAt = time.Time{}
	b.successes++
	if b.successes >= b.cfg.SuccessThreshold {
		b.state = BreakerClosed
		b.successes = 0
		b.openFor = b.cfg.OpenDuration
	}
}

// RecordFailure records a failed call. A refusal is not a failure.
func (b *Breaker) RecordFailure(now time.Time) {
	b.failures++
	switch b.state {
	case BreakerHalfOpen:
		b.openFor = min(2*b.openFor, b.cfg.MaxOpenDuration)
		b.open(now)
	case BreakerClosed:
		if b.failures >= b.cfg.FailureThreshold {
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
