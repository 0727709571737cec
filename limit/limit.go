// Package limit bounds the request rate of each client account at one entry,
// without shared state. It does no I/O; time is passed in. A Limiter is safe
// for concurrent use.
//
// Each entry grants its share of the account's rate and burst. Callers may
// assume this bound: while n entries agree on their number, together they admit
// at most rate*t + n*ceil(burst/n) requests of an account and class in any
// time t. An entry that counts too few entries admits more than its share, by
// the factor by which its count is too low, until the count is corrected. An
// account whose bucket was evicted at Config.MaxBuckets starts again with a
// full burst.
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
	// MaxBuckets bounds the number of buckets. When it is reached, each new
	// bucket evicts one that has not been used recently.
	MaxBuckets int
}

// Defaults of Config.
const (
	DefaultIdleTTL    = time.Minute
	DefaultMaxBuckets = 20_000
)

type key struct{ account, class string }

type bucket struct {
	limiter  *rate.Limiter
	lastUsed time.Time
}

// Limiter holds a token bucket for each account and class.
type Limiter struct {
	mu        sync.Mutex
	cfg       Config
	buckets   map[key]*bucket
	lastSweep time.Time
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

// Allow takes a token for one request of the account in the class. perSecond
// and burst are the limits over all entries, of which this entry grants its
// share. A perSecond of zero means no limit; a burst of zero means one second's
// worth of requests. For a refused request, retryAfter is the time until the
// next token is available.
func (l *Limiter) Allow(now time.Time, account, class string, perSecond float64, burst, entries int) (ok bool, retryAfter time.Duration) {
	if perSecond <= 0 {
		return true, 0
	}
	share, size := entryShare(perSecond, burst, entries)
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(now, key{account, class}, share, size)
	if b.limiter.AllowN(now, 1) {
		return true, 0
	}
	missing := 1 - b.limiter.TokensAt(now)
	return false, time.Duration(math.Ceil(missing / share * float64(time.Second)))
}

// entryShare returns one entry's share of the rate and of the burst.
func entryShare(perSecond float64, burst, entries int) (share float64, size int) {
	if burst <= 0 {
		burst = int(math.Ceil(perSecond))
	}
	entries = max(1, entries)
	size = max(1, (burst+entries-1)/entries)
	return perSecond / float64(entries), size
}

// bucket returns the bucket of the key, updated to the given rate and size.
func (l *Limiter) bucket(now time.Time, k key, share float64, size int) *bucket {
	l.sweep(now)
	b, found := l.buckets[k]
	if !found {
		l.evictIfFull()
		b = &bucket{limiter: rate.NewLimiter(rate.Limit(share), size)}
		l.buckets[k] = b
	}
	b.lastUsed = now
	if b.limiter.Limit() != rate.Limit(share) {
		b.limiter.SetLimitAt(now, rate.Limit(share))
	}
	if b.limiter.Burst() != size {
		b.limiter.SetBurstAt(now, size)
	}
	return b
}

// evictionSamples is how many buckets are compared to find one to evict. A
// sample keeps the cost of an eviction independent of the number of buckets.
const evictionSamples = 8

// evictIfFull evicts the least recently used of a few sampled buckets if the
// limiter holds MaxBuckets.
func (l *Limiter) evictIfFull() {
	if len(l.buckets) < l.cfg.MaxBuckets {
		return
	}
	var oldest key
	var oldestUse time.Time
	sampled := 0
	for k, b := range l.buckets {
		if oldestUse.IsZero() || b.lastUsed.Before(oldestUse) {
			oldest, oldestUse = k, b.lastUsed
		}
		sampled++
		if sampled == evictionSamples {
			break
		}
	}
	delete(l.buckets, oldest)
}

// sweep drops the full buckets that have been idle for longer than IdleTTL.
func (l *Limiter) sweep(now time.Time) {
	if now.Sub(l.lastSweep) < l.cfg.IdleTTL/2 {
		return
	}
	l.lastSweep = now
	for k, b := range l.buckets {
		full := b.limiter.TokensAt(now) >= float64(b.limiter.Burst())
		if full && now.Sub(b.lastUsed) > l.cfg.IdleTTL {
			delete(l.buckets, k)
		}
	}
}
