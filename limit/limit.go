// Package limit bounds the requests of each client account at one entry,
// without shared state. It does no I/O; time is passed in. A Limiter is safe
// for concurrent use.
//
// Each entry gives its share of the account's rate and burst. A caller may
// rely on this bound: while n entries agree on their number, they let through
// at most rate*t + n*ceil(burst/n) requests of an account and class in any
// time t. An entry that counts too few others lets through more than its
// share, by the factor that it is wrong by, until its view is corrected; one
// whose bucket was dropped at Config.MaxBuckets starts with a full burst.
package limit

import (
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Config configures a Limiter. Zero fields take the defaults.
type Config struct {
	// IdleTTL is the least time that an unused bucket is kept. A bucket that is
	// not full is kept longer, so that dropping one changes no decision.
	IdleTTL time.Duration
	// MaxBuckets bounds the buckets; beyond it one that was not used for
	// long goes.
	MaxBuckets int
}

// Defaults of Config.
const (
	DefaultIdleTTL    = time.Minute
	DefaultMaxBuckets = 20_000
)

type key struct{ account, class string }

type bucket struct {
	limiter *rate.Limiter
	used    time.Time
}

// Limiter holds a token bucket per account and class.
type Limiter struct {
	mu      sync.Mutex
	cfg     Config
	buckets map[key]*bucket
	swept   time.Time
}

// New returns a limiter without buckets.
func New(cfg Config) *Limiter {
	if cfg.IdleTTL == 0 {
		cfg.IdleTTL = DefaultIdleTTL
	}
	if cfg.MaxBuckets == 0 {
		cfg.MaxBuckets = DefaultMaxBuckets
	}
	return &Limiter{cfg: cfg, buckets: make(map[key]*bucket)}
}

// Allow takes one request of the account in the class. The rate and the burst
// are those over all entries, of which each gives its share. A rate of zero
// is no limit. When it refuses it says when a token is there again.
func (l *Limiter) Allow(now time.Time, account, class string, perSecond float64, burst, entries int) (ok bool, retryAfter time.Duration) {
	if perSecond <= 0 {
		return true, 0
	}
	share, size := split(perSecond, burst, entries)
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(now, key{account, class}, share, size)
	if b.limiter.AllowN(now, 1) {
		return true, 0
	}
	missing := 1 - b.limiter.TokensAt(now)
	return false, time.Duration(math.Ceil(missing / share * float64(time.Second)))
}

// split returns one entry's share of the rate and of the burst.
func split(perSecond float64, burst, entries int) (share float64, size int) {
	if burst <= 0 {
		burst = int(math.Ceil(perSecond))
	}
	entries = max(1, entries)
	size = max(1, (burst+entries-1)/entries)
	return perSecond / float64(entries), size
}

// bucket returns the bucket of the key with the rate and size in force.
func (l *Limiter) bucket(now time.Time, k key, share float64, size int) *bucket {
	l.sweep(now)
	b, found := l.buckets[k]
	if !found {
		l.makeRoom()
		b = &bucket{limiter: rate.NewLimiter(rate.Limit(share), size)}
		l.buckets[k] = b
	}
	b.used = now
	if b.limiter.Limit() != rate.Limit(share) {
		b.limiter.SetLimitAt(now, rate.Limit(share))
	}
	if b.limiter.Burst() != size {
		b.limiter.SetBurstAt(now, size)
	}
	return b
}

// sampledBuckets is how many buckets are looked at to find one to drop.
const sampledBuckets = 8

// makeRoom drops the bucket used least recently among a few, if the limiter
// is full.
func (l *Limiter) makeRoom() {
	if len(l.buckets) < l.cfg.MaxBuckets {
		return
	}
	var oldest key
	var at time.Time
	seen := 0
	for k, b := range l.buckets {
		if at.IsZero() || b.used.Before(at) {
			oldest, at = k, b.used
		}
		seen++
		if seen == sampledBuckets {
			break
		}
	}
	delete(l.buckets, oldest)
}

// sweep drops the buckets that were idle for long.
func (l *Limiter) sweep(now time.Time) {
	if now.Sub(l.swept) < l.cfg.IdleTTL/2 {
		return
	}
	l.swept = now
	for k, b := range l.buckets {
		full := b.limiter.TokensAt(now) >= float64(b.limiter.Burst())
		if full && now.Sub(b.used) > l.cfg.IdleTTL {
			delete(l.buckets, k)
		}
	}
}
