package slopes

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"runtime"

	"github.com/rotisserie/eris"

	"github.com/sesameswitch/sesameswitch/clock"
	"github.com/sesameswitch/sesameswitch/configsync"
	"github.com/sesameswitch/sesameswitch/configsync/delta"
	"github.com/sesameswitch/sesameswitch/manifest"
)

// models is the number of models in the measured manifests.
const models = 11

// Manifest returns a manifest with the number of accounts. Two versions
// differ in the version and in one account.
func Manifest(version uint64, accounts int) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "version: %d\ndeployment: slopes\nclasses:\n", version)
	for tier := 1; tier <= 4; tier++ {
		fmt.Fprintf(&b, "  - {name: class-%d, tier: %d, repeatability: idempotent, targets: {first_token: 430ms, between_tokens: 27ms}}\n", tier, tier)
	}
	b.WriteString("models:\n")
	for i := range models {
		fmt.Fprintf(&b, "  - {name: model-%d, max_tokens: 4096}\n", i)
	}
	b.WriteString("routes:\n")
	for i := range models {
		fmt.Fprintf(&b, "  - {model: model-%d, classes: [class-3, class-1, class-2, class-4]}\n", i)
	}
	b.WriteString("accounts:\n")
	for i := range accounts {
		sum := sha256.Sum256(fmt.Append(nil, i))
		fmt.Fprintf(&b, "  - {name: a%05d, key_hashes: [%x]", i, sum)
		if accounts > 0 && uint64(i) == version%uint64(accounts) {
			b.WriteString(", weight: 2")
		}
		b.WriteString("}\n")
	}
	b.WriteString("...\n")
	return b.Bytes()
}

// ManifestPoint is what one process spends on a manifest of one size.
type ManifestPoint struct {
	Accounts      int `json:"accounts"`
	DocumentBytes int `json:"document_bytes"`
	// AcceptMillis is the processor time to check a version, index it and put
	// it in force.
	AcceptMillis float64 `json:"accept_ms"`
	// MemoryBytes is the live memory of one version in force.
	MemoryBytes int64 `json:"memory_bytes"`
	// PeakBytes is the most heap in use during the acceptance, garbage that is
	// not collected yet included.
	PeakBytes int64 `json:"peak_bytes"`
	// RecipeBytes and ChunkBytes are what a change of one account sends: the
	// list of chunks, and the chunks that differ.
	RecipeBytes int `json:"recipe_bytes"`
	ChunkBytes  int `json:"chunk_bytes"`
	// BytesPerSecond is what the list and the chunks come to, sent once and
	// received once by each process, at ChangesPerDay.
	BytesPerSecond float64 `json:"bytes_per_second"`
	// WholeBytesPerSecond is the same for the whole document.
	WholeBytesPerSecond float64 `json:"whole_bytes_per_second"`
	// CorePercent is the processor time of the acceptance at ChangesPerDay.
	CorePercent float64 `json:"core_percent"`
}

// ChangesPerDay is the rate of changes that the design is made for.
const ChangesPerDay = 1600

const secondsPerDay = 24 * 60 * 60

// bytesPerSum is the size of a chunk's sum in a recipe.
const bytesPerSum = 9

// MeasureManifest measures the acceptance of a manifest and of its successor.
func MeasureManifest(accounts int) (ManifestPoint, error) {
	first, second := Manifest(1, accounts), Manifest(2, accounts)
	point := ManifestPoint{Accounts: accounts, DocumentBytes: len(second)}
	if len(second) > manifest.MaxDocumentBytes {
		return point, eris.Errorf("slopes: %d accounts make %d bytes", accounts, len(second))
	}
	before := memoryInUse()
	store := configsync.NewStore(clock.New(), configsync.Hooks{})
	if _, err := store.Apply(first, configsync.SourceService); err != nil {
		return point, err
	}
	watch := watchPeak()
	start := processorTime()
	_, err := store.Apply(second, configsync.SourceService)
	accept := processorTime() - start
	point.PeakBytes = watch() - before
	if err != nil {
		return point, err
	}
	point.AcceptMillis = float64(accept.Microseconds()) / 1000
	point.MemoryBytes = memoryInUse() - before
	runtime.KeepAlive(store)
	old, next := delta.NewDocument(first), delta.NewDocument(second)
	missing := old.Missing(next.Recipe)
	chunks, _ := next.Chunks(missing)
	for _, chunk := range chunks {
		point.ChunkBytes += len(chunk)
	}
	point.RecipeBytes = bytesPerSum * len(next.Recipe.Sums)
	point.BytesPerSecond = 2 * perDay(float64(point.RecipeBytes+point.ChunkBytes))
	point.WholeBytesPerSecond = 2 * perDay(float64(len(second)))
	point.CorePercent = 100 * perDay(accept.Seconds())
	return point, nil
}

// perDay spreads a cost of one change over the day.
func perDay(cost float64) float64 { return cost * ChangesPerDay / secondsPerDay }

// LargestManifest returns how many accounts of the measured kind fit a value
// of the configuration service.
func LargestManifest() int {
	base := len(Manifest(1, 0))
	each := len(Manifest(1, 1001)) - len(Manifest(1, 1))
	return (manifest.MaxDocumentBytes - base) * 1000 / each
}
