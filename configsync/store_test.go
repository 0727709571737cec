package configsync

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sesameswitch/sesameswitch/clock"
	"github.com/sesameswitch/sesameswitch/manifest"
)

var testStart = time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)

// document returns a valid manifest of a version. Different deployment names make
// different documents of the same version. The last line marks the end of the
// manifest; without that line it is refused as truncated.
func document(version uint64, name string) []byte {
	return fmt.Appendf(nil, `version: %d
deployment: %s
classes:
  - {name: lookup, tier: 3, repeatability: idempotent, targets: {whole: 1s}}
models:
  - {name: small, max_tokens: 100}
routes:
  - {model: small, classes: [lookup]}
accounts:
  - {name: school, key_hashes: [%x]}
...
`, version, name, sha256.Sum256([]byte("key")))
}

func TestStoreReturnsVerdictAndKeepsNewestValidVersion(t *testing.T) {
	complete := document(9, "d")
	truncated := complete[:len(complete)-10]
	oversize := append(document(9, "d"), bytes.Repeat([]byte("#"), manifest.MaxDocumentBytes)...)
	steps := []struct {
		name    string
		body    []byte
		want    Verdict
		version uint64
	}{
		{"first", document(5, "d"), Accepted, 5},
		{"newer", document(7, "d"), Accepted, 7},
		{"stale replica", document(5, "d"), Older, 7},
		{"same again", document(7, "d"), Same, 7},
		{"second operator, same version", document(7, "e"), Conflict, 7},
		{"garbage", []byte("\x00\xff{]"), Invalid, 7},
		{"garbage again", []byte("\x00\xff{]"), Invalid, 7},
		{"empty", nil, Invalid, 7},
		{"truncated", truncated, Invalid, 7},
		{"over MaxDocumentBytes", oversize, Invalid, 7},
		{"invalid between two valid", []byte(strings.Replace(string(document(8, "d")), "tier", "tear", 1)), Invalid, 7},
		{"valid after invalid", document(9, "d"), Accepted, 9},
	}
	var accepted []uint64
	refused := map[Verdict]int{}
	store := NewStore(clock.NewManual(testStart), Hooks{
		Accepted: func(version uint64, _ Origin) { accepted = append(accepted, version) },
		Refused:  func(v Verdict, _ Origin, _ error) { refused[v]++ },
	})
	for _, step := range steps {
		got, err := store.Apply(step.body, OriginService)
		if got != step.want || store.Version() != step.version {
			t.Fatalf("%s: got verdict %v and version %d, want %v and %d", step.name, got, store.Version(), step.want, step.version)
		}
		if refusal := got != Accepted && got != Same; refusal != (err != nil) {
			t.Fatalf("%s: got verdict %v with error %v, want an error if and only if the document is refused", step.name, got, err)
		}
	}
	if fmt.Sprint(accepted) != "[5 7 9]" {
		t.Fatalf("got accepted versions %v, want [5 7 9]", accepted)
	}
	if refused[Older] != 1 || refused[Conflict] != 1 || refused[Invalid] != 6 {
		t.Fatalf("got refusals by verdict %v, want 1 older, 1 conflict, 6 invalid", refused)
	}
}

func TestStoreSignalsEachChange(t *testing.T) {
	store := NewStore(clock.NewManual(testStart), Hooks{})
	if store.Current() != nil || store.Document() != nil {
		t.Fatal("empty store returned a document")
	}
	first := store.Changed()
	if _, err := store.Apply(document(1, "d"), OriginService); err != nil {
		t.Fatal(err)
	}
	select {
	case <-first:
	default:
		t.Fatal("change was not signalled")
	}
	select {
	case <-store.Changed():
		t.Fatal("change was signalled although the version did not change")
	default:
	}
	if !bytes.Equal(store.Document(), document(1, "d")) {
		t.Fatal("document differs from the accepted one")
	}
}
