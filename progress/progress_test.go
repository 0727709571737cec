package progress_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sesameswitch/sesameswitch/progress"
)

const ms = time.Millisecond

// stalledAttempt returns an attempt that is moved.
func stalledAttempt() progress.Attempt {
	return progress.Attempt{
		Silent: 2000 * ms, Expected: 200 * ms, LatencyTarget: time.Second, Rest: time.Second, Remaining: 6 * time.Second,
		Repeatable: true, Runs: 1, MaxRuns: 2, OpenServers: 4,
	}
}

// otherServer returns a server to which an attempt is moved.
func otherServer() progress.Successor {
	return progress.Successor{Usable: true, ServiceTime: 200 * ms, Wait: 20 * ms, FleetWait: 10 * ms}
}

// TestDecision guards against a move that cannot help or must not happen, and against a stalled
// attempt that stays.
func TestDecision(t *testing.T) {
	for _, test := range []struct {
		name     string
		change   func(a *progress.Attempt, b *progress.Successor)
		noBudget bool
		want     progress.Verdict
		after    time.Duration
	}{
		{"stalled", func(*progress.Attempt, *progress.Successor) {}, false, progress.Move, 0},
		{"stalled-within-stream", func(a *progress.Attempt, b *progress.Successor) {
			a.Begun, a.LongestPause, a.Slowest = true, 300*ms, 5*time.Second
		}, false, progress.Move, 0},
		{"below-least-silence", func(a *progress.Attempt, b *progress.Successor) { a.Silent, a.Expected = 1499*ms, ms }, false, progress.Progressing, ms},
		{"before-latency-target", func(a *progress.Attempt, b *progress.Successor) { a.LatencyTarget = 2100 * ms }, false, progress.Progressing, 100 * ms},
		{"long-prefill-expected", func(a *progress.Attempt, b *progress.Successor) { a.Expected = 600 * ms }, false, progress.Progressing, 400 * ms},
		{"route-took-as-long", func(a *progress.Attempt, b *progress.Successor) { a.Slowest = 1500 * ms }, false, progress.Progressing, time.Second},
		{"slow-stream", func(a *progress.Attempt, b *progress.Successor) { a.Begun, a.LongestPause = true, 550*ms }, false, progress.Progressing, 200 * ms},
		{"fleet-waits", func(a *progress.Attempt, b *progress.Successor) { b.FleetWait = 400 * ms }, false, progress.Progressing, 400 * ms},
		{"successor-waits", func(a *progress.Attempt, b *progress.Successor) { b.Wait = 400 * ms }, false, progress.Progressing, 400 * ms},
		{"fleet-is-silent", func(a *progress.Attempt, b *progress.Successor) { a.SlowServers = 3 }, false, progress.FleetSlow, 500 * ms},
		{"half-is-silent", func(a *progress.Attempt, b *progress.Successor) { a.SlowServers = 2 }, false, progress.Move, 0},
		{"one-other-is-silent", func(a *progress.Attempt, b *progress.Successor) { a.SlowServers, a.OpenServers = 1, 1 }, false, progress.Move, 0},
		{"successor-too-late", func(a *progress.Attempt, b *progress.Successor) { a.Remaining = 2499 * ms }, false, progress.TooLate, 0},
		{"successor-too-slow", func(a *progress.Attempt, b *progress.Successor) {
			a.Silent, a.Remaining, b.Wait = 9*time.Second, 5*time.Second, 1600*ms
		}, false, progress.TooLate, 500 * ms},
		{"successor-just-in-time", func(a *progress.Attempt, b *progress.Successor) { a.Remaining = 2500 * ms }, false, progress.Move, 0},
		{"at-most-once", func(a *progress.Attempt, b *progress.Successor) { a.Repeatable = false }, false, progress.OnceOnly, 0},
		{"runs-used", func(a *progress.Attempt, b *progress.Successor) { a.Runs = 2 }, false, progress.OnceOnly, 0},
		{"one-run-by-default", func(a *progress.Attempt, b *progress.Successor) { a.MaxRuns = 0 }, false, progress.OnceOnly, 0},
		{"moved-before", func(a *progress.Attempt, b *progress.Successor) { a.Moved, a.MaxRuns = true, 3 }, false, progress.MovedBefore, 0},
		{"no-other-server", func(a *progress.Attempt, b *progress.Successor) { b.Usable = false }, false, progress.NoSuccessor, 500 * ms},
		{"no-capacity", func(a *progress.Attempt, b *progress.Successor) { b.Full = true }, false, progress.NoSuccessor, 500 * ms},
		{"no-budget", func(*progress.Attempt, *progress.Successor) {}, true, progress.NoBudget, 2 * time.Second},
	} {
		a, b, asked := stalledAttempt(), otherServer(), 0
		test.change(&a, &b)
		d := progress.Decide(&a, func() progress.Successor { return b }, func() bool { asked++; return !test.noBudget })
		if d.Verdict != test.want || d.After != test.after {
			t.Errorf("%s: got %+v, want %s, again after %v", test.name, d, test.want, test.after)
		}
		if wantAsked := d.Verdict == progress.Move || d.Verdict == progress.NoBudget; (asked == 1) != wantAsked || asked > 1 {
			t.Errorf("%s: asked the retry budget %d times", test.name, asked)
		}
	}
}

// replay plays 200 requests at 8 servers, 20 ms apart. Each server takes the given time to its
// first event, and zero means that it holds requests without progress. It returns how many
// requests end at their deadline of 6 s, and how many are moved, if that is allowed.
func replay(takes [8]time.Duration, allowed bool) (late, moved int) {
	const requests, servers, apart, deadline = 200, 8, 20 * ms, 6 * time.Second
	type request struct {
		sentAt time.Time
		server int
		open   *progress.Open
		moved  bool
	}
	rng, fleet, start := rand.New(rand.NewPCG(7, 7)), progress.NewFleet(), time.Unix(1000, 0) //nolint:gosec // a test
	var active []*request
	for tick := range (requests*int(apart) + int(deadline) + int(deadline)) / int(apart) {
		now := start.Add(time.Duration(tick) * apart)
		if tick < requests {
			server := rng.IntN(servers)
			active = append(active, &request{sentAt: now, server: server, open: fleet.Begin(now, string(rune('a'+server)), 200*ms)})
		}
		var open []*request
		for _, r := range active {
			silent := r.open.Silent(now)
			switch takes := takes[r.server]; {
			case takes > 0 && silent >= takes:
				fleet.RecordFirst("r", silent)
				r.open.End()
				continue
			case now.Sub(r.sentAt) >= deadline:
				r.open.End()
				late++
				continue
			}
			a := stalledAttempt()
			a.Silent, a.Moved, a.Remaining = silent, r.moved, deadline-now.Sub(r.sentAt)
			a.Slowest, a.Rest = fleet.Times("r", time.Second)
			a.SlowServers, a.OpenServers = r.open.Slow(now)
			if progress.Decide(&a, otherServer, func() bool { return allowed }).Verdict == progress.Move {
				r.open.End()
				next := (r.server + 1 + rng.IntN(servers-1)) % servers
				r.server, r.moved, r.open = next, true, fleet.Begin(now, string(rune('a'+next)), 200*ms)
				moved++
			}
			open = append(open, r)
		}
		active = open
	}
	return late, moved
}

// TestReplayOfServersThatHoldRequests guards against requests that stay until their deadline at
// one of eight servers that holds them without progress, and against moves while all are slow.
// Without moves, all requests at that server end at their deadline.
func TestReplayOfServersThatHoldRequests(t *testing.T) {
	const usual, slow = 250 * ms, 3 * time.Second
	for _, test := range []struct {
		name                                       string
		takes                                      [8]time.Duration
		allowed                                    bool
		leastLate, mostLate, leastMoved, mostMoved int
	}{
		{"one-holds", [8]time.Duration{0, usual, usual, usual, usual, usual, usual, usual}, true, 0, 0, 15, 40},
		{"one-holds-without-moves", [8]time.Duration{0, usual, usual, usual, usual, usual, usual, usual}, false, 15, 40, 0, 0},
		{"all-usual", [8]time.Duration{usual, usual, usual, usual, usual, usual, usual, usual}, true, 0, 0, 0, 0},
		{"all-slow", [8]time.Duration{slow, slow, slow, slow, slow, slow, slow, slow}, true, 0, 0, 0, 0},
	} {
		late, moved := replay(test.takes, test.allowed)
		t.Logf("%s: %d late, %d moved", test.name, late, moved)
		if late < test.leastLate || late > test.mostLate || moved < test.leastMoved || moved > test.mostMoved {
			t.Errorf("%s: %d late, %d moved; want %d to %d late, %d to %d moved", test.name, late, moved, test.leastLate, test.mostLate, test.leastMoved, test.mostMoved)
		}
	}
}
