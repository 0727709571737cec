// Package delta splits documents into chunks, so that a process which has a
// similar document fetches only the chunks that differ.
//
// Documents are split by content-defined chunking: the boundaries of chunks
// depend on the content alone, so an insertion changes only the chunks around
// it. The receiver fetches the recipe, which lists the sums of the chunks, then
// only the chunks that it does not have, and verifies the SHA-256 of the
// assembled document. Callers may assume that Assemble returns exactly the
// sender's bytes or an error, also when chunk sums collide or the sender
// replaces its document during the transfer.
package delta

import (
	"crypto/sha256"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// Parameters of the chunking.
const (
	minChunkBytes = 512
	maxChunkBytes = 16 << 10
	// boundaryMask selects the bits of the hash that must be zero at a boundary.
	// Beyond minChunkBytes, a boundary follows after 2 KiB on average.
	boundaryMask = 2<<10 - 1
)

// ErrDigestMismatch is returned when the assembled document differs from the
// sender's.
var ErrDigestMismatch = eris.New("delta: assembled document does not match its digest")

// Digest identifies a document by its SHA-256.
type Digest [sha256.Size]byte

// Recipe identifies a document and lists its chunks in order.
type Recipe struct {
	Digest Digest
	// Sums are the xxHash64 sums of the chunks.
	Sums []uint64
}

// Document is a document that is split into chunks. It is immutable.
type Document struct {
	Recipe Recipe
	body   []byte
	chunks [][]byte
	bySum  map[uint64][]byte
}

// gear is the table of the gear hash, a rolling hash. It must be the same in every
// process, so that equal content gives equal chunks.
var gear = gearTable()

func gearTable() [256]uint64 {
	var table [256]uint64
	rng := rand.New(rand.NewPCG(1, 2))
	for i := range table {
		table[i] = rng.Uint64()
	}
	return table
}

// NewDocument splits body into chunks. It retains the slice; the caller must not
// change it.
func NewDocument(body []byte) *Document {
	d := &Document{body: body, bySum: make(map[uint64][]byte)}
	d.Recipe.Digest = sha256.Sum256(body)
	for rest := body; len(rest) > 0; {
		n := firstChunkLength(rest)
		d.addChunk(rest[:n:n])
		rest = rest[n:]
	}
	return d
}

func (d *Document) addChunk(chunk []byte) {
	sum := xxhash.Sum64(chunk)
	d.chunks = append(d.chunks, chunk)
	d.Recipe.Sums = append(d.Recipe.Sums, sum)
	d.bySum[sum] = chunk
}

// firstChunkLength returns the length of the first chunk of data. The rolling
// hash depends on the last 64 bytes only, so it starts 64 bytes before the
// minimum length.
func firstChunkLength(data []byte) int {
	if len(data) <= minChunkBytes {
		return len(data)
	}
	limit := min(len(data), maxChunkBytes)
	var hash uint64
	for i := minChunkBytes - 64; i < limit; i++ {
		hash = hash<<1 + gear[data[i]]
		if i >= minChunkBytes && hash>>32&boundaryMask == 0 {
			return i + 1
		}
	}
	return limit
}

// Body returns the bytes of the document. The caller must not change them.
func (d *Document) Body() []byte { return d.body }

// Missing returns the indexes of the recipe's chunks that d does not contain. A
// nil d contains no chunks.
func (d *Document) Missing(r Recipe) []int {
	var missing []int
	for i, sum := range r.Sums {
		if d == nil || d.bySum[sum] == nil {
			missing = append(missing, i)
		}
	}
	return missing
}

// Chunks returns the chunks at the indexes, or false when an index is out of
// range.
func (d *Document) Chunks(indexes []int) ([][]byte, bool) {
	chunks := make([][]byte, 0, len(indexes))
	for _, i := range indexes {
		if i < 0 || i >= len(d.chunks) {
			return nil, false
		}
		chunks = append(chunks, d.chunks[i])
	}
	return chunks, true
}

// Assemble builds the document of the recipe from the chunks of d and the fetched
// chunks. missing holds the indexes that d.Missing returned for the recipe, and
// fetched the chunks of these indexes in the same order. Assemble returns an error
// when the document is longer than maxBytes, and ErrDigestMismatch when it differs
// from the sender's.
func (d *Document) Assemble(r Recipe, missing []int, fetched [][]byte, maxBytes int) ([]byte, error) {
	if len(missing) != len(fetched) {
		return nil, eris.Errorf("delta: requested %d chunks, received %d", len(missing), len(fetched))
	}
	var body []byte
	next := 0
	for i, sum := range r.Sums {
		var chunk []byte
		if next < len(missing) && missing[next] == i {
			chunk = fetched[next]
			next++
		} else if d != nil {
			chunk = d.bySum[sum]
		}
		if len(body)+len(chunk) > maxBytes {
			return nil, eris.Errorf("delta: document is longer than the maximum of %d bytes", maxBytes)
		}
		body = append(body, chunk...)
	}
	if sha256.Sum256(body) != r.Digest {
		return nil, ErrDigestMismatch
	}
	return body, nil
}
