package statechart

import "github.com/rotisserie/eris"

// build indexes and validates the chart.
func (c *Chart) build() error {
	if err := c.indexNames(); err != nil {
		return err
	}
	if err := c.indexTransitions(); err != nil {
		return err
	}
	return c.checkStates()
}

func (c *Chart) indexNames() error {
	c.states = make(map[string]*State, len(c.States))
	for i := range c.States {
		name := c.States[i].Name
		if name == "" || c.states[name] != nil {
			return eris.Errorf("state %q: the name is empty or declared twice", name)
		}
		c.states[name] = &c.States[i]
	}
	c.events = make(map[string]bool, len(c.Events))
	for _, e := range c.Events {
		if e.Name == "" || c.events[e.Name] {
			return eris.Errorf("event %q: the name is empty or declared twice", e.Name)
		}
		c.events[e.Name] = true
	}
	if c.states[c.Initial] == nil {
		return eris.Errorf("initial state %q: unknown state", c.Initial)
	}
	return nil
}

func (c *Chart) indexTransitions() error {
	c.next = make(map[transitionKey]string, len(c.Transitions))
	used := make(map[string]bool, len(c.events))
	for _, t := range c.Transitions {
		if err := c.checkTransition(t); err != nil {
			return err
		}
		c.next[transitionKey{t.From, t.Event}] = t.To
		used[t.Event] = true
	}
	for _, e := range c.Events {
		if !used[e.Name] {
			return eris.Errorf("event %q: no transition uses it", e.Name)
		}
	}
	return nil
}

func (c *Chart) checkTransition(t Transition) error {
	from := c.states[t.From]
	if from == nil {
		return eris.Errorf("transition from %q: unknown state", t.From)
	}
	if c.states[t.To] == nil {
		return eris.Errorf("transition from %q to %q: unknown state", t.From, t.To)
	}
	if !c.events[t.Event] {
		return eris.Errorf("transition from %q on %q: unknown event", t.From, t.Event)
	}
	if from.Final {
		return eris.Errorf("transition from %q: a final state must not have outgoing transitions", t.From)
	}
	if _, found := c.next[transitionKey{t.From, t.Event}]; found {
		return eris.Errorf("transition from %q on %q: declared twice", t.From, t.Event)
	}
	return nil
}

func (c *Chart) checkStates() error {
	distances := c.distances()
	hasOutgoing := make(map[string]bool)
	for _, t := range c.Transitions {
		hasOutgoing[t.From] = true
	}
	for _, s := range c.States {
		if _, reachable := distances[s.Name]; !reachable {
			return eris.Errorf("state %q: cannot be reached from the initial state", s.Name)
		}
		if !s.Final && !hasOutgoing[s.Name] {
			return eris.Errorf("state %q: has no outgoing transitions and is not final", s.Name)
		}
	}
	return nil
}

// distances returns the minimum number of transitions from the initial state to
// each reachable state.
func (c *Chart) distances() map[string]int {
	distances := map[string]int{c.Initial: 0}
	queue := []string{c.Initial}
	for len(queue) > 0 {
		state := queue[0]
		queue = queue[1:]
		for _, t := range c.Transitions {
			if t.From != state {
				continue
			}
			if _, seen := distances[t.To]; seen {
				continue
			}
			distances[t.To] = distances[state] + 1
			queue = append(queue, t.To)
		}
	}
	return distances
}
