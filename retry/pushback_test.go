package retry

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestPushbackKeepsLongestPause checks any sequence of pauses against a model: the
// latest end of those asked for by one incarnation.
func TestPushbackKeepsLongestPause(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, want, now := NewPushback(), map[Incarnation]time.Time{}, epoch
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "ms")) * time.Millisecond)
			server := Incarnation{fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "server")), int64(rapid.IntRange(0, 1).Draw(t, "start"))}
			if rapid.Bool().Draw(t, "asks") {
				pause := time.Duration(rapid.IntRange(-1000, 100_000).Draw(t, "pause")) * time.Millisecond
				p.Ask(now, server, pause)
				if until := now.Add(min(pause, MaxPushback)); until.After(want[server]) {
					want[server] = until
				}
			}
			until, paused := p.Until(now, server)
			if paused != want[server].After(now) || paused && !until.Equal(want[server]) {
				t.Fatalf("%v at %v: paused %v until %v, want until %v", server, now, paused, until, want[server])
			}
			some := false
			for _, until := range want {
				some = some || until.After(now)
			}
			if p.Any(now) != some {
				t.Fatalf("Any() = %v, want %v", !some, some)
			}
		}
	})
}

func TestPushbackIsBounded(t *testing.T) {
	p := NewPushback()
	for i := range 2 * maxPushbackServers {
		p.Ask(epoch, Incarnation{ID: fmt.Sprint(i)}, time.Second)
	}
	if len(p.until) > maxPushbackServers {
		t.Errorf("%d servers are remembered, want at most maxPushbackServers", len(p.until))
	}
	later := epoch.Add(2 * time.Second)
	if _, changed := p.Ask(later, Incarnation{ID: "new"}, time.Second); !changed {
		t.Error("a pause was not recorded although all others have ended")
	}
}

func TestReturnsAreSpread(t *testing.T) {
	var r Returns
	opensAt := epoch.Add(time.Second)
	for i, want := range []time.Duration{1000, 1050, 1100} {
		if got := r.Next(opensAt, 50*time.Millisecond).Sub(epoch); got != want*time.Millisecond {
			t.Errorf("caller %d returns after %v, want %v ms", i, got, int(want))
		}
	}
	if got := r.Next(epoch.Add(time.Minute), 50*time.Millisecond).Sub(epoch); got != time.Minute {
		t.Errorf("after a later pause: a caller returns after %v, want a minute", got)
	}
}

// TestLongPauseEndsEarly guards against a pause of some minutes that ends after one.
func TestLongPauseEndsEarly(t *testing.T) {
	p, server := NewPushback(), Incarnation{ID: "i-1"}
	p.Ask(epoch, server, 5*time.Minute)
	if _, paused := p.Until(epoch.Add(4*time.Minute), server); !paused {
		t.Error("a pause of 5 minutes has ended after 4")
	}
}
