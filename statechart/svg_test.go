package statechart

import (
	"testing"

	"github.com/sebdah/goldie/v2"
)

// TestCommittedDiagramsMatchCharts compares docs/charts with the chart files. After
// a change of a chart, run it with -update.
func TestCommittedDiagramsMatchCharts(t *testing.T) {
	for _, name := range Names() {
		c := MustLoad(name)
		goldie.New(t, goldie.WithFixtureDir("../docs/charts"), goldie.WithNameSuffix(".svg")).Assert(t, name, []byte(c.SVG()))
		goldie.New(t, goldie.WithFixtureDir("../docs/charts"), goldie.WithNameSuffix(".md")).Assert(t, name, []byte(c.Markdown()))
	}
}
