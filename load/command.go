package load

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sort"
)

// Policies that an experiment compares, baselines first.
var Policies = []string{"round-robin", "least", "sesame"}

// Command runs scenarios against real processes and reports what came of
// them.
type Command struct {
	Scenario []string `help:"Scenario files; none runs all of experiments/." type:"existingfile"`
	Policy   []string `default:"round-robin,least,sesame" enum:"round-robin,least,sesame" help:"Policies to run, one after another."`
	Bin      string   `default:"bin" type:"existingdir" help:"Folder of the programs."`
	Out      string   `default:"out" help:"Folder for the reports."`
	Results  string   `help:"Page whose marked part is replaced by the table."`
}

// Run runs each scenario under each policy.
func (c *Command) Run(ctx context.Context) error {
	scenarios, err := c.scenarios()
	if err != nil {
		return err
	}
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return err
	}
	var summaries []Summary
	for _, scenario := range scenarios {
		for _, policy := range c.Policy {
			summary, err := c.runOne(ctx, scenario, policy)
			if err != nil {
				return err
			}
			summaries = append(summaries, summary)
			if err := c.write(scenarios, summaries); err != nil {
				return err
			}
		}
	}
	fmt.Print(Markdown(scenarios, summaries))
	return nil
}

func (c *Command) scenarios() ([]*Scenario, error) {
	paths := c.Scenario
	if len(paths) == 0 {
		var err error
		if paths, err = filepath.Glob("experiments/*.yaml"); err != nil {
			return nil, err
		}
		sort.Strings(paths)
	}
	scenarios := make([]*Scenario, 0, len(paths))
	for _, path := range paths {
		s, err := ReadScenario(path)
		if err != nil {
			return nil, err
		}
		scenarios = append(scenarios, s)
	}
	return scenarios, nil
}

func (c *Command) runOne(ctx context.Context, s *Scenario, policy string) (Summary, error) {
	fmt.Printf("%s, policy %s\n", s.Name, policy)
	logs := filepath.Join(c.Out, "logs", s.Name, policy)
	run, err := Execute(ctx, s, c.Bin, logs, policy, os.Stdout)
	if err != nil {
		return Summary{}, err
	}
	summary := Summarize(run)
	fmt.Println(summary.line())
	return summary, nil
}

// write writes all reports of the runs so far.
func (c *Command) write(scenarios []*Scenario, summaries []Summary) error {
	if err := writeJSON(filepath.Join(c.Out, "load.json"), summaries); err != nil {
		return err
	}
	if err := writeCSV(filepath.Join(c.Out, "load.csv"), summaries); err != nil {
		return err
	}
	if err := writeHTML(filepath.Join(c.Out, "load.html"), scenarios, summaries); err != nil {
		return err
	}
	table := Markdown(scenarios, summaries)
	if err := os.WriteFile(filepath.Join(c.Out, "load.md"), []byte(table), 0o644); err != nil {
		return err
	}
	if c.Results == "" {
		return nil
	}
	return replaceMarked(c.Results, "scenarios", table)
}
