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
	doneLine = []byte("data: [DONE]")
	idField  = []byte("id:")
)

var (
	errNoEndMarker = errors.New("the backend server's stream ended without its end marker")
	errGap         = errors.New("the backend server's stream has a gap")
	errEventLength = errors.New("the backend server sent an event that is too long")
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// copyEvents copies a stream of server-sent events, whole events only. Events
// that carry a number are put through in order: a repeated one is dropped and
// a gap is an error. The stream is whole only with its end marker.
func copyEvents(ctx context.Context, a *answer, body io.Reader, resumeAfter int) error {
	reader := bufio.NewReaderSize(body, readBufferBytes)
	next := resumeAfter
	var event []byte
	for {
		line, err := reader.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			err = nil
		}
		event = append(event, line...)
		if err != nil {
			return streamEnd(err)
		}
		if len(event) > maxEventBytes {
			return errEventLength
		}
		if !bytes.HasSuffix(event, []byte("\n\n")) && !bytes.HasSuffix(event, []byte("\n\r\n")) {
			continue
		}
		put, done, err := checkEvent(event, &next)
		if err != nil {
			return err
		}
		if put {
			if err := a.append(ctx, event); err != nil {
				return err
			}
		}
		if done {
			return nil
		}
		event = event[:0]
	}
}

func streamEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return errNoEndMarker
	}
	return err
}

// checkEvent says whether an event belongs into the answer and whether it is
// the end marker. Next is the number that the next numbered event must have.
func checkEvent(event []byte, next *int) (put, done bool, err error) {
	if bytes.HasPrefix(event, doneLine) {
		return true, true, nil
	}
	number, ok := eventNumber(event)
	if !ok {
		return true, false, nil
	}
	switch {
	case number < *next:
		return false, false, nil
	case number > *next:
		return false, false, errGap
	}
	*next++
	return true, false, nil
}

// eventNumber returns the number in an event's id field.
func eventNumber(event []byte) (int, bool) {
	for line := range bytes.Lines(event) {
		value, found := bytes.CutPrefix(line, idField)
		if !found {
			continue
		}
		number, err := strconv.Atoi(string(bytes.TrimSpace(value)))
		return number, err == nil
	}
	return 0, false
}
