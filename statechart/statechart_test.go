package statechart

import (
	"errors"
	"strings"
	"testing"
)

func TestEmbeddedChartsAreValid(t *testing.T) {
	names := Names()
	if len(names) != 5 {
		t.Fatalf("got embedded charts %v, want 5", names)
	}
	for _, name := range names {
		if _, err := Load(name); err != nil {
			t.Error(err)
		}
	}
	if _, err := Load("nothing"); err == nil {
		t.Error("Load of a chart that does not exist returned no error")
	}
}

func TestMachineAllowsOnlyTransitionsOfItsChart(t *testing.T) {
	m := MustLoad("request").New()
	for _, step := range []struct{ event, want string }{{"queue", "queued"}, {"start", "running"}, {"finish", "completed"}} {
		if got, err := m.Fire(step.event); err != nil || got != step.want {
			t.Fatalf("Fire(%s) = %s, %v; want %s", step.event, got, err, step.want)
		}
	}
	if !m.Final() || m.Can("queue") {
		t.Error("the state completed is not final or allows the event queue")
	}
	if _, err := m.Fire("queue"); !errors.Is(err, ErrNotAllowed) {
		t.Errorf("event in a final state: got error %v, want ErrNotAllowed", err)
	}
	if _, err := m.Fire("explode"); !errors.Is(err, ErrUnknownEvent) {
		t.Errorf("event that is not declared: got error %v, want ErrUnknownEvent", err)
	}
	if m.State() != "completed" {
		t.Errorf("after events that are not allowed: got state %s, want completed", m.State())
	}
}

const validChart = `name: door
initial: open
states: [{name: open}, {name: shut, final: true}]
events: [{name: push}]
transitions: [{from: open, event: push, to: shut}]
`

func TestParseRefusesInvalidCharts(t *testing.T) {
	if _, err := Parse([]byte(validChart)); err != nil {
		t.Fatal(err)
	}
	cases := []struct{ name, old, replacement, want string }{
		{"unknown field", "name: door", "name: door\ncolour: red", "colour"},
		{"unknown initial", "initial: open", "initial: ajar", "initial state"},
		{"unknown target", "to: shut", "to: ajar", "unknown state"},
		{"unknown source", "from: open", "from: ajar", "unknown state"},
		{"unknown event", "event: push", "event: pull", "unknown event"},
		{"unused event", "[{name: push}]", "[{name: push}, {name: pull}]", "no transition uses it"},
		{"state twice", "[{name: open}", "[{name: open}, {name: open}", "twice"},
		{"event twice", "[{name: push}", "[{name: push}, {name: push}", "twice"},
		{"transition twice", "[{from", "[{from: open, event: push, to: open}, {from", "twice"},
		{"unreachable", "[{name: open}", "[{name: open}, {name: ajar, final: true}", "cannot be reached"},
		{"no outgoing transitions", ", final: true", "", "not final"},
		{"final with outgoing transitions", "[{name: open}", "[{name: open, final: true}", "must not have outgoing transitions"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(validChart, c.old, c.replacement, 1)))
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got error %v, want an error that contains %q", err, c.want)
			}
		})
	}
}
