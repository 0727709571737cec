package ctl

import (
	"fmt"

	"github.com/sesameswitch/sesameswitch/platform"
)

// CheckSettings checks what a gateway reads on the users' platform: its settings
// file and, where given, a configuration as the operator writes it.
type CheckSettings struct {
	Files          []string `arg:"" optional:"" name:"file" help:"Settings files of gateways; - is the standard input."`
	Configurations []string `name:"configuration" short:"c" help:"Configurations as they stand in the platform's store."`
}

// settingsResult is what CheckSettings found in one file.
type settingsResult struct {
	File    string `json:"file"`
	Valid   bool   `json:"valid"`
	Holds   string `json:"holds,omitempty"`
	Problem string `json:"problem,omitempty"`
}

// Run checks each file as a whole and names the field that is wrong.
func (c *CheckSettings) Run(out *Output) error {
	var results []settingsResult
	for _, file := range c.Files {
		result, err := checkOne(file, func(content []byte) (string, error) {
			s, err := platform.ParseSettings(content)
			if err != nil {
				return "", err
			}
			return "settings of " + s.VM + " in " + s.DataCentre, nil
		})
		if err != nil {
			return err
		}
		results = append(results, result)
	}
	for _, file := range c.Configurations {
		result, err := checkOne(file, func(content []byte) (string, error) {
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

func checkOne(file string, parse func([]byte) (string, error)) (settingsResult, error) {
	content, err := readFile(file)
	if err != nil {
		return settingsResult{}, err
	}
	holds, err := parse(content)
	if err != nil {
		return settingsResult{File: file, Problem: err.Error()}, nil //nolint:nilerr // the result tells it
	}
	return settingsResult{File: file, Valid: true, Holds: holds}, nil
}

func writeSettings(out *Output, results []settingsResult) error {
	valid := true
	for _, r := range results {
		valid = valid && r.Valid
		switch {
		case out.Format == FormatJSON:
		case r.Valid:
			out.printf("%s: valid: %s\n", r.File, r.Holds)
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
