package limit

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sesameswitch/sesameswitch/retry"
)

// TestLimitEndsAfterResponsesWithoutIt checks that neither one response without the
// limit, nor some to requests that were sent before it was stated, end a limit.
func TestLimitEndsAfterResponsesWithoutIt(t *testing.T) {
	l, server := NewServers(), retry.Incarnation{ID: "i-1", StartedAtMs: 1}
	at := time.Unix(1000, 0)
	if rate, changed := l.Stated(at, server, 2); rate != 2 || !changed {
		t.Fatalf("got %v, changed %v, want a new limit of 2", rate, changed)
	}
	if _, changed := l.Stated(at, server, 2); changed {
		t.Error("the same limit again counts as a change")
	}
	for _, test := range []struct {
		sent time.Duration
		want bool
	}{{-time.Second, false}, {0, false}, {time.Second, false}, {2 * time.Second, false}, {limitEndHold, true}, {limitEndHold + 1, false}} {
		if got := l.NotStated(at.Add(test.sent), at.Add(test.sent), server); got != test.want {
			t.Errorf("a request sent after %v: ended %v, want %v", test.sent, got, test.want)
		}
	}
	if rate, changed := l.Stated(at.Add(time.Minute), server, 0); rate != minServerRate || !changed {
		t.Errorf("a limit of zero: got %v, changed %v, want %v", rate, changed, minServerRate)
	}
	if rate, _ := l.Stated(at, server, 1e300); rate != maxServerRate {
		t.Errorf("got %v, want %v", rate, maxServerRate)
	}
}

// TestMemoryOfLimitedServersIsBounded checks that old limits make room for new ones, and
// that recent ones do not.
func TestMemoryOfLimitedServersIsBounded(t *testing.T) {
	l, at := NewServers(), time.Unix(1000, 0)
	for i := range maxLimitedServers {
		l.Stated(at, retry.Incarnation{ID: "i-1", StartedAtMs: int64(i)}, 1)
	}
	further := retry.Incarnation{ID: "i-2"}
	if _, changed := l.Stated(at.Add(time.Second), further, 1); changed {
		t.Error("a further server replaced a recent one")
	}
	if _, changed := l.Stated(at.Add(limitHold+time.Second), further, 1); !changed || len(l.servers) != 1 {
		t.Errorf("%d servers, changed %v, want only the new one", len(l.servers), changed)
	}
}

// Bound on what a server with a limit may receive within limitPeriod.
const (
	limitPeriod    = 4 * time.Second
	limitTolerance = 1.5
	limitExtra     = 5
)

// requireLimit fails the test if more requests arrived within limitPeriod than a limit
// allows. Arrivals while there is no limit are not counted.
func requireLimit(t *rapid.T, arrivals []time.Time, rate float64, gateways int) {
	if rate == 0 {
		return
	}
	slices.SortFunc(arrivals, time.Time.Compare)
	for i, first := 0, 0; i < len(arrivals); i++ {
		for arrivals[i].Sub(arrivals[first]) > limitPeriod {
			first++
		}
		if allowed := limitTolerance*rate*limitPeriod.Seconds() + limitExtra; float64(i-first+1) > allowed {
			t.Fatalf("%d requests of %d gateways within %v, allowed %g for a limit of %g", i-first+1, gateways, limitPeriod, allowed, rate)
		}
	}
}

// TestGatewaysTogetherExceedServerLimit guards against gateways that together send more
// requests to a server than its limit allows: for 1 to 340 gateways and limits from 0.05
// to 500 a second that end and come back and that single responses do not state,
// with demand that moves between the gateways, gateways that start again and requests
// that arrive late.
func TestGatewaysTogetherExceedServerLimit(t *testing.T) {
	const (
		step      = 50 * time.Millisecond
		latest    = 400 * time.Millisecond // until a request arrives
		reaction  = 500 * time.Millisecond // from the first response with the limit
		phaseTime = 8 * time.Second
	)
	server := retry.Incarnation{ID: "i-1"}
	type gateway struct {
		limits *Servers
		told   time.Time
		// stated reports whether the last response stated the limit.
		stated bool
	}
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{1, 2, 4, 5, 9, 27, 68, 340}).Draw(t, "gateways")
		gateways := make([]gateway, n)
		for i := range gateways {
			gateways[i].limits = NewServers()
		}
		now := time.Unix(1000, 0)
		limited := rapid.SampledFrom([]float64{0.05, 0.5, 1, 4.9, 20, 100, 500}).Draw(t, "limit")
		for range rapid.IntRange(1, 4).Draw(t, "phases") {
			rate := limited
			if rapid.IntRange(0, 2).Draw(t, "limit has ended") == 0 {
				rate = 0
				for i := range gateways {
					gateways[i].told = time.Time{}
				}
			}
			silentShare := rapid.IntRange(0, 3).Draw(t, "responses without the limit, of 10")
			only := rapid.IntRange(0, n).Draw(t, "gateways with demand") // 0: all
			perStep := rapid.IntRange(1, 4).Draw(t, "demand of each gateway in a step")
			restart := rapid.IntRange(0, 2*n).Draw(t, "restarted gateway")
			delay := time.Duration(rapid.IntRange(0, int(latest/time.Millisecond)).Draw(t, "delay")) * time.Millisecond
			if restart < n {
				gateways[restart] = gateway{limits: NewServers()}
			}
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 0, 30, 600}).Draw(t, "seconds without demand")) * time.Second)
			var arrivals []time.Time
			start := now
			responses := 0
			for ; now.Before(start.Add(phaseTime)); now = now.Add(step) {
				for i := range gateways {
					if only > 0 && i >= only {
						break
					}
					g := &gateways[i]
					for range perStep {
						if !g.limits.Take(now, server, Share{Gateways: n, Position: i}) {
							break
						}
						if rate > 0 && !g.told.IsZero() && now.Sub(g.told) > reaction {
							arrivals = append(arrivals, now.Add(delay*time.Duration(len(arrivals)%2)))
						}
						responses++
						g.stated = rate > 0 && (responses%10 >= silentShare || !g.stated)
						if g.stated {
							g.limits.Stated(now, server, rate)
							if g.told.IsZero() {
								g.told = now
							}
						} else {
							g.limits.NotStated(now, now, server)
						}
					}
				}
			}
			requireLimit(t, arrivals, rate, n)
		}
	})
}

// TestFallenServerLimitIsExceeded guards against gateways that go on with an earlier,
// higher limit of a server, or with none, because others got the responses that state the
// new one. Gateways report what they learn each half second, to a quarter of the others.
func TestFallenServerLimitIsExceeded(t *testing.T) {
	const (
		step      = 50 * time.Millisecond
		perRound  = 10              // steps between two rounds of reports
		contact   = 3 * time.Second // from the first response with a limit until it must be known
		phaseTime = 10 * time.Second
	)
	server := retry.Incarnation{ID: "i-1"}
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{2, 4, 27, 68}).Draw(t, "gateways")
		gateways := make([]*Servers, n)
		for i := range gateways {
			gateways[i] = NewServers()
		}
		now := time.Unix(1000, 0)
		steps := 0
		for range rapid.IntRange(2, 4).Draw(t, "phases") {
			rate := rapid.SampledFrom([]float64{0, 0.05, 0.5, 1, 4.9, 20, 500}).Draw(t, "limit")
			first := rapid.IntRange(0, n-1).Draw(t, "first gateway with demand")
			then := rapid.IntRange(0, n-1).Draw(t, "last gateway with demand")
			var arrivals []time.Time
			start, stated := now, time.Time{}
			for ; now.Before(start.Add(phaseTime)); now = now.Add(step) {
				for i, g := range gateways {
					// Demand at some gateways, and after contact at all of them.
					if now.Sub(start) < contact && (i < first || i > then) || !g.Take(now, server, Share{Gateways: n, Position: i}) {
						continue
					}
					if !stated.IsZero() && now.Sub(stated) >= contact {
						arrivals = append(arrivals, now)
					}
					if rate > 0 {
						if stated.IsZero() {
							stated = now
						}
						g.Stated(now, server, rate)
					} else {
						g.NotStated(now, now, server)
					}
				}
				if steps++; steps%perRound == 0 {
					for i, g := range gateways {
						for _, r := range g.Reports(now) {
							for to := range gateways {
								if to != i && (to+steps/perRound)%4 == 0 {
									gateways[to].Apply(now, r)
								}
							}
						}
					}
				}
			}
			requireLimit(t, arrivals, rate, n)
		}
	})
}

// TestOneOfFourGatewaysHasNoShare guards against a gateway of a small deployment that
// cannot use a server with a low limit at all.
func TestOneOfFourGatewaysHasNoShare(t *testing.T) {
	for _, rate := range []float64{0.05, 0.5, 1, 4.9} {
		for position := range 4 {
			l, server, at := NewServers(), retry.Incarnation{ID: "i-1"}, time.Unix(1000, 0)
			l.Stated(at, server, rate)
			a := l.Next(at, server, Share{Gateways: 4, Position: position})
			if wait := a.At.Sub(at).Seconds(); wait > 4/rate+0.001 {
				t.Errorf("limit %g: gateway %d waits %.1f s for its first request, want at most %.1f s", rate, position, wait, 4/rate)
			}
		}
	}
}

// TestGatewayWithoutPartOfTheLimitFindsItsEnd guards against a gateway that never learns
// that a limit has ended because it may send the server no request.
func TestGatewayWithoutPartOfTheLimitFindsItsEnd(t *testing.T) {
	l, server, share := NewServers(), retry.Incarnation{ID: "i-1"}, Share{Gateways: 340, Position: 300}
	at := time.Unix(1000, 0)
	l.Stated(at, server, 1)
	sent := 0
	// Two rounds, of silence and one probeInterval for each gateway.
	for now := at; now.Before(at.Add(2 * (silence + 340*probeInterval))); now = now.Add(time.Second) {
		if l.Take(now, server, share) {
			sent++
			l.NotStated(now, now, server)
		}
		if !l.Any() {
			if sent != limitEndResponses {
				t.Errorf("%d requests until the end of the limit, want %d", sent, limitEndResponses)
			}
			return
		}
	}
	t.Errorf("the limit has not ended after %d requests", sent)
}
