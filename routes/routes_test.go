package routes

import "testing"

func buildTable(t *testing.T, version uint64, keys []string, prefixes ...string) *Table {
	t.Helper()
	var all []Route
	for _, prefix := range prefixes {
		all = append(all, Route{Name: prefix, Host: "a.example", Prefix: prefix, Kind: Safe, Targets: []Target{{"app", 1}}})
	}
	apiKeys := APIKeys{Required: keys != nil, Accounts: make(map[string]*ClientAccount)}
	for _, key := range keys {
		apiKeys.Accounts[key] = &ClientAccount{Name: "acme"}
	}
	table, err := Build(version, Limits{}, all, []Service{{Name: "app"}}, apiKeys)
	if err != nil {
		t.Fatal(err)
	}
	return table
}

func TestLookupChoosesLongestPrefix(t *testing.T) {
	table := buildTable(t, 1, nil, "/", "/a/", "/a/b/")
	for path, want := range map[string]string{
		"/": "/", "/x": "/", "/a": "/", "/a/": "/a/", "/a/x/y": "/a/", "/a/b": "/a/", "/a/b/": "/a/b/", "/a//b/": "/a/", "/a/b/../c": "/a/b/",
	} {
		if r := table.Lookup("A.example", path); r == nil || r.Prefix != want {
			t.Errorf("path %s: got route %+v, want prefix %s", path, r, want)
		}
	}
	if r := table.Lookup("b.example", "/a/"); r != nil {
		t.Errorf("unknown host: got route %+v, want none", r)
	}
	if r := buildTable(t, 1, nil, "/a/").Lookup("a.example", "/b/"); r != nil {
		t.Errorf("path without a matching prefix: got route %+v, want none", r)
	}
}

func TestBuildRefusesInvalidRoutes(t *testing.T) {
	for name, r := range map[string]Route{
		"no trailing slash": {Name: "r", Prefix: "/a", Targets: []Target{{"app", 1}}},
		"no target service": {Name: "r", Prefix: "/a/"},
		"unknown service":   {Name: "r", Prefix: "/a/", Targets: []Target{{"other", 1}}},
	} {
		if _, err := Build(1, Limits{}, []Route{r}, []Service{{Name: "app"}}, APIKeys{}); err == nil {
			t.Errorf("%s: table accepted, want an error", name)
		}
	}
}

func TestRetiredKeysAndRoutesAreRemembered(t *testing.T) {
	first := buildTable(t, 1, []string{"a", "b"}, "/x/", "/y/").WithRetiredFrom(nil)
	second := buildTable(t, 2, []string{"b"}, "/y/").WithRetiredFrom(first)
	third := buildTable(t, 3, []string{"b", "c"}, "/y/").WithRetiredFrom(second)
	if !second.RetiredKey("a") || !third.RetiredKey("a") || third.RetiredKey("b") || third.RetiredKey("never") {
		t.Error("retired keys: want a retired from versions 2 and 3 and no other key retired from version 3")
	}
	if !third.RetiredRoute("A.example", "/x/1") || third.RetiredRoute("a.example", "/y/1") || third.RetiredRoute("a.example", "/z/") {
		t.Error("retired routes: want only those below /x/ retired from version 3")
	}
	restored := buildTable(t, 4, []string{"a"}, "/x/").WithRetiredFrom(third)
	if restored.RetiredKey("a") || restored.RetiredRoute("a.example", "/x/") || !restored.RetiredKey("c") {
		t.Error("want the restored key and route no longer retired, and the removed key retired")
	}
}

// TestChooseServiceFollowsWeights checks that requests are divided by weight and
// that the same ID always gets the same service.
func TestChooseServiceFollowsWeights(t *testing.T) {
	r := Route{Targets: []Target{{"a", 90}, {"b", 10}, {"c", 0}}}
	counts := map[string]int{}
	for i := range 10_000 {
		id := string(rune('a'+i%26)) + string(rune(i))
		service := r.ChooseService(id)
		if r.ChooseService(id) != service {
			t.Fatal("the same ID got two different services")
		}
		counts[service]++
	}
	if counts["a"] < 8_700 || counts["a"] > 9_300 || counts["c"] > 0 {
		t.Errorf("requests per service %v, want about 9000 for a and none for c", counts)
	}
}

func TestIdempotentByKindAndResumable(t *testing.T) {
	for _, test := range []struct {
		kind      Kind
		resumable bool
		want      bool
	}{{Safe, false, true}, {Unsafe, true, false}, {Stream, true, true}, {Stream, false, false}} {
		if r := (&Route{Kind: test.kind, Resumable: test.resumable}); r.Idempotent() != test.want {
			t.Errorf("kind %s, resumable %v: wrong result of Idempotent", test.kind, test.resumable)
		}
	}
}
