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
	// OpenDuration is how long a closed breaker opens for. Each failed trial call
	// opens the breaker again for twice as long, up to MaxOpenDuration.
	OpenDuration    time.Duration
	MaxOpenDuration time.Duration
	// SuccessThreshold is how many successful trial calls close a half-open
	// breaker.
	SuccessThreshold int
}

// Defaults of BreakerConfig.
const (
	DefaultBreakerFailureThreshold = 5
	DefaultBreakerOpenDuration     = time.Second
	DefaultBreakerMaxOpenDuration  = 30 * time.Second
	DefaultBreakerSuccessThreshold = 2
)

// Breaker is the circuit breaker for calls to one destination, such as an agent.
type Breaker struct {
	cfg   BreakerConfig
	state BreakerState
	// failures counts the failures since the last success.
	failures int
	// successes counts the successful trial calls since the breaker was last
	// open.
	successes int
	// openDuration is the duration of the next opening while the breaker is
	// closed, otherwise that of the current or last one.
	openDuration time.Duration
	openUntil    time.Time
	// trialSentAt is when the trial call in flight was permitted, or zero.
	trialSentAt time.Time
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
	return &Breaker{cfg: cfg, state: BreakerClosed, openDuration: cfg.OpenDuration}
}

// State returns the state. An open breaker becomes half-open only when Allow
// permits a trial call, not when the open duration ends.
func (b *Breaker) State() BreakerState { return b.state }

// Ready reports whether Allow would permit a call now. It does not change the
// state.
func (b *Breaker) Ready(now time.Time) bool {
	switch b.state {
	case BreakerOpen:
		return !now.Before(b.openUntil)
	case BreakerHalfOpen:
		return b.trialSentAt.IsZero() || now.Sub(b.trialSentAt) >= b.openDuration
	default:
		return true
	}
}

// Allow reports whether a call may be sent. Once the open duration has ended, it
// permits one trial call at a time. If no result of a trial call is recorded,
// the next one is permitted after the duration for which the breaker was last
// open.
func (b *Breaker) Allow(now time.Time) bool {
	if !b.Ready(now) {
		return false
	}
	if b.state == BreakerClosed {
		return true
	}
	b.state = BreakerHalfOpen
	b.trialSentAt = now
	return true
}

// RecordSuccess records a successful call. While the breaker is open, a late
// success of a call that was sent before it opened does not close it.
func (b *Breaker) RecordSuccess(_ time.Time) {
	b.failures = 0
	if b.state != BreakerHalfOpen {
		return
	}
	b.trialSentAt = time.Time{}
	b.successes++
	if b.successes >= b.cfg.SuccessThreshold {
		b.state = BreakerClosed
		b.successes = 0
		b.openDuration = b.cfg.OpenDuration
	}
}

// RecordFailure records a failed call. Refusals must not be recorded as failures.
func (b *Breaker) RecordFailure(now time.Time) {
	b.failures++
	switch b.state {
	case BreakerHalfOpen:
		b.openDuration = min(2*b.openDuration, b.cfg.MaxOpenDuration)
		b.open(now)
	case BreakerClosed:
		if b.failures >= b.cfg.FailureThreshold {
			b.open(now)
		}
	}
}

func (b *Breaker) open(now time.Time) {
	b.state = BreakerOpen
	b.openUntil = now.Add(b.openDuration)
	b.trialSentAt = time.Time{}
	b.successes = 0
}
