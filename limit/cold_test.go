package limit

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sesameswitch/sesameswitch/retry"
)

var (
	coldSequences = flag.Int("cold.sequences", 200, "number of random sequences of the test of cold servers")
	coldSeed      = flag.Uint64("cold.seed", 1, "seed of the first of them")
)

const (
	coldStep = 10 * time.Millisecond
	// coldJitter is the greatest time from the permission of a request to its arrival.
	coldJitter = 10 * time.Millisecond
	// coldStarting is how long a gateway counts as just started.
	coldStarting = 3 * time.Second
	// coldDemand is the least demand of a gateway that has some, in requests while a
	// borrowed token is valid: with less, the token may find no request.
	coldDemand = 4.0
	// coldPlenty is the demand at which the rate must be used, in multiples of it.
	coldPlenty = 1.5
)

// coldGateway is one gateway of a simulation.
type coldGateway struct {
	limits              *Servers
	startedAt, learntAt time.Time
	demand              float64
	cut                 bool // partitioned from the gateways for which it is not set
}

// coldDatagram is a question, or an answer if tokens > 0, in flight.
type coldDatagram struct {
	at       time.Time
	from, to int
	q        Question
	tokens   int
}

// coldResult is the outcome of one sequence.
type coldResult struct {
	text      string
	worst     float64 // largest number of arrivals in a second, as a part of the bound
	use       float64 // part of the rate that was used after the first second
	faultless bool
}

// simulateCold plays one random sequence: gateways in front of one server that is cold for
// the whole time.
func simulateCold(seed uint64) coldResult {
	rng := rand.New(rand.NewPCG(seed, 1))
	pick := func(values ...float64) float64 { return values[rng.IntN(len(values))] }
	n := int(pick(1, 2, 3, 4, 5, 8, 16, 27, 68))
	bound := ColdBound{Rate: pick(0.5, 1, 2, 4.9, 6.9, 20, 50), Excess: pick(1.2, 1.5, 2), Extra: pick(3, 5, 8)}
	faultless := rng.IntN(3) == 0
	server, start := retry.Incarnation{ID: "i-1", StartedAtMs: 1}, time.Unix(1000, 0)
	duration := max(6*time.Second, seconds(60/bound.Rate))
	end := start.Add(duration)
	gateways := make([]coldGateway, n)
	for i := range gateways {
		gateways[i] = coldGateway{limits: NewServers(), startedAt: start.Add(-time.Minute), learntAt: start}
		if !faultless {
			gateways[i].learntAt = start.Add(time.Duration(rng.Int64N(int64(2500 * time.Millisecond))))
		}
	}
	setDemand := func() {
		first, some := rng.IntN(n), 1+rng.IntN(n)*rng.IntN(2)
		for i := range gateways {
			gateways[i].demand = 0
			if (i-first+n)%n < some {
				gateways[i].demand = max(coldDemand/bound.lendValid().Seconds(), pick(coldPlenty, 3, 20)*bound.Rate/float64(some))
			}
		}
	}
	setDemand()
	// In a surge, all gateways have demand after a time in which many had little.
	surges := !faultless && rng.IntN(2) == 0
	calm, churn := pick(0.3, 2), int(pick(5, 100, 2000)) // steps between two faults
	moving, lossShare, maxDelay := rng.IntN(3) == 0, 0.0, 20*time.Millisecond
	if !faultless {
		lossShare, maxDelay = pick(0, 0.05, 0.5), time.Duration(pick(0.02, 0.4, 2)*float64(time.Second))
	}
	var datagrams []coldDatagram
	post := func(now time.Time, d coldDatagram) {
		if d.from != d.to && rng.Float64() >= lossShare && gateways[d.from].cut == gateways[d.to].cut {
			d.at = now.Add(time.Millisecond + time.Duration(rng.Int64N(int64(maxDelay))))
			datagrams = append(datagrams, d)
		}
	}
	share := func(now time.Time, i int) Share {
		return Share{Gateways: n, Position: i, Starting: now.Sub(gateways[i].startedAt) < coldStarting}
	}
	var arrivals []time.Time
	used, demanded := 0.0, 0.0 // after the first second
	for now := start; now.Before(end); now = now.Add(coldStep) {
		if moving && rng.IntN(200) == 0 {
			setDemand()
		}
		if surges {
			for i := range gateways {
				gateways[i].demand = calm
				if now.Sub(start)%(3*time.Second) > 2700*time.Millisecond {
					gateways[i].demand = 1000
				}
			}
		}
		if !faultless && rng.IntN(churn) == 0 {
			g, cut := &gateways[rng.IntN(n)], rng.IntN(2) == 0
			if cut {
				g.cut = !g.cut
			} else { // it restarts, and what it has asked may still be answered
				g.limits, g.startedAt = NewServers(), now
			}
		}
		var due []coldDatagram
		datagrams = slices.DeleteFunc(datagrams, func(d coldDatagram) bool {
			if d.at.After(now) {
				return false
			}
			due = append(due, d)
			return true
		})
		for _, d := range due {
			g := &gateways[d.to]
			if d.tokens > 0 {
				g.limits.Borrowed(now, server, d.q.ID, d.tokens)
			} else if tokens := g.limits.Lend(now, server, share(now, d.to), d.q.Tokens); tokens > 0 {
				post(now, coldDatagram{from: d.to, to: d.from, q: d.q, tokens: tokens})
			}
		}
		for i := range gateways {
			g := &gateways[i]
			if now.Before(g.learntAt) {
				continue
			}
			g.limits.SetCold(now, server, end, bound)
			expected := g.demand * coldStep.Seconds()
			requests := int(expected)
			if rng.Float64() < expected-float64(requests) {
				requests++
			}
			if now.Sub(start) >= time.Second {
				demanded += float64(requests)
			}
			for range requests {
				var q Question
				var ask bool
				if g.limits.Take(now, server, share(now, i)) {
					q, ask = g.limits.Ask(now, server, share(now, i))
					arrivals = append(arrivals, now.Add(time.Duration(rng.Int64N(int64(coldJitter)))))
					if now.Sub(start) >= time.Second {
						used++
					}
				} else {
					q, ask = g.limits.Want(now, server, share(now, i))
				}
				if ask {
					post(now, coldDatagram{from: i, to: q.Turn % q.Holders, q: q})
				}
			}
		}
	}
	r := coldResult{
		text: fmt.Sprintf("%d gateways, bound %+v, loss %g, delay %v, moving %v, surges %v, churn %d, demand at last %v", n, bound, lossShare, maxDelay, moving, surges, churn, demandText(gateways)),
		use:  used / min(bound.Rate*(duration-time.Second).Seconds(), demanded/coldPlenty), faultless: faultless,
	}
	slices.SortFunc(arrivals, time.Time.Compare)
	for i, first := 0, 0; i < len(arrivals); i++ {
		for arrivals[i].Sub(arrivals[first]) >= time.Second {
			first++
		}
		r.worst = max(r.worst, float64(i-first+1)/(bound.Rate*bound.Excess+bound.Extra))
	}
	return r
}

// demandText describes the demand at the gateways, in requests per second.
func demandText(gateways []coldGateway) string {
	var text []string
	for i := range gateways {
		if gateways[i].demand > 0 {
			text = append(text, fmt.Sprintf("%d: %.1f", i, gateways[i].demand))
		}
	}
	return strings.Join(text, ", ")
}

// TestColdServerGetsMoreThanBound guards against gateways that together send a cold server
// more than its bound in any second, whatever is lost, late, restarted or partitioned, and
// against tokens that are left unused although there is demand.
func TestColdServerGetsMoreThanBound(t *testing.T) {
	const minUse = 0.8
	least, worst := 10.0, 0.0
	for seed := *coldSeed; seed < *coldSeed+uint64(*coldSequences); seed++ {
		r := simulateCold(seed)
		if worst = max(worst, r.worst); r.worst > 1 {
			t.Errorf("seed %d: %.2f of the bound in one second: %s", seed, r.worst, r.text)
		}
		if !r.faultless {
			continue
		}
		if least = min(least, r.use); r.use < minUse {
			t.Errorf("seed %d: %.2f of the rate used: %s", seed, r.use, r.text)
		}
	}
	t.Logf("%d sequences: at most %.2f of the bound, at least %.2f of the rate used", *coldSequences, worst, least)
}

// TestServerThatIsColdAgainHasTokens guards against tokens for a server that becomes cold
// again, which gateways have just sent requests without a limit, and against a limit that
// ends at once when the server is warm.
func TestServerThatIsColdAgainHasTokens(t *testing.T) {
	l, server, share, bound := NewServers(), retry.Incarnation{ID: "i-1"}, Share{Gateways: 2}, ColdBound{Rate: 4, Excess: 1.5, Extra: 5}
	at := time.Unix(1000, 0)
	for _, test := range []struct {
		now  time.Duration
		cold time.Duration
		want ColdChange
		sent int
	}{
		{0, time.Second, ColdBegan, 1},
		{time.Second - 1, time.Second, ColdUnchanged, 1}, // 2 tokens per second
		{time.Second, 0, ColdEnded, 1},
		{2*time.Second - 1, 0, ColdUnchanged, 3}, // 4 tokens per second
		{2 * time.Second, 0, ColdUnchanged, 100},
		{3 * time.Second, time.Second, ColdBegan, 0},
		{3500 * time.Millisecond, time.Second, ColdUnchanged, 1},
	} {
		now, sent := at.Add(test.now), 0
		if got := l.SetCold(now, server, now.Add(test.cold), bound); got != test.want {
			t.Errorf("after %v: got change %v, want %v", test.now, got, test.want)
		}
		for sent < 100 && l.Take(now, server, share) {
			sent++
		}
		if sent != test.sent {
			t.Errorf("after %v: %d requests, want %d", test.now, sent, test.sent)
		}
		l.SweepCold(now)
	}
}
