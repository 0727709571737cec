package delta

import (
	"bytes"
	"errors"
	"flag"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// Property tests use a fixed random seed, so that every run has the same cases.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

const maxBytes = 1 << 20

func randomBody(seed uint64, n int) []byte {
	rng := rand.New(rand.NewPCG(seed, 0))
	body := make([]byte, n)
	for i := range body {
		body[i] = byte(rng.Uint32())
	}
	return body
}

// transfer transfers a document to a receiver that has base. It returns the
// received document and the number of bytes of chunks sent.
func transfer(t interface{ Fatalf(string, ...any) }, base, sender *Document) ([]byte, int) {
	missing := base.Missing(sender.Recipe)
	chunks, ok := sender.Chunks(missing)
	if !ok {
		t.Fatalf("sender does not have its own chunks")
	}
	sent := 0
	for _, chunk := range chunks {
		sent += len(chunk)
	}
	body, err := base.Assemble(sender.Recipe, missing, chunks, maxBytes)
	if err != nil {
		t.Fatalf("assemble: %v", err)
	}
	return body, sent
}

func TestTransferReproducesTheDocument(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before := randomBody(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(0, 64<<10).Draw(t, "length"))
		at := rapid.IntRange(0, len(before)).Draw(t, "at")
		end := rapid.IntRange(at, len(before)).Draw(t, "end")
		insert := rapid.SliceOf(rapid.Byte()).Draw(t, "insert")
		after := append(append(bytes.Clone(before[:at]), insert...), before[end:]...)
		body, _ := transfer(t, NewDocument(before), NewDocument(after))
		if !bytes.Equal(body, after) {
			t.Fatalf("received document differs from the sent one")
		}
	})
}

func TestSmallChangeSendsFewChunks(t *testing.T) {
	before := randomBody(1, 1<<20)
	after := append(append(bytes.Clone(before[:300_000]), []byte("inserted")...), before[300_000:maxBytes-8]...)
	_, sent := transfer(t, NewDocument(before), NewDocument(after))
	if sent > 3*maxChunkBytes {
		t.Fatalf("%d bytes of chunks sent for an insertion of 8 bytes, want at most 3 chunks of maximum length", sent)
	}
	var empty *Document
	if _, sent := transfer(t, empty, NewDocument(after)); sent != len(after) {
		t.Fatalf("%d bytes of chunks sent to a receiver without a document, want %d", sent, len(after))
	}
}

func TestAssembleRefusesWrongChunks(t *testing.T) {
	sender := NewDocument(randomBody(2, 20_000))
	var empty *Document
	missing := empty.Missing(sender.Recipe)
	chunks, _ := sender.Chunks(missing)
	damaged := append([][]byte{[]byte("other")}, chunks[1:]...)
	if _, err := empty.Assemble(sender.Recipe, missing, damaged, maxBytes); !errors.Is(err, ErrDigestMismatch) {
		t.Fatalf("damaged chunk: got error %v, want ErrDigestMismatch", err)
	}
	if _, err := empty.Assemble(sender.Recipe, missing, chunks[1:], maxBytes); err == nil {
		t.Fatal("no error for a missing chunk")
	}
	if _, err := empty.Assemble(sender.Recipe, missing, chunks, 10_000); err == nil {
		t.Fatal("no error for a document longer than the maximum")
	}
	if _, ok := sender.Chunks([]int{len(chunks)}); ok {
		t.Fatal("Chunks accepted an index that is out of range")
	}
}
