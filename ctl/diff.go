package ctl

import (
	"errors"

	"github.com/sesameswitch/sesameswitch/manifest"
)

// Diff compares two manifests.
type Diff struct {
	Old string `arg:"" help:"Manifest in force."`
	New string `arg:"" help:"Manifest to come."`
}

// diffResult is what changes between two manifests.
type diffResult struct {
	OldVersion uint64            `json:"old_version"`
	NewVersion uint64            `json:"new_version"`
	Changes    []manifest.Change `json:"changes"`
	// Accepted is false when processes that have the old version in force
	// would refuse the new one.
	Accepted bool `json:"accepted"`
}

// Run prints what changes in force. A new version that is not higher than the
// old one is a fault, since processes would refuse it.
func (d *Diff) Run(out *Output) error {
	older, err := parseFile(d.Old)
	if err != nil {
		return err
	}
	newer, err := parseFile(d.New)
	if err != nil {
		return err
	}
	result := diffResult{
		OldVersion: older.Version, NewVersion: newer.Version,
		Changes: manifest.Diff(older, newer), Accepted: newer.Version > older.Version,
	}
	if err := writeDiff(out, &result); err != nil {
		return err
	}
	if !result.Accepted && len(result.Changes) > 0 {
		return &ProblemError{}
	}
	return nil
}

// parseFile reads a manifest that must be valid.
func parseFile(file string) (*manifest.Manifest, error) {
	document, err := readFile(file)
	if err != nil {
		return nil, err
	}
	m, err := manifest.Parse(document)
	var problems *manifest.Error
	if errors.As(err, &problems) {
		return nil, &ProblemError{Message: file + ": " + problems.Error()}
	}
	return m, err
}

func writeDiff(out *Output, result *diffResult) error {
	if out.Format == FormatJSON {
		return out.json(result)
	}
	if len(result.Changes) == 0 {
		out.printf("no change\n")
		return nil
	}
	for _, c := range result.Changes {
		writeChange(out, c)
	}
	if !result.Accepted {
		out.printf("\nversion %d is not above %d: processes would refuse it\n", result.NewVersion, result.OldVersion)
	}
	return nil
}

func writeChange(out *Output, c manifest.Change) {
	switch c.Kind {
	case manifest.Added:
		out.printf("added    %s: %s\n", c.Path, c.New)
	case manifest.Removed:
		out.printf("removed  %s: %s\n", c.Path, c.Old)
	default:
		out.printf("changed  %s: %s -> %s\n", c.Path, c.Old, c.New)
	}
	out.printf("         %s\n", c.Effect)
}
