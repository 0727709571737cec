package slopes

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Report holds the results of all measurements.
type Report struct {
	Coordination []CoordinationCost `json:"control"`
	PushCoverage []PushCoverage     `json:"hops"`
	Heartbeats   []HeartbeatCost    `json:"heartbeats"`
	Manifests    []ManifestCost     `json:"manifests"`
	// MaxManifestAccounts is the number of accounts that fit into a manifest of the
	// maximum document size.
	MaxManifestAccounts int            `json:"largest_manifest"`
	Keys                []KeyTableCost `json:"keys"`
}

// Sizes lists the sizes to measure.
type Sizes struct {
	// Processes lists the sizes of the fleets that are run.
	Processes []int
	// Graphs lists the fleet sizes for which the push coverage is computed.
	Graphs []int
	// Agents lists the numbers of agents to which an entry sends heartbeats.
	Agents []int
	// Accounts lists the numbers of client accounts in a manifest.
	Accounts []int
	// Keys lists the numbers of keys in the idempotency key table of an agent.
	Keys []int
	// FleetAccounts is the number of client accounts in the manifest of a fleet.
	FleetAccounts int
}

// Measure takes all measurements and writes lines of progress to progress. After
// an error, the report holds the measurements taken before.
func Measure(sizes Sizes, progress io.Writer) (*Report, error) {
	report := &Report{MaxManifestAccounts: MaxManifestAccounts()}
	for _, n := range sizes.Accounts {
		fmt.Fprintf(progress, "manifest with %d accounts\n", n)
		cost, err := MeasureManifest(n)
		if err != nil {
			return report, err
		}
		report.Manifests = append(report.Manifests, cost)
	}
	for _, n := range sizes.Graphs {
		report.PushCoverage = append(report.PushCoverage, ComputePushCoverage(n))
	}
	for _, n := range sizes.Keys {
		fmt.Fprintf(progress, "table with %d keys\n", n)
		report.Keys = append(report.Keys, MeasureKeyTable(n))
	}
	for _, n := range sizes.Agents {
		fmt.Fprintf(progress, "heartbeats with %d agents\n", n)
		cost, err := MeasureHeartbeats(n)
		if err != nil {
			return report, err
		}
		report.Heartbeats = append(report.Heartbeats, cost)
	}
	for _, n := range sizes.Processes {
		fmt.Fprintf(progress, "fleet of %d processes\n", n)
		cost, err := MeasureCoordination(n, sizes.FleetAccounts)
		if err != nil {
			return report, err
		}
		report.Coordination = append(report.Coordination, cost)
	}
	return report, nil
}

// WriteText writes the report as text tables.
func (r *Report) WriteText(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "processes\tB/s each\t% core each\tMB each\tconfig calls/s\tlist reads/s\tB/change each\tcpu ms/change\tcalls/change\tup median ms\tup max ms\tafter outage ms\tflapping ms\t")
	for _, c := range r.Coordination {
		fmt.Fprintf(table, "%d\t%.0f\t%.2f\t%.2f\t%.1f\t%.1f\t%.0f\t%.1f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t\n",
			c.Processes, c.BytesPerSecond, c.CorePercent, float64(c.MemoryBytes)/1e6, c.ConfigCallsPerSecond,
			c.VMListReadsPerSecond, c.BytesPerChange, c.CPUMillisPerChange, c.ConfigCallsPerChange, c.ConvergenceMedianMillis, c.ConvergenceMaxMillis, c.OutageConvergenceMillis, c.FlappingConvergenceMillis)
	}
	fmt.Fprintln(table, "\nprocesses\twatchers\tmean hops\tmost hops\tnot pushed to\t")
	for _, c := range r.PushCoverage {
		fmt.Fprintf(table, "%d\t%d\t%.1f\t%d\t%d\t\n", c.Processes, c.Watchers, c.MeanHops, c.MaxHops, c.Unreached)
	}
	fmt.Fprintln(table, "\nagents\theartbeat B/s\tB/s per agent\t% core, both ends\t")
	for _, c := range r.Heartbeats {
		fmt.Fprintf(table, "%d\t%.0f\t%.0f\t%.2f\t\n", c.Agents, c.BytesPerSecond, c.BytesPerSecondPerAgent, c.CorePercent)
	}
	fmt.Fprintln(table, "\naccounts\tdocument B\taccept ms\tmemory MB\tpeak MB\trecipe B\tchunks B\tB/s at 1600/day\twhole B/s\t% core\t")
	for _, c := range r.Manifests {
		fmt.Fprintf(table, "%d\t%d\t%.0f\t%.1f\t%.0f\t%d\t%d\t%.0f\t%.0f\t%.2f\t\n", c.Accounts, c.DocumentBytes, c.AcceptMillis,
			float64(c.MemoryBytes)/1e6, float64(c.PeakBytes)/1e6, c.RecipeBytes, c.ChunkBytes, c.BytesPerSecond, c.DocumentBytesPerSecond, c.CorePercent)
	}
	fmt.Fprintf(table, "\naccounts that fit one value: %d\n", r.MaxManifestAccounts)
	fmt.Fprintln(table, "\nkeys\tB per key\t")
	for _, c := range r.Keys {
		fmt.Fprintf(table, "%d\t%.0f\t\n", c.Keys, c.BytesPerKey)
	}
	return table.Flush()
}
