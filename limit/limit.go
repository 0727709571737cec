// Package limit bounds rates of requests without shared state: those of client accounts
// at the entries (Limiter), and those that backend servers state for all gateways together
// (Servers). It does no I/O; time is passed in. Both are safe for concurrent use.
//
// Servers is designed for a server in need that many gateways find attractive at the same
// moment, as after a pause in the load: their first requests alone may exceed its limit.
//
// The limits of a Limiter apply to each client account and class over all entries, and each entry
// grants an equal share of the rate and the burst. Callers may assume this
// bound: while all n entries use the same number n, together they admit at most
// rate*t + n*ceil(burst/n) requests of an account and class in any time t. An
// entry that uses a lower number m, because it does not know all entries, admits
// n/m times its share. An account and class whose bucket was evicted because of
// Config.MaxBuckets starts again with a full burst.
package limit

import (
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Config configures a Limiter. Zero fields take the defaults.
type Config struct {
	// IdleTTL is the least time for which an unused bucket is kept. A bucket that
	// is not full by then is kept until it is full.
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

// bucket is a token bucket with this entry's share of the limits.
type bucket struct {
	limiter  *rate.Limiter
	lastUsed time.Time
}

// Limiter contains one entry's token bucket for each account and class.
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
// and burst are the limits over all entries, and entries is the number of
// entries, at least one. A perSecond of zero means no limit; a burst of zero
// means one second's worth of requests. If no token is available, ok is false
// and retryAfter is the time until the next one is.
func (l *Limiter) Allow(now time.Time, account, class string, perSecond float64, burst, entries int) (ok bool, retryAfter time.Duration) {
	if perSecond <= 0 {
		return true, 0
	}
	entryRate, entryBurst := entryShare(perSecond, burst, entries)
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(now, key{account, class}, entryRate, entryBurst)
	if b.limiter.AllowN(now, 1) {
		return true, 0
	}
	missing := 1 - b.limiter.TokensAt(now)
	return false, time.Duration(math.Ceil(missing / entryRate * float64(time.Second)))
}

// entryShare returns one entry's share of the rate and of the burst. The share of
// the burst is rounded up.
func entryShare(perSecond float64, burst, entries int) (entryRate float64, entryBurst int) {
	if burst <= 0 {
		burst = int(math.Ceil(perSecond))
	}
	entries = max(1, entries)
	entryBurst = max(1, (burst+entries-1)/entries)
	return perSecond / float64(entries), entryBurst
}

// bucket returns the bucket of the key, updated to the given rate and burst.
func (l *Limiter) bucket(now time.Time, k key, entryRate float64, entryBurst int) *bucket {
	l.sweep(now)
	b, found := l.buckets[k]
	if !found {
		l.evictIfFull()
		b = &bucket{limiter: rate.NewLimiter(rate.Limit(entryRate), entryBurst)}
		l.buckets[k] = b
	}
	b.lastUsed = now
	if b.limiter.Limit() != rate.Limit(entryRate) {
		b.limiter.SetLimitAt(now, rate.Limit(entryRate))
	}
	if b.limiter.Burst() != entryBurst {
		b.limiter.SetBurstAt(now, entryBurst)
	}
	return b
}

// evictionSamples is how many buckets are compared to find one to evict. A
// sample keeps the cost of an eviction independent of the number of buckets. The
// buckets sampled are the first of an iteration over the map, whose order is
// random.
const evictionSamples = 8

// evictIfFull evicts the least recently used of a few sampled buckets if the
// number of buckets has reached MaxBuckets.
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

// sweep drops the full buckets that have been unused for longer than IdleTTL. A
// new bucket is full as well, so that dropping them changes no decision.
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
