// Package statechart interprets state charts that are written as YAML files.
//
// A caller may rely on a *Chart being sound as a whole: every state and event
// that a transition names is declared, every state can be reached from the
// initial one, and final states have no way out. A Machine only ever moves
// along a transition of its chart; anything else is an error and leaves the
// state as it was.
package statechart

import (
	"bytes"
	"embed"
	"io/fs"
	"path"
	"sort"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"
)

//go:embed charts/*.yaml
var charts embed.FS

const (
	chartFolder    = "charts"
	chartExtension = ".yaml"
)

// State is a state of a chart.
type State struct {
	Name        string `yaml:"name" json:"name"`
	Description string `yaml:"description" json:"description,omitempty"`
	// Final states have no transitions.
	Final bool `yaml:"final" json:"final,omitempty"`
}

// Event is an event of a chart.
type Event struct {
	Name        string `yaml:"name" json:"name"`
	Description string `yaml:"description" json:"description,omitempty"`
}

// Transition leads from one state to another on an event.
type Transition struct {
	From  string `yaml:"from" json:"from"`
	Event string `yaml:"event" json:"event"`
	To    string `yaml:"to" json:"to"`
}

// Chart is a state chart. It is immutable and safe for concurrent use.
type Chart struct {
	Name        string       `yaml:"name" json:"name"`
	Description string       `yaml:"description" json:"description,omitempty"`
	Initial     string       `yaml:"initial" json:"initial"`
	States      []State      `yaml:"states" json:"states"`
	Events      []Event      `yaml:"events" json:"events"`
	Transitions []Transition `yaml:"transitions" json:"transitions"`

	states map[string]*State
	events map[string]bool
	next   map[step]string
}

// step is a state and an event that happens in it.
type step struct {
	state, event string
}

// Names returns the names of the embedded charts, sorted.
func Names() []string {
	files, err := fs.Glob(charts, chartFolder+"/*"+chartExtension)
	if err != nil {
		panic(err)
	}
	names := make([]string, 0, len(files))
	for _, file := range files {
		names = append(names, strings.TrimSuffix(path.Base(file), chartExtension))
	}
	sort.Strings(names)
	return names
}

// Load returns the embedded chart of the name.
func Load(name string) (*Chart, error) {
	doc, err := charts.ReadFile(path.Join(chartFolder, name+chartExtension))
	if err != nil {
		return nil, eris.Wrapf(err, "state chart %s", name)
	}
	c, err := Parse(doc)
	if err != nil {
		return nil, err
	}
	if c.Name != name {
		return nil, eris.Errorf("state chart %s: the file is named %s", c.Name, name)
	}
	return c, nil
}

// MustLoad is Load for charts that the program cannot do without.
func MustLoad(name string) *Chart {
	c, err := Load(name)
	if err != nil {
		panic(err)
	}
	return c
}

// Parse reads a chart and checks it as a whole.
func Parse(doc []byte) (*Chart, error) {
	var c Chart
	if err := yaml.NewDecoder(bytes.NewReader(doc), yaml.Strict()).Decode(&c); err != nil {
		return nil, eris.Wrap(err, "state chart")
	}
	if err := c.build(); err != nil {
		return nil, eris.Wrapf(err, "state chart %s", c.Name)
	}
	return &c, nil
}
