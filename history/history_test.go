package history

import (
	"testing"
	"time"

	"github.com/sesameswitch/sesameswitch/admission"
	"github.com/sesameswitch/sesameswitch/outcome"
)

func run(id, request string, from, to time.Duration) Run {
	return Run{ID: id, Key: "k", Request: request, Agent: "a1", StartedAt: from, EndedAt: to}
}

func call(request string, from, to time.Duration, out outcome.Outcome, runID string) Call {
	return Call{Key: "k", Request: request, InvokedAt: from, CompletedAt: to, Returned: true, Outcome: out, RunID: runID}
}

func TestCheckAtMostOnce(t *testing.T) {
	completed, notRun, unknown := outcome.Completed, outcome.NotRun, outcome.Unknown
	cases := []struct {
		name       string
		h          History
		violations int
	}{
		{"one run, joined by a retry", History{
			Runs:  []Run{run("1", "r", 2, 5)},
			Calls: []Call{call("r", 1, 6, completed, "1"), call("r", 3, 9, completed, "1")},
		}, 0},
		{"two runs", History{Runs: []Run{run("1", "r", 2, 5), run("2", "r", 7, 8)}}, 1},
		{"two runs at the same time", History{Runs: []Run{run("1", "r", 2, 5), run("2", "r", 2, 5)}}, 1},
		{"response of another run", History{
			Runs: []Run{run("1", "r", 2, 5)}, Calls: []Call{call("r", 1, 6, completed, "2")},
		}, 1},
		{"completed without a run", History{Calls: []Call{call("r", 1, 6, completed, "")}}, 1},
		{"completed before the run", History{
			Runs: []Run{run("1", "r", 7, 8)}, Calls: []Call{call("r", 1, 6, completed, "1")},
		}, 1},
		{"refused, then run", History{
			Runs: []Run{run("1", "r", 7, 8)}, Calls: []Call{call("r", 1, 6, notRun, "")},
		}, 1},
		{"refused during the run", History{
			Runs: []Run{run("1", "r", 2, 8)}, Calls: []Call{call("r", 1, 6, notRun, "")},
		}, 1},
		{"another request refused under the key", History{
			Runs: []Run{run("1", "r", 2, 5)}, Calls: []Call{call("other", 1, 6, notRun, "")},
		}, 0},
		{"unknown outcome allows any run", History{
			Runs: []Run{run("1", "r", 7, 8)}, Calls: []Call{call("r", 1, 6, unknown, ""), call("r", 9, 9, unknown, "")},
		}, 0},
		{"run whose end was not observed", History{
			Runs: []Run{run("1", "r", 2, 0)}, Calls: []Call{call("r", 1, 6, completed, "1")},
		}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if found := CheckAtMostOnce(c.h); len(found) != c.violations {
				t.Fatalf("got violations %v, want %d", found, c.violations)
			}
		})
	}
}

func TestCheckCompleteResponses(t *testing.T) {
	own := Call{Request: "r", Returned: true, Outcome: outcome.Completed, Want: "abc", Got: "abc"}
	truncated, unknownOutcome, looksComplete := own, own, own
	truncated.Got = "ab"
	unknownOutcome.Outcome, unknownOutcome.Got = outcome.Unknown, "ab"
	looksComplete.Outcome, looksComplete.Got, looksComplete.LooksComplete = outcome.Unknown, "ab", true
	cases := []struct {
		name       string
		call       Call
		violations int
	}{
		{"complete response to own request", own, 0},
		{"truncated but completed", truncated, 1},
		{"truncated with outcome unknown", unknownOutcome, 0},
		{"truncated but looks complete", looksComplete, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if found := CheckCompleteResponses(History{Calls: []Call{c.call}}); len(found) != c.violations {
				t.Fatalf("got violations %v, want %d", found, c.violations)
			}
		})
	}
}

func TestCheckNotRunWithoutKey(t *testing.T) {
	h := History{
		Calls: []Call{{Request: "r", Returned: true, Outcome: outcome.NotRun}},
		Runs:  []Run{{ID: "1", Request: "r"}, {ID: "2", Request: "s"}},
	}
	if found := CheckNotRun(h); len(found) != 1 {
		t.Fatalf("got violations %v, want exactly one", found)
	}
}

func TestCheckConfigVersions(t *testing.T) {
	publications := []Publication{{At: 1, Version: 1, Valid: true}, {At: 5, Version: 2, Valid: true}, {At: 6, Version: 3}}
	cases := []struct {
		name         string
		observations []Observation
		violations   int
	}{
		{"increasing", []Observation{{"p", 2, 1}, {"p", 6, 2}, {"q", 2, 1}}, 0},
		{"decreasing", []Observation{{"p", 6, 2}, {"p", 7, 1}}, 1},
		{"decreasing across incarnations", []Observation{{"p", 6, 2}, {"p2", 7, 1}}, 0},
		{"observed before publication", []Observation{{"p", 2, 2}}, 1},
		{"invalid version", []Observation{{"p", 7, 3}}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := History{Observations: c.observations, Publications: publications}
			if found := CheckConfigVersions(h); len(found) != c.violations {
				t.Fatalf("got violations %v, want %d", found, c.violations)
			}
		})
	}
}

func TestCheckConfigActivation(t *testing.T) {
	h := History{
		Publications: []Publication{{At: 1, Version: 1, Valid: true}, {At: 10, Version: 2, Valid: true}},
		Observations: []Observation{{"p", 14, 1}, {"p", 15, 1}, {"frozen", 20, 1}, {"q", 16, 2}},
	}
	found := CheckConfigActivation(h, 5, func(o Observation) bool { return o.Process == "frozen" })
	if len(found) != 1 || found[0].Subject != "p" {
		t.Fatalf("got violations %v, want exactly one, of process p", found)
	}
}

func TestCheckDraining(t *testing.T) {
	h := History{Runs: []Run{run("1", "r", 4, 9), run("2", "s", 6, 7)}}
	if found := CheckDraining(h, []DrainStart{{Agent: "a1", At: 3}}, 2); len(found) != 1 {
		t.Fatalf("got violations %v, want exactly one", found)
	}
}

func TestCheckGracefulShutdown(t *testing.T) {
	interrupted, alreadyReturned := call("r", 1, 9, outcome.Unknown, ""), call("s", 1, 4, outcome.Unknown, "")
	h := History{Calls: []Call{interrupted, alreadyReturned, call("t", 1, 9, outcome.Completed, "1")}}
	anyCall := func(Call, string) bool { return true }
	if found := CheckGracefulShutdown(h, []Shutdown{{Process: "e1", At: 5}}, anyCall); len(found) != 1 {
		t.Fatalf("got violations %v, want exactly one", found)
	}
}

func event(action admission.Action, rule admission.Rule, reason outcome.Reason, class string, classes ...admission.ClassState) admission.Event {
	return admission.Event{
		Action: action, Rule: rule, Reason: reason, Request: &admission.Request{ID: "r", Class: class}, Classes: classes,
	}
}

var testClasses = ClassesByName([]admission.Class{{Name: "high", Tier: 1}, {Name: "low", Tier: 4, Floor: 0.1}})

func TestCheckTierOrder(t *testing.T) {
	high := admission.ClassState{Class: "high", Tier: 1, Queued: 1}
	low := admission.ClassState{Class: "low", Tier: 4, Queued: 3, SharedUsed: 1}
	reserved := admission.ClassState{Class: "low", Tier: 4, Queued: 3, Reserved: 3}
	cases := []struct {
		name       string
		event      admission.Event
		violations int
	}{
		{"high refused while low occupies shared capacity", event(admission.ActionRefuse, "", outcome.ReasonQueueFull, "high", high, low), 1},
		{"high refused while low occupies its reserved capacity", event(admission.ActionRefuse, "", outcome.ReasonQueueFull, "high", high, reserved), 0},
		{"high refused by its deadline", event(admission.ActionRefuse, "", outcome.ReasonDeadline, "high", high, low), 0},
		{"high evicted while low occupies shared capacity", event(admission.ActionEvict, "", outcome.ReasonShed, "high", high, low), 1},
		{"low starts before high by tier", event(admission.ActionStart, admission.RuleTier, "", "low", high, low), 1},
		{"low starts by its floor", event(admission.ActionStart, admission.RuleFloor, "", "low", high, low), 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			found := CheckTierOrder([]admission.Event{c.event}, testClasses)
			if len(found) != c.violations {
				t.Fatalf("got violations %v, want %d", found, c.violations)
			}
		})
	}
}

func TestCheckTierOrderBoundsFloorStarts(t *testing.T) {
	states := []admission.ClassState{{Class: "high", Tier: 1, Queued: 1}, {Class: "low", Tier: 4, Queued: 1}}
	var events []admission.Event
	for range 10 {
		events = append(events, event(admission.ActionStart, admission.RuleFloor, "", "low", states...))
	}
	if found := CheckTierOrder(events, testClasses); len(found) == 0 {
		t.Fatal("CheckTierOrder accepted a class that takes every start by its floor, want a violation")
	}
}

func TestCheckFloors(t *testing.T) {
	states := []admission.ClassState{{Class: "high", Tier: 1, Queued: 1}, {Class: "low", Tier: 4, Queued: 1}}
	var events []admission.Event
	for range 13 {
		events = append(events, event(admission.ActionStart, admission.RuleTier, "", "high", states...))
	}
	if found := CheckFloors(events[:12], testClasses); len(found) != 0 {
		t.Fatalf("got violations %v, want none", found)
	}
	if found := CheckFloors(events, testClasses); len(found) != 1 {
		t.Fatalf("got violations %v, want exactly one", found)
	}
}
