package statechart

import (
	"fmt"
	"strings"
)

// DOT returns the chart as a graph in DOT, the language of Graphviz.
func (c *Chart) DOT() string {
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

// Markdown returns a page about the chart: its diagrams and the meaning of each
// state and event.
func (c *Chart) Markdown() string {
	var b strings.Builder
	fmt.Fprintf(&b, "# State chart: %s\n\n%s\n\n![%s](%s.svg)\n\n", c.Name, c.Description, c.Name, c.Name)
	b.WriteString("| state | meaning |\n|---|---|\n")
	for _, s := range c.States {
		name := s.Name
		if s.Final {
			name += " (final)"
		}
		fmt.Fprintf(&b, "| %s | %s |\n", name, s.Description)
	}
	b.WriteString("\n| event | meaning |\n|---|---|\n")
	for _, e := range c.Events {
		fmt.Fprintf(&b, "| %s | %s |\n", e.Name, e.Description)
	}
	fmt.Fprintf(&b, "\n```mermaid\n%s```\n\nGenerated from statechart/charts/%s.yaml by `sesamectl charts --dir docs/charts`.\n", c.Mermaid(), c.Name)
	return b.String()
}
