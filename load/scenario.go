// Package load sends open-loop traffic from a seed to real processes and
// measures what became of it.
//
// A caller may rely on the arrivals being a function of the scenario alone,
// so that two policies meet the same ones, and on latencies counting from
// the planned arrival, so that a slow system does not slow its own load.
package load

import (
	"os"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"

	"github.com/sesameswitch/sesameswitch/manifest"
)

// Scenario describes one experiment.
type Scenario struct {
	Name        string `yaml:"name"`
	Description string `yaml:"description"`
	Seed        uint64 `yaml:"seed"`
	// Duration is how long requests arrive.
	Duration time.Duration `yaml:"duration"`
	// Patience is how long a caller waits for the end of its answer.
	Patience time.Duration `yaml:"patience"`
	Entries  int           `yaml:"entries"`
	Engines  Engines       `yaml:"engines"`
	Accounts []Account     `yaml:"accounts"`
	Classes  []Class       `yaml:"classes"`
	Retry    Retry         `yaml:"retry"`
	Faults   []Fault       `yaml:"faults"`
}

// Engines describes the engine stand-ins, one agent beside each.
type Engines struct {
	Count       int           `yaml:"count"`
	Slots       int           `yaml:"slots"`
	StepTime    time.Duration `yaml:"step_time"`
	StepGrowth  float64       `yaml:"step_growth"`
	FirstToken  time.Duration `yaml:"first_token"`
	PromptToken time.Duration `yaml:"prompt_token"`
	LoadLag     time.Duration `yaml:"load_lag"`
}

// Account is a client account of the experiment.
type Account struct {
	Name   string `yaml:"name"`
	Weight int    `yaml:"weight"`
}

// Class is a service class and its load.
type Class struct {
	manifest.Class `yaml:",inline"`
	// Tokens is the median length of answers, and Sigma the spread of its
	// logarithm.
	Tokens int     `yaml:"tokens"`
	Sigma  float64 `yaml:"sigma"`
	// PromptTokens is the length of prompts; all but a few of them are the
	// same for all requests of one account.
	PromptTokens int `yaml:"prompt_tokens"`
	// Rate is the rate of arrivals over time; each point holds to the next.
	Rate []RatePoint `yaml:"rate"`
	// HangUp is the part of the callers that leave before the end.
	HangUp float64 `yaml:"hang_up"`
	// Accounts gives the accounts' parts of the load; empty is even.
	Accounts map[string]float64 `yaml:"accounts"`
}

// RatePoint is a rate of arrivals from a time on.
type RatePoint struct {
	At        time.Duration `yaml:"at"`
	PerSecond float64       `yaml:"per_second"`
}

// Retry says what callers do after a refusal.
type Retry struct {
	// Attempts bounds the attempts of one request; 0 is 1.
	Attempts int `yaml:"attempts"`
	// Wait is the time between a refusal and the next attempt.
	Wait time.Duration `yaml:"wait"`
}

// FaultKind is what a fault does.
type FaultKind string

// Kinds of faults.
const (
	// FaultEngine sets faults of engine stand-ins.
	FaultEngine FaultKind = "engine"
	// FaultKillEngine kills engines, and starts them again afterwards.
	FaultKillEngine FaultKind = "kill_engine"
	// FaultKillAgent kills agents, and starts them again afterwards.
	FaultKillAgent FaultKind = "kill_agent"
)

// Fault is a failure at a time.
type Fault struct {
	At time.Duration `yaml:"at"`
	// For is how long the fault lasts; 0 is to the end.
	For     time.Duration  `yaml:"for"`
	Kind    FaultKind      `yaml:"kind"`
	Targets []int          `yaml:"targets"`
	Set     map[string]any `yaml:"set"`
}

// ReadScenario reads a scenario file.
func ReadScenario(path string) (*Scenario, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "scenario")
	}
	var s Scenario
	if err := yaml.UnmarshalWithOptions(data, &s, yaml.Strict()); err != nil {
		return nil, eris.Wrapf(err, "scenario %s", path)
	}
	return &s, eris.Wrapf(s.check(), "scenario %s", path)
}

func (s *Scenario) check() error {
	switch {
	case s.Name == "":
		return eris.New("name is missing")
	case s.Duration <= 0 || s.Patience <= 0:
		return eris.New("duration and patience must be above zero")
	case s.Entries < 1 || s.Engines.Count < 1 || s.Engines.Slots < 1:
		return eris.New("entries, engines and slots must be at least 1")
	case len(s.Classes) == 0 || len(s.Accounts) == 0:
		return eris.New("classes or accounts are missing")
	}
	for _, fault := range s.Faults {
		for _, target := range fault.Targets {
			if target < 0 || target >= s.Engines.Count {
				return eris.Errorf("fault at %v: no engine %d", fault.At, target)
			}
		}
	}
	return nil
}

// TokensPerSecond returns what all engines together produce with full
// batches.
func (s *Scenario) TokensPerSecond() float64 {
	step := s.Engines.StepTime.Seconds() * (1 + s.Engines.StepGrowth*float64(s.Engines.Slots-1))
	return float64(s.Engines.Count*s.Engines.Slots) / step
}

// Demand returns the tokens asked for, as a part of what the engines produce
// in the time.
func (s *Scenario) Demand() float64 {
	demand := 0.0
	for class := range s.Classes {
		demand += s.classDemand(class)
	}
	return demand
}

// classDemand is the demand of one class.
func (s *Scenario) classDemand(class int) float64 {
	tokens := 0
	for _, arrival := range s.classArrivals(class) {
		tokens += arrival.Tokens
	}
	return float64(tokens) / s.Duration.Seconds() / s.TokensPerSecond()
}
