package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/sesameswitch/sesameswitch/processstatus"
)

// Status is the subcommand that shows the state of processes.
type Status struct {
	Processes `embed:""`
	Counters  bool `help:"Show the counters of each process too (in text output; JSON always contains them)."`
}

// statusResult is the status of one process, or the reason why it is unknown.
type statusResult struct {
	Address string                  `json:"address"`
	Status  *processstatus.Document `json:"status,omitempty"`
	Error   string                  `json:"error,omitempty"`
}

// Run requests the status of all processes in parallel and prints a line for each.
// It returns a ProblemError if a process did not respond.
func (s *Status) Run(ctx context.Context, out *Output) error {
	urls, err := s.urls(ctx)
	if err != nil {
		return err
	}
	if len(urls) == 0 {
		return eris.New("no processes selected: use --process or --vm-list")
	}
	results := fetchStatuses(ctx, urls)
	if err := s.write(out, results); err != nil {
		return err
	}
	failed := func(r statusResult) bool { return r.Status == nil }
	if slices.ContainsFunc(results, failed) {
		return &ProblemError{}
	}
	return nil
}

func fetchStatuses(ctx context.Context, urls []string) []statusResult {
	results := make([]statusResult, len(urls))
	var group errgroup.Group
	group.SetLimit(maxParallelRequests)
	for i, url := range urls {
		group.Go(func() error {
			results[i] = fetchStatus(ctx, url)
			return nil
		})
	}
	_ = group.Wait() // the functions never return an error
	return results
}

func fetchStatus(ctx context.Context, url string) statusResult {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	resp, err := httpGet(ctx, url+processstatus.PathStatus)
	if err != nil {
		return statusResult{Address: url, Error: err.Error()}
	}
	defer resp.Body.Close()
	var document processstatus.Document
	if err := json.NewDecoder(resp.Body).Decode(&document); err != nil {
		return statusResult{Address: url, Error: err.Error()}
	}
	return statusResult{Address: url, Status: &document}
}

func (s *Status) write(out *Output, results []statusResult) error {
	if out.Format == FormatJSON {
		return out.json(results)
	}
	rows := [][]string{{"VM", "ROLE", "DATA CENTRE", "STATE", "CONFIG", "RUNNING", "SLOTS", "QUEUED", "ADDRESS"}}
	for _, r := range results {
		rows = append(rows, statusRow(r))
	}
	if err := out.table(rows); err != nil {
		return err
	}
	out.printf("%s\n", summary(results))
	for _, r := range results {
		if r.Error != "" {
			out.printf("%s: %s\n", r.Address, r.Error)
		}
		if s.Counters && r.Status != nil {
			writeCounters(out, r.Status)
		}
	}
	return nil
}

// summary returns a line with the total number of processes, the number for each
// active configuration version, and the number that did not respond.
func summary(results []statusResult) string {
	counts := make(map[uint64]int)
	unresponsive := 0
	for _, r := range results {
		if r.Status == nil {
			unresponsive++
			continue
		}
		counts[r.Status.ConfigVersion]++
	}
	text := fmt.Sprintf("processes: %d", len(results))
	for _, version := range slices.Backward(slices.Sorted(maps.Keys(counts))) {
		text += fmt.Sprintf("; version %d: %d", version, counts[version])
	}
	if unresponsive > 0 {
		text += fmt.Sprintf("; no answer: %d", unresponsive)
	}
	return text
}

func statusRow(r statusResult) []string {
	if r.Status == nil {
		return []string{"-", "-", "-", "no answer", "-", "-", "-", "-", r.Address}
	}
	p, load := r.Status.Process, r.Status.Load
	return []string{
		p.VM, p.Role, p.DataCentre, r.Status.State, strconv.FormatUint(r.Status.ConfigVersion, 10),
		strconv.Itoa(load.Running), strconv.Itoa(load.Slots), strconv.Itoa(load.Queued), r.Address,
	}
}

func writeCounters(out *Output, document *processstatus.Document) {
	out.printf("\n%s:\n", document.Process.VM)
	for _, name := range slices.Sorted(maps.Keys(document.Counters)) {
		out.printf("  %s %d\n", name, document.Counters[name])
	}
}
