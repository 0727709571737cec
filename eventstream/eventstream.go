// Package eventstream finds whole events in a stream of bytes
// (text/event-stream) and the id of each. It does no I/O.
//
// A caller may rely on Next giving each byte of a whole event once, in order,
// and never a part of an event that did not end.
package eventstream

import (
	"bytes"
	"strconv"
)

// MaxEventBytes bounds one event. A stream with a larger one is broken.
const MaxEventBytes = 1 << 20

// Splitter gathers bytes until they form events.
type Splitter struct {
	pending []byte
	// lastID is the id of the last whole event with one.
	lastID int64
	events int
}

// New returns a splitter for a stream that goes on after the event id.
func New(after int64) *Splitter { return &Splitter{lastID: after} }

// LastID returns the id of the last whole event.
func (s *Splitter) LastID() int64 { return s.lastID }

// Events returns how many whole events there were.
func (s *Splitter) Events() int { return s.events }

// PendingBytes returns how many bytes of an event without its end are held.
func (s *Splitter) PendingBytes() int { return len(s.pending) }

// DiscardPartial forgets the event that did not end.
func (s *Splitter) DiscardPartial() { s.pending = s.pending[:0] }

// Feed takes in bytes and returns the bytes of the whole events among all that
// was taken in, and how many events they are. The result is valid until the
// next call. ok is false when an event is too large, or when an id does not go
// up by one from the event before it.
func (s *Splitter) Feed(p []byte) (whole []byte, events int, ok bool) {
	from := max(0, len(s.pending)-1)
	s.pending = append(s.pending, p...)
	end := 0
	for {
		at := bytes.Index(s.pending[from:], []byte("\n\n"))
		if at < 0 {
			break
		}
		next := from + at + 2
		if !s.event(s.pending[end:next]) {
			return s.take(end), events, false
		}
		events++
		end, from = next, next
	}
	return s.take(end), events, len(s.pending) <= MaxEventBytes
}

// take removes the first bytes and returns them.
func (s *Splitter) take(end int) []byte {
	if end == 0 {
		return nil
	}
	whole := append([]byte(nil), s.pending[:end]...)
	s.pending = append(s.pending[:0], s.pending[end:]...)
	return whole
}

// event notes one whole event.
func (s *Splitter) event(e []byte) bool {
	s.events++
	id, found := eventID(e)
	if !found {
		return true
	}
	if s.lastID > 0 && id != s.lastID+1 {
		return false
	}
	s.lastID = id
	return true
}

// eventID returns the number in the event's id field.
func eventID(e []byte) (int64, bool) {
	for line := range bytes.SplitSeq(e, []byte("\n")) {
		value, found := bytes.CutPrefix(line, []byte("id:"))
		if !found {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		return id, err == nil
	}
	return 0, false
}
