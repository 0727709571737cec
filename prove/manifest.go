package prove

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"
)

// Names in the manifest under test.
const (
	accountName  = "acme"
	accountKey   = "acme-secret"
	otherAccount = "other"
	otherKey     = "other-secret"
	chatModel    = "small"
	orderModel   = "clerk"
	serviceName  = "booking"
	classPayment = "payment"
	classOrder   = "order"
	classChat    = "chat"
	classLookup  = "lookup"
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

// keyLimits are the limits of the agents' tables of keys.
type keyLimits struct {
	keys     int
	validity time.Duration
}

var (
	// ampleKeys are never reached within a seed.
	ampleKeys = keyLimits{keys: 100_000, validity: 10 * time.Minute}
	// scarceKeys make tables full and keys expire within a seed.
	scarceKeys = keyLimits{keys: 20, validity: 3 * time.Second}
)

// manifestOf returns the manifest with a version.
func (c *cluster) manifestOf(version uint64) []byte {
	return fmt.Appendf(nil, manifestFormat, version, hashOf(accountKey), hashOf(otherKey), c.limits.keys, c.limits.validity)
}

// invalidManifest returns a document with a version that must be refused: a
// route names a class that does not exist.
func (c *cluster) invalidManifest(version uint64) []byte {
	return bytes.Replace(c.manifestOf(version), []byte("classes: [lookup]"), []byte("classes: [nowhere]"), 1)
}

func hashOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
