package limit

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)

// TestEntriesTogetherKeepRateAndBurst checks the bound in the package comment for
// the time since the first request: n entries together admit at most rate*t
// requests plus n times the burst of one entry.
func TestEntriesTogetherKeepRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.Float64Range(0.01, 200).Draw(t, "rate")
		burst := rapid.IntRange(0, 50).Draw(t, "burst")
		entries := rapid.IntRange(1, 12).Draw(t, "entries")
		limiters := make([]*Limiter, entries)
		for i := range limiters {
			limiters[i] = New(Config{})
		}
		elapsed, allowed := time.Duration(0), 0
		for range rapid.IntRange(1, 300).Draw(t, "requests") {
			gap := rapid.SampledFrom([]time.Duration{0, time.Millisecond, 50 * time.Millisecond, 2 * time.Minute})
			elapsed += gap.Draw(t, "gap")
			entry := rapid.IntRange(0, entries-1).Draw(t, "entry")
			ok, retryAfter := limiters[entry].Allow(epoch.Add(elapsed), "school", "lookup", perSecond, burst, entries)
			if ok {
				allowed++
			}
			if ok != (retryAfter == 0) {
				t.Fatalf("got allowed %v with a retry delay of %v, want a delay only for a refused request", ok, retryAfter)
			}
		}
		_, entryBurst := entryShare(perSecond, burst, entries)
		if bound := perSecond*elapsed.Seconds() + float64(entries*entryBurst); float64(allowed) > bound+1e-6 {
			t.Fatalf("%d requests allowed in %v, want at most %g", allowed, elapsed, bound)
		}
	})
}

func TestRequestIsAllowedAfterRetryDelay(t *testing.T) {
	l := New(Config{})
	now := epoch
	for range 100 {
		ok, retryAfter := l.Allow(now, "school", "lookup", 7, 2, 3)
		if ok {
			continue
		}
		now = now.Add(retryAfter)
		if ok, _ := l.Allow(now, "school", "lookup", 7, 2, 3); !ok {
			t.Fatalf("request refused after its retry delay of %v", retryAfter)
		}
	}
}

func TestChangedLimitAppliesImmediately(t *testing.T) {
	l := New(Config{})
	for range 100 {
		l.Allow(epoch, "school", "lookup", 100, 100, 1)
	}
	if ok, _ := l.Allow(epoch, "school", "lookup", 100, 100, 1); ok {
		t.Error("101st simultaneous request allowed, want a burst of 100")
	}
	if ok, _ := l.Allow(epoch, "school", "lookup", 0, 0, 1); !ok {
		t.Error("request refused after the limit was removed")
	}
	if ok, _ := l.Allow(epoch.Add(time.Second), "school", "lookup", 1, 1, 1); !ok {
		t.Error("request refused one second after the limit was lowered to one per second")
	}
}

func TestNumberOfBucketsIsBounded(t *testing.T) {
	l := New(Config{MaxBuckets: 100})
	for i := range 1000 {
		l.Allow(epoch.Add(time.Duration(i)*time.Millisecond), fmt.Sprint(i), "", 10, 10, 1)
	}
	if len(l.buckets) > 100 {
		t.Errorf("got %d buckets, want at most 100", len(l.buckets))
	}
	l.Allow(epoch.Add(time.Hour), "school", "", 10, 10, 1)
	if len(l.buckets) != 1 {
		t.Errorf("got %d buckets after an idle hour, want 1", len(l.buckets))
	}
}

func BenchmarkAllow(b *testing.B) {
	l := New(Config{})
	accounts := make([]string, 9400)
	for i := range accounts {
		accounts[i] = fmt.Sprint("account-", i)
	}
	b.ReportAllocs()
	i, now := 0, epoch
	for b.Loop() {
		i++
		now = now.Add(100 * time.Microsecond)
		l.Allow(now, accounts[i%len(accounts)], "lookup", 50, 50, 340)
	}
}
