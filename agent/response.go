package agent

import (
	"context"
	"sync"
	"time"

	"github.com/sesameswitch/sesameswitch/clock"
	"github.com/sesameswitch/sesameswitch/outcome"
)

// maxUnreadBytes is how many unread bytes a response may buffer before the run
// waits for the reader. A response that is retained has no such limit.
const maxUnreadBytes = 1 << 20

// response buffers the response of a backend server, so that it can be read from
// any offset, over any connection. It is safe for concurrent use.
type response struct {
	mu sync.Mutex
	// retain keeps the bytes that were already read, because a retry of the key
	// reads the response again from the start.
	retain       bool
	clock        clock.Clock
	firstBytesAt time.Time // when the first bytes arrived
	lastBytesAt  time.Time // when the last bytes arrived
	events       int       // number of calls of append; one per event of a stream
	headReceived bool
	code         int // HTTP status
	header       map[string]string
	baseOffset   int64 // offset of data[0]
	data         []byte
	finished     bool
	refusal      *outcome.Refusal
	changed      chan struct{} // closed and replaced at each change
}

// chunk is the result of one read of a response.
type chunk struct {
	headReceived bool
	code         int
	header       map[string]string
	data         []byte
	// final, length and refusal are set when the response is finished and data
	// reaches its end. length is the number of bytes from the start to that end.
	final   bool
	length  int64
	refusal *outcome.Refusal
	// discarded reports that the bytes at the offset are no longer buffered.
	discarded bool
}

func newResponse(retain bool, c clock.Clock) *response {
	return &response{retain: retain, clock: c, changed: make(chan struct{})}
}

// progress returns when the first bytes arrived, or zero if none did, and how many
// events of a stream have arrived. For other responses, the second result is the
// number of reads from the backend server that returned data.
func (r *response) progress() (firstBytesAt time.Time, events int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.firstBytesAt, r.events
}

// lastReceived returns when the last bytes arrived, or zero if none did.
func (r *response) lastReceived() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastBytesAt
}

// notify wakes the goroutines that wait for a change. The caller holds mu.
func (r *response) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// begin sets the head of the response.
func (r *response) begin(code int, header map[string]string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.headReceived = true
	r.code = code
	r.header = header
}

// append adds bytes. Unless the response is retained, append blocks while more
// than maxUnreadBytes are buffered, and returns an error when the context ends
// meanwhile.
func (r *response) append(ctx context.Context, data []byte) error {
	r.mu.Lock()
	for !r.retain && len(r.data) > maxUnreadBytes {
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
		r.mu.Lock()
	}
	r.lastBytesAt = r.clock.Now()
	if r.firstBytesAt.IsZero() {
		r.firstBytesAt = r.lastBytesAt
	}
	r.events++
	r.data = append(r.data, data...)
	r.notify()
	r.mu.Unlock()
	return nil
}

// finish ends the response. A nil refusal means that the response is complete.
// Calls after the first have no effect.
func (r *response) finish(refusal *outcome.Refusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.finished {
		return
	}
	r.finished = true
	r.refusal = refusal
	r.notify()
}

// size returns the number of buffered bytes.
func (r *response) size() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return int64(len(r.data))
}

// discard frees the buffered bytes. Later reads of them return a discarded chunk.
func (r *response) discard() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.baseOffset += int64(len(r.data))
	r.data = nil
}

// read acknowledges the bytes before the offset and returns a chunk from the
// offset on. It waits until at least minBytes are available, the response is
// finished or the context ends.
func (r *response) read(ctx context.Context, offset int64, minBytes, maxBytes int) chunk {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.acknowledge(offset)
	for !r.finished && r.baseOffset+int64(len(r.data)) < offset+int64(minBytes) {
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-changed:
			r.mu.Lock()
		case <-ctx.Done():
			r.mu.Lock()
			return r.chunk(offset, maxBytes)
		}
	}
	return r.chunk(offset, maxBytes)
}

// acknowledge frees the bytes before the offset, which the reader has received,
// unless the response is retained. An offset beyond the buffered bytes has no
// effect. The caller holds mu.
func (r *response) acknowledge(offset int64) {
	if r.retain || offset <= r.baseOffset {
		return
	}
	n := offset - r.baseOffset
	if n > int64(len(r.data)) {
		return
	}
	full := len(r.data) > maxUnreadBytes
	r.data = r.data[n:]
	r.baseOffset = offset
	if len(r.data) == 0 {
		r.data = nil
	}
	if full {
		r.notify()
	}
}

// chunk returns what is buffered from the offset on, up to maxBytes. The caller
// holds mu.
func (r *response) chunk(offset int64, maxBytes int) chunk {
	c := chunk{headReceived: r.headReceived, code: r.code}
	if offset < r.baseOffset {
		c.discarded = true
		return c
	}
	if offset == 0 {
		c.header = r.header
	}
	end := r.baseOffset + int64(len(r.data))
	stop := min(end, offset+int64(maxBytes))
	if offset < stop {
		c.data = append([]byte(nil), r.data[offset-r.baseOffset:stop-r.baseOffset]...)
	}
	if r.finished && stop >= end {
		c.final = true
		c.length = end
		c.refusal = r.refusal
	}
	return c
}
