// Package ctl implements the subcommands of sesamectl. Each subcommand is a type
// whose fields are its flags and arguments and whose method Run executes it.
//
// Callers may assume that the commands are read-only: they change no process,
// nothing on the platform, and no file except those in the folder of --dir. Run
// returns a *ProblemError if the command completed and found a problem, and another
// error if it could not complete.
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
	// Message describes the problem. It is empty if the printed result shows it.
	Message string
}

// Error returns the message, or a general one if Message is empty.
func (e *ProblemError) Error() string {
	if e.Message == "" {
		return "the command found a problem"
	}
	return e.Message
}

// Format is the format of results.
type Format string

// Formats of results.
const (
	FormatText Format = "text"
	FormatJSON Format = "json"
)

// Output is the destination and format of the results of a command.
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

// printf writes formatted text.
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

// readFile returns the content of a file, or of standard input for the name "-".
func readFile(name string) ([]byte, error) {
	if name == "-" {
		content, err := io.ReadAll(os.Stdin)
		return content, eris.Wrap(err, "read standard input")
	}
	content, err := os.ReadFile(name)
	return content, eris.Wrap(err, "read")
}
