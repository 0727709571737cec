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

func scenarios(t *testing.T) []*Scenario {
	t.Helper()
	paths, err := filepath.Glob("../experiments/*.yaml")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no scenarios: %v", err)
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
	for _, s := range append(scenarios(t), overheadScenario(Engines{Count: 1, Slots: 1})) {
		document, err := manifestOf(s)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := manifest.Parse(document); err != nil {
			t.Errorf("%s: %v", s.Name, err)
		}
	}
}

func TestArrivalsFollowFromTheScenario(t *testing.T) {
	for _, s := range scenarios(t) {
		first := s.Arrivals()
		if len(first) == 0 || !reflect.DeepEqual(first, s.Arrivals()) {
			t.Fatalf("%s: %d arrivals, or others the second time", s.Name, len(first))
		}
		for i := range first {
			if first[i].At > s.Duration || (i > 0 && first[i].At < first[i-1].At) {
				t.Fatalf("%s: arrival %d at %v", s.Name, i, first[i].At)
			}
		}
	}
}

// The load of a scenario is what its description says of the capacity.
func TestScenariosLoadTheEngines(t *testing.T) {
	for _, s := range scenarios(t) {
		load := s.Demand()
		low, high := 1.2, 3.0
		if s.Name == "no-overload" {
			low, high = 0.3, 0.7
		}
		if s.Name == "open-week" || s.Name == "market-morning" {
			low = 0.9
		}
		if load < low || load > high {
			t.Errorf("%s asks for %.2f of the capacity", s.Name, load)
		}
	}
}

func TestAccountsGetTheirParts(t *testing.T) {
	s := &Scenario{
		Duration: 100 * time.Second,
		Accounts: []Account{{Name: "large"}, {Name: "small"}},
		Classes: []Class{{
			Tokens: 1, Rate: []RatePoint{{PerSecond: 20}}, Accounts: map[string]float64{"large": 3, "small": 1},
		}},
	}
	counts := map[string]int{}
	arrivals := s.Arrivals()
	for _, arrival := range arrivals {
		counts[arrival.Account]++
	}
	if part := float64(counts["large"]) / float64(len(arrivals)); part < 0.7 || part > 0.8 {
		t.Errorf("large account has %.2f of the load", part)
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
		{"none", nil, 2, 10, 8},
		{"before the first", seconds(7, 8, 9), 2, 10, 5},
		{"unordered, between", seconds(9, 3), 2, 10, 6},
		{"after the end", seconds(3, 30), 2, 10, 7},
	}
	for _, c := range cases {
		got := longestGap(c.completions, time.Duration(c.from)*time.Second, time.Duration(c.to)*time.Second)
		if got != time.Duration(c.want)*time.Second {
			t.Errorf("%s: %v, want %d s", c.name, got, c.want)
		}
	}
}

func TestAttains(t *testing.T) {
	result := &Result{FirstToken: 100, LastToken: 400, Tokens: 4, Whole: 500}
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
		if got := attains(&Class{Class: manifest.Class{Targets: c.targets}}, result); got != c.want {
			t.Errorf("%+v: %v", c.targets, got)
		}
	}
}

func TestSummaryCountsWasteAndLeavesOutPlannedHangUps(t *testing.T) {
	s := &Scenario{
		Name: "s", Duration: 10 * time.Second,
		Classes: []Class{{Class: manifest.Class{Name: "c", Targets: manifest.Targets{FirstToken: time.Second}}}},
	}
	run := &Run{Scenario: s, Engines: engine.Counters{Generated: 100}, Results: []Result{
		{End: EndCompleted, Account: "a", Tokens: 40, FirstToken: time.Millisecond},
		{End: EndCompleted, Account: "a", Tokens: 20, FirstToken: 2 * time.Second},
		{End: EndRefused, Account: "b", Reason: outcome.ReasonShed},
		{End: EndHungUp, Account: "a", Tokens: 7},
	}}
	got := Summarize(run)
	if got.Wasted != 40 || got.Goodput != 0.1 || got.GoodputTokens != 4 || got.Planned != 3 || got.Reasons["shed"] != 1 {
		t.Errorf("summary %+v", got)
	}
	if c := got.Classes[0]; c.Attained != 1 || c.ByAccount["a"] != 0.5 || c.ByAccount["b"] != 0 {
		t.Errorf("class %+v", c)
	}
}

func TestCompareTakesTheBetterBaseline(t *testing.T) {
	scenario := &Scenario{
		Name: "s", Duration: time.Second, Engines: Engines{Count: 1, Slots: 1, StepTime: time.Second},
		Accounts: []Account{{Name: "a"}}, Classes: []Class{{Tokens: 1, Rate: []RatePoint{{PerSecond: 100}}}},
	}
	class := []ClassSummary{{Attainment: 0.995}, {LongestGapMillis: 1500}}
	summaries := []Summary{
		{Scenario: "s", Policy: "round-robin", Goodput: 10, GoodputTokens: 100, Wasted: 90, Classes: class},
		{Scenario: "s", Policy: "least", Goodput: 8, GoodputTokens: 110, Wasted: 30, Classes: class},
		{Scenario: "s", Policy: "sesame", Goodput: 15, GoodputTokens: 165, Wasted: 15, Classes: class},
		{Scenario: "other", Policy: "least", Goodput: 99, Classes: class},
	}
	got, ok := compare(scenario, summaries)
	want := comparison{
		scenario: "s", overload: true, topTier: 0.995, goodputRatio: 1.5, tokenRatio: 1.5, wasteRatio: 0.5, lowestGap: 1.5,
	}
	if !ok || got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
	if _, ok := compare(&Scenario{Name: "other"}, summaries); ok {
		t.Error("compared without the policy")
	}
}

func TestAttemptTellsEndsApart(t *testing.T) {
	settings := engine.DefaultSettings()
	settings.TimeScale = 200
	stand := engine.New(settings)
	defer stand.Close()
	answers := map[string]http.HandlerFunc{
		"/engine/": http.StripPrefix("/engine", stand).ServeHTTP,
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
	for path, handler := range answers {
		mux.HandleFunc(path, handler)
	}
	server := httptest.NewServer(mux)
	defer server.Close()
	cases := []struct {
		path   string
		end    End
		reason outcome.Reason
	}{
		{"/engine", EndCompleted, ""},
		{"/refuse", EndRefused, outcome.ReasonShed},
		{"/broken", EndBroken, outcome.ReasonConnectionLost},
		{"/wrong", EndWrong, ""},
	}
	for _, c := range cases {
		caller := &caller{client: server.Client(), url: server.URL + c.path}
		var result Result
		caller.attempt(context.Background(), &Arrival{Prompt: "p", Tokens: 3}, time.Now(), &result)
		if result.End != c.end || result.Reason != c.reason {
			t.Errorf("%s: %s %q", c.path, result.End, result.Reason)
		}
	}
}

func TestReplaceMarked(t *testing.T) {
	path := filepath.Join(t.TempDir(), "page.md")
	page := "a\n<!-- begin x -->\nold\n<!-- end x -->\nb\n"
	if err := os.WriteFile(path, []byte(page), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := replaceMarked(path, "x", "new\n"); err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(path)
	if want := "a\n<!-- begin x -->\nnew\n<!-- end x -->\nb\n"; err != nil || string(data) != want {
		t.Errorf("page %q, %v", data, err)
	}
	if err := replaceMarked(path, "y", ""); err == nil {
		t.Error("a page without markers was written")
	}
}

func TestReportsAreWritten(t *testing.T) {
	s := scenarios(t)[:1]
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
			t.Errorf("%s: %v", name, err)
		}
		if info, err := os.Stat(path); err != nil || info.Size() == 0 {
			t.Errorf("%s is empty", name)
		}
	}
}
