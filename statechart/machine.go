package statechart

import "github.com/rotisserie/eris"

// ErrUnknownEvent is the root of the error for an event that the chart does
// not declare.
var ErrUnknownEvent = eris.New("unknown event")

// ErrNotAllowed is the root of the error for an event that the present state
// does not take.
var ErrNotAllowed = eris.New("event not allowed in this state")

// Machine is one run through a chart. It is not safe for concurrent use: the
// duty that owns it fires its events.
type Machine struct {
	chart *Chart
	state string
}

// New returns a machine in the initial state.
func (c *Chart) New() *Machine {
	return &Machine{chart: c, state: c.Initial}
}

// Fire moves the machine along the transition for the event and returns the
// state it is in afterwards. On an error the state is as before.
func (m *Machine) Fire(event string) (state string, err error) {
	if !m.chart.events[event] {
		return m.state, eris.Wrapf(ErrUnknownEvent, "state chart %s: %q", m.chart.Name, event)
	}
	next, ok := m.chart.next[step{m.state, event}]
	if !ok {
		return m.state, eris.Wrapf(ErrNotAllowed, "state chart %s: %q in %q", m.chart.Name, event, m.state)
	}
	m.state = next
	return next, nil
}

// Can reports whether the present state takes the event.
func (m *Machine) Can(event string) bool {
	_, ok := m.chart.next[step{m.state, event}]
	return ok
}

// State returns the present state.
func (m *Machine) State() string { return m.state }

// Final reports whether the machine has reached a final state.
func (m *Machine) Final() bool { return m.chart.states[m.state].Final }
