package delta

import (
	"bytes"
	"errors"
	"flag"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// The property tests try the same cases on every run.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

const limit = 1 << 20

func randomBody(seed uint64, n int) []byte {
	rng := rand.New(rand.NewPCG(seed, 0))
	body := make([]byte, n)
	for i := range body {
		body[i] = byte(rng.Uint32())
	}
	return body
}

// transfer moves a document to a receiver that holds base and returns the
// bytes of chunks sent.
func transfer(t interface{ Fatalf(string, ...any) }, base, sender *Document) ([]byte, int) {
	missing := base.Missing(sender.Recipe)
	chunks, ok := sender.Chunks(missing)
	if !ok {
		t.Fatalf("the sender lacks its own chunks")
	}
	sent := 0
	for _, chunk := range chunks {
		sent += len(chunk)
	}
	body, err := base.Assemble(sender.Recipe, missing, chunks, limit)
	if err != nil {
		t.Fatalf("assemble: %v", err)
	}
	return body, sent
}

func TestTransferGivesTheSendersBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before := randomBody(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(0, 64<<10).Draw(t, "length"))
		at := rapid.IntRange(0, len(before)).Draw(t, "at")
		end := rapid.IntRange(at, len(before)).Draw(t, "end")
		insert := rapid.SliceOf(rapid.Byte()).Draw(t, "insert")
		after := append(append(bytes.Clone(before[:at]), insert...), before[end:]...)
		body, _ := transfer(t, NewDocument(before), NewDocument(after))
		if !bytes.Equal(body, after) {
			t.Fatalf("the received document differs")
		}
	})
}

func TestSmallChangeSendsFewChunks(t *testing.T) {
	before := randomBody(1, 1<<20)
	after := append(append(bytes.Clone(before[:300_000]), []byte("inserted")...), before[300_000:limit-8]...)
	_, sent := transfer(t, NewDocument(before), NewDocument(after))
	if sent > 3*maxChunkBytes {
		t.Fatalf("%d bytes of chunks for an insertion of 8", sent)
	}
	var none *Document
	if _, sent := transfer(t, none, NewDocument(after)); sent != len(after) {
		t.Fatalf("%d bytes for a receiver without a document, want %d", sent, len(after))
	}
}

func TestAssembleRefusesWrongChunks(t *testing.T) {
	sender := NewDocument(randomBody(2, 20_000))
	var none *Document
	missing := none.Missing(sender.Recipe)
	chunks, _ := sender.Chunks(missing)
	damaged := append([][]byte{[]byte("other")}, chunks[1:]...)
	if _, err := none.Assemble(sender.Recipe, missing, damaged, limit); !errors.Is(err, ErrDigestMismatch) {
		t.Fatalf("damaged chunk: %v", err)
	}
	if _, err := none.Assemble(sender.Recipe, missing, chunks[1:], limit); err == nil {
		t.Fatal("a missing chunk went unseen")
	}
	if _, err := none.Assemble(sender.Recipe, missing, chunks, 10_000); err == nil {
		t.Fatal("a document over the limit was assembled")
	}
	if _, ok := sender.Chunks([]int{len(chunks)}); ok {
		t.Fatal("an index out of range was served")
	}
}
