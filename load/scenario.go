// Package load sends reproducible open-loop traffic to real processes and
// measures the results.
//
// Callers may assume that the arrivals depend on the scenario only, so that all
// policies are measured with the same arrivals, that requests are sent whether or
// not earlier ones have ended, so that a slow system does not reduce its own load,
// and that latencies are measured from the planned arrival, so that a delay of
// the load generator counts as latency.
package load

import (
	"os"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"

	"github.com/sesameswitch/sesameswitch/manifest"
)

// Scenario describes an experiment: a deployment, its load and its faults.
type Scenario struct {
	Name        string `yaml:"name"`
	Description string `yaml:"description"`
	Seed        uint64 `yaml:"seed"`
	// Duration is the period during which requests arrive.
	Duration time.Duration `yaml:"duration"`
	// ResponseTimeout is how long a caller waits for the complete response,
	// retries included.
	ResponseTimeout time.Duration `yaml:"patience"`
	// Entries is the number of entries.
	Entries  int       `yaml:"entries"`
	Engines  Engines   `yaml:"engines"`
	Accounts []Account `yaml:"accounts"`
	// Classes lists the classes by tier, the most urgent first.
	Classes []Class `yaml:"classes"`
	Retry   Retry   `yaml:"retry"`
	Faults  []Fault `yaml:"faults"`
}

// Engines describes the engine stand-ins, each with an agent.
type Engines struct {
	Count int `yaml:"count"`
	// Slots is the maximum number of requests in the batch of one engine.
	Slots int `yaml:"slots"`
	// StepTime is the time between tokens in a batch of one request. Each further
	// request in the batch adds StepGrowth times StepTime.
	StepTime   time.Duration `yaml:"step_time"`
	StepGrowth float64       `yaml:"step_growth"`
	// FirstToken is the part of the prefill time that does not depend on the
	// prompt. Each prompt token that is not cached adds PromptToken.
	FirstToken  time.Duration `yaml:"first_token"`
	PromptToken time.Duration `yaml:"prompt_token"`
	// LoadLag is the age of the load reports of an engine.
	LoadLag time.Duration `yaml:"load_lag"`
}

// Account is a client account of the experiment.
type Account struct {
	Name   string `yaml:"name"`
	Weight int    `yaml:"weight"`
}

// Class is a service class with its load.
type Class struct {
	manifest.Class `yaml:",inline"`
	// MedianTokens is the median of the length of responses, and Sigma the standard
	// deviation of the logarithm of the length.
	MedianTokens int     `yaml:"tokens"`
	Sigma        float64 `yaml:"sigma"`
	// PromptTokens is the length of prompts. All but the last uniquePromptTokens
	// tokens are the same for all requests of the class and account.
	PromptTokens int `yaml:"prompt_tokens"`
	// Rate is the rate of arrivals over time, in order of time. Each point applies
	// until the next.
	Rate []RatePoint `yaml:"rate"`
	// DisconnectRatio is the fraction of requests whose caller is planned to
	// disconnect before an idle engine would complete the response.
	DisconnectRatio float64 `yaml:"hang_up"`
	// AccountShares maps accounts to their relative shares of the load. Accounts
	// that are not listed send no requests. If it is empty, all accounts have equal
	// shares.
	AccountShares map[string]float64 `yaml:"accounts"`
}

// RatePoint is the rate of arrivals from a time on.
type RatePoint struct {
	At        time.Duration `yaml:"at"`
	PerSecond float64       `yaml:"per_second"`
}

// Retry describes how callers retry refused requests.
type Retry struct {
	// Attempts is the maximum number of attempts of one request; 0 means 1.
	Attempts int `yaml:"attempts"`
	// Wait is the retry delay after a refusal. A Retry-After header is ignored.
	Wait time.Duration `yaml:"wait"`
}

// FaultKind is the kind of an injected fault.
type FaultKind string

// Kinds of faults.
const (
	// FaultEngine applies EngineFaults to engine stand-ins.
	FaultEngine FaultKind = "engine"
	// FaultKillEngine kills engines and restarts them when the fault is cleared.
	FaultKillEngine FaultKind = "kill_engine"
	// FaultKillAgent kills agents and restarts them when the fault is cleared.
	FaultKillAgent FaultKind = "kill_agent"
)

// Fault is a fault that is injected at a planned time.
type Fault struct {
	At time.Duration `yaml:"at"`
	// Duration is how long the fault lasts; 0 means until the end of the run.
	Duration time.Duration `yaml:"for"`
	Kind     FaultKind     `yaml:"kind"`
	// Targets are indexes of engines, or of the agents of these engines.
	Targets []int `yaml:"targets"`
	// EngineFaults is sent to the engine stand-ins as JSON. Its keys are the JSON
	// keys of engine.Faults.
	EngineFaults map[string]any `yaml:"set"`
}

// ReadScenario reads a scenario file.
func ReadScenario(path string) (*Scenario, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read scenario")
	}
	var s Scenario
	if err := yaml.UnmarshalWithOptions(data, &s, yaml.Strict()); err != nil {
		return nil, eris.Wrapf(err, "parse scenario %s", path)
	}
	return &s, eris.Wrapf(s.validate(), "invalid scenario %s", path)
}

func (s *Scenario) validate() error {
	switch {
	case s.Name == "":
		return eris.New("name is missing")
	case s.Duration <= 0 || s.ResponseTimeout <= 0:
		return eris.New("duration and patience must be greater than 0")
	case s.Entries < 1 || s.Engines.Count < 1 || s.Engines.Slots < 1:
		return eris.New("entries, engines.count and engines.slots must be at least 1")
	case len(s.Classes) == 0 || len(s.Accounts) == 0:
		return eris.New("classes or accounts are missing")
	}
	for _, fault := range s.Faults {
		for _, target := range fault.Targets {
			if target < 0 || target >= s.Engines.Count {
				return eris.Errorf("fault at %v targets engine %d, which does not exist", fault.At, target)
			}
		}
	}
	return nil
}

// Capacity returns the throughput of all engines with full batches, in
// tokens per second.
func (s *Scenario) Capacity() float64 {
	step := s.Engines.StepTime.Seconds() * (1 + s.Engines.StepGrowth*float64(s.Engines.Slots-1))
	return float64(s.Engines.Count*s.Engines.Slots) / step
}

// OfferedLoad returns the mean rate of requested tokens divided by the capacity.
func (s *Scenario) OfferedLoad() float64 {
	load := 0.0
	for class := range s.Classes {
		load += s.classOfferedLoad(class)
	}
	return load
}

// classOfferedLoad returns the offered load of one class.
func (s *Scenario) classOfferedLoad(class int) float64 {
	tokens := 0
	for _, arrival := range s.classArrivals(class) {
		tokens += arrival.Tokens
	}
	return float64(tokens) / s.Duration.Seconds() / s.Capacity()
}
