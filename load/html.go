package load

import (
	"fmt"
	"html/template"
	"os"
)

// Dimensions of a bar chart, in pixels.
const (
	maxBarWidth = 420
	barHeight   = 16
	labelWidth  = 230
	rowHeight   = 20
)

// policyColours maps each policy to the fill colour of its bars.
var policyColours = map[string]string{"round-robin": "#b8b8b8", "least": "#e0a458", "sesame": "#2f7f79"}

// reportPage is the data of the HTML report. The template refers to the fields of
// this type, of the types below, and of Summary and ClassSummary by name.
type reportPage struct {
	Sections []reportSection
}

// reportSection is the section of the report for one scenario.
type reportSection struct {
	Name, Description string
	Charts            []chart
	Runs              []Summary
}

// chart is a bar chart.
type chart struct {
	Title  string
	Bars   []bar
	Height int
}

// bar is one bar of a chart. Y is the top of the bar, TextY the baseline of its
// label and value, both in pixels from the top of the chart. Width is in pixels.
type bar struct {
	Label, Value, Fill string
	Y, TextY, Width    int
}

// dataPoint is one value of a chart; text is the value as it is displayed.
type dataPoint struct {
	label, policy, text string
	value               float64
}

func newChart(title string, points []dataPoint) chart {
	c := chart{Title: title, Height: rowHeight * len(points)}
	maxValue := 0.0
	for _, point := range points {
		maxValue = max(maxValue, point.value)
	}
	for i, point := range points {
		b := bar{
			Label: point.label,
			Value: point.text,
			Fill:  policyColours[point.policy],
			Y:     i * rowHeight,
			TextY: i*rowHeight + barHeight - 3, // the baseline is 3 px above the bottom of the bar
		}
		if maxValue > 0 {
			b.Width = int(maxBarWidth * point.value / maxValue)
		}
		c.Bars = append(c.Bars, b)
	}
	return c
}

func newSection(scenario *Scenario, runs []Summary) reportSection {
	section := reportSection{Name: scenario.Name, Description: scenario.Description, Runs: runs}
	var goodput, wasted []dataPoint
	for i := range runs {
		r := &runs[i]
		goodput = append(goodput, dataPoint{r.Policy, r.Policy, fmt.Sprintf("%.1f", r.Goodput), r.Goodput})
		wasted = append(wasted, dataPoint{r.Policy, r.Policy, fmt.Sprint(r.Wasted), float64(r.Wasted)})
	}
	section.Charts = append(section.Charts,
		newChart("Attainment of targets, %", classPoints(runs, func(c *ClassSummary) float64 { return 100 * c.Attainment })),
		newChart("Goodput, answers within target per second", goodput),
		newChart("Wasted tokens", wasted),
		newChart("Time to first token, 95th percentile of completed answers, ms",
			classPoints(runs, func(c *ClassSummary) float64 { return c.FirstToken.P95 })),
		newChart("Longest time without a completion, ms",
			classPoints(runs, func(c *ClassSummary) float64 { return float64(c.LongestGapMillis) })),
	)
	return section
}

// classPoints returns the value of a metric for each class under each policy,
// grouped by class.
func classPoints(runs []Summary, metric func(*ClassSummary) float64) []dataPoint {
	var points []dataPoint
	if len(runs) == 0 {
		return nil
	}
	for class := range runs[0].Classes {
		for i := range runs {
			c := &runs[i].Classes[class]
			value := metric(c)
			label := c.Name + ", " + runs[i].Policy
			points = append(points, dataPoint{label, runs[i].Policy, fmt.Sprintf("%.1f", value), value})
		}
	}
	return points
}

// writeHTML writes the report as a single HTML page without scripts.
func writeHTML(path string, scenarios []*Scenario, summaries []Summary) error {
	page := reportPage{}
	for _, scenario := range scenarios {
		var runs []Summary
		for _, s := range summaries {
			if s.Scenario == scenario.Name {
				runs = append(runs, s)
			}
		}
		page.Sections = append(page.Sections, newSection(scenario, runs))
	}
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer file.Close()
	return reportTemplate.Execute(file, page)
}

var reportTemplate = template.Must(template.New("report").Funcs(template.FuncMap{
	"percent":   func(fraction float64) string { return fmt.Sprintf("%.1f", 100*fraction) },
	"reasons":   formatCounts,
	"barHeight": func() int { return barHeight },
	"labelLeft": func() int { return labelWidth },
	"textLeft":  func(width int) int { return labelWidth + width + 6 }, // 6 px between bar and value
	"width":     func() int { return labelWidth + maxBarWidth + 70 },   // 70 px for the value
}).Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>sesameswitch: experiments</title>
<style>
body{font:14px/1.45 system-ui,sans-serif;margin:2em auto;max-width:76em;color:#222}
h2{border-top:1px solid #ccc;padding-top:1em}
table{border-collapse:collapse;margin:1em 0}td,th{border-bottom:1px solid #ddd;padding:.2em .8em;text-align:right}
td:first-child,th:first-child,td:nth-child(2),th:nth-child(2){text-align:left}
svg{font-size:12px;display:block}figure{margin:1em 0}figcaption{font-weight:600;margin-bottom:.3em}
.charts{display:flex;flex-wrap:wrap;gap:0 2em}
</style></head><body>
<h1>Experiments</h1>
<p>Each scenario has the same arrivals under each policy. Latencies count from the planned arrival.</p>
{{range .Sections}}<h2>{{.Name}}</h2><p>{{.Description}}</p>
<div class="charts">{{range .Charts}}<figure><figcaption>{{.Title}}</figcaption>
<svg width="{{width}}" height="{{.Height}}" role="img">{{range .Bars}}
<text x="0" y="{{.TextY}}">{{.Label}}</text><rect x="{{labelLeft}}" y="{{.Y}}" width="{{.Width}}" height="{{barHeight}}" fill="{{.Fill}}"/><text x="{{textLeft .Width}}" y="{{.TextY}}">{{.Value}}</text>{{end}}
</svg></figure>{{end}}</div>
<table><tr><th>policy</th><th>class</th><th>tier</th><th>planned</th><th>attainment, %</th><th>first token p50</th><th>p95</th><th>p99, ms</th><th>between tokens p50</th><th>p95</th><th>p99, ms</th><th>longest gap, ms</th></tr>
{{range .Runs}}{{$policy := .Policy}}{{range .Classes}}<tr><td>{{$policy}}</td><td>{{.Name}}</td><td>{{.Tier}}</td><td>{{.Planned}}</td><td>{{percent .Attainment}}</td><td>{{.FirstToken.P50}}</td><td>{{.FirstToken.P95}}</td><td>{{.FirstToken.P99}}</td><td>{{.BetweenTokens.P50}}</td><td>{{.BetweenTokens.P95}}</td><td>{{.BetweenTokens.P99}}</td><td>{{.LongestGapMillis}}</td></tr>{{end}}{{end}}</table>
{{range .Runs}}<p>{{.Policy}}: {{.Delivered}} tokens delivered in whole answers of {{.Generated}} generated. Refusals: {{reasons .Reasons}}.</p>{{end}}
{{end}}</body></html>
`))
