package load

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sort"
)

// Policies lists the possible values of Command.Policy, baselines first.
var Policies = []string{"round-robin", "least", "sesame"}

// Command runs scenarios against real processes and writes reports of the
// results.
type Command struct {
	Scenario []string `help:"Scenario files; by default all of experiments/." type:"existingfile"`
	Policy   []string `default:"round-robin,least,sesame" enum:"round-robin,least,sesame" help:"Policies to run, one after another."`
	Bin      string   `default:"bin" type:"existingdir" help:"Folder with the programs."`
	Out      string   `default:"out" help:"Folder for the reports."`
	Results  string   `help:"Markdown file whose marked section is replaced by the tables."`
}

// Run runs each scenario under each policy. It writes the reports after each run,
// so that the results remain if a later run fails.
func (c *Command) Run(ctx context.Context) error {
	scenarios, err := c.readScenarios()
	if err != nil {
		return err
	}
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return err
	}
	var summaries []Summary
	for _, scenario := range scenarios {
		for _, policy := range c.Policy {
			summary, err := c.runScenario(ctx, scenario, policy)
			if err != nil {
				return err
			}
			summaries = append(summaries, summary)
			if err := c.writeReports(scenarios, summaries); err != nil {
				return err
			}
		}
	}
	fmt.Print(Markdown(scenarios, summaries))
	return nil
}

// readScenarios reads the selected scenario files.
func (c *Command) readScenarios() ([]*Scenario, error) {
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

// runScenario runs one scenario under one policy and prints its progress.
func (c *Command) runScenario(ctx context.Context, s *Scenario, policy string) (Summary, error) {
	fmt.Printf("%s, policy %s\n", s.Name, policy)
	logs := filepath.Join(c.Out, "logs", s.Name, policy)
	run, err := Execute(ctx, s, c.Bin, logs, policy, os.Stdout)
	if err != nil {
		return Summary{}, err
	}
	summary := Summarize(run)
	fmt.Println(summary.progressLine())
	return summary, nil
}

// writeReports writes all reports of the runs so far.
func (c *Command) writeReports(scenarios []*Scenario, summaries []Summary) error {
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
	return replaceSection(c.Results, "scenarios", table)
}
