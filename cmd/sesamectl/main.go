// Command sesamectl checks manifests and shows what the processes of a
// deployment do.
//
// Exit codes: 0 when all is well, 1 when a fault was found (a manifest that is
// not valid, a process that does not answer), 2 when the command could not do
// its work (wrong usage, a file that cannot be read).
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

// commands are the subcommands and the flags that they share.
type commands struct {
	Output ctl.Format `short:"o" enum:"text,json" default:"text" help:"Form of the results: text or json."`

	Check    ctl.Check         `cmd:"" help:"Check manifests; print the path of each bad field."`
	Settings ctl.CheckSettings `cmd:"" name:"check-settings" help:"Check settings files of gateways and configurations of their platform."`
	Diff     ctl.Diff          `cmd:"" help:"Show what changes in force between two manifests."`
	Status   ctl.Status        `cmd:"" help:"Show state, configuration version and load of processes."`
	Timeline ctl.Timeline      `cmd:"" help:"Merge the events of processes, from them or from files, in order."`
	Explain  ctl.Explain       `cmd:"" help:"Print the way of a request over all gateways, from their logs."`
	Incident ctl.Incident      `cmd:"" help:"Sum up a window of gateways' logs."`
	Charts   ctl.Charts        `cmd:"" help:"Print the state charts that the processes follow."`
	Schema   ctl.Schema        `cmd:"" help:"Print the JSON Schema of the manifest."`
	Load     load.Command      `cmd:"" help:"Run experiments against real processes and report what came of them."`
	Overhead load.Overhead     `cmd:"" help:"Measure what entry and agent add to calls of an engine."`

	InstallCompletions kongplete.InstallCompletions `cmd:"" help:"Print shell completion for the login shell."`
}

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	cancel()
	os.Exit(code)
}

// run carries out one command line and returns its exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var c commands
	exited := false
	parser, err := kong.New(&c,
		kong.Name("sesamectl"),
		kong.Description("Checks manifests and shows what a deployment of sesameswitch does. Exit codes: 0 all is well, 1 a fault was found, 2 the command could not do its work."),
		kong.Writers(stdout, stderr),
		kong.Exit(func(int) { exited = true }),
		kong.BindTo(ctx, (*context.Context)(nil)),
		kong.UsageOnError(),
	)
	if err != nil {
		panic(err) // the commands' tags are wrong
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

// report prints an error, unless the result shows it, and returns the exit code.
func report(stderr io.Writer, err error) int {
	if err == nil {
		return settings.ExitOK
	}
	var fault *ctl.ProblemError
	found := errors.As(err, &fault)
	if !found || fault.Message != "" {
		fmt.Fprintf(stderr, "sesamectl: %v\n", err)
	}
	if found {
		return settings.ExitFailure
	}
	return settings.ExitUsage
}
