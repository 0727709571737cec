package load

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"os"
	"sort"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// progressLine returns the summary in one line.
func (s *Summary) progressLine() string {
	var line strings.Builder
	for i := range s.Classes {
		class := &s.Classes[i]
		fmt.Fprintf(&line, "%s %.1f%%, ", class.Name, 100*class.Attainment)
	}
	fmt.Fprintf(&line, "goodput %.1f/s, wasted %d of %d tokens, refusals %s, sent late by %.1f ms (p99)",
		s.Goodput, s.Wasted, s.Generated, formatCounts(s.Reasons), s.SendDelay.P99)
	return line.String()
}

// formatCounts lists names with their counts, sorted by name.
func formatCounts(counts map[string]int) string {
	names := make([]string, 0, len(counts))
	for name := range counts {
		names = append(names, name)
	}
	sort.Strings(names)
	parts := make([]string, 0, len(names))
	for _, name := range names {
		parts = append(parts, fmt.Sprintf("%s %d", name, counts[name]))
	}
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, ", ")
}

func writeJSON(path string, value any) error {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(data, '\n'), 0o644)
}

// writeCSV writes a CSV file with a row for each class of each run.
func writeCSV(path string, summaries []Summary) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer file.Close()
	w := csv.NewWriter(file)
	_ = w.Write([]string{ // w.Error returns the first failure
		"scenario", "policy", "class", "tier", "planned", "completed", "refused", "broken", "out_of_patience", "failed",
		"wrong", "hung_up", "attainment", "first_token_p50_ms", "first_token_p95_ms", "first_token_p99_ms",
		"between_tokens_p50_ms", "between_tokens_p95_ms", "between_tokens_p99_ms", "longest_gap_ms",
		"run_goodput_per_s", "run_wasted_tokens", "run_generated_tokens",
	})
	for i := range summaries {
		for j := range summaries[i].Classes {
			_ = w.Write(csvRow(&summaries[i], &summaries[i].Classes[j]))
		}
	}
	w.Flush()
	return w.Error()
}

func csvRow(s *Summary, c *ClassSummary) []string {
	formatFloat := func(f float64) string { return strconv.FormatFloat(f, 'f', 3, 64) }
	cells := []string{s.Scenario, s.Policy, c.Name, strconv.Itoa(c.Tier), strconv.Itoa(c.Planned)}
	for _, status := range []ResultStatus{StatusCompleted, StatusRefused, StatusTruncated, StatusTimedOut, StatusConnectionFailed, StatusMismatch, StatusDisconnected} {
		cells = append(cells, strconv.Itoa(c.StatusCounts[status]))
	}
	cells = append(cells, formatFloat(c.Attainment))
	for _, p := range []Percentiles{c.FirstToken, c.BetweenTokens} {
		cells = append(cells, formatFloat(p.P50), formatFloat(p.P95), formatFloat(p.P99))
	}
	return append(cells,
		strconv.FormatInt(c.LongestGapMillis, 10),
		formatFloat(s.Goodput),
		strconv.FormatUint(s.Wasted, 10),
		strconv.FormatUint(s.Generated, 10))
}

// Markdown returns two tables: one compares the policy under test with the better
// baseline in each scenario, the other has a row for each run.
func Markdown(scenarios []*Scenario, summaries []Summary) string {
	var text strings.Builder
	text.WriteString(comparisonTable(scenarios, summaries))
	text.WriteString("\n")
	text.WriteString("| scenario | policy | attainment by class (tier) | goodput /s | wasted tokens | longest gap | ends other than completed |\n")
	text.WriteString("|---|---|---|---:|---:|---|---|\n")
	for _, scenario := range scenarios {
		for i := range summaries {
			if s := &summaries[i]; s.Scenario == scenario.Name {
				text.WriteString(s.markdownRow())
			}
		}
	}
	return text.String()
}

func (s *Summary) markdownRow() string {
	var attainment, gaps []string
	otherCounts := map[string]int{}
	for i := range s.Classes {
		c := &s.Classes[i]
		attainment = append(attainment, fmt.Sprintf("%s (%d) %.1f%%", c.Name, c.Tier, 100*c.Attainment))
		gaps = append(gaps, fmt.Sprintf("%.1f s", float64(c.LongestGapMillis)/1000))
		for status, n := range c.StatusCounts {
			if status != StatusCompleted {
				otherCounts[string(status)] += n
			}
		}
	}
	wastedPercent := 100 * float64(s.Wasted) / float64(max(1, s.Generated))
	return fmt.Sprintf("| %s | %s | %s | %.1f | %d (%.0f%%) | %s | %s |\n", s.Scenario, s.Policy,
		strings.Join(attainment, ", "), s.Goodput, s.Wasted, wastedPercent, strings.Join(gaps, ", "), formatCounts(otherCounts))
}

// replaceSection replaces the text between the begin and end markers of a section
// of a file.
func replaceSection(path, section, text string) error {
	begin, end := "<!-- begin "+section+" -->\n", "<!-- end "+section+" -->"
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	head, rest, beginFound := strings.Cut(string(data), begin)
	_, tail, endFound := strings.Cut(rest, end)
	if !beginFound || !endFound {
		return eris.Errorf("%s has no markers of section %s", path, section)
	}
	return os.WriteFile(path, []byte(head+begin+text+end+tail), 0o644)
}
