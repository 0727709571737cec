package manifest

import (
	"strings"
	"testing"
)

func mustParse(t *testing.T, document string) *Manifest {
	t.Helper()
	m, err := Parse([]byte(document))
	if err != nil {
		t.Fatal(err)
	}
	return m
}

func TestDiffListsChangedFieldsAndEntries(t *testing.T) {
	older := mustParse(t, validDocument)
	if got := Diff(older, older); got != nil {
		t.Errorf("got changes %+v between a manifest and itself, want none", got)
	}
	withDefault := strings.Replace(validDocument, "key_validity: 5m", "key_validity: 5m, queue_per_agent: 256", 1)
	if got := Diff(older, mustParse(t, withDefault)); got != nil {
		t.Errorf("got changes %+v for a default that is written out, want none", got)
	}
	newer := mustParse(t, strings.NewReplacer(
		"version: 3", "version: 4",
		"tier: 2", "tier: 3",
		"    floor: 0.1\n", "",
		"name: other", "name: third",
		"key_validity: 5m", "key_validity: 6m",
		"path_prefix: /payments, ", "",
	).Replace(validDocument))
	want := []string{
		"changed version 3 4",
		"changed classes[chat].tier 2 3",
		"added accounts[third] key_hashes=[" + strings.Repeat("b", 64) + "]",
		"changed limits.key_validity 5m0s 6m0s",
		"removed classes[chat].floor 0.1",
		"removed accounts[other] key_hashes=[" + strings.Repeat("b", 64) + "]",
		"removed routes[booking POST /payments] service=booking methods=[POST] path_prefix=/payments classes=[pay]",
		"added routes[booking POST ] service=booking methods=[POST] classes=[pay]",
	}
	got := make(map[string]bool)
	for _, c := range Diff(older, newer) {
		got[strings.Join(strings.Fields(string(c.Kind)+" "+c.Path+" "+c.Old+" "+c.New), " ")] = true
		if c.Effect == "" {
			t.Errorf("change of %s has no effect text", c.Path)
		}
	}
	if len(got) != len(want)+1 { // one more for the order of the routes
		t.Errorf("got %d changes, want those listed and the order of the routes: %v", len(got), got)
	}
	for _, line := range want {
		if !got[strings.Join(strings.Fields(line), " ")] {
			t.Errorf("missing change: %s\nin %v", line, got)
		}
	}
}

func TestDiffReportsChangedOrderOfRoutes(t *testing.T) {
	older := mustParse(t, validDocument)
	newer := mustParse(t, validDocument)
	newer.Routes[0], newer.Routes[1] = newer.Routes[1], newer.Routes[0]
	changes := Diff(older, newer)
	if len(changes) != 1 || changes[0].Path != "routes" {
		t.Errorf("got changes %+v, want one of routes", changes)
	}
}
