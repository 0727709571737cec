package ctl

import (
	"fmt"

	"github.com/sesameswitch/sesameswitch/platform"
)

// CheckSettings is the subcommand that validates what a gateway reads from its
// platform: settings files, and configurations in the platform's store.
type CheckSettings struct {
	Files          []string `arg:"" optional:"" name:"file" help:"Settings files of gateways; - is the standard input."`
	Configurations []string `name:"configuration" short:"c" help:"Files with configurations as stored in the platform's store."`
}

// settingsResult is the result of CheckSettings for one file.
type settingsResult struct {
	File        string `json:"file"`
	Valid       bool   `json:"valid"`
	Description string `json:"holds,omitempty"`
	Problem     string `json:"problem,omitempty"`
}

// Run checks each file and prints the first problem of each invalid one.
func (c *CheckSettings) Run(out *Output) error {
	var results []settingsResult
	for _, file := range c.Files {
		result, err := checkContent(file, func(content []byte) (string, error) {
			parsed, err := platform.ParseSettings(content)
			if err != nil {
				return "", err
			}
			return "settings of " + parsed.VM + " in " + parsed.DataCentre, nil
		})
		if err != nil {
			return err
		}
		results = append(results, result)
	}
	for _, file := range c.Configurations {
		result, err := checkContent(file, func(content []byte) (string, error) {
			table, err := platform.ParseConfig(content)
			if err != nil {
				return "", err
			}
			return fmt.Sprintf("configuration version %d with %d routes", table.Version, len(table.Routes())), nil
		})
		if err != nil {
			return err
		}
		results = append(results, result)
	}
	return writeSettings(out, results)
}

// checkContent returns the result for one file. The function parse returns a
// description of the content, or the problem of the file as an error.
func checkContent(file string, parse func([]byte) (string, error)) (settingsResult, error) {
	content, err := readFile(file)
	if err != nil {
		return settingsResult{}, err
	}
	description, err := parse(content)
	if err != nil {
		return settingsResult{File: file, Problem: err.Error()}, nil //nolint:nilerr // the error is part of the result
	}
	return settingsResult{File: file, Valid: true, Description: description}, nil
}

func writeSettings(out *Output, results []settingsResult) error {
	valid := true
	for _, r := range results {
		valid = valid && r.Valid
		switch {
		case out.Format == FormatJSON:
		case r.Valid:
			out.printf("%s: valid: %s\n", r.File, r.Description)
		default:
			out.printf("%s: %s\n", r.File, r.Problem)
		}
	}
	if out.Format == FormatJSON {
		if err := out.json(results); err != nil {
			return err
		}
	}
	if !valid {
		return &ProblemError{}
	}
	return nil
}
