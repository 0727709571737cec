// Package ctl is the library behind the command sesamectl: each subcommand is
// a type whose fields are its flags and whose Run does the work.
//
// A caller may rely on a command only reading: it changes no process, no
// file but those named by --dir, and nothing on the platform. Run returns
// a *Fault when it found what it looks for, and another error when it could
// not do its work.
package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/rotisserie/eris"
)

// ProblemError reports that a command completed and found a problem.
type ProblemError struct {
	// Message names the fault; it is empty when the result shows it.
	Message string
}

// Error returns the message.
func (f *ProblemError) Error() string {
	if f.Message == "" {
		return "a fault was found"
	}
	return f.Message
}

// Format is how results are written.
type Format string

// Formats of results.
const (
	FormatText Format = "text"
	FormatJSON Format = "json"
)

// Output is where and how a command writes its results.
type Output struct {
	Writer io.Writer
	Format Format
}

// json writes a value as indented JSON.
func (o *Output) json(value any) error {
	encoder := json.NewEncoder(o.Writer)
	encoder.SetIndent("", "  ")
	return eris.Wrap(encoder.Encode(value), "write result")
}

// printf writes text.
func (o *Output) printf(format string, args ...any) {
	fmt.Fprintf(o.Writer, format, args...)
}

// table writes rows in aligned columns.
func (o *Output) table(rows [][]string) error {
	w := tabwriter.NewWriter(o.Writer, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		for i, cell := range row {
			if i > 0 {
				fmt.Fprint(w, "\t")
			}
			fmt.Fprint(w, cell)
		}
		fmt.Fprintln(w)
	}
	return eris.Wrap(w.Flush(), "write result")
}

// readFile reads a file, or the standard input for the name "-".
func readFile(name string) ([]byte, error) {
	if name == "-" {
		document, err := io.ReadAll(os.Stdin)
		return document, eris.Wrap(err, "standard input")
	}
	document, err := os.ReadFile(name)
	return document, eris.Wrap(err, "read")
}
