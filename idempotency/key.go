// Package idempotency runs each request at most once, however often, however
// late and through whichever entry the request is retried.
//
// A Key names one agent VM and one incarnation of the agent process on that
// VM. Only that process may run the request, and it alone decides about the key
// in its Table. Safety therefore needs no consensus between processes, no
// correct clock and no persistent state: when the process ends, its table is
// lost, and its successor refuses the keys with outcome unknown. Callers may
// assume that a request runs at most once per key, and that a refusal with
// outcome not_run is final for that key.
//
// The package performs no I/O, and the current time is passed in.
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

// Maximum lengths of the fields and of the text of a key. Parse refuses longer
// ones.
const (
	MaxVMBytes          = 64
	MaxIncarnationBytes = 40
	// MaxKeyBytes is the maximum length of the text of a key. A key whose fields
	// have their maximum lengths has 188 bytes.
	MaxKeyBytes = 200
)

// Format of the text of a key: the prefix, then in base64url the length and the
// bytes of VM and of Incarnation, the minting time in Unix microseconds, the
// account tag, the nonce, and the CRC-32 checksum of all these fields.
const (
	keyPrefix = "sk1_"
	// accountTagBytes is the length of the truncated SHA-256 of the account.
	accountTagBytes = 8
	nonceBytes      = 12
	mintTimeBytes   = 8
	checksumBytes   = 4
)

// ErrMalformed is wrapped by every error that Parse returns.
var ErrMalformed = eris.New("idempotency: malformed key")

var keyEncoding = base64.RawURLEncoding.Strict()

// Key is an idempotency key, bound to one incarnation of one agent.
type Key struct {
	// VM is the name of the agent's VM.
	VM string
	// Incarnation identifies one start of the agent process.
	Incarnation string
	// Minted is when the entry created the key, by the entry's clock and with
	// a resolution of one microsecond.
	Minted time.Time

	accountTag [accountTagBytes]byte
	nonce      [nonceBytes]byte
}

// Mint returns a new key for the account, bound to one incarnation of the
// agent on a VM. It does not check the names; Parse refuses a key in which one of
// them is empty or too long. Mint panics when reading from random fails; the
// reader of crypto/rand never fails.
func Mint(vm, incarnation, account string, now time.Time, random io.Reader) Key {
	k := Key{
		VM:          vm,
		Incarnation: incarnation,
		Minted:      now.UTC().Truncate(time.Microsecond),
		accountTag:  accountTagOf(account),
	}
	if _, err := io.ReadFull(random, k.nonce[:]); err != nil {
		panic(eris.Wrap(err, "idempotency: read random nonce"))
	}
	return k
}

// BelongsTo reports whether the key was minted for the client account.
func (k Key) BelongsTo(account string) bool { return k.accountTag == accountTagOf(account) }

// String returns the key as opaque text that is safe in URLs and HTTP headers.
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

// Parse decodes the text of a key. It accepts exactly one text per key, so
// equal keys have equal texts. The checksum detects corruption; it does not
// authenticate the key.
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
	k, err := parseFields(body)
	if err != nil {
		return Key{}, err
	}
	if k.String() != s {
		return Key{}, eris.Wrap(ErrMalformed, "not in canonical form")
	}
	return k, nil
}

// verifyChecksum returns the payload without its checksum.
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

func parseFields(body []byte) (Key, error) {
	r := bytes.NewReader(body)
	var k Key
	var err error
	if k.VM, err = readString(r, MaxVMBytes); err != nil {
		return Key{}, err
	}
	if k.Incarnation, err = readString(r, MaxIncarnationBytes); err != nil {
		return Key{}, err
	}
	if r.Len() != mintTimeBytes+accountTagBytes+nonceBytes {
		return Key{}, eris.Wrap(ErrMalformed, "wrong length")
	}
	rest := body[len(body)-r.Len():]
	k.Minted = time.UnixMicro(int64(binary.BigEndian.Uint64(rest))).UTC()
	copy(k.accountTag[:], rest[mintTimeBytes:])
	copy(k.nonce[:], rest[mintTimeBytes+accountTagBytes:])
	if k.Minted.Unix() <= 0 {
		return Key{}, eris.Wrap(ErrMalformed, "no minting time")
	}
	return k, nil
}

func readString(r *bytes.Reader, maxBytes uint64) (string, error) {
	size, err := binary.ReadUvarint(r)
	if err != nil || size == 0 || size > maxBytes || size > uint64(r.Len()) {
		return "", eris.Wrap(ErrMalformed, "bad length of a name")
	}
	text := make([]byte, size)
	if _, err := io.ReadFull(r, text); err != nil {
		return "", eris.Wrap(ErrMalformed, "name cut short")
	}
	return string(text), nil
}

func accountTagOf(account string) [accountTagBytes]byte {
	sum := sha256.Sum256([]byte(account))
	return [accountTagBytes]byte(sum[:accountTagBytes])
}
