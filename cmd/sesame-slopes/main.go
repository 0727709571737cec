// Command sesame-slopes measures how the cost of coordination grows with the size of
// a deployment, and prints the measured values.
package main

import (
	"encoding/json"
	"io"
	"os"

	"github.com/sirupsen/logrus"

	"github.com/sesameswitch/sesameswitch/settings"
	"github.com/sesameswitch/sesameswitch/slopes"
)

// flags are the settings of the measurement.
type flags struct {
	Output        string `default:"text" validate:"oneof=text json" help:"Format of the result: text or json."`
	Processes     []int  `default:"50,100,200,300" help:"Fleet sizes to measure."`
	Graphs        []int  `default:"300,1140,5000" help:"Fleet sizes for which the graph of neighbours is computed."`
	Agents        []int  `default:"8,24,96" help:"Numbers of agents with which an entry exchanges heartbeats."`
	Accounts      []int  `default:"10,1000,9400" help:"Numbers of client accounts."`
	Keys          []int  `default:"10000,100000" help:"Numbers of idempotency keys in the table of an agent."`
	FleetAccounts int    `default:"10" validate:"min=1" help:"Number of client accounts in the manifest of the fleets."`
}

func main() {
	settings.Main(settings.Program{Name: "sesame-slopes", Description: "Measures how the cost of coordination grows with the size of a deployment."}, run)
}

func run(f *flags) error {
	logrus.SetOutput(io.Discard)
	report, err := slopes.Measure(slopes.Sizes{
		Processes: f.Processes, Graphs: f.Graphs, Agents: f.Agents, Accounts: f.Accounts, Keys: f.Keys, FleetAccounts: f.FleetAccounts,
	}, os.Stderr)
	if err != nil {
		return err
	}
	if f.Output == "json" {
		return json.NewEncoder(os.Stdout).Encode(report)
	}
	return report.WriteText(os.Stdout)
}
