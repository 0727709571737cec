package statechart

import "github.com/rotisserie/eris"

// ErrUnknownEvent is the root error that Fire returns for an event that the chart
// does not declare.
var ErrUnknownEvent = eris.New("unknown event")

// ErrNotAllowed is the root error that Fire returns for an event that has no
// transition from the current state.
var ErrNotAllowed = eris.New("event not allowed in this state")

// Machine is a state machine: an instance of a chart with a current state. It is
// not safe for concurrent use.
type Machine struct {
	chart *Chart
	state string
}

// New returns a machine in the initial state.
func (c *Chart) New() *Machine {
	return &Machine{chart: c, state: c.Initial}
}

// Fire performs the transition for the event and returns the new state. If it
// fails, it returns an error and the state does not change.
func (m *Machine) Fire(event string) (state string, err error) {
	if !m.chart.events[event] {
		return m.state, eris.Wrapf(ErrUnknownEvent, "state chart %s: %q", m.chart.Name, event)
	}
	next, ok := m.chart.next[transitionKey{m.state, event}]
	if !ok {
		return m.state, eris.Wrapf(ErrNotAllowed, "state chart %s: %q in %q", m.chart.Name, event, m.state)
	}
	m.state = next
	return next, nil
}

// Can reports whether the event has a transition from the current state.
func (m *Machine) Can(event string) bool {
	_, ok := m.chart.next[transitionKey{m.state, event}]
	return ok
}

// State returns the current state.
func (m *Machine) State() string { return m.state }

// Final reports whether the current state is final.
func (m *Machine) Final() bool { return m.chart.states[m.state].Final }
