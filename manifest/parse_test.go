package manifest

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"
)

const validDocument = `version: 3
deployment: test
classes:
  - {name: pay, tier: 1, repeatability: at_most_once, targets: {whole: 2s}}
  - name: chat
    tier: 2
    repeatability: idempotent
    targets: {first_token: 800ms, between_tokens: 60ms}
    floor: 0.1
models: [{name: small, max_tokens: 100}]
services: [{name: booking}]
accounts:
  - name: school
    key_hashes: [aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa]
    classes: [pay, chat]
  - name: other
    key_hashes: [bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb]
routes:
  - {model: small, classes: [chat]}
  - {service: booking, methods: [POST], path_prefix: /payments, classes: [pay]}
limits: {key_validity: 5m}
...
`

func TestParseReadsFieldsAndSetsDefaults(t *testing.T) {
	m, err := Parse([]byte(validDocument))
	if err != nil {
		t.Fatal(err)
	}
	if m.Version != 3 || m.Classes[1].Targets.FirstToken != 800*time.Millisecond || m.Limits.KeyValidity != 5*time.Minute {
		t.Errorf("got manifest %+v, want the values of the document", m)
	}
	if m.Limits.QueuePerAgent != DefaultQueuePerAgent {
		t.Errorf("default of queue_per_agent not set: %+v", m.Limits)
	}
}

func TestParseReportsPathOfEachProblem(t *testing.T) {
	hash := strings.Repeat("b", 64)
	cases := []struct{ name, old, replacement, want string }{
		{"unknown field", "version: 3", "version: 3\ncolour: red", "colour: is not a known field"},
		{"unknown inner field", "{name: pay,", "{name: pay, colour: red,", "classes[0].colour: is not a known field"},
		{"duplicate field", "    tier: 2", "    tier: 2\n    tier: 3", "classes[1].tier: occurs twice"},
		{"duplicate top-level field", "version: 3", "version: 3\nversion: 4", "version: occurs twice"},
		{"version zero", "version: 3", "version: 0", "version: must be at least 1, not 0"},
		{"version negative", "version: 3", "version: -1", "version: must be a whole number from 0"},
		{"version text", "version: 3", `version: "3"`, "version: must be a whole number from 0"},
		{"missing deployment", "deployment: test\n", "", "deployment: is required"},
		{"invalid name", "name: school", "name: Old School", "accounts[0].name: must match"},
		{"tier above maximum", "tier: 2", "tier: 5", "classes[1].tier: must be at most 4, not 5"},
		{"tier fraction", "tier: 2", "tier: 2.5", "classes[1].tier: must be a whole number"},
		{"repeatability", "at_most_once", "twice", "classes[0].repeatability: must be one of idempotent, at_most_once"},
		{"missing target", "{whole: 2s}", "{}", "classes[0].targets: must set first_token or whole"},
		{"between_tokens without first_token", "first_token: 800ms, ", "whole: 2s, ", "classes[1].targets.between_tokens: needs first_token"},
		{"missing unit", "whole: 2s", "whole: 2", "classes[0].targets.whole: must be a duration with its unit"},
		{"negative target", "whole: 2s", "whole: -2s", "classes[0].targets.whole: must be at least 0"},
		{"floor", "floor: 0.1", "floor: 0.3", "classes[1].floor: must be at most 0.25"},
		{"floor not a number", "floor: 0.1", "floor: .nan", "classes[1].floor: must be a number"},
		{"duplicate class", "- name: chat", "- name: pay", `classes[1].name: "pay" is already the name of classes[0]`},
		{"duplicate account", "- name: other", "- name: school", `accounts[1].name: "school" is already the name of accounts[0]`},
		{"key of two accounts", strings.Repeat("a", 64), hash, "accounts[1].key_hashes[0]: is already a key of accounts[0]"},
		{"key not a hash", strings.Repeat("a", 64), "secret", "accounts[0].key_hashes[0]: must have a length of 64"},
		{"key as number", strings.Repeat("a", 64), strings.Repeat("1", 18), "accounts[0].key_hashes[0]: must be text; quote it"},
		{"class of an account", "[pay, chat]", "[pay, gold]", `accounts[0].classes[1]: "gold" is not a class`},
		{"class of a route", "classes: [pay]", "classes: [gold]", `routes[1].classes[0]: "gold" is not a class`},
		{"duplicate class of a route", "classes: [pay]", "classes: [pay, pay]", `routes[1].classes[1]: "pay" occurs twice`},
		{"mixed repeatability", "classes: [pay]", "classes: [pay, chat]", `routes[1].classes[1]: "chat" and "pay" differ in repeatability`},
		{"model of a route", "{model: small", "{model: large", `routes[0].model: "large" is not a model`},
		{"service of a route", "{service: booking", "{service: till", `routes[1].service: "till" is not a service`},
		{"route without target", "{model: small, ", "{", "routes[0]: must set either model or service"},
		{"route with two targets", "{model: small, ", "{model: small, service: booking, ", "routes[0]: must set either model or service"},
		{"methods of a model", "{model: small, ", "{model: small, methods: [GET], ", "routes[0].methods: is only for services"},
		{"unknown method", "[POST]", "[post]", "routes[1].methods[0]: must be one of GET"},
		{"path prefix", "/payments", "payments", "routes[1].path_prefix: must start with /"},
		{"shadowed", "  - {service: booking,", "  - {service: booking, classes: [pay]}\n  - {service: booking,", "routes[2]: never matches, since routes[1] matches first"},
		{"list for mapping", "limits: {key_validity: 5m}", "limits: []", "limits: must be a mapping"},
		{"mapping for list", "models: [{name: small, max_tokens: 100}]", "models: {}", "models: must be a list"},
		{"null", "services: [{name: booking}]", "services:", "services: must be a list"},
		{"anchor", "deployment: test", "deployment: &d test", "line 2: anchors, aliases"},
		{"alias", "deployment: test", "deployment: *d", "line 2: anchors, aliases"},
		{"tag", "deployment: test", "deployment: !!str test", "line 2: anchors, aliases"},
		{"two documents", "version: 3", "version: 3\n---\nversion: 4", "must be one document"},
		{"syntax error", "classes:", "classes: ]", "cannot be read"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			document := strings.Replace(validDocument, c.old, c.replacement, 1)
			m, err := Parse([]byte(document))
			var problems *Error
			if m != nil || !errors.As(err, &problems) || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got %v, want %q", err, c.want)
			}
		})
	}
}

func TestParseReportsAllProblems(t *testing.T) {
	document := strings.NewReplacer("whole: 2s", "whole: 2", "tier: 2", "tier: 9", "model: small", "model: large", "version: 3", "version: 3\ncolour: red").Replace(validDocument)
	_, err := Parse([]byte(document))
	var problems *Error
	if !errors.As(err, &problems) {
		t.Fatal(err)
	}
	want := []Problem{
		{"colour", 2, "is not a known field"},
		{"classes[0].targets.whole", 5, "must be a duration with its unit, such as 800ms"},
		{"classes[1].tier", 7, "must be at most 4, not 9"},
		{"routes[0].model", 20, `"large" is not a model`},
	}
	if !reflect.DeepEqual(problems.Problems, want) {
		t.Errorf("got problems %+v, want the four of the document with their lines", problems.Problems)
	}
}

func TestParseRefusesLargeDeepAndEmptyDocuments(t *testing.T) {
	cases := map[string]string{
		"large":          validDocument + "#" + strings.Repeat("x", MaxDocumentBytes),
		"deep flow":      "a: " + strings.Repeat("[", 100000),
		"deep sequences": strings.Repeat("- ", 100000),
		"deep block":     deepBlock(200),
		"empty":          "",
		"comment":        "# nothing\n",
		"scalar":         "text",
		"binary":         "\x00\xff\xfe",
	}
	for name, document := range cases {
		t.Run(name, func(t *testing.T) {
			if _, err := Parse([]byte(document)); err == nil {
				t.Error("document was accepted")
			}
		})
	}
	_, err := Parse([]byte(strings.Repeat("x: 1\n", 500)))
	var problems *Error
	if !errors.As(err, &problems) || len(problems.Problems) != maxProblems || problems.Omitted == 0 {
		t.Errorf("got %v, want a bounded list of problems", err)
	}
}

func deepBlock(levels int) string {
	var b strings.Builder
	for i := range levels {
		fmt.Fprintf(&b, "%sa:\n", strings.Repeat(" ", i))
	}
	return b.String()
}

func TestParseReadsJSONEncodingOfManifest(t *testing.T) {
	for _, name := range []string{"lumiar", "atlas"} {
		document, err := os.ReadFile("../examples/" + name + ".yaml")
		if err != nil {
			t.Fatal(err)
		}
		m, err := Parse(document)
		if err != nil {
			t.Fatal(err)
		}
		encoded, err := json.MarshalIndent(m, "", "\t")
		if err != nil {
			t.Fatal(err)
		}
		reparsed, err := Parse(encoded)
		if err != nil || !reflect.DeepEqual(m, reparsed) {
			t.Errorf("%s: the JSON encoding parses to another manifest: %v\n%s", name, err, encoded)
		}
		var decoded Manifest
		if err := json.Unmarshal(encoded, &decoded); err != nil || !reflect.DeepEqual(m, &decoded) {
			t.Errorf("%s: json.Unmarshal gives another manifest: %v", name, err)
		}
		if _, ok := NewView(m).Authenticate(name + "-demo-key-01"); !ok || len(m.Accounts) != 10 {
			t.Errorf("%s: the first demonstration key is unknown, or the number of accounts is %d, want 10", name, len(m.Accounts))
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validDocument))
	f.Fuzz(func(t *testing.T, document []byte) {
		m, err := Parse(document)
		if (m == nil) == (err == nil) {
			t.Fatalf("got manifest %v and error %v, want exactly one of them", m, err)
		}
		if err != nil {
			return
		}
		encoded, err := json.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		if reparsed, err := Parse(encoded); err != nil || !reflect.DeepEqual(m, reparsed) {
			t.Fatalf("the JSON encoding parses to another manifest: %v\n%s", err, encoded)
		}
	})
}

// BenchmarkParse parses a manifest with 9,400 accounts, the number of the largest
// planned deployment.
func BenchmarkParse(b *testing.B) {
	var document bytes.Buffer
	head, tail, _ := strings.Cut(validDocument, "accounts:\n")
	document.WriteString(head + "accounts:\n")
	for i := range 9400 {
		fmt.Fprintf(&document, "- {name: a%d, key_hashes: [\"%064x\"]}\n", i, i)
	}
	_, tail, _ = strings.Cut(tail, "routes:\n")
	document.WriteString("routes:\n" + tail)
	b.ReportAllocs()
	b.SetBytes(int64(document.Len()))
	for b.Loop() {
		if _, err := Parse(document.Bytes()); err != nil {
			b.Fatal(err)
		}
	}
}

// TestParseRefusesTruncatedDocument truncates a document after each of its lines.
// A part of a document must never be accepted as a complete manifest.
func TestParseRefusesTruncatedDocument(t *testing.T) {
	lines := strings.SplitAfter(validDocument, "\n")
	for n := range len(lines) - 2 {
		if _, err := Parse([]byte(strings.Join(lines[:n+1], ""))); err == nil {
			t.Errorf("a document with the first %d of %d lines was accepted", n+1, len(lines)-1)
		}
	}
}
