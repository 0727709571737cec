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

// modelCount is the number of models in a generated manifest.
const modelCount = 11

// GenerateManifest returns a manifest with the given number of accounts. Two
// consecutive versions differ in the version number and in the weights of two
// accounts.
func GenerateManifest(version uint64, accounts int) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "version: %d\ndeployment: slopes\nclasses:\n", version)
	for tier := 1; tier <= 4; tier++ {
		fmt.Fprintf(&b, "  - {name: class-%d, tier: %d, repeatability: idempotent, targets: {first_token: 430ms, between_tokens: 27ms}}\n", tier, tier)
	}
	b.WriteString("models:\n")
	for i := range modelCount {
		fmt.Fprintf(&b, "  - {name: model-%d, max_tokens: 4096}\n", i)
	}
	b.WriteString("routes:\n")
	for i := range modelCount {
		fmt.Fprintf(&b, "  - {model: model-%d, classes: [class-3, class-1, class-2, class-4]}\n", i)
	}
	b.WriteString("accounts:\n")
	for i := range accounts {
		hash := sha256.Sum256(fmt.Append(nil, i))
		fmt.Fprintf(&b, "  - {name: a%05d, key_hashes: [%x]", i, hash)
		if accounts > 0 && uint64(i) == version%uint64(accounts) {
			b.WriteString(", weight: 2")
		}
		b.WriteString("}\n")
	}
	b.WriteString("...\n") // manifest.Parse requires the end marker
	return b.Bytes()
}

// ManifestCost is the cost of a manifest of one size for one process. The rates
// and CorePercent assume ChangesPerDay changes.
type ManifestCost struct {
	Accounts      int `json:"accounts"`
	DocumentBytes int `json:"document_bytes"`
	// AcceptMillis is the CPU time to validate, index and activate a version, in
	// milliseconds.
	AcceptMillis float64 `json:"accept_ms"`
	// MemoryBytes is the live memory of a store with an active version.
	MemoryBytes int64 `json:"memory_bytes"`
	// PeakBytes is the peak heap use while a version replaces another, including
	// garbage that is not yet collected.
	PeakBytes int64 `json:"peak_bytes"`
	// RecipeBytes and ChunkBytes are the sizes of the recipe (the list of chunk
	// checksums) and of the differing chunks that are sent for one change.
	RecipeBytes int `json:"recipe_bytes"`
	ChunkBytes  int `json:"chunk_bytes"`
	// BytesPerSecond is the traffic of a process that receives and sends the recipe
	// and the differing chunks once per change.
	BytesPerSecond float64 `json:"bytes_per_second"`
	// DocumentBytesPerSecond is the traffic of a process that receives and sends
	// the complete document once per change.
	DocumentBytesPerSecond float64 `json:"whole_bytes_per_second"`
	// CorePercent is the CPU time for accepting changes, in percent of one core.
	CorePercent float64 `json:"core_percent"`
}

// ChangesPerDay is the rate of configuration changes that the system is designed
// for.
const ChangesPerDay = 1600

const secondsPerDay = 24 * 60 * 60

// bytesPerChecksum is the size of a 64-bit chunk checksum in a recipe as gob
// encodes it: a length byte and 8 bytes.
const bytesPerChecksum = 9

// MeasureManifest measures the cost of accepting a second version of a manifest,
// and the size of the difference between the two versions.
func MeasureManifest(accounts int) (ManifestCost, error) {
	first, second := GenerateManifest(1, accounts), GenerateManifest(2, accounts)
	cost := ManifestCost{Accounts: accounts, DocumentBytes: len(second)}
	if len(second) > manifest.MaxDocumentBytes {
		return cost, eris.Errorf("slopes: manifest with %d accounts has %d bytes, more than the maximum", accounts, len(second))
	}
	before := liveMemory()
	store := configsync.NewStore(clock.New(), configsync.Hooks{})
	if _, err := store.Apply(first, configsync.OriginService); err != nil {
		return cost, err
	}
	peakHeap := samplePeakHeap()
	cpuStart := processCPUTime()
	_, err := store.Apply(second, configsync.OriginService)
	acceptTime := processCPUTime() - cpuStart
	cost.PeakBytes = peakHeap() - before
	if err != nil {
		return cost, err
	}
	cost.AcceptMillis = float64(acceptTime.Microseconds()) / 1000
	cost.MemoryBytes = liveMemory() - before
	runtime.KeepAlive(store)
	oldDoc, newDoc := delta.NewDocument(first), delta.NewDocument(second)
	missing := oldDoc.Missing(newDoc.Recipe)
	chunks, _ := newDoc.Chunks(missing)
	for _, chunk := range chunks {
		cost.ChunkBytes += len(chunk)
	}
	cost.RecipeBytes = bytesPerChecksum * len(newDoc.Recipe.Sums)
	cost.BytesPerSecond = 2 * ratePerSecond(float64(cost.RecipeBytes+cost.ChunkBytes))
	cost.DocumentBytesPerSecond = 2 * ratePerSecond(float64(len(second)))
	cost.CorePercent = 100 * ratePerSecond(acceptTime.Seconds())
	return cost, nil
}

// ratePerSecond converts a cost per change to a cost per second at ChangesPerDay.
func ratePerSecond(cost float64) float64 { return cost * ChangesPerDay / secondsPerDay }

// MaxManifestAccounts returns how many accounts fit into a generated manifest of
// the maximum document size.
func MaxManifestAccounts() int {
	baseBytes := len(GenerateManifest(1, 0))
	bytesPerThousand := len(GenerateManifest(1, 1001)) - len(GenerateManifest(1, 1))
	return (manifest.MaxDocumentBytes - baseBytes) * 1000 / bytesPerThousand
}
