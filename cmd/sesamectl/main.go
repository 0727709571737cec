// Command sesamectl validates manifests and shows the state of the processes of a
// deployment. Package ctl implements most of its subcommands.
//
// Exit codes: 0 for success, 1 if the command found a problem (such as an invalid
// manifest or a process that does not respond), 2 if the command could not complete
// (such as invalid usage or an unreadable file).
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/willabides/kongplete"

	"github.com/sesameswitch/sesameswitch/ctl"
	"github.com/sesameswitch/sesameswitch/load"
	"github.com/sesameswitch/sesameswitch/settings"
)

// commands contains the subcommands and their common flags.
type commands struct {
	Output ctl.Format `short:"o" enum:"text,json" default:"text" help:"Format of the results: text or json."`

	Check      ctl.Check         `cmd:"" help:"Validate manifests and print the path of each invalid field."`
	Settings   ctl.CheckSettings `cmd:"" name:"check-settings" help:"Validate settings files of gateways and configurations of their platform."`
	Diff       ctl.Diff          `cmd:"" help:"Show the changes from one manifest to another and their effects."`
	Status     ctl.Status        `cmd:"" help:"Show state, configuration version and load of processes."`
	Timeline   ctl.Timeline      `cmd:"" help:"Merge the events of processes, from the processes or from files, in order of time."`
	Explain    ctl.Explain       `cmd:"" help:"Print the path of a request through all gateways, from their logs."`
	Incident   ctl.Incident      `cmd:"" help:"Summarize a time window of gateway logs."`
	Placement  ctl.Placement     `cmd:"" help:"Print which gateways sent requests to a data centre, and why, from their logs."`
	Attainment ctl.Attainment    `cmd:"" help:"Print for each time window how many requests were in time, late or without an answer, and why, from gateway logs."`
	Charts     ctl.Charts        `cmd:"" help:"Print the state charts of the processes."`
	Schema     ctl.Schema        `cmd:"" help:"Print the JSON Schema of the manifest."`
	Load       load.Command      `cmd:"" help:"Run experiments against real processes and report the results."`
	Overhead   load.Overhead     `cmd:"" help:"Measure the overhead of entry and agent on requests to an engine."`

	InstallCompletions kongplete.InstallCompletions `cmd:"" help:"Print shell completion for the login shell."`
}

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	cancel()
	os.Exit(code)
}

// run executes one command line and returns its exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var c commands
	exited := false
	parser, err := kong.New(&c,
		kong.Name("sesamectl"),
		kong.Description("Validates manifests and shows the state of a sesameswitch deployment. Exit codes: 0 success, 1 the command found a problem, 2 the command could not complete."),
		kong.Writers(stdout, stderr),
		kong.Exit(func(int) { exited = true }),
		kong.BindTo(ctx, (*context.Context)(nil)),
		kong.UsageOnError(),
	)
	if err != nil {
		panic(err) // a struct tag of a command is invalid
	}
	kongplete.Complete(parser)
	parsed, err := parser.Parse(args)
	if exited {
		return settings.ExitOK
	}
	if err != nil {
		return report(stderr, err)
	}
	return report(stderr, parsed.Run(&ctl.Output{Writer: stdout, Format: c.Output}))
}

// report prints the error unless the printed result already shows it. It returns the
// exit code for the error.
func report(stderr io.Writer, err error) int {
	if err == nil {
		return settings.ExitOK
	}
	var problem *ctl.ProblemError
	isProblem := errors.As(err, &problem)
	if !isProblem || problem.Message != "" {
		fmt.Fprintf(stderr, "sesamectl: %v\n", err)
	}
	if isProblem {
		return settings.ExitFailure
	}
	return settings.ExitUsage
}
