// Command sesame-prove runs real processes under failures and judges what
// they did. It is a test tool and not part of a deployment.
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
	Bin       string        `required:"" help:"Directory of the programs under test."`
	Seeds     int           `default:"50" help:"Number of seeds to run."`
	FirstSeed uint64        `default:"1" help:"First seed."`
	Parallel  int           `default:"4" help:"Seeds that run at once."`
	Duration  time.Duration `default:"8s" help:"How long callers send requests in each seed."`
	Callers   int           `default:"16" help:"Concurrent callers in each seed."`
	Faults    []string      `help:"Cause only these failures; --list names them."`
	Mutation  string        `help:"Switch off this guard in programs built with the tag sesame_mutation, and succeed only if a checker notices."`
	Recovery  bool          `help:"Measure the time to recover from single failures instead."`
	Repeats   int           `default:"3" help:"Measurements of each recovery."`
	List      bool          `help:"List the failures and exit."`
}

func main() {
	var line commandLine
	kong.Parse(&line, kong.Name("sesame-prove"), kong.Description("Prove the promises with real processes."))
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
	began := time.Now()
	summary := prove.RunSeeds(opts, line.FirstSeed, line.Seeds, line.Parallel, os.Stdout)
	fmt.Printf("%d histories, %d calls, %d runs in %v\n",
		summary.Histories, summary.Calls, summary.Runs, time.Since(began).Round(time.Second))
	var names []string
	for name := range summary.Faults {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Printf("  %s: %d\n", name, summary.Faults[name])
	}
	if line.Mutation != "" {
		return noticed(line, summary)
	}
	if len(summary.Failed) > 0 {
		fmt.Printf("failed seeds: %v\n", summary.Failed)
		return false
	}
	return true
}

// noticed reports whether a checker found a violation with a guard off.
func noticed(line *commandLine, summary *prove.Summary) bool {
	if summary.Violations == 0 {
		fmt.Printf("%s is off and no checker noticed\n", line.Mutation)
		return false
	}
	fmt.Printf("%s is off and was noticed in seeds %v\n", line.Mutation, summary.Failed)
	return true
}

// measure reports recovery times.
func measure(opts prove.Options, repeats int) bool {
	if err := prove.MeasureRecovery(opts, repeats, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, eris.ToString(err, false))
		return false
	}
	return true
}
