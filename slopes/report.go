package slopes

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Report holds the points of all slopes.
type Report struct {
	Control    []ControlPoint   `json:"control"`
	Hops       []HopsPoint      `json:"hops"`
	Heartbeats []HeartbeatPoint `json:"heartbeats"`
	Manifests  []ManifestPoint  `json:"manifests"`
	// LargestManifest is how many accounts fit one value of the configuration
	// service.
	LargestManifest int        `json:"largest_manifest"`
	Keys            []KeyPoint `json:"keys"`
}

// Sizes says which sizes are measured.
type Sizes struct {
	Processes []int
	// Graphs are sizes of fleets whose graph of neighbours is worked out.
	Graphs   []int
	Agents   []int
	Accounts []int
	Keys     []int
	// FleetAccounts is the number of accounts while fleets are measured.
	FleetAccounts int
}

// Measure measures all slopes and says on progress what it does.
func Measure(sizes Sizes, progress io.Writer) (*Report, error) {
	report := &Report{LargestManifest: LargestManifest()}
	for _, n := range sizes.Accounts {
		fmt.Fprintf(progress, "manifest with %d accounts\n", n)
		point, err := MeasureManifest(n)
		if err != nil {
			return report, err
		}
		report.Manifests = append(report.Manifests, point)
	}
	for _, n := range sizes.Graphs {
		report.Hops = append(report.Hops, MeasureHops(n))
	}
	for _, n := range sizes.Keys {
		fmt.Fprintf(progress, "table with %d keys\n", n)
		report.Keys = append(report.Keys, MeasureKeys(n))
	}
	for _, n := range sizes.Agents {
		fmt.Fprintf(progress, "heartbeats with %d agents\n", n)
		point, err := MeasureHeartbeats(n)
		if err != nil {
			return report, err
		}
		report.Heartbeats = append(report.Heartbeats, point)
	}
	for _, n := range sizes.Processes {
		fmt.Fprintf(progress, "fleet of %d processes\n", n)
		point, err := MeasureControl(n, sizes.FleetAccounts)
		if err != nil {
			return report, err
		}
		report.Control = append(report.Control, point)
	}
	return report, nil
}

// WriteText writes the report as tables.
func (r *Report) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "processes\tB/s each\t% core each\tMB each\tconfig calls/s\tlist reads/s\tB/change each\tcpu ms/change\tcalls/change\tup median ms\tup max ms\tafter outage ms\tflapping ms\t")
	for _, p := range r.Control {
		fmt.Fprintf(t, "%d\t%.0f\t%.2f\t%.2f\t%.1f\t%.1f\t%.0f\t%.1f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t\n",
			p.Processes, p.BytesPerSecond, p.CorePercent, float64(p.MemoryBytes)/1e6, p.ConfigCallsPerSecond,
			p.ListReadsPerSecond, p.BytesPerChange, p.ProcessorPerChange, p.CallsPerChange, p.UpMedianMillis, p.UpMaxMillis, p.DownMillis, p.FlappingMillis)
	}
	fmt.Fprintln(t, "\nprocesses\twatchers\tmean hops\tmost hops\tnot pushed to\t")
	for _, p := range r.Hops {
		fmt.Fprintf(t, "%d\t%d\t%.1f\t%d\t%d\t\n", p.Processes, p.Watchers, p.MeanHops, p.Hops, p.Unreached)
	}
	fmt.Fprintln(t, "\nagents\theartbeat B/s\tB/s per agent\t% core, both ends\t")
	for _, p := range r.Heartbeats {
		fmt.Fprintf(t, "%d\t%.0f\t%.0f\t%.2f\t\n", p.Agents, p.BytesPerSecond, p.PerAgent, p.CorePercent)
	}
	fmt.Fprintln(t, "\naccounts\tdocument B\taccept ms\tmemory MB\tpeak MB\trecipe B\tchunks B\tB/s at 1600/day\twhole B/s\t% core\t")
	for _, p := range r.Manifests {
		fmt.Fprintf(t, "%d\t%d\t%.0f\t%.1f\t%.0f\t%d\t%d\t%.0f\t%.0f\t%.2f\t\n", p.Accounts, p.DocumentBytes, p.AcceptMillis,
			float64(p.MemoryBytes)/1e6, float64(p.PeakBytes)/1e6, p.RecipeBytes, p.ChunkBytes, p.BytesPerSecond, p.WholeBytesPerSecond, p.CorePercent)
	}
	fmt.Fprintf(t, "\naccounts that fit one value: %d\n", r.LargestManifest)
	fmt.Fprintln(t, "\nkeys\tB per key\t")
	for _, p := range r.Keys {
		fmt.Fprintf(t, "%d\t%.0f\t\n", p.Keys, p.BytesPerKey)
	}
	return t.Flush()
}
