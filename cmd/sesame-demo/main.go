// Command sesame-demo demonstrates both example deployments with processes on the
// local machine.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/rotisserie/eris"

	"github.com/sesameswitch/sesameswitch/demo"
)

func main() {
	var flags struct {
		Bin      string `default:"bin" help:"Folder of the programs."`
		Examples string `default:"examples" help:"Folder of the example manifests."`
		Logs     string `default:"out/demo" help:"Folder for the logs of the processes."`
	}
	kong.Parse(&flags, kong.Name("sesame-demo"), kong.Description("Demonstrates both example deployments."))
	options := demo.Options{Bin: flags.Bin, Examples: flags.Examples, Logs: flags.Logs}
	if err := run(options); err != nil {
		fmt.Fprintln(os.Stderr, eris.ToString(err, false))
		os.Exit(1)
	}
}

func run(options demo.Options) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return demo.Run(ctx, options, os.Stdout)
}
