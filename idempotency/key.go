// Package idempotency makes a request run at most once, whatever entries
// believe and however often, late or through whichever entry it is repeated.
//
// A Key names the one agent VM and the one incarnation of its process that
// may run the request. That process alone owns the key's life in a Table, so
// no agreement with anyone else, no clock and no stored state is needed for
// safety: a lost process takes its keys with it, and its successor answers
// unknown to them. A caller may rely on one run at most for each key, and on
// a refusal with outcome not_run being final for that key.
//
// The package decides only. It does no I/O and is told the time.
package idempotency

import (
	"bytes"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"hash/crc32"
	"io"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Bounds of the parts of a key. Names longer than these do not parse.
const (
	MaxVMBytes          = 64
	MaxIncarnationBytes = 40
	// MaxKeyBytes bounds the text of a key.
	MaxKeyBytes = 200
)

const (
	keyPrefix     = "sk1_"
	tagBytes      = 8
	nonceBytes    = 12
	mintedBytes   = 8
	checksumBytes = 4
)

// ErrMalformed is the cause of every error of Parse.
var ErrMalformed = eris.New("idempotency: malformed key")

var keyEncoding = base64.RawURLEncoding.Strict()

// Key is an idempotency key, bound to one life of one agent.
type Key struct {
	// VM is the agent's VM.
	VM string
	// Incarnation is the life of the agent's process.
	Incarnation string
	// Minted is the time of minting by the entry's clock, in microseconds.
	Minted time.Time

	accountTag [tagBytes]byte
	nonce      [nonceBytes]byte
}

// Mint returns a new key for the account, bound to one incarnation of the
// agent on a VM. It panics when random fails, as crypto/rand never does.
func Mint(vm, incarnation, account string, now time.Time, random io.Reader) Key {
	k := Key{
		VM:          vm,
		Incarnation: incarnation,
		Minted:      now.UTC().Truncate(time.Microsecond),
		accountTag:  tagOf(account),
	}
	if _, err := io.ReadFull(random, k.nonce[:]); err != nil {
		panic(eris.Wrap(err, "idempotency: source of randomness failed"))
	}
	return k
}

// BelongsTo reports whether the key was minted for the account.
func (k Key) BelongsTo(account string) bool { return k.accountTag == tagOf(account) }

// String returns the key as opaque text that is safe in URLs and headers.
func (k Key) String() string {
	payload := binary.AppendUvarint(nil, uint64(len(k.VM)))
	payload = append(payload, k.VM...)
	payload = binary.AppendUvarint(payload, uint64(len(k.Incarnation)))
	payload = append(payload, k.Incarnation...)
	payload = binary.BigEndian.AppendUint64(payload, uint64(k.Minted.UnixMicro()))
	payload = append(payload, k.accountTag[:]...)
	payload = append(payload, k.nonce[:]...)
	payload = binary.BigEndian.AppendUint32(payload, crc32.ChecksumIEEE(payload))
	return keyPrefix + keyEncoding.EncodeToString(payload)
}

// Parse reads the text of a key. Each key has exactly one text, so equal keys
// have equal texts. The checksum finds damage; it does not authenticate.
func Parse(s string) (Key, error) {
	if len(s) > MaxKeyBytes {
		return Key{}, eris.Wrapf(ErrMalformed, "%d bytes, at most %d are allowed", len(s), MaxKeyBytes)
	}
	encoded, found := strings.CutPrefix(s, keyPrefix)
	if !found {
		return Key{}, eris.Wrapf(ErrMalformed, "no prefix %s", keyPrefix)
	}
	payload, err := keyEncoding.DecodeString(encoded)
	if err != nil {
		return Key{}, eris.Wrap(ErrMalformed, "not base64url")
	}
	body, err := verifyChecksum(payload)
	if err != nil {
		return Key{}, err
	}
	k, err := parseBody(body)
	if err != nil {
		return Key{}, err
	}
	if k.String() != s {
		return Key{}, eris.Wrap(ErrMalformed, "not in canonical form")
	}
	return k, nil
}

func verifyChecksum(payload []byte) ([]byte, error) {
	if len(payload) < checksumBytes {
		return nil, eris.Wrap(ErrMalformed, "too short")
	}
	body := payload[:len(payload)-checksumBytes]
	sum := binary.BigEndian.Uint32(payload[len(body):])
	if sum != crc32.ChecksumIEEE(body) {
		return nil, eris.Wrap(ErrMalformed, "checksum does not match")
	}
	return body, nil
}

func parseBody(body []byte) (Key, error) {
	r := bytes.NewReader(body)
	var k Key
	var err error
	if k.VM, err = readName(r, MaxVMBytes); err != nil {
		return Key{}, err
	}
	if k.Incarnation, err = readName(r, MaxIncarnationBytes); err != nil {
		return Key{}, err
	}
	if r.Len() != mintedBytes+tagBytes+nonceBytes {
		return Key{}, eris.Wrap(ErrMalformed, "wrong length")
	}
	rest := body[len(body)-r.Len():]
	k.Minted = time.UnixMicro(int64(binary.BigEndian.Uint64(rest))).UTC()
	copy(k.accountTag[:], rest[mintedBytes:])
	copy(k.nonce[:], rest[mintedBytes+tagBytes:])
	if k.Minted.Unix() <= 0 {
		return Key{}, eris.Wrap(ErrMalformed, "no minting time")
	}
	return k, nil
}

func readName(r *bytes.Reader, limit uint64) (string, error) {
	size, err := binary.ReadUvarint(r)
	if err != nil || size == 0 || size > limit || size > uint64(r.Len()) {
		return "", eris.Wrap(ErrMalformed, "bad length of a name")
	}
	name := make([]byte, size)
	if _, err := io.ReadFull(r, name); err != nil {
		return "", eris.Wrap(ErrMalformed, "name cut short")
	}
	return string(name), nil
}

func tagOf(account string) [tagBytes]byte {
	sum := sha256.Sum256([]byte(account))
	return [tagBytes]byte(sum[:tagBytes])
}
