package limit

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)

// TestBoundOverAllEntries shows the stated bound: in any time t, n entries
// let through at most rate*t plus n times one entry's burst.
func TestBoundOverAllEntries(t *testing.T) {
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
			ok, wait := limiters[entry].Allow(epoch.Add(elapsed), "school", "lookup", perSecond, burst, entries)
			if ok {
				allowed++
			}
			if ok != (wait == 0) {
				t.Fatalf("allowed %v with a wait of %v", ok, wait)
			}
		}
		_, size := split(perSecond, burst, entries)
		if bound := perSecond*elapsed.Seconds() + float64(entries*size); float64(allowed) > bound+1e-6 {
			t.Fatalf("%d requests in %v, the bound is %g", allowed, elapsed, bound)
		}
	})
}

func TestRetryAfterIsEnough(t *testing.T) {
	l := New(Config{})
	now := epoch
	for range 100 {
		ok, wait := l.Allow(now, "school", "lookup", 7, 2, 3)
		if ok {
			continue
		}
		now = now.Add(wait)
		if ok, _ := l.Allow(now, "school", "lookup", 7, 2, 3); !ok {
			t.Fatalf("refused after waiting the %v it asked for", wait)
		}
	}
}

func TestChangedLimitIsInForceAtOnce(t *testing.T) {
	l := New(Config{})
	for range 100 {
		l.Allow(epoch, "school", "lookup", 100, 100, 1)
	}
	if ok, _ := l.Allow(epoch, "school", "lookup", 100, 100, 1); ok {
		t.Error("101 requests at once with a burst of 100")
	}
	if ok, _ := l.Allow(epoch, "school", "lookup", 0, 0, 1); !ok {
		t.Error("refused without a limit")
	}
	if ok, _ := l.Allow(epoch.Add(time.Second), "school", "lookup", 1, 1, 1); !ok {
		t.Error("refused a second after the limit fell to one per second")
	}
}

func TestBucketsAreBounded(t *testing.T) {
	l := New(Config{MaxBuckets: 100})
	for i := range 1000 {
		l.Allow(epoch.Add(time.Duration(i)*time.Millisecond), fmt.Sprint(i), "", 10, 10, 1)
	}
	if len(l.buckets) > 100 {
		t.Errorf("%d buckets", len(l.buckets))
	}
	l.Allow(epoch.Add(time.Hour), "school", "", 10, 10, 1)
	if len(l.buckets) != 1 {
		t.Errorf("%d buckets after an idle hour", len(l.buckets))
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
