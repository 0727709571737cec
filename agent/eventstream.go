package agent

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"strconv"
)

var (
	// endMarker is the start of the event that ends a complete stream.
	endMarker = []byte("data: [DONE]")
	// idFieldPrefix is the start of the line that contains the number of an event.
	idFieldPrefix = []byte("id:")
)

var (
	errNoEndMarker  = errors.New("the backend server's stream ended without its end marker")
	errEventGap     = errors.New("the backend server's stream has a gap")
	errEventTooLong = errors.New("the backend server sent an event that is too long")
)

// maxEventBytes bounds the size of one event of a stream.
const maxEventBytes = 1 << 20

// copyEvents copies a stream of server-sent events to the response. It copies
// complete events only. A stream that ends before its end marker is truncated,
// which is an error.
//
// Events may be numbered from 0, one event per token. The caller already has the
// first resumeAfter events, so the first event that is copied has the number
// resumeAfter. Events with lower numbers and duplicates are dropped, and a gap is
// an error.
func copyEvents(ctx context.Context, resp *response, body io.Reader, resumeAfter int) error {
	reader := bufio.NewReaderSize(body, readBufferBytes)
	nextNumber := resumeAfter
	var event []byte
	for {
		line, err := reader.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			err = nil
		}
		event = append(event, line...)
		if err != nil {
			return streamError(err)
		}
		if len(event) > maxEventBytes {
			return errEventTooLong
		}
		if !bytes.HasSuffix(event, []byte("\n\n")) && !bytes.HasSuffix(event, []byte("\n\r\n")) {
			continue
		}
		keep, done, err := checkEvent(event, &nextNumber)
		if err != nil {
			return err
		}
		if keep {
			if err := resp.append(ctx, event); err != nil {
				return err
			}
		}
		if done {
			return nil
		}
		event = event[:0]
	}
}

// streamError returns the error for a stream whose body ended or failed before
// the end marker.
func streamError(err error) error {
	if errors.Is(err, io.EOF) {
		return errNoEndMarker
	}
	return err
}

// checkEvent reports whether an event is to be copied and whether it is the end
// marker. nextNumber is the number that the next numbered event must have;
// checkEvent advances it.
func checkEvent(event []byte, nextNumber *int) (keep, done bool, err error) {
	if bytes.HasPrefix(event, endMarker) {
		return true, true, nil
	}
	number, ok := eventNumber(event)
	if !ok {
		return true, false, nil
	}
	switch {
	case number < *nextNumber:
		return false, false, nil
	case number > *nextNumber:
		return false, false, errEventGap
	}
	*nextNumber++
	return true, false, nil
}

// eventNumber returns the number in the id field of an event. The second result
// is false when the event has no number.
func eventNumber(event []byte) (int, bool) {
	for line := range bytes.Lines(event) {
		value, found := bytes.CutPrefix(line, idFieldPrefix)
		if !found {
			continue
		}
		number, err := strconv.Atoi(string(bytes.TrimSpace(value)))
		return number, err == nil
	}
	return 0, false
}
