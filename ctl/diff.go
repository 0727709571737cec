package ctl

import (
	"errors"

	"github.com/sesameswitch/sesameswitch/manifest"
)

// Diff is the subcommand that compares two manifests.
type Diff struct {
	Old string `arg:"" help:"Old manifest, such as the active one."`
	New string `arg:"" help:"New manifest."`
}

// diffResult contains the differences between two manifests.
type diffResult struct {
	OldVersion uint64            `json:"old_version"`
	NewVersion uint64            `json:"new_version"`
	Changes    []manifest.Change `json:"changes"`
	// Accepted is false if processes with the old version would refuse the new
	// one.
	Accepted bool `json:"accepted"`
}

// Run prints the changes that take effect with the new manifest. It returns a
// ProblemError if there are changes but the new version is not higher than the old
// one, since processes would refuse it.
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

// parseFile returns the manifest in a file, or a ProblemError if it is not valid.
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
