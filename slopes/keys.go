package slopes

import (
	crand "crypto/rand"
	"runtime"
	"time"

	"github.com/sesameswitch/sesameswitch/idempotency"
)

// KeyTableCost is the memory use of the idempotency key table of an agent.
type KeyTableCost struct {
	Keys int `json:"keys"`
	// BytesPerKey is the memory use of one key, without the response that the agent
	// stores for it.
	BytesPerKey float64 `json:"bytes_per_key"`
}

// MeasureKeyTable fills an idempotency key table and measures its memory use.
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
