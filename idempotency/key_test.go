package idempotency

import (
	"errors"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

// source is a reader of random bytes with a fixed seed.
func source(seed byte) *rand.ChaCha8 { return rand.NewChaCha8([32]byte{seed}) }

func TestKeyRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vm := rapid.StringN(1, -1, MaxVMBytes).Draw(t, "vm")
		incarnation := rapid.StringN(1, -1, MaxIncarnationBytes).Draw(t, "incarnation")
		account := rapid.String().Draw(t, "account")
		k := Mint(vm, incarnation, account, start, source(1))
		text := k.String()
		if len(text) > MaxKeyBytes {
			t.Fatalf("%d bytes", len(text))
		}
		back, err := Parse(text)
		if err != nil || back != k {
			t.Fatalf("%+v became %+v, %v", k, back, err)
		}
		if !back.BelongsTo(account) || back.BelongsTo(account+"x") {
			t.Fatal("the key lost its account")
		}
	})
}

func TestParseRefusesEverySingleChange(t *testing.T) {
	text := Mint("vm-1", "life", "acme", start, source(1)).String()
	for i := range text {
		for _, c := range []byte{'A', 'z', '_', '-', '=', '\n', 0} {
			if text[i] == c {
				continue
			}
			changed := text[:i] + string(c) + text[i+1:]
			if _, err := Parse(changed); !errors.Is(err, ErrMalformed) {
				t.Fatalf("byte %d as %q: %v", i, c, err)
			}
		}
		if _, err := Parse(text[:i]); !errors.Is(err, ErrMalformed) {
			t.Fatalf("cut at %d: %v", i, err)
		}
	}
}

func TestParseRefuses(t *testing.T) {
	cases := map[string]string{
		"empty":         "",
		"foreign":       "0197c9e2-7b3a-7000-8000-000000000000",
		"undated":       Mint("vm", "life", "acme", time.Unix(0, 0), source(1)).String(),
		"no VM":         Mint("", "life", "acme", start, source(1)).String(),
		"long VM":       Mint(strings.Repeat("v", MaxVMBytes+1), "life", "acme", start, source(1)).String(),
		"with newline":  Mint("vm", "life", "acme", start, source(1)).String() + "\n",
		"very long":     strings.Repeat("x", 1<<20),
		"prefix only":   keyPrefix,
		"short payload": keyPrefix + "AAAA",
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			if _, err := Parse(text); !errors.Is(err, ErrMalformed) {
				t.Fatalf("err = %v", err)
			}
		})
	}
}
