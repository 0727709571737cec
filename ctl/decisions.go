package ctl

import (
	"os"
	"sort"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesameswitch/sesameswitch/decisionlog"
)

// Logs is the set of gateway logs that a command reads.
type Logs struct {
	File []string `short:"f" type:"existingfile" help:"File with log lines of one or more gateways; can be repeated. Default: standard input."`
}

// read returns the lines of all logs in order of time.
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
		return eris.Wrap(err, "open log")
	}
	defer file.Close()
	return log.Read(name, file)
}

// printUnreadable prints the number of lines that are not events, and the files and
// line numbers of the first ones.
func printUnreadable(out *Output, log *decisionlog.Log) {
	if log.Unreadable > 0 {
		out.printf("%d lines are not events, first: %s\n", log.Unreadable, strings.Join(log.FirstUnreadable, ", "))
	}
}

// Explain is the subcommand that prints the path of a request through the gateways.
type Explain struct {
	Logs
	ID string `arg:"" help:"ID of the request."`
}

// Run prints the events of a request at all gateways in order of time, the states
// that the gateways had last observed by its end, and the cause of its outcome. It
// returns a ProblemError if no line refers to the request.
func (e *Explain) Run(out *Output) error {
	log, err := e.read()
	if err != nil {
		return err
	}
	explanation := log.Explain(e.ID)
	if explanation == nil {
		printUnreadable(out, log)
		return &ProblemError{Message: "no log line refers to request " + e.ID}
	}
	if out.Format == FormatJSON {
		return out.json(explanation)
	}
	out.printf("state changes observed by the gateways\n")
	printLines(out, explanation.Beliefs)
	out.printf("the request\n")
	printLines(out, explanation.Lines)
	out.printf("cause: %s\n", explanation.Cause)
	printUnreadable(out, log)
	return nil
}

// printLines prints the lines with their fields in alphabetical order, without empty
// fields and zeros.
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

// Incident is the subcommand that summarizes a time window of gateway logs.
type Incident struct {
	Logs
	From  time.Time `placeholder:"TIME" help:"Start of the window, such as 2026-12-03T08:00:00Z; default: the first line."`
	Until time.Time `placeholder:"TIME" help:"End of the window; default: the last line."`
	Most  int       `default:"20" help:"Maximum number of rows of each table."`
	// RetryWindow is the window of the retry budget.
	RetryWindow time.Duration `default:"10s" help:"Length of the time window for which the retry budget holds."`
	// LimitWindow is the window of the limits that backend servers state.
	LimitWindow time.Duration `default:"4s" help:"Length of the time window in which the requests to a backend server that states a limit are counted."`
}

// incidentReport is the JSON output of Incident. The windows cover the entire log.
type incidentReport struct {
	*decisionlog.Summary
	BusiestRetryWindows   []decisionlog.RetryWindow
	BusiestLimitedWindows []decisionlog.ServerLimitWindow
	Pauses                []decisionlog.Pause
	Crashes               []decisionlog.ServerCrash
	Quarantines           []decisionlog.Quarantine
	MixedStreams          []decisionlog.MixedStream
}

// Run prints how often each outcome of requests occurred by route, each result of
// attempts by backend server, and each change of observed state within the window,
// most frequent first; and of the entire log, for each service the retry window with the
// most retries, and for each backend server that stated a limit the window with the
// most requests, the pauses that backend servers asked for, their crashes, the rules
// that kept requests away from them because of crashes, and the streams with events of
// several software versions.
func (i *Incident) Run(out *Output) error {
	log, err := i.read()
	if err != nil {
		return err
	}
	summary := log.Summarize(i.From, i.Until)
	busiest := log.BusiestRetryWindows(i.RetryWindow)
	limited := log.BusiestLimitedWindows(i.LimitWindow)
	pauses := log.Pauses(pauseReaction)
	crashes, quarantines := log.Crashes(), log.Quarantines()
	mixed := log.MixedStreams()
	if out.Format == FormatJSON {
		return out.json(incidentReport{summary, busiest, limited, pauses, crashes, quarantines, mixed})
	}
	out.printf("%d lines, %d dropped by the processes\n", summary.Lines, summary.Dropped)
	for _, table := range []struct {
		title string
		rows  []decisionlog.Count
	}{{"outcomes", summary.Outcomes}, {"results of attempts by backend server", summary.Attempts}, {"observed state changes", summary.Beliefs}} {
		out.printf("%s\n", table.title)
		for _, row := range table.rows[:min(len(table.rows), i.Most)] {
			out.printf("  %6d  %s\n", row.Occurrences, row.Key)
		}
	}
	printRetryWindows(out, busiest[:min(len(busiest), i.Most)])
	printLimitedWindows(out, limited[:min(len(limited), i.Most)])
	printPauses(out, pauses[:min(len(pauses), i.Most)])
	printCrashes(out, crashes[:min(len(crashes), i.Most)], quarantines[:min(len(quarantines), i.Most)])
	printMixedStreams(out, mixed, i.Most)
	printUnreadable(out, log)
	return nil
}

// printMixedStreams prints the streams with events of several software versions, at most
// the given number.
func printMixedStreams(out *Output, streams []decisionlog.MixedStream, most int) {
	out.printf("%d streams with events of several software versions\n", len(streams))
	for _, stream := range streams[:min(len(streams), most)] {
		out.printf("  %s\n", stream.ID)
		for _, p := range stream.Parts {
			out.printf("          %s %s as %s at %s (%s) after event %d: %d events\n", p.At.UTC().Format("15:04:05.000"), p.VM, p.Request, p.Server, p.SoftwareVersion, p.ResumeAfter, p.Events)
		}
	}
}

// printCrashes prints the first crashes of backend servers with the requests that may have
// caused them, and the rules that followed.
func printCrashes(out *Output, crashes []decisionlog.ServerCrash, quarantines []decisionlog.Quarantine) {
	out.printf("first crashes of backend servers, and the requests that may have caused them\n")
	for _, c := range crashes {
		out.printf("  %s %s of %s, seen by %d gateways: %s\n", c.At.UTC().Format("15:04:05.000"), c.Server, c.Service, c.Gateways, strings.Join(c.Suspects, " "))
	}
	out.printf("requests refused because requests like them crash backend servers\n")
	for _, q := range quarantines {
		lifted := "not lifted"
		if !q.LiftedAt.IsZero() {
			lifted = "lifted at " + q.LiftedAt.UTC().Format("15:04:05.000")
		}
		out.printf("  %6d  %s from %s by %d gateways, %d trials, %s\n", q.Refusals, q.Traits, q.From.UTC().Format("15:04:05.000"), q.Gateways, q.Trials, lifted)
	}
}

// pauseReaction is how long after a response that asks for a pause requests may still
// be written.
const pauseReaction = 500 * time.Millisecond

// printPauses prints the pauses that backend servers asked for, with the requests that
// were written in them.
func printPauses(out *Output, pauses []decisionlog.Pause) {
	out.printf("most requests in a pause that a backend server asked for\n")
	for _, p := range pauses {
		out.printf("  %6d  %s by %s from %s to %s\n", p.Requests, p.Server, p.VM, p.From.UTC().Format("15:04:05.000"), p.Until.UTC().Format("15:04:05.000"))
	}
}

// printLimitedWindows prints the windows with the most requests to backend servers that
// stated a limit, with what each gateway sent in them.
func printLimitedWindows(out *Output, windows []decisionlog.ServerLimitWindow) {
	out.printf("most requests in one window to a backend server that stated a limit\n")
	for _, w := range windows {
		out.printf("  %6d  %s from %s to %s, limit %g to %g per second\n", w.Requests, w.Server, w.From.UTC().Format("15:04:05.000"), w.Until.UTC().Format("15:04:05.000"), w.LowestLimit, w.HighestLimit)
		for _, g := range w.Gateways {
			out.printf("          %d by %s\n", g.Requests, g.VM)
		}
	}
}

// printRetryWindows prints the windows with the most retries, with what each gateway
// did in them.
func printRetryWindows(out *Output, windows []decisionlog.RetryWindow) {
	out.printf("most retries in one window\n")
	for _, w := range windows {
		out.printf("  %6d  %s from %s to %s\n", w.Retries, w.Service, w.From.UTC().Format("15:04:05.000"), w.Until.UTC().Format("15:04:05.000"))
		for _, g := range w.Gateways {
			out.printf("          %d by %s, %d starts, counted %d to %d gateways\n", g.Retries, g.VM, g.Starts, g.FewestCounted, g.MostCounted)
		}
	}
}
