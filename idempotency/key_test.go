package idempotency

import (
	"errors"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var testStart = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

// seededRandom returns a reader of pseudo-random bytes with a fixed seed.
func seededRandom(seed byte) *rand.ChaCha8 { return rand.NewChaCha8([32]byte{seed}) }

func TestKeyRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vm := rapid.StringN(1, -1, MaxVMBytes).Draw(t, "vm")
		incarnation := rapid.StringN(1, -1, MaxIncarnationBytes).Draw(t, "incarnation")
		account := rapid.String().Draw(t, "account")
		k := Mint(vm, incarnation, account, testStart, seededRandom(1))
		text := k.String()
		if len(text) > MaxKeyBytes {
			t.Fatalf("key text has %d bytes, want at most MaxKeyBytes", len(text))
		}
		parsed, err := Parse(text)
		if err != nil || parsed != k {
			t.Fatalf("key %+v parsed as %+v, error %v", k, parsed, err)
		}
		if !parsed.BelongsTo(account) || parsed.BelongsTo(account+"x") {
			t.Fatal("parsed key does not belong to its account alone")
		}
	})
}

func TestParseRefusesEverySingleByteChange(t *testing.T) {
	text := Mint("vm-1", "life", "acme", testStart, seededRandom(1)).String()
	for i := range text {
		for _, c := range []byte{'A', 'z', '_', '-', '=', '\n', 0} {
			if text[i] == c {
				continue
			}
			changed := text[:i] + string(c) + text[i+1:]
			if _, err := Parse(changed); !errors.Is(err, ErrMalformed) {
				t.Fatalf("byte %d changed to %q: got error %v, want ErrMalformed", i, c, err)
			}
		}
		if _, err := Parse(text[:i]); !errors.Is(err, ErrMalformed) {
			t.Fatalf("text truncated to %d bytes: got error %v, want ErrMalformed", i, err)
		}
	}
}

func TestParseRefusesMalformedKeys(t *testing.T) {
	cases := map[string]string{
		"empty":          "",
		"UUID":           "0197c9e2-7b3a-7000-8000-000000000000",
		"minting time 0": Mint("vm", "life", "acme", time.Unix(0, 0), seededRandom(1)).String(),
		"no VM":          Mint("", "life", "acme", testStart, seededRandom(1)).String(),
		"long VM":        Mint(strings.Repeat("v", MaxVMBytes+1), "life", "acme", testStart, seededRandom(1)).String(),
		"with newline":   Mint("vm", "life", "acme", testStart, seededRandom(1)).String() + "\n",
		"very long":      strings.Repeat("x", 1<<20),
		"prefix only":    keyPrefix,
		"short payload":  keyPrefix + "AAAA",
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			if _, err := Parse(text); !errors.Is(err, ErrMalformed) {
				t.Fatalf("got error %v, want ErrMalformed", err)
			}
		})
	}
}
