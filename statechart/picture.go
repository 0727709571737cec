package statechart

import (
	"fmt"
	"strings"
)

// Dot returns the chart in the language of Graphviz.
func (c *Chart) Dot() string {
	var b strings.Builder
	fmt.Fprintf(&b, "digraph %s {\n\trankdir=LR;\n\tnode [shape=box, style=rounded];\n", c.Name)
	fmt.Fprintf(&b, "\t_start [shape=point];\n\t_start -> %s;\n", c.Initial)
	for _, s := range c.States {
		if s.Final {
			fmt.Fprintf(&b, "\t%s [peripheries=2];\n", s.Name)
		}
	}
	for _, t := range c.Transitions {
		fmt.Fprintf(&b, "\t%s -> %s [label=%q];\n", t.From, t.To, t.Event)
	}
	b.WriteString("}\n")
	return b.String()
}

// Mermaid returns the chart as a Mermaid state diagram.
func (c *Chart) Mermaid() string {
	var b strings.Builder
	b.WriteString("stateDiagram-v2\n    direction LR\n")
	fmt.Fprintf(&b, "    [*] --> %s\n", c.Initial)
	for _, t := range c.Transitions {
		fmt.Fprintf(&b, "    %s --> %s: %s\n", t.From, t.To, t.Event)
	}
	for _, s := range c.States {
		if s.Final {
			fmt.Fprintf(&b, "    %s --> [*]\n", s.Name)
		}
	}
	return b.String()
}
