package statechart

import "github.com/rotisserie/eris"

// build indexes the chart and checks it.
func (c *Chart) build() error {
	if err := c.indexNames(); err != nil {
		return err
	}
	if err := c.indexTransitions(); err != nil {
		return err
	}
	return c.checkReachable()
}

func (c *Chart) indexNames() error {
	c.states = make(map[string]*State, len(c.States))
	for i := range c.States {
		name := c.States[i].Name
		if name == "" || c.states[name] != nil {
			return eris.Errorf("state %q: empty or declared twice", name)
		}
		c.states[name] = &c.States[i]
	}
	c.events = make(map[string]bool, len(c.Events))
	for _, e := range c.Events {
		if e.Name == "" || c.events[e.Name] {
			return eris.Errorf("event %q: empty or declared twice", e.Name)
		}
		c.events[e.Name] = true
	}
	if c.states[c.Initial] == nil {
		return eris.Errorf("initial state %q: unknown", c.Initial)
	}
	return nil
}

func (c *Chart) indexTransitions() error {
	c.next = make(map[step]string, len(c.Transitions))
	used := make(map[string]bool, len(c.events))
	for _, t := range c.Transitions {
		if err := c.checkTransition(t); err != nil {
			return err
		}
		c.next[step{t.From, t.Event}] = t.To
		used[t.Event] = true
	}
	for _, e := range c.Events {
		if !used[e.Name] {
			return eris.Errorf("event %q: no transition takes it", e.Name)
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
		return eris.Errorf("transition from %q: a final state has no exits", t.From)
	}
	if _, found := c.next[step{t.From, t.Event}]; found {
		return eris.Errorf("transition from %q on %q: declared twice", t.From, t.Event)
	}
	return nil
}

func (c *Chart) checkReachable() error {
	ranks := c.ranks()
	exits := make(map[string]bool)
	for _, t := range c.Transitions {
		exits[t.From] = true
	}
	for _, s := range c.States {
		if _, reached := ranks[s.Name]; !reached {
			return eris.Errorf("state %q: cannot be reached", s.Name)
		}
		if !s.Final && !exits[s.Name] {
			return eris.Errorf("state %q: has no exits and is not final", s.Name)
		}
	}
	return nil
}

// ranks returns the least number of transitions to each state that can be
// reached.
func (c *Chart) ranks() map[string]int {
	ranks := map[string]int{c.Initial: 0}
	waiting := []string{c.Initial}
	for len(waiting) > 0 {
		state := waiting[0]
		waiting = waiting[1:]
		for _, t := range c.Transitions {
			if t.From != state {
				continue
			}
			if _, seen := ranks[t.To]; seen {
				continue
			}
			ranks[t.To] = ranks[state] + 1
			waiting = append(waiting, t.To)
		}
	}
	return ranks
}
