package ctl

import (
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"

	"github.com/sesameswitch/sesameswitch/manifest"
	"github.com/sesameswitch/sesameswitch/statechart"
)

// Permissions of the files that commands write.
const (
	folderMode = 0o755
	fileMode   = 0o644
)

// Charts prints the state charts that the processes follow.
type Charts struct {
	Names   []string `arg:"" optional:"" name:"chart" help:"Names of charts; all when left out."`
	Picture string   `default:"mermaid" enum:"mermaid,dot,svg" help:"Form of the picture: mermaid, dot or svg."`
	Dir     string   `type:"path" help:"Write a page and a picture of each chart into this folder instead."`
}

// Run prints the charts or writes their pages.
func (c *Charts) Run(out *Output) error {
	names := c.Names
	if len(names) == 0 {
		names = statechart.Names()
	}
	charts := make([]*statechart.Chart, 0, len(names))
	for _, name := range names {
		chart, err := statechart.Load(name)
		if err != nil {
			return err
		}
		charts = append(charts, chart)
	}
	switch {
	case c.Dir != "":
		return writePages(c.Dir, charts)
	case out.Format == FormatJSON:
		return out.json(charts)
	}
	for _, chart := range charts {
		out.printf("%s", c.draw(chart))
	}
	return nil
}

func (c *Charts) draw(chart *statechart.Chart) string {
	switch c.Picture {
	case "dot":
		return chart.DOT()
	case "svg":
		return chart.SVG()
	default:
		return chart.Mermaid()
	}
}

// writePages writes a page and a picture of each chart.
func writePages(folder string, charts []*statechart.Chart) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return eris.Wrap(err, "folder for charts")
	}
	for _, chart := range charts {
		base := filepath.Join(folder, chart.Name)
		if err := os.WriteFile(base+".svg", []byte(chart.SVG()), fileMode); err != nil {
			return eris.Wrap(err, "picture")
		}
		if err := os.WriteFile(base+".md", []byte(chart.Markdown()), fileMode); err != nil {
			return eris.Wrap(err, "page")
		}
	}
	return nil
}

// Schema prints the JSON Schema of the manifest.
type Schema struct{}

// Run prints the schema.
func (*Schema) Run(out *Output) error {
	_, err := out.Writer.Write(manifest.Schema)
	return eris.Wrap(err, "write schema")
}
