// Package eventstream splits a text/event-stream body into complete events and
// reads the ID of each event. It does no I/O. Events must end with an empty line, and
// lines with LF; CR and CRLF are not recognized as line ends.
//
// Callers may assume that Feed returns every byte of a complete event exactly
// once and in order, and never returns part of an incomplete event.
package eventstream

import (
	"bytes"
	"strconv"
)

// MaxEventBytes limits the bytes that a Splitter buffers of an incomplete event. Feed
// reports a stream that exceeds the limit as invalid.
const MaxEventBytes = 1 << 20

// Splitter buffers bytes until they form complete events.
type Splitter struct {
	// partial holds the bytes of an incomplete event.
	partial []byte
	// lastID is the ID of the last complete event that had one. Before the first
	// such event it is the ID given to New; zero means none.
	lastID int64
	events int
}

// New returns a Splitter. For a resumed stream, after is the ID of the last
// event received before the interruption; for a new stream it is zero.
func New(after int64) *Splitter { return &Splitter{lastID: after} }

// LastID returns the ID of the last complete event that had one, or the ID
// given to New.
func (s *Splitter) LastID() int64 { return s.lastID }

// Events returns the number of complete events so far.
func (s *Splitter) Events() int { return s.events }

// PendingBytes returns the number of buffered bytes of an incomplete event.
func (s *Splitter) PendingBytes() int { return len(s.partial) }

// DiscardPartial discards the buffered bytes of an incomplete event. A resumed stream
// starts with the complete event.
func (s *Splitter) DiscardPartial() { s.partial = s.partial[:0] }

// Feed appends p to the buffer and returns the bytes of all events that are now
// complete, and their number. The caller owns the returned slice. ok is false
// if an incomplete event exceeds MaxEventBytes or if an event's ID is not the previous
// ID plus one. The first ID of a new stream may have any value, and events without a
// numeric ID are not checked.
func (s *Splitter) Feed(p []byte) (complete []byte, events int, ok bool) {
	from := max(0, len(s.partial)-1) // the last buffered byte may be the first of "\n\n"
	s.partial = append(s.partial, p...)
	end := 0
	for {
		at := bytes.Index(s.partial[from:], []byte("\n\n"))
		if at < 0 {
			break
		}
		next := from + at + 2
		if !s.recordEvent(s.partial[end:next]) {
			return s.removePrefix(end), events, false
		}
		events++
		end, from = next, next
	}
	return s.removePrefix(end), events, len(s.partial) <= MaxEventBytes
}

// removePrefix removes the first n bytes from the buffer and returns a copy of
// them.
func (s *Splitter) removePrefix(n int) []byte {
	if n == 0 {
		return nil
	}
	prefix := append([]byte(nil), s.partial[:n]...)
	s.partial = append(s.partial[:0], s.partial[n:]...)
	return prefix
}

// recordEvent counts a complete event and stores its ID. It returns false if
// the ID is not the previous one plus one.
func (s *Splitter) recordEvent(event []byte) bool {
	s.events++
	id, found := eventID(event)
	if !found {
		return true
	}
	if s.lastID > 0 && id != s.lastID+1 {
		return false
	}
	s.lastID = id
	return true
}

// eventID returns the value of the event's id field, and false if the field is
// missing or not a number.
func eventID(event []byte) (int64, bool) {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		value, found := bytes.CutPrefix(line, []byte("id:"))
		if !found {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		return id, err == nil
	}
	return 0, false
}
