package agent

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/sesameswitch/sesameswitch/clock"
	"github.com/sesameswitch/sesameswitch/membudget"
	"github.com/sesameswitch/sesameswitch/outcome"
)

// maxUnreadBytes is how many unread bytes a response may buffer before the run
// waits for the reader. A response that is retained has no such limit.
const maxUnreadBytes = 1 << 20

// errUnreadResponse means that a response gave way to others because nobody read it.
var errUnreadResponse = errors.New("the response was not read while memory was short")

const (
	// minBufferBytes is the size of the first buffer of a response.
	minBufferBytes = 1 << 10
	// memoryPollInterval is how often a response looks for memory.
	memoryPollInterval = 10 * time.Millisecond
)

// response buffers the response of a backend server, so that it can be read from
// any offset, over any connection. It is safe for concurrent use.
type response struct {
	// memory is what the buffer takes; nil without a limit. While nobody reads, the response
	// gives way if others need its memory, unless it is retained.
	memory *membudget.Claim

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
	allocated    int64 // size of the buffer that data is a part of
	readers      int   // number of reads in progress
	starved      bool  // append waits for memory
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

// newResponse returns a response whose buffer counts to a budget; nil means no limit. onGiveWay is
// called when the response has been discarded because nobody read it while memory was short.
func newResponse(retain bool, c clock.Clock, budget *membudget.Budget, onGiveWay func()) *response {
	r := &response{retain: retain, clock: c, changed: make(chan struct{})}
	if budget != nil {
		r.memory = budget.NewClaim(func() {
			r.discard()
			onGiveWay()
		})
	}
	return r
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

// append adds bytes. It blocks while there is no memory for them and, unless the response is
// retained, while more than maxUnreadBytes are buffered. It returns an error when the context ends
// meanwhile, or when the response had to give way because nobody read it.
func (r *response) append(ctx context.Context, data []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for {
		full := !r.retain && len(r.data) > maxUnreadBytes
		if !full && r.reserve(len(data)) {
			break
		}
		if r.memory.Evicted() {
			return errUnreadResponse
		}
		if r.starved = !full; r.starved {
			r.notify() // readers take what there is
		}
		if err := r.await(ctx); err != nil {
			return err
		}
	}
	r.starved = false
	r.lastBytesAt = r.clock.Now()
	if r.firstBytesAt.IsZero() {
		r.firstBytesAt = r.lastBytesAt
	}
	r.events++
	r.data = append(r.data, data...)
	r.notify()
	return nil
}

// await waits for a change or, if memory is missing, for memoryPollInterval. The caller holds mu,
// which is released meanwhile.
func (r *response) await(ctx context.Context) error {
	changed := r.changed
	var poll <-chan time.Time
	if r.starved {
		poll = time.After(memoryPollInterval)
	}
	r.mu.Unlock()
	defer r.mu.Lock()
	select {
	case <-changed:
	case <-poll:
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}

// reserve makes room in the buffer for n more bytes. It returns false if there is no memory. The
// caller holds mu.
func (r *response) reserve(n int) bool {
	needed := len(r.data) + n
	if needed <= cap(r.data) {
		return true
	}
	size := max(needed, minBufferBytes, 2*len(r.data))
	if !r.memory.Replace(r.allocated, int64(size)) {
		size = needed
		if !r.memory.Replace(r.allocated, int64(size)) {
			return false
		}
	}
	first := r.allocated == 0
	r.memory.Shrink(r.allocated)
	r.moveTo(size)
	if first && r.readers == 0 {
		r.awaitReader()
	}
	return true
}

// moveTo moves the bytes to a buffer of the given size, whose memory is claimed. The caller holds mu.
func (r *response) moveTo(size int) {
	buffer := make([]byte, len(r.data), size)
	copy(buffer, r.data)
	r.data, r.allocated = buffer, int64(size)
}

// awaitReader lets the response give way until it is read, unless it is retained. The caller holds
// mu.
func (r *response) awaitReader() {
	if !r.retain && r.allocated > 0 {
		r.memory.AwaitProgress()
	}
}

// free drops the buffer. The caller holds mu.
func (r *response) free() {
	r.memory.Complete()
	r.memory.Shrink(r.allocated)
	r.data, r.allocated = nil, 0
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
	r.free()
	r.notify()
}

// delivered records that a reader has received the response to its end. It is kept for another
// read if memory allows it.
func (r *response) delivered() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.retain && r.allocated > 0 && r.readers == 0 {
		r.memory.Abandon()
	}
}

// store prepares a finished response for being stored: its buffer does not count to the budget any
// more, and has no more than its size.
func (r *response) store() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if cap(r.data) > len(r.data) {
		r.data = slices.Clone(r.data)
	}
	r.memory.Release()
	r.memory, r.allocated = nil, 0
}

// read acknowledges the bytes before the offset and returns a chunk from the
// offset on. It waits until at least minBytes are available, the response is
// finished or the context ends.
func (r *response) read(ctx context.Context, offset int64, minBytes, maxBytes int) chunk {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers++
	r.memory.Complete()
	defer func() {
		if r.readers--; r.readers == 0 {
			r.awaitReader()
		}
	}()
	r.acknowledge(offset)
	for !r.finished && r.baseOffset <= offset && r.available(offset) < int64(minBytes) && (!r.starved || r.available(offset) <= 0) {
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

// available returns how many bytes are buffered from the offset on; it is negative if there are
// fewer than that. The caller holds mu.
func (r *response) available(offset int64) int64 {
	return r.baseOffset + int64(len(r.data)) - offset
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
		r.free()
	} else if rest := len(r.data); int64(rest) <= r.allocated/4 {
		r.memory.Shrink(r.allocated - int64(rest))
		r.moveTo(rest)
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
		from, to := offset-r.baseOffset, stop-r.baseOffset
		c.data = r.data[from:to:to] // these bytes do not change: appending and moving write others
	}
	if r.finished && stop >= end {
		c.final = true
		c.length = end
		c.refusal = r.refusal
	}
	return c
}
