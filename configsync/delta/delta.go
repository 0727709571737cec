// Package delta transfers a document between processes that already hold a
// similar one.
//
// A document is cut into chunks at places that depend on the content alone,
// so an insertion changes only the chunks around it. The receiver fetches the
// list of chunk sums, then only the chunks it lacks, and checks the whole by
// its SHA-256. A caller may rely on Assemble returning exactly the sender's
// bytes or an error, also when chunk sums collide or the sender changes its
// document half way.
package delta

import (
	"crypto/sha256"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// Sizes of chunks.
const (
	minChunkBytes = 512
	maxChunkBytes = 16 << 10
	// boundaryMask makes a boundary once in 2 KiB on average.
	boundaryMask = 2<<10 - 1
)

// ErrDigestMismatch says that the assembled document is not the sender's.
var ErrDigestMismatch = eris.New("delta: the assembled document does not match its digest")

// Digest identifies a document by its SHA-256.
type Digest [sha256.Size]byte

// Recipe lists the chunks of a document in order.
type Recipe struct {
	Digest Digest
	// Sums are the xxHash64 sums of the chunks.
	Sums []uint64
}

// Document is a document with its chunks. It is immutable.
type Document struct {
	Recipe Recipe
	body   []byte
	chunks [][]byte
	bySum  map[uint64][]byte
}

// gear is the table of the rolling hash. It is the same in every process.
var gear = gearTable()

func gearTable() [256]uint64 {
	var table [256]uint64
	rng := rand.New(rand.NewPCG(1, 2))
	for i := range table {
		table[i] = rng.Uint64()
	}
	return table
}

// NewDocument cuts a document into chunks. It keeps the slice; the caller must not
// change it any more.
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

// firstChunkLength returns the length of the first chunk of data.
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

// Body returns the document.
func (d *Document) Body() []byte { return d.body }

// Missing returns the indexes of the recipe's chunks that d does not hold. A
// nil d holds none.
func (d *Document) Missing(r Recipe) []int {
	var missing []int
	for i, sum := range r.Sums {
		if d == nil || d.bySum[sum] == nil {
			missing = append(missing, i)
		}
	}
	return missing
}

// Chunks returns the chunks at the indexes, and false when an index is out
// of range.
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

// Assemble builds the document of the recipe from the chunks that d holds
// and those fetched at the missing indexes. It returns an error rather than a
// body longer than maxBytes.
func (d *Document) Assemble(r Recipe, missing []int, fetched [][]byte, maxBytes int) ([]byte, error) {
	if len(missing) != len(fetched) {
		return nil, eris.Errorf("delta: asked for %d chunks, got %d", len(missing), len(fetched))
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
			return nil, eris.Errorf("delta: the document is longer than %d bytes", maxBytes)
		}
		body = append(body, chunk...)
	}
	if sha256.Sum256(body) != r.Digest {
		return nil, ErrDigestMismatch
	}
	return body, nil
}
