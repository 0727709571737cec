package load

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/sesameswitch/sesameswitch/manifest"
	"github.com/sesameswitch/sesameswitch/outcome"
	"github.com/sesameswitch/sesameswitch/standin/engine"
)

// readScenarios reads all scenario files of the project.
func readScenarios(t *testing.T) []*Scenario {
	t.Helper()
	paths, err := filepath.Glob("../experiments/*.yaml")
	if err != nil || len(paths) == 0 {
		t.Fatalf("found no scenario files: %v", err)
	}
	var all []*Scenario
	for _, path := range paths {
		s, err := ReadScenario(path)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, s)
	}
	return all
}

func TestScenariosHaveValidManifests(t *testing.T) {
	for _, s := range append(readScenarios(t), overheadScenario(Engines{Count: 1, Slots: 1})) {
		document, err := buildManifest(s)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := manifest.Parse(document); err != nil {
			t.Errorf("%s: invalid manifest: %v", s.Name, err)
		}
	}
}

func TestArrivalsAreDeterministicAndOrdered(t *testing.T) {
	for _, s := range readScenarios(t) {
		first := s.Arrivals()
		if len(first) == 0 || !reflect.DeepEqual(first, s.Arrivals()) {
			t.Fatalf("%s: got %d arrivals, want some and the same on the second call", s.Name, len(first))
		}
		for i := range first {
			if first[i].At > s.Duration || (i > 0 && first[i].At < first[i-1].At) {
				t.Fatalf("%s: arrival %d at %v is after the end or before its predecessor", s.Name, i, first[i].At)
			}
		}
	}
}

// The mean offered load of each scenario must fit its description. In open-week and
// market-morning the load rises to a peak, so that the mean is lower.
func TestScenariosOfferDescribedLoad(t *testing.T) {
	for _, s := range readScenarios(t) {
		load := s.OfferedLoad()
		low, high := 1.2, 3.0
		if s.Name == "no-overload" {
			low, high = 0.3, 0.7
		}
		if s.Name == "open-week" || s.Name == "market-morning" {
			low = 0.9
		}
		if load < low || load > high {
			t.Errorf("%s: got offered load %.2f, want a value in the described range", s.Name, load)
		}
	}
}

func TestAccountsGetTheirShares(t *testing.T) {
	s := &Scenario{
		Duration: 100 * time.Second,
		Accounts: []Account{{Name: "large"}, {Name: "small"}},
		Classes: []Class{{
			MedianTokens: 1, Rate: []RatePoint{{PerSecond: 20}}, AccountShares: map[string]float64{"large": 3, "small": 1},
		}},
	}
	counts := map[string]int{}
	arrivals := s.Arrivals()
	for _, arrival := range arrivals {
		counts[arrival.Account]++
	}
	if share := float64(counts["large"]) / float64(len(arrivals)); share < 0.7 || share > 0.8 {
		t.Errorf("got share %.2f for the large account, want about 0.75", share)
	}
}

func TestLongestGap(t *testing.T) {
	seconds := func(list ...int) []time.Duration {
		var out []time.Duration
		for _, s := range list {
			out = append(out, time.Duration(s)*time.Second)
		}
		return out
	}
	cases := []struct {
		name        string
		completions []time.Duration
		from, to    int
		want        int
	}{
		{"no completions", nil, 2, 10, 8},
		{"gap before the first completion", seconds(7, 8, 9), 2, 10, 5},
		{"gap between unordered completions", seconds(9, 3), 2, 10, 6},
		{"completion after the end", seconds(3, 30), 2, 10, 7},
	}
	for _, c := range cases {
		got := longestGap(c.completions, time.Duration(c.from)*time.Second, time.Duration(c.to)*time.Second)
		if got != time.Duration(c.want)*time.Second {
			t.Errorf("%s: got %v, want %d s", c.name, got, c.want)
		}
	}
}

func TestMeetsTargets(t *testing.T) {
	result := &Result{FirstToken: 100, LastToken: 400, Tokens: 4, EndToEnd: 500}
	cases := []struct {
		targets manifest.Targets
		want    bool
	}{
		{manifest.Targets{FirstToken: 100, BetweenTokens: 100, EndToEnd: 500}, true},
		{manifest.Targets{FirstToken: 99}, false},
		{manifest.Targets{FirstToken: 100, BetweenTokens: 99}, false},
		{manifest.Targets{EndToEnd: 499}, false},
	}
	for _, c := range cases {
		if got := meetsTargets(&Class{Class: manifest.Class{Targets: c.targets}}, result); got != c.want {
			t.Errorf("targets %+v: got %v, want the opposite", c.targets, got)
		}
	}
}

func TestSummaryCountsWasteAndExcludesPlannedDisconnects(t *testing.T) {
	s := &Scenario{
		Name: "s", Duration: 10 * time.Second,
		Classes: []Class{{Class: manifest.Class{Name: "c", Targets: manifest.Targets{FirstToken: time.Second}}}},
	}
	run := &Run{Scenario: s, EngineCounters: engine.Counters{Generated: 100}, Results: []Result{
		{Status: StatusCompleted, Account: "a", Tokens: 40, FirstToken: time.Millisecond},
		{Status: StatusCompleted, Account: "a", Tokens: 20, FirstToken: 2 * time.Second},
		{Status: StatusRefused, Account: "b", Reason: outcome.ReasonShed},
		{Status: StatusDisconnected, Account: "a", Tokens: 7},
	}}
	got := Summarize(run)
	if got.Wasted != 40 || got.Goodput != 0.1 || got.GoodputTokens != 4 || got.Planned != 3 || got.Reasons["shed"] != 1 {
		t.Errorf("got summary %+v", got)
	}
	if c := got.Classes[0]; c.Attained != 1 || c.AccountAttainment["a"] != 0.5 || c.AccountAttainment["b"] != 0 {
		t.Errorf("got class summary %+v", c)
	}
}

func TestCompareUsesBetterBaseline(t *testing.T) {
	scenario := &Scenario{
		Name: "s", Duration: time.Second, Engines: Engines{Count: 1, Slots: 1, StepTime: time.Second},
		Accounts: []Account{{Name: "a"}}, Classes: []Class{{MedianTokens: 1, Rate: []RatePoint{{PerSecond: 100}}}},
	}
	classes := []ClassSummary{{Attainment: 0.995}, {LongestGapMillis: 1500}}
	summaries := []Summary{
		{Scenario: "s", Policy: "round-robin", Goodput: 10, GoodputTokens: 100, Wasted: 90, Classes: classes},
		{Scenario: "s", Policy: "least", Goodput: 8, GoodputTokens: 110, Wasted: 30, Classes: classes},
		{Scenario: "s", Policy: "sesame", Goodput: 15, GoodputTokens: 165, Wasted: 15, Classes: classes},
		{Scenario: "other", Policy: "least", Goodput: 99, Classes: classes},
	}
	got, ok := compare(scenario, summaries)
	want := comparison{
		scenario: "s", overload: true, topTierAttainment: 0.995, goodputRatio: 1.5, tokenRatio: 1.5, wasteRatio: 0.5, lowestTierGapSeconds: 1.5,
	}
	if !ok || got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if _, ok := compare(&Scenario{Name: "other"}, summaries); ok {
		t.Error("got a comparison without the policy under test, want none")
	}
}

func TestAttemptClassifiesResponses(t *testing.T) {
	settings := engine.DefaultSettings()
	settings.TimeScale = 200
	standIn := engine.New(settings)
	defer standIn.Close()
	handlers := map[string]http.HandlerFunc{
		"/engine/": http.StripPrefix("/engine", standIn).ServeHTTP,
		"/refuse/": func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
			fmt.Fprint(w, `{"reason":"shed"}`)
		},
		"/broken/": func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprint(w, "event: error\ndata: {\"reason\":\"connection_lost\"}\n\n")
		},
		"/wrong/": func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprint(w, "data: {\"choices\":[{\"delta\":{\"content\":\"0-x \"}}]}\n\ndata: [DONE]\n\n")
		},
	}
	mux := http.NewServeMux()
	for path, handler := range handlers {
		mux.HandleFunc(path, handler)
	}
	server := httptest.NewServer(mux)
	defer server.Close()
	cases := []struct {
		path   string
		status ResultStatus
		reason outcome.Reason
	}{
		{"/engine", StatusCompleted, ""},
		{"/refuse", StatusRefused, outcome.ReasonShed},
		{"/broken", StatusTruncated, outcome.ReasonConnectionLost},
		{"/wrong", StatusMismatch, ""},
	}
	for _, c := range cases {
		caller := &caller{client: server.Client(), url: server.URL + c.path}
		var result Result
		caller.attempt(context.Background(), &Arrival{Prompt: "p", Tokens: 3}, time.Now(), &result)
		if result.Status != c.status || result.Reason != c.reason {
			t.Errorf("%s: got status %s, reason %q", c.path, result.Status, result.Reason)
		}
	}
}

func TestReplaceSection(t *testing.T) {
	path := filepath.Join(t.TempDir(), "page.md")
	page := "a\n<!-- begin x -->\nold\n<!-- end x -->\nb\n"
	if err := os.WriteFile(path, []byte(page), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := replaceSection(path, "x", "new\n"); err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(path)
	if want := "a\n<!-- begin x -->\nnew\n<!-- end x -->\nb\n"; err != nil || string(data) != want {
		t.Errorf("got page %q, error %v", data, err)
	}
	if err := replaceSection(path, "y", ""); err == nil {
		t.Error("got no error for a section without markers")
	}
}

func TestReportsAreWritten(t *testing.T) {
	s := readScenarios(t)[:1]
	run := &Run{Scenario: s[0], Policy: "sesame", Results: make([]Result, 3)}
	summaries := []Summary{Summarize(run)}
	dir := t.TempDir()
	for name, write := range map[string]func(string) error{
		"csv":  func(path string) error { return writeCSV(path, summaries) },
		"html": func(path string) error { return writeHTML(path, s, summaries) },
		"json": func(path string) error { return writeJSON(path, summaries) },
	} {
		path := filepath.Join(dir, name)
		if err := write(path); err != nil {
			t.Errorf("write %s: %v", name, err)
		}
		if info, err := os.Stat(path); err != nil || info.Size() == 0 {
			t.Errorf("%s file is missing or empty", name)
		}
	}
}
