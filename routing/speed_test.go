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
		if got := s.state("engine-0").speed.timeFactor(epoch.Add(test.age)); math.Abs(got-test.want) > 1e-9 {
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
		if got := s.state("engine-0").speed.timeFactor(epoch); got != 1 {
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
