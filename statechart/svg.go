package statechart

import (
	"fmt"
	"html"
	"strings"
)

// Dimensions of the diagram, in pixels.
const (
	boxWidth    = 110
	boxHeight   = 36
	columnWidth = 270
	rowHeight   = 120
	margin      = 40
	// loopHeight is how far the control point of the edge of a self-transition is
	// above the box.
	loopHeight = 34
	// detourHeight is how far the control point of an edge to an earlier column is
	// displaced downwards, and detourWidth how far that of an edge past other boxes
	// of the same column is displaced sideways.
	detourHeight = 34
	detourWidth  = 70
)

const svgHead = `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 %[1]d %[2]d" width="%[1]d" height="%[2]d" font-family="sans-serif" font-size="13">
<title>%[3]s</title>
<defs><marker id="arrow" viewBox="0 0 10 10" refX="9" refY="5" markerWidth="8" markerHeight="8" orient="auto"><path d="M0 0L10 5L0 10z"/></marker></defs>
<rect width="100%%" height="100%%" fill="white"/>
`

// point is a position in the diagram, in pixels.
type point struct{ x, y int }

// SVG returns the chart as an SVG diagram. The states are arranged from left to
// right by their distance from the initial state. Final states have a double
// border.
func (c *Chart) SVG() string {
	positions, size := c.layout()
	var b strings.Builder
	fmt.Fprintf(&b, svgHead, size.x, size.y, html.EscapeString(c.Description))
	for _, edge := range c.edges() {
		drawEdge(&b, positions[edge.from], positions[edge.to], strings.Join(edge.events, ", "))
	}
	for _, s := range c.States {
		drawState(&b, positions[s.Name], s)
	}
	start := positions[c.Initial]
	fmt.Fprintf(&b, "<circle cx=\"%d\" cy=\"%d\" r=\"6\"/>\n", start.x-boxWidth/2-22, start.y)
	drawLine(&b, point{start.x - boxWidth/2 - 22, start.y}, point{start.x - boxWidth/2, start.y})
	b.WriteString("</svg>\n")
	return b.String()
}

// layout returns the centre of each state's box and the size of the diagram.
func (c *Chart) layout() (positions map[string]point, size point) {
	distances := c.distances()
	rowsInColumn := make(map[int]int)
	positions = make(map[string]point, len(c.States))
	columns, rows := 0, 0
	for _, s := range c.States {
		column := distances[s.Name]
		row := rowsInColumn[column]
		rowsInColumn[column]++
		columns, rows = max(columns, column+1), max(rows, rowsInColumn[column])
		// Every second column is lower, so that edges pass between boxes.
		offset := column % 2 * rowHeight / 3
		positions[s.Name] = point{margin + 30 + boxWidth/2 + column*columnWidth, margin + loopHeight + boxHeight/2 + row*rowHeight + offset}
	}
	// The additional 30 pixels on the left are for the start marker.
	size = point{2*margin + 30 + boxWidth + (columns-1)*columnWidth, 2*margin + loopHeight + rows*rowHeight + rowHeight/3}
	return positions, size
}

// edge combines all transitions from one state to another.
type edge struct {
	from, to string
	events   []string
}

func (c *Chart) edges() []edge {
	index := make(map[[2]string]int)
	var edges []edge
	for _, t := range c.Transitions {
		key := [2]string{t.From, t.To}
		i, found := index[key]
		if !found {
			i = len(edges)
			index[key] = i
			edges = append(edges, edge{from: t.From, to: t.To})
		}
		edges[i].events = append(edges[i].events, t.Event)
	}
	return edges
}

func drawState(b *strings.Builder, p point, s State) {
	drawBox(b, p, 0)
	if s.Final {
		drawBox(b, p, 4)
	}
	fmt.Fprintf(b, "<text x=\"%d\" y=\"%d\" text-anchor=\"middle\">%s<title>%s</title></text>\n",
		p.x, p.y+5, html.EscapeString(s.Name), html.EscapeString(s.Description))
}

func drawBox(b *strings.Builder, p point, inset int) {
	fmt.Fprintf(b, "<rect x=\"%d\" y=\"%d\" width=\"%d\" height=\"%d\" rx=\"8\" fill=\"#eef3fa\" stroke=\"black\"/>\n",
		p.x-boxWidth/2+inset, p.y-boxHeight/2+inset, boxWidth-2*inset, boxHeight-2*inset)
}

func drawLine(b *strings.Builder, from, to point) {
	fmt.Fprintf(b, "<path d=\"M%d %dL%d %d\" fill=\"none\" stroke=\"black\" marker-end=\"url(#arrow)\"/>\n", from.x, from.y, to.x, to.y)
}

// drawEdge draws a labelled curve from the box at from to the box at to. Curves are
// displaced by a few pixels where edges in both directions would coincide.
func drawEdge(b *strings.Builder, from, to point, label string) {
	const halfHeight, halfWidth = boxHeight / 2, boxWidth / 2
	switch {
	case from == to: // self-transition
		drawCurve(b, point{from.x - 46, from.y - halfHeight}, point{to.x - 14, to.y - halfHeight}, point{0, -loopHeight}, label)
	case from.x == to.x && from.y-to.y > rowHeight: // upwards, past other boxes
		drawCurve(b, point{from.x - halfWidth, from.y}, point{to.x - halfWidth, to.y}, point{-detourWidth, 0}, label)
	case from.x == to.x && to.y-from.y > rowHeight: // downwards, past other boxes
		drawCurve(b, point{from.x + halfWidth, from.y}, point{to.x + halfWidth, to.y}, point{detourWidth, 0}, label)
	case from.x == to.x && from.y < to.y: // to the next box below
		drawCurve(b, point{from.x + 8, from.y + halfHeight}, point{to.x + 8, to.y - halfHeight}, point{}, label)
	case from.x == to.x: // to the next box above
		drawCurve(b, point{from.x - 8, from.y - halfHeight}, point{to.x - 8, to.y + halfHeight}, point{}, label)
	case from.x < to.x: // to a later column
		drawCurve(b, point{from.x + halfWidth, from.y}, point{to.x - halfWidth, to.y}, point{}, label)
	default: // to an earlier column
		drawCurve(b, point{from.x - halfWidth, from.y + 8}, point{to.x + halfWidth, to.y + 8}, point{0, detourHeight}, label)
	}
}

// drawCurve draws a quadratic Bézier curve with its label at a third of the curve.
// The control point is the midpoint of from and to plus bend.
func drawCurve(b *strings.Builder, from, to, bend point, label string) {
	control := point{(from.x+to.x)/2 + bend.x, (from.y+to.y)/2 + bend.y}
	fmt.Fprintf(b, "<path d=\"M%d %dQ%d %d %d %d\" fill=\"none\" stroke=\"black\" marker-end=\"url(#arrow)\"/>\n",
		from.x, from.y, control.x, control.y, to.x, to.y)
	// At t = 1/3, the weights of the start, control and end point are 4/9, 4/9 and
	// 1/9.
	labelPos := point{(4*from.x + 4*control.x + to.x) / 9, (4*from.y + 4*control.y + to.y) / 9}
	fmt.Fprintf(b, "<text x=\"%d\" y=\"%d\" text-anchor=\"middle\" paint-order=\"stroke\" stroke=\"white\" stroke-width=\"4\">%s</text>\n",
		labelPos.x, labelPos.y-4, html.EscapeString(label))
}
