// Command sesame-soak runs gateways as real processes under seeded failures and
// judges what they did. It is a test tool and not part of a deployment.
package main

import (
	"os"
	"time"

	"github.com/alecthomas/kong"

	"github.com/sesameswitch/sesameswitch/soak"
)

// commandLine is the command line of sesame-soak.
type commandLine struct {
	Bin       string        `required:"" help:"Directory of the programs under test."`
	Seeds     int           `default:"50" help:"Number of seeds to run."`
	FirstSeed uint64        `default:"1" help:"First seed."`
	Parallel  int           `default:"4" help:"Seeds that run at once."`
	Duration  time.Duration `default:"8s" help:"How long callers send requests in each seed."`
	Gateways  int           `default:"3" help:"Gateways of a deployment."`
	Faults    int           `default:"10" help:"Failures in each seed."`
	Mutation  string        `help:"Switch off this guard in programs built with the tag sesame_mutation, and succeed only if a seed fails."`
}

func main() {
	var line commandLine
	kong.Parse(&line, kong.Name("sesame-soak"), kong.Description("Soak gateways under failures."))
	o := soak.DefaultOptions()
	o.Bin, o.Duration, o.Gateways, o.Faults = line.Bin, line.Duration, line.Gateways, line.Faults
	if line.Mutation != "" {
		o.Environment = []string{"SESAME_MUTATION=" + line.Mutation}
	}
	failed := soak.RunSeeds(o, line.FirstSeed, line.Seeds, line.Parallel, os.Stdout)
	if (len(failed) > 0) != (line.Mutation != "") {
		os.Exit(1)
	}
}
