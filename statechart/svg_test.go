package statechart

import (
	"testing"

	"github.com/sebdah/goldie/v2"
)

// TestCommittedPictures compares docs/charts with the chart files. Run it with
// -update after a change of a chart.
func TestCommittedPictures(t *testing.T) {
	for _, name := range Names() {
		c := MustLoad(name)
		goldie.New(t, goldie.WithFixtureDir("../docs/charts"), goldie.WithNameSuffix(".svg")).Assert(t, name, []byte(c.SVG()))
		goldie.New(t, goldie.WithFixtureDir("../docs/charts"), goldie.WithNameSuffix(".md")).Assert(t, name, []byte(c.Markdown()))
	}
}
