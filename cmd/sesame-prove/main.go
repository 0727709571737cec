// Command sesame-prove runs real processes, injects faults and checks the recorded
// histories. It is a test tool and not part of a deployment.
package main

import (
	"fmt"
	"os"
	"sort"
	"time"

	"github.com/alecthomas/kong"
	"github.com/rotisserie/eris"

	"github.com/sesameswitch/sesameswitch/prove"
)

// commandLine is the command line of sesame-prove.
type commandLine struct {
	Bin       string        `required:"" help:"Folder of the programs under test."`
	Seeds     int           `default:"50" help:"Number of seeds to run."`
	FirstSeed uint64        `default:"1" help:"First seed."`
	Parallel  int           `default:"4" help:"Number of seeds that run in parallel."`
	Duration  time.Duration `default:"8s" help:"Time for which callers send requests in the run of each seed."`
	Callers   int           `default:"16" help:"Number of concurrent callers in the run of each seed."`
	Faults    []string      `help:"Inject only these faults; --list prints their names."`
	Mutation  string        `help:"Disable this guard in programs built with the tag sesame_mutation, and succeed only if a checker finds a violation."`
	Recovery  bool          `help:"Measure the recovery times of single faults instead."`
	Repeats   int           `default:"3" help:"Number of measurements of each recovery time."`
	List      bool          `help:"Print the names of the faults and exit."`
}

func main() {
	var line commandLine
	kong.Parse(&line, kong.Name("sesame-prove"), kong.Description("Checks the guarantees with real processes and injected faults."))
	if line.List {
		for _, name := range prove.FaultNames() {
			fmt.Println(name)
		}
		return
	}
	if !run(&line) {
		os.Exit(1)
	}
}

func run(line *commandLine) bool {
	opts := prove.DefaultOptions()
	opts.Bin, opts.Duration, opts.Callers, opts.Faults = line.Bin, line.Duration, line.Callers, line.Faults
	if line.Recovery {
		return measure(opts, line.Repeats)
	}
	if line.Mutation != "" {
		opts.Environment = []string{"SESAME_MUTATION=" + line.Mutation}
	}
	start := time.Now()
	summary := prove.RunSeeds(opts, line.FirstSeed, line.Seeds, line.Parallel, os.Stdout)
	fmt.Printf("%d histories, %d calls, %d runs in %v\n",
		summary.Histories, summary.Calls, summary.Runs, time.Since(start).Round(time.Second))
	var names []string
	for name := range summary.Faults {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Printf("  %s: %d\n", name, summary.Faults[name])
	}
	if line.Mutation != "" {
		return foundViolation(line, summary)
	}
	if len(summary.Failed) > 0 {
		fmt.Printf("failed seeds: %v\n", summary.Failed)
		return false
	}
	return true
}

// foundViolation reports whether a checker found a violation while a guard was
// disabled.
func foundViolation(line *commandLine, summary *prove.Summary) bool {
	if summary.Violations == 0 {
		fmt.Printf("%s is disabled; not detected by any checker\n", line.Mutation)
		return false
	}
	fmt.Printf("%s is disabled; detected by a checker in seeds %v\n", line.Mutation, summary.Failed)
	return true
}

// measure measures and prints recovery times. It reports whether that succeeded.
func measure(opts prove.Options, repeats int) bool {
	if err := prove.MeasureRecovery(opts, repeats, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, eris.ToString(err, false))
		return false
	}
	return true
}
