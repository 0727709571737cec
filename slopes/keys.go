package slopes

import (
	crand "crypto/rand"
	"runtime"
	"time"

	"github.com/sesameswitch/sesameswitch/idempotency"
)

// KeyTableCost is the memory use of an at-most-once table.
type KeyTableCost struct {
	Keys int `json:"keys"`
	// BytesPerKey does not include the response that the agent stores with a key.
	BytesPerKey float64 `json:"bytes_per_key"`
}

// MeasureKeyTable fills an at-most-once table with keys and measures its memory.
func MeasureKeyTable(keys int) KeyTableCost {
	now := time.Now()
	before := liveMemory()
	table := idempotency.NewTable[*int](idempotency.Config{
		VM: "vm-0001", Incarnation: "life", Capacity: keys, Validity: time.Hour, FutureSkew: time.Minute,
	})
	for range keys {
		key := idempotency.Mint("vm-0001", "life", "account", now, crand.Reader).String()
		_, _, _ = table.Claim(now, key, "account", [32]byte{}, func() *int { return nil })
	}
	usedBytes := liveMemory() - before
	keyCount := table.Len()
	runtime.KeepAlive(table)
	return KeyTableCost{Keys: keyCount, BytesPerKey: float64(usedBytes) / float64(keyCount)}
}
