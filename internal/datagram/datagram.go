// Package datagram decodes MessagePack messages of unknown senders.
//
// Callers may assume that decoding a message allocates memory in proportion to the bytes that
// arrived, whatever lengths the message states, and that no message causes a panic. The decoder
// of the library allocates lists of structures by their stated length, and panics at some values
// of another type than expected.
package datagram

import (
	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// Errors of Unmarshal.
var (
	// ErrLength means that a message states a length beyond its own.
	ErrLength = eris.New("datagram: the message states a length beyond its own")
	// ErrType means that a value of a message has another type than expected.
	ErrType = eris.New("datagram: a value has another type than expected")
)

// Unmarshal decodes a message into the value that out points to. It returns ErrLength before
// anything is allocated if a list, map or text of the message would be longer than the rest of
// the message, ErrType if the decoder panics, and the errors of the decoder otherwise.
func Unmarshal(content []byte, out any) (err error) {
	if err := checkLengths(content); err != nil {
		return err
	}
	defer func() {
		if problem := recover(); problem != nil {
			err = eris.Wrapf(ErrType, "%v", problem)
		}
	}()
	return msgpack.Unmarshal(content, out)
}

// checkLengths returns ErrLength unless the first value of the content is complete.
func checkLengths(content []byte) error {
	for pending := uint64(1); pending > 0; pending-- {
		if len(content) == 0 {
			return ErrLength
		}
		h := headerOf(content[0])
		content = content[1:]
		if len(content) < h.lengthBytes {
			return ErrLength
		}
		length := h.length
		for _, b := range content[:h.lengthBytes] {
			length = length<<8 | uint64(b)
		}
		content = content[h.lengthBytes:]
		need := h.extraBytes + length // each value takes at least one byte
		if h.pairs {
			need += length
		}
		if need > uint64(len(content)) {
			return ErrLength
		}
		if h.container {
			pending += need
			continue
		}
		content = content[need:]
	}
	return nil
}

// header describes the first byte of a value.
type header struct {
	// lengthBytes is the number of bytes that follow and state the length, length is the
	// length that the first byte states itself.
	lengthBytes int
	length      uint64
	// extraBytes is the number of bytes in addition to the length.
	extraBytes uint64
	// container is true if the length counts values instead of bytes, pairs if it counts pairs
	// of values.
	container, pairs bool
}

// headerOf returns the description of the first byte of a value.
func headerOf(code byte) header {
	switch {
	case msgpcode.IsFixedMap(code):
		return header{length: uint64(code & msgpcode.FixedMapMask), container: true, pairs: true}
	case msgpcode.IsFixedArray(code):
		return header{length: uint64(code & msgpcode.FixedArrayMask), container: true}
	case msgpcode.IsFixedString(code):
		return header{length: uint64(code & msgpcode.FixedStrMask)}
	case msgpcode.IsFixedExt(code):
		return header{length: 1 << (code - msgpcode.FixExt1), extraBytes: extensionTypeBytes}
	}
	return headers[code] // the zero value for single bytes: small numbers, nil, booleans
}

// extensionTypeBytes is the length of the type of an extension, which follows its length.
const extensionTypeBytes = 1

// headers describe the codes that are not part of a range.
var headers = map[byte]header{
	msgpcode.Uint8: {length: 1}, msgpcode.Uint16: {length: 2}, msgpcode.Uint32: {length: 4}, msgpcode.Uint64: {length: 8},
	msgpcode.Int8: {length: 1}, msgpcode.Int16: {length: 2}, msgpcode.Int32: {length: 4}, msgpcode.Int64: {length: 8},
	msgpcode.Float: {length: 4}, msgpcode.Double: {length: 8},
	msgpcode.Str8: {lengthBytes: 1}, msgpcode.Str16: {lengthBytes: 2}, msgpcode.Str32: {lengthBytes: 4},
	msgpcode.Bin8: {lengthBytes: 1}, msgpcode.Bin16: {lengthBytes: 2}, msgpcode.Bin32: {lengthBytes: 4},
	msgpcode.Array16: {lengthBytes: 2, container: true}, msgpcode.Array32: {lengthBytes: 4, container: true},
	msgpcode.Map16: {lengthBytes: 2, container: true, pairs: true}, msgpcode.Map32: {lengthBytes: 4, container: true, pairs: true},
	msgpcode.Ext8:  {lengthBytes: 1, extraBytes: extensionTypeBytes},
	msgpcode.Ext16: {lengthBytes: 2, extraBytes: extensionTypeBytes},
	msgpcode.Ext32: {lengthBytes: 4, extraBytes: extensionTypeBytes},
}
