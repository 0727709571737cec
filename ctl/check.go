package ctl

import (
	"errors"

	"github.com/sesameswitch/sesameswitch/manifest"
)

// Check is the subcommand that validates manifests.
type Check struct {
	Files []string `arg:"" name:"file" help:"Manifests in YAML or JSON; - is the standard input."`
}

// checkResult is the result of Check for one file.
type checkResult struct {
	File     string             `json:"file"`
	Valid    bool               `json:"valid"`
	Version  uint64             `json:"version,omitempty"`
	Problems []manifest.Problem `json:"problems,omitempty"`
	Omitted  int                `json:"omitted_problems,omitempty"`
	manifest *manifest.Manifest
}

// Run checks each file and prints the path of each invalid field.
func (c *Check) Run(out *Output) error {
	results := make([]checkResult, 0, len(c.Files))
	valid := true
	for _, file := range c.Files {
		result, err := checkFile(file)
		if err != nil {
			return err
		}
		valid = valid && result.Valid
		results = append(results, result)
	}
	if err := writeChecks(out, results); err != nil {
		return err
	}
	if !valid {
		return &ProblemError{}
	}
	return nil
}

func checkFile(file string) (checkResult, error) {
	document, err := readFile(file)
	if err != nil {
		return checkResult{}, err
	}
	m, err := manifest.Parse(document)
	var problems *manifest.Error
	if errors.As(err, &problems) {
		return checkResult{File: file, Problems: problems.Problems, Omitted: problems.Omitted}, nil
	}
	if err != nil {
		return checkResult{}, err
	}
	return checkResult{File: file, Valid: true, Version: m.Version, manifest: m}, nil
}

func writeChecks(out *Output, results []checkResult) error {
	if out.Format == FormatJSON {
		return out.json(results)
	}
	for _, result := range results {
		if m := result.manifest; m != nil {
			out.printf("%s: valid: version %d of %s, %d classes, %d models, %d services, %d accounts, %d routes\n",
				result.File, m.Version, m.Deployment, len(m.Classes), len(m.Models), len(m.Services), len(m.Accounts), len(m.Routes))
			continue
		}
		for _, p := range result.Problems {
			out.printf("%s:%d: %s\n", result.File, p.Line, p)
		}
		if result.Omitted > 0 {
			out.printf("%s: and %d more problems\n", result.File, result.Omitted)
		}
	}
	return nil
}
