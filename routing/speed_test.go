package routing

import (
	"math"
	"testing"
	"time"
)

// TestStatedSlownessAgesOut guards against statements about the slowness of a server that
// have no effect, too much, or one for too long.
func TestStatedSlownessAgesOut(t *testing.T) {
	for _, test := range []struct {
		name     string
		slowness float64
		age      time.Duration
		want     float64
	}{
		{"as usual", 1, 0, 1},
		{"within the tolerance", 1.2, 0, 1},
		{"slow", 2.5, 0, 2.5},
		{"slow, half of the time later", 2.5, slownessTTL / 2, math.Sqrt(2.5)},
		{"stale", 2.5, slownessTTL, 1},
		{"from the future", 2.5, -time.Second, 2.5},
		{"absurd", 1e300, 0, maxSlowness},
		{"faster than usual", 0.1, 0, 1},
		{"zero", 0, 0, 1},
		{"negative", -3, 0, 1},
		{"not a number", math.NaN(), 0, 1},
		{"infinite", math.Inf(1), 0, 1},
	} {
		s := newTestScheduler("dc-0")
		s.ReportSlowness(epoch, "engine-0", test.slowness)
		if got := s.state("engine-0").timeFactor(epoch.Add(test.age)); math.Abs(got-test.want) > 1e-9 {
			t.Errorf("%s: work takes %v times as long, want %v", test.name, got, test.want)
		}
	}
}

// TestStatedSlownessEndsEarly guards against the effect of a statement that the server has
// replaced, or that another incarnation made.
func TestStatedSlownessEndsEarly(t *testing.T) {
	for name, end := range map[string]func(*Scheduler, []Server){
		"replaced":          func(s *Scheduler, _ []Server) { s.ReportSlowness(epoch, "engine-0", 1) },
		"other incarnation": func(_ *Scheduler, servers []Server) { servers[0].StartedAtMs = 2 },
		"removed":           func(s *Scheduler, _ []Server) { s.RemoveServer("engine-0") },
	} {
		s, servers := newTestScheduler("dc-0"), nineEngines()
		servers[0].StartedAtMs = 1
		choose(t, s, epoch, question(), servers)
		s.ReportSlowness(epoch, "engine-0", 2.5)
		again := nineEngines()
		again[0].StartedAtMs = 1
		end(s, again)
		choose(t, s, epoch, question(), again)
		if got := s.state("engine-0").timeFactor(epoch); got != 1 {
			t.Errorf("%s: work takes %v times as long, want 1", name, got)
		}
	}
}

// TestSlowEngineIsFullEarlier guards against as much pending prefill at a slow engine as at
// others.
func TestSlowEngineIsFullEarlier(t *testing.T) {
	s, engine := newTestScheduler("dc-0"), nineEngines()[:1]
	s.StartAttempt(epoch, &Job{Service: "engines", Generates: true, PromptTokens: 9_000}, engine[0].ID, Choice{UncachedTokens: 9_000})
	if _, c := choose(t, s, epoch, question(), engine); c.Full {
		t.Fatalf("a usual engine with 9000 pending tokens is full: %+v", c)
	}
	s.ReportSlowness(epoch, engine[0].ID, 2.5)
	if _, c := choose(t, s, epoch, question(), engine); !c.Full || c.Wait < 2.4*9_000/defaultPrefillRate {
		t.Errorf("an engine that is 2.5 times slower has 9000 pending tokens and is not full, or its wait is too short: %+v", c)
	}
}

// observeSpeeds lets a gateway observe that the engines take the given times as long as others.
func observeSpeeds(s *Scheduler, servers []Server, slowness map[string]float64) {
	for i := range servers {
		ratio := math.Log(max(1, slowness[servers[i].ID]))
		for range 30 {
			s.state(servers[i].ID).speed.observe(epoch, 1, ratio, 0, 0)
		}
	}
}

// TestGatewaysAgreeOnPool guards against long prompts of one gateway at servers that another
// keeps for streams, and against a pool of slow servers: a gateway without observations of its
// own learns them by load hints.
func TestGatewaysAgreeOnPool(t *testing.T) {
	servers := nineEngines()
	s, peer := newTestScheduler("dc-0"), newTestScheduler("dc-1")
	first, _ := choose(t, s, epoch, question(), servers)
	observeSpeeds(s, servers, map[string]float64{first: 2})
	peer.ApplyHints(epoch, epoch.Add(time.Second), "gateway-0", nil)
	for i := range servers { // a hint tells of a server in use
		s.StartAttempt(epoch, question(), servers[i].ID, Choice{}).Ended(epoch, Cancelled)
		s.state(servers[i].ID).inFlight++
	}
	peer.ApplyHints(epoch, epoch.Add(time.Second), "gateway-0", s.CollectHints(epoch))
	for name, scheduler := range map[string]*Scheduler{"the gateway": s, "its peer": peer} {
		choose(t, scheduler, epoch.Add(speedInterval), question(), servers)
		fleet := scheduler.service("engines").candidates
		for i := range fleet.entries {
			isSlow := servers[i].ID == first
			if isSlow && fleet.entries[i].poolRank != len(servers)-1 {
				t.Errorf("%s: the slow engine has rank %d for the pool, want the last", name, fleet.entries[i].poolRank)
			}
			if got := fleet.entries[i].timeFactor(epoch); math.Abs(got-1) > 1e-9 != isSlow {
				t.Errorf("%s: work takes %v times as long at %s, slow is %v", name, got, servers[i].ID, isSlow)
			}
		}
	}
}

// TestSpeedHintsAreBounded guards against hints of peers that are absurd, stale or about another
// incarnation.
func TestSpeedHintsAreBounded(t *testing.T) {
	for _, test := range []struct {
		name string
		hint SpeedHint
		want float64 // factor on the time of the server
	}{
		{"slow", SpeedHint{StartedAtMs: 1, Slowness: 20_000, Weight: 20_000}, math.E},
		{"statement", SpeedHint{StartedAtMs: 1, StatedPercent: 250}, 2.5},
		{"other incarnation", SpeedHint{StartedAtMs: 2, Slowness: 20_000, Weight: 20_000, StatedPercent: 250}, 1},
		{"too heavy", SpeedHint{StartedAtMs: 1, Slowness: 1e9, Weight: 1e9}, 1},
		{"too slow", SpeedHint{StartedAtMs: 1, Slowness: 1e9, Weight: 20_000}, 1},
		{"negative weight", SpeedHint{StartedAtMs: 1, Slowness: 20_000, Weight: -20_000}, 1},
		{"stale statement", SpeedHint{StartedAtMs: 1, StatedPercent: 250, StatedAgeMs: 700}, 1},
		{"statement from the future", SpeedHint{StartedAtMs: 1, StatedPercent: 250, StatedAgeMs: -700}, 1},
		{"absurd statement", SpeedHint{StartedAtMs: 1, StatedPercent: 1 << 40}, maxSlowness},
	} {
		s, servers := newTestScheduler("dc-0"), nineEngines()
		servers[0].StartedAtMs = 1
		choose(t, s, epoch, question(), servers)
		observeSpeeds(s, servers[1:], nil)
		s.ApplyHints(epoch, epoch.Add(time.Second), "gateway-1", []Hint{{Server: servers[0].ID, Speed: &test.hint}})
		choose(t, s, epoch.Add(speedInterval), question(), servers)
		if got := s.state(servers[0].ID).timeFactor(epoch); math.Abs(got-test.want) > 1e-6 {
			t.Errorf("%s: work takes %v times as long, want %v", test.name, got, test.want)
		}
	}
}

// TestFalseStatementIsCorrected guards against a server that states to be slow and is not: it
// must count as usual while it states so, and not as a fast one afterwards.
func TestFalseStatementIsCorrected(t *testing.T) {
	s, servers := newTestScheduler("dc-0"), nineEngines()
	choose(t, s, epoch, question(), servers)
	observeSpeeds(s, servers[1:], nil)
	st, stated := s.state(servers[0].ID), math.Log(2.5)
	for range 30 {
		st.speed.observe(epoch, 1, 0, stated, stated)
	}
	s.ReportSlowness(epoch, servers[0].ID, 2.5)
	choose(t, s, epoch.Add(speedInterval), question(), servers)
	for _, at := range []time.Duration{0, slownessTTL} {
		if got := st.timeFactor(epoch.Add(at)); math.Abs(got-1) > 1e-6 {
			t.Errorf("%v after the statement work takes %v times as long, want 1", at, got)
		}
	}
}
