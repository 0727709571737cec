package prove

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"
)

// Names and API keys in the manifest under test.
const (
	accountName        = "acme"
	accountAPIKey      = "acme-secret"
	otherAccount       = "other"
	otherAccountAPIKey = "other-secret"
	chatModel          = "small"
	orderModel         = "clerk"
	serviceName        = "booking"
	classPayment       = "payment"
	classOrder         = "order"
	classChat          = "chat"
	classLookup        = "lookup"
)

const manifestFormat = `version: %d
deployment: prove
classes:
  - {name: payment, tier: 1, repeatability: at_most_once, targets: {whole: 5s}}
  - {name: order, tier: 2, repeatability: at_most_once, targets: {first_token: 5s}}
  - {name: chat, tier: 2, repeatability: idempotent, targets: {first_token: 3s}}
  - {name: lookup, tier: 4, repeatability: idempotent, targets: {whole: 3s}, floor: 0.1}
models:
  - {name: small, max_tokens: 4096}
  - {name: clerk, max_tokens: 4096}
services:
  - {name: booking}
accounts:
  - {name: acme, key_hashes: [%s]}
  - {name: other, key_hashes: [%s]}
routes:
  - {model: small, classes: [chat]}
  - {model: clerk, classes: [order]}
  - {service: booking, path_prefix: /payments, classes: [payment]}
  - {service: booking, classes: [lookup]}
limits: {keys_per_agent: %d, key_validity: %s}
...
`

// keyLimits are the limits of the idempotency key table of each agent.
type keyLimits struct {
	maxKeys  int
	validity time.Duration
}

var (
	// largeKeyLimits are never reached during a seed.
	largeKeyLimits = keyLimits{maxKeys: 100_000, validity: 10 * time.Minute}
	// smallKeyLimits let tables fill up and keys expire during a seed.
	smallKeyLimits = keyLimits{maxKeys: 20, validity: 3 * time.Second}
)

// manifestFor returns the valid manifest with the given version.
func (c *cluster) manifestFor(version uint64) []byte {
	return fmt.Appendf(nil, manifestFormat, version, sha256Hex(accountAPIKey), sha256Hex(otherAccountAPIKey), c.keyLimits.maxKeys, c.keyLimits.validity)
}

// invalidManifest returns a manifest with the given version that every process
// must refuse: one of its routes names a class that does not exist.
func (c *cluster) invalidManifest(version uint64) []byte {
	return bytes.Replace(c.manifestFor(version), []byte("classes: [lookup]"), []byte("classes: [nowhere]"), 1)
}

func sha256Hex(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
