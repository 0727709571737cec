// Package statechart interprets state charts that are written as YAML files.
//
// Callers may assume that a *Chart is valid: every state and event of a transition
// is declared, every state can be reached from the initial state, and a state has
// outgoing transitions if and only if it is not final. A Machine changes its state
// only by a transition of its chart: an event without a transition from the
// current state is an error and does not change the state.
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
	// Final is true if the state has no outgoing transitions.
	Final bool `yaml:"final" json:"final,omitempty"`
}

// Event is an event of a chart.
type Event struct {
	Name        string `yaml:"name" json:"name"`
	Description string `yaml:"description" json:"description,omitempty"`
}

// Transition is the change from one state to another on an event.
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
	next   map[transitionKey]string
}

// transitionKey identifies a transition by its source state and its event.
type transitionKey struct {
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

// Load returns the embedded chart with the given name.
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
		return nil, eris.Errorf("state chart %s: the file declares the name %s", c.Name, name)
	}
	return c, nil
}

// MustLoad is like Load but panics if the chart cannot be loaded.
func MustLoad(name string) *Chart {
	c, err := Load(name)
	if err != nil {
		panic(err)
	}
	return c
}

// Parse parses and validates a chart.
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
