package ctl

import (
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"

	"github.com/sesameswitch/sesameswitch/manifest"
	"github.com/sesameswitch/sesameswitch/statechart"
)

// Permissions of the folders and files that commands create.
const (
	folderMode = 0o755
	fileMode   = 0o644
)

// Charts is the subcommand that prints the state charts of the processes.
type Charts struct {
	Names   []string `arg:"" optional:"" name:"chart" help:"Names of charts; default: all."`
	Picture string   `default:"mermaid" enum:"mermaid,dot,svg" help:"Format of the diagrams: mermaid, dot or svg."`
	Dir     string   `type:"path" help:"Write a page and an SVG diagram of each chart to this folder instead of printing them."`
}

// Run prints the charts, or writes their pages to a folder.
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
		out.printf("%s", c.diagram(chart))
	}
	return nil
}

// diagram returns the diagram of a chart in the selected format.
func (c *Charts) diagram(chart *statechart.Chart) string {
	switch c.Picture {
	case "dot":
		return chart.DOT()
	case "svg":
		return chart.SVG()
	default:
		return chart.Mermaid()
	}
}

// writePages writes a page and an SVG diagram of each chart to the folder.
func writePages(folder string, charts []*statechart.Chart) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return eris.Wrap(err, "create folder for charts")
	}
	for _, chart := range charts {
		base := filepath.Join(folder, chart.Name)
		if err := os.WriteFile(base+".svg", []byte(chart.SVG()), fileMode); err != nil {
			return eris.Wrap(err, "write diagram")
		}
		if err := os.WriteFile(base+".md", []byte(chart.Markdown()), fileMode); err != nil {
			return eris.Wrap(err, "write page")
		}
	}
	return nil
}

// Schema is the subcommand that prints the JSON Schema of the manifest.
type Schema struct{}

// Run prints the schema.
func (*Schema) Run(out *Output) error {
	_, err := out.Writer.Write(manifest.Schema)
	return eris.Wrap(err, "write schema")
}
