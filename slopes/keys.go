package slopes

import (
	crand "crypto/rand"
	"runtime"
	"time"

	"github.com/sesameswitch/sesameswitch/idempotency"
)

// KeyPoint is the memory of an at-most-once table.
type KeyPoint struct {
	Keys int `json:"keys"`
	// BytesPerKey is without the answer that the agent keeps with the key.
	BytesPerKey float64 `json:"bytes_per_key"`
}

// MeasureKeys fills an at-most-once table with keys.
func MeasureKeys(keys int) KeyPoint {
	now := time.Now()
	before := memoryInUse()
	table := idempotency.NewTable[*int](idempotency.Config{
		VM: "vm-0001", Incarnation: "life", Capacity: keys, Validity: time.Hour, FutureSkew: time.Minute,
	})
	for range keys {
		key := idempotency.Mint("vm-0001", "life", "account", now, crand.Reader).String()
		_, _, _ = table.Claim(now, key, "account", [32]byte{}, func() *int { return nil })
	}
	used := memoryInUse() - before
	held := table.Len()
	runtime.KeepAlive(table)
	return KeyPoint{Keys: held, BytesPerKey: float64(used) / float64(held)}
}
