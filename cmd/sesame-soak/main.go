// Command sesame-soak runs gateways as real processes, injects faults that a seed
// determines, and checks the results. It is a test tool and not part of a
// deployment.
package main

import (
	"os"
	"time"

	"github.com/alecthomas/kong"

	"github.com/sesameswitch/sesameswitch/soak"
)

// commandLine is the command line of sesame-soak.
type commandLine struct {
	Bin         string        `required:"" help:"Folder of the programs under test."`
	Seeds       int           `default:"50" help:"Number of seeds to run."`
	FirstSeed   uint64        `default:"1" help:"First seed."`
	Parallel    int           `default:"4" help:"Number of seeds that run in parallel."`
	Duration    time.Duration `default:"8s" help:"Time for which callers send requests in the run of each seed."`
	Gateways    int           `default:"3" help:"Number of gateways of the deployment."`
	Faults      int           `default:"10" help:"Number of faults in the run of each seed."`
	Extra       int           `default:"10" help:"Extra retries of a service that the budget allows."`
	Refuse      bool          `help:"Let all backend servers refuse all requests, so that the retry budget is used up."`
	Evacuations bool          `help:"Also evacuate data centres and let backend servers restart cold."`
	FleetKills  bool          `help:"Also kill all gateways at the same time, beside an origin holder."`
	Mutation    string        `help:"Disable this guard in programs built with the tag sesame_mutation, and succeed only if a seed fails."`
}

func main() {
	var line commandLine
	kong.Parse(&line, kong.Name("sesame-soak"), kong.Description("Soak test of gateways with injected faults."))
	opts := soak.DefaultOptions()
	opts.Bin, opts.Duration, opts.Gateways, opts.Faults = line.Bin, line.Duration, line.Gateways, line.Faults
	opts.RetryExtra, opts.ServersRefuse = line.Extra, line.Refuse
	opts.Evacuations = line.Evacuations
	opts.FleetKills = line.FleetKills
	if line.Mutation != "" {
		opts.Environment = []string{"SESAME_MUTATION=" + line.Mutation}
	}
	failed := soak.RunSeeds(opts, line.FirstSeed, line.Seeds, line.Parallel, os.Stdout)
	// With a disabled guard, a failed seed is the expected result.
	if (len(failed) > 0) != (line.Mutation != "") {
		os.Exit(1)
	}
}
