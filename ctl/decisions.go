package ctl

import (
	"os"
	"sort"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesameswitch/sesameswitch/decisionlog"
)

// Logs names the logs of gateways.
type Logs struct {
	File []string `short:"f" type:"existingfile" help:"File with log lines of one or more gateways; can be repeated. Without it standard input is read."`
}

// read reads all logs in order of time.
func (l *Logs) read() (*decisionlog.Log, error) {
	log := &decisionlog.Log{}
	if len(l.File) == 0 {
		if err := log.Read("standard input", os.Stdin); err != nil {
			return nil, err
		}
	}
	for _, name := range l.File {
		if err := readInto(log, name); err != nil {
			return nil, err
		}
	}
	log.Sort()
	return log, nil
}

func readInto(log *decisionlog.Log, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return eris.Wrap(err, "log")
	}
	defer file.Close()
	return log.Read(name, file)
}

// printUnreadable names lines that could not be read.
func printUnreadable(out *Output, log *decisionlog.Log) {
	if log.Unreadable > 0 {
		out.printf("%d lines are no events, the first: %s\n", log.Unreadable, strings.Join(log.FirstUnreadable, ", "))
	}
}

// Explain is the subcommand explain.
type Explain struct {
	Logs
	ID string `arg:"" help:"Id of the request."`
}

// Run prints the way of a request over all gateways in order, with the beliefs
// that decided it, and its cause. It is a fault when no line names the request.
func (e *Explain) Run(out *Output) error {
	log, err := e.read()
	if err != nil {
		return err
	}
	explanation := log.Explain(e.ID)
	if explanation == nil {
		printUnreadable(out, log)
		return &ProblemError{Message: "no line names the request " + e.ID}
	}
	if out.Format == FormatJSON {
		return out.json(explanation)
	}
	out.printf("what the gateways believed\n")
	printLines(out, explanation.Beliefs)
	out.printf("the request\n")
	printLines(out, explanation.Lines)
	out.printf("cause: %s\n", explanation.Cause)
	printUnreadable(out, log)
	return nil
}

func printLines(out *Output, lines []decisionlog.Line) {
	for i := range lines {
		line := &lines[i]
		names := make([]string, 0, len(line.Fields))
		for name := range line.Fields {
			names = append(names, name)
		}
		sort.Strings(names)
		fields := make([]string, 0, len(names))
		for _, name := range names {
			if text := line.Text(name); text != "" && text != "0" {
				fields = append(fields, name+"="+text)
			}
		}
		out.printf("  %s %s %s %s\n", line.At.UTC().Format("15:04:05.000"), line.VM, line.Event, strings.Join(fields, " "))
	}
}

// Incident is the subcommand incident.
type Incident struct {
	Logs
	From  time.Time `placeholder:"TIME" help:"Begin of the window, as 2026-12-03T08:00:00Z."`
	Until time.Time `placeholder:"TIME" help:"End of the window."`
	Most  int       `default:"20" help:"Rows of each table."`
}

// Run sums up a window: outcomes by route, ends of sends by backend server,
// beliefs that changed.
func (i *Incident) Run(out *Output) error {
	log, err := i.read()
	if err != nil {
		return err
	}
	summary := log.Summarize(i.From, i.Until)
	if out.Format == FormatJSON {
		return out.json(summary)
	}
	out.printf("%d lines, %d dropped by the processes\n", summary.Lines, summary.Dropped)
	for _, table := range []struct {
		title string
		rows  []decisionlog.Count
	}{{"outcomes", summary.Outcomes}, {"ends of sends by backend server", summary.Attempts}, {"beliefs that changed", summary.Beliefs}} {
		out.printf("%s\n", table.title)
		for _, row := range table.rows[:min(len(table.rows), i.Most)] {
			out.printf("  %6d  %s\n", row.Occurrences, row.Key)
		}
	}
	printUnreadable(out, log)
	return nil
}
