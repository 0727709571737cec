package history

import (
	"testing"
	"time"

	"github.com/sesameswitch/sesameswitch/admission"
	"github.com/sesameswitch/sesameswitch/outcome"
)

func run(id, request string, from, to time.Duration) Run {
	return Run{ID: id, Key: "k", Request: request, Agent: "a1", Started: from, Ended: to}
}

func call(request string, from, to time.Duration, out outcome.Outcome, runID string) Call {
	return Call{Key: "k", Request: request, Invoked: from, Completed: to, Returned: true, Outcome: out, RunID: runID}
}

func TestCheckAtMostOnce(t *testing.T) {
	completed, notRun, unknown := outcome.Completed, outcome.NotRun, outcome.Unknown
	cases := []struct {
		name string
		h    History
		bad  int
	}{
		{"one run, joined by a repeat", History{
			Runs:  []Run{run("1", "r", 2, 5)},
			Calls: []Call{call("r", 1, 6, completed, "1"), call("r", 3, 9, completed, "1")},
		}, 0},
		{"two runs", History{Runs: []Run{run("1", "r", 2, 5), run("2", "r", 7, 8)}}, 1},
		{"two runs at the same time", History{Runs: []Run{run("1", "r", 2, 5), run("2", "r", 2, 5)}}, 1},
		{"answer of another run", History{
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
		{"unknown says nothing", History{
			Runs: []Run{run("1", "r", 7, 8)}, Calls: []Call{call("r", 1, 6, unknown, ""), call("r", 9, 9, unknown, "")},
		}, 0},
		{"a run whose end was not seen", History{
			Runs: []Run{run("1", "r", 2, 0)}, Calls: []Call{call("r", 1, 6, completed, "1")},
		}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if found := CheckAtMostOnce(c.h); len(found) != c.bad {
				t.Fatalf("found %v", found)
			}
		})
	}
}

func TestCheckAnswers(t *testing.T) {
	own := Call{Request: "r", Returned: true, Outcome: outcome.Completed, Want: "abc", Got: "abc"}
	short, unmarked, cut := own, own, own
	short.Got = "ab"
	unmarked.Outcome, unmarked.Got = outcome.Unknown, "ab"
	cut.Outcome, cut.Got, cut.LooksComplete = outcome.Unknown, "ab", true
	cases := []struct {
		name string
		call Call
		bad  int
	}{
		{"own whole answer", own, 0},
		{"short but completed", short, 1},
		{"short and marked as broken", unmarked, 0},
		{"short and looks whole", cut, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if found := CheckCompleteResponses(History{Calls: []Call{c.call}}); len(found) != c.bad {
				t.Fatalf("found %v", found)
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
		t.Fatalf("found %v", found)
	}
}

func TestCheckVersions(t *testing.T) {
	published := []Publication{{At: 1, Version: 1, Valid: true}, {At: 5, Version: 2, Valid: true}, {At: 6, Version: 3}}
	cases := []struct {
		name string
		seen []Observation
		bad  int
	}{
		{"rising", []Observation{{"p", 2, 1}, {"p", 6, 2}, {"q", 2, 1}}, 0},
		{"back", []Observation{{"p", 6, 2}, {"p", 7, 1}}, 1},
		{"back in another life", []Observation{{"p", 6, 2}, {"p2", 7, 1}}, 0},
		{"before publication", []Observation{{"p", 2, 2}}, 1},
		{"invalid version", []Observation{{"p", 7, 3}}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := History{Observations: c.seen, Publications: published}
			if found := CheckConfigVersions(h); len(found) != c.bad {
				t.Fatalf("found %v", found)
			}
		})
	}
}

func TestCheckInForce(t *testing.T) {
	h := History{
		Publications: []Publication{{At: 1, Version: 1, Valid: true}, {At: 10, Version: 2, Valid: true}},
		Observations: []Observation{{"p", 14, 1}, {"p", 15, 1}, {"frozen", 20, 1}, {"q", 16, 2}},
	}
	found := CheckConfigActivation(h, 5, func(o Observation) bool { return o.Process == "frozen" })
	if len(found) != 1 || found[0].Subject != "p" {
		t.Fatalf("found %v", found)
	}
}

func TestCheckLeaving(t *testing.T) {
	h := History{Runs: []Run{run("1", "r", 4, 9), run("2", "s", 6, 7)}}
	if found := CheckDraining(h, []DrainStart{{Agent: "a1", At: 3}}, 2); len(found) != 1 {
		t.Fatalf("found %v", found)
	}
}

func TestCheckGracefulShutdown(t *testing.T) {
	cut, over := call("r", 1, 9, outcome.Unknown, ""), call("s", 1, 4, outcome.Unknown, "")
	h := History{Calls: []Call{cut, over, call("t", 1, 9, outcome.Completed, "1")}}
	all := func(Call, string) bool { return true }
	if found := CheckGracefulShutdown(h, []Shutdown{{Process: "e1", At: 5}}, all); len(found) != 1 {
		t.Fatalf("found %v", found)
	}
}

func event(action admission.Action, via admission.Rule, reason outcome.Reason, class string, classes ...admission.ClassState) admission.Event {
	return admission.Event{
		Action: action, Rule: via, Reason: reason, Request: &admission.Request{ID: "r", Class: class}, Classes: classes,
	}
}

var testClasses = ClassesByName([]admission.Class{{Name: "high", Tier: 1}, {Name: "low", Tier: 4, Floor: 0.1}})

func TestCheckTierOrder(t *testing.T) {
	high := admission.ClassState{Class: "high", Tier: 1, Queued: 1}
	low := admission.ClassState{Class: "low", Tier: 4, Queued: 3, SharedUsed: 1}
	reserved := admission.ClassState{Class: "low", Tier: 4, Queued: 3, Reserved: 3}
	cases := []struct {
		name  string
		event admission.Event
		bad   int
	}{
		{"high refused while low has shared room", event(admission.ActionRefuse, "", outcome.ReasonQueueFull, "high", high, low), 1},
		{"high refused while low has its reserve", event(admission.ActionRefuse, "", outcome.ReasonQueueFull, "high", high, reserved), 0},
		{"high refused by its deadline", event(admission.ActionRefuse, "", outcome.ReasonDeadline, "high", high, low), 0},
		{"high evicted while low has shared room", event(admission.ActionEvict, "", outcome.ReasonShed, "high", high, low), 1},
		{"low starts first", event(admission.ActionStart, admission.RuleTier, "", "low", high, low), 1},
		{"low starts by its floor", event(admission.ActionStart, admission.RuleFloor, "", "low", high, low), 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			found := CheckTierOrder([]admission.Event{c.event}, testClasses)
			if len(found) != c.bad {
				t.Fatalf("found %v", found)
			}
		})
	}
}

func TestCheckTierOrderBoundsFloors(t *testing.T) {
	states := []admission.ClassState{{Class: "high", Tier: 1, Queued: 1}, {Class: "low", Tier: 4, Queued: 1}}
	var events []admission.Event
	for range 10 {
		events = append(events, event(admission.ActionStart, admission.RuleFloor, "", "low", states...))
	}
	if found := CheckTierOrder(events, testClasses); len(found) == 0 {
		t.Fatal("a class that takes every start by its floor passed")
	}
}

func TestCheckFloors(t *testing.T) {
	states := []admission.ClassState{{Class: "high", Tier: 1, Queued: 1}, {Class: "low", Tier: 4, Queued: 1}}
	var events []admission.Event
	for range 13 {
		events = append(events, event(admission.ActionStart, admission.RuleTier, "", "high", states...))
	}
	if found := CheckFloors(events[:12], testClasses); len(found) != 0 {
		t.Fatalf("found %v", found)
	}
	if found := CheckFloors(events, testClasses); len(found) != 1 {
		t.Fatalf("found %v", found)
	}
}
