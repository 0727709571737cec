package peer

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesameswitch/sesameswitch/membudget"
)

// ErrMessageTooLarge means that a message exceeds Config.MaxMessageBytes.
var ErrMessageTooLarge = eris.New("peer: message too large")

// errNoMemory means that there was no memory for a message within Config.ReadTimeout.
var errNoMemory = eris.New("peer: no memory for a message")

const (
	// decodedCopies is how many times the length of a message is held while it is decoded: as it
	// arrived and as a value.
	decodedCopies = 2
	// memoryPollInterval is how often a message looks for memory.
	memoryPollInterval = 10 * time.Millisecond
)

// frames follows the messages in a stream of gob: each begins with its length. encoding/gob
// allocates a message by that length, before it has arrived.
type frames struct {
	// maxBytes limits one message; zero means no limit.
	maxBytes uint64
	memory   *membudget.Claim
	patience time.Duration
	// lengthBytes is how many bytes of the length of the present message are missing, length
	// what was read of it. remaining is how much of the present message has not arrived.
	lengthBytes int
	length      uint64
	remaining   uint64
	// messages counts the complete ones.
	messages int64
}

// arrived follows bytes that have arrived. It returns an error if a message is too large, or if
// there is no memory for it in time.
func (f *frames) arrived(data []byte) error {
	f.memory.Received(len(data))
	for len(data) > 0 {
		switch {
		case f.remaining > 0:
			n := min(f.remaining, uint64(len(data)))
			f.remaining -= n
			data = data[n:]
			if f.remaining == 0 {
				f.messages++
				if !f.memory.Complete() {
					return errNoMemory
				}
			}
		case f.lengthBytes > 0:
			f.length = f.length<<8 | uint64(data[0])
			f.lengthBytes--
			data = data[1:]
			if f.lengthBytes == 0 {
				if err := f.begin(f.length); err != nil {
					return err
				}
			}
		default:
			first := data[0]
			data = data[1:]
			if first <= maxShortLength {
				if err := f.begin(uint64(first)); err != nil {
					return err
				}
				continue
			}
			f.lengthBytes, f.length = -int(int8(first)), 0
			if f.lengthBytes > maxLengthBytes {
				return ErrMessageTooLarge
			}
		}
	}
	return nil
}

const (
	// maxShortLength is the largest length that gob encodes in one byte; other lengths follow a
	// byte that holds the negated number of their bytes.
	maxShortLength = 0x7f
	maxLengthBytes = 8
)

// begin begins a message of the given length. The memory of the previous one is given back.
func (f *frames) begin(length uint64) error {
	if f.maxBytes > 0 && length > f.maxBytes {
		return ErrMessageTooLarge
	}
	f.remaining = length
	f.memory.Release()
	f.memory.Begin()
	for deadline := time.Now().Add(f.patience); !f.memory.Grow(decodedCopies * int64(length)); { //nolint:gosec // at most maxBytes
		if f.memory.Evicted() || time.Now().After(deadline) {
			return errNoMemory
		}
		time.Sleep(memoryPollInterval)
	}
	return nil
}
