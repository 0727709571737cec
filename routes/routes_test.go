package routes

import "testing"

func build(t *testing.T, version uint64, keys []string, prefixes ...string) *Table {
	t.Helper()
	var all []Route
	for _, prefix := range prefixes {
		all = append(all, Route{Name: prefix, Host: "a.example", Prefix: prefix, Kind: Safe, Targets: []Target{{"app", 1}}})
	}
	accounts := make(map[string]*ClientAccount)
	for _, key := range keys {
		accounts[key] = &ClientAccount{Name: "acme"}
	}
	table, err := Build(version, Limits{}, all, []Service{{Name: "app"}}, accounts)
	if err != nil {
		t.Fatal(err)
	}
	return table
}

func TestLongestPrefix(t *testing.T) {
	table := build(t, 1, nil, "/", "/a/", "/a/b/")
	for path, want := range map[string]string{
		"/": "/", "/x": "/", "/a": "/", "/a/": "/a/", "/a/x/y": "/a/", "/a/b": "/a/", "/a/b/": "/a/b/", "/a//b/": "/a/", "/a/b/../c": "/a/b/",
	} {
		if r := table.Lookup("A.example", path); r == nil || r.Prefix != want {
			t.Errorf("%s: %+v, want %s", path, r, want)
		}
	}
	if r := table.Lookup("b.example", "/a/"); r != nil {
		t.Errorf("another host: %+v", r)
	}
	if r := build(t, 1, nil, "/a/").Lookup("a.example", "/b/"); r != nil {
		t.Errorf("no prefix: %+v", r)
	}
}

func TestFaultyTablesAreRefusedWhole(t *testing.T) {
	for name, r := range map[string]Route{
		"no slash at the end": {Name: "r", Prefix: "/a", Targets: []Target{{"app", 1}}},
		"no service":          {Name: "r", Prefix: "/a/"},
		"unknown service":     {Name: "r", Prefix: "/a/", Targets: []Target{{"other", 1}}},
	} {
		if _, err := Build(1, Limits{}, []Route{r}, []Service{{Name: "app"}}, nil); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}

func TestRetiredKeysAndRoutes(t *testing.T) {
	first := build(t, 1, []string{"a", "b"}, "/x/", "/y/").WithRetiredFrom(nil)
	second := build(t, 2, []string{"b"}, "/y/").WithRetiredFrom(first)
	third := build(t, 3, []string{"b", "c"}, "/y/").WithRetiredFrom(second)
	if !second.RetiredKey("a") || !third.RetiredKey("a") || third.RetiredKey("b") || third.RetiredKey("never") {
		t.Error("retired keys")
	}
	if !third.RetiredRoute("A.example", "/x/1") || third.RetiredRoute("a.example", "/y/1") || third.RetiredRoute("a.example", "/z/") {
		t.Error("retired routes")
	}
	back := build(t, 4, []string{"a"}, "/x/").WithRetiredFrom(third)
	if back.RetiredKey("a") || back.RetiredRoute("a.example", "/x/") || !back.RetiredKey("c") {
		t.Error("what came back counts as retired")
	}
}

// TestSplitFollowsWeights shows that requests are divided by weight and that one
// id always goes to one service.
func TestSplitFollowsWeights(t *testing.T) {
	r := Route{Targets: []Target{{"a", 90}, {"b", 10}, {"c", 0}}}
	counts := map[string]int{}
	for i := range 10_000 {
		id := string(rune('a'+i%26)) + string(rune(i))
		service := r.ChooseService(id)
		if r.ChooseService(id) != service {
			t.Fatal("the same id goes elsewhere")
		}
		counts[service]++
	}
	if counts["a"] < 8_700 || counts["a"] > 9_300 || counts["c"] > 0 {
		t.Errorf("%v", counts)
	}
}

func TestIdempotent(t *testing.T) {
	for _, test := range []struct {
		kind   Kind
		resume bool
		want   bool
	}{{Safe, false, true}, {Unsafe, true, false}, {Stream, true, true}, {Stream, false, false}} {
		if r := (&Route{Kind: test.kind, Resumable: test.resume}); r.Idempotent() != test.want {
			t.Errorf("%s, resumable %v", test.kind, test.resume)
		}
	}
}
