package agent

import (
	"context"
	"sync"
	"time"

	"github.com/sesameswitch/sesameswitch/clock"
	"github.com/sesameswitch/sesameswitch/outcome"
)

// maxUnreadBytes is how far a run may be ahead of its reader.
const maxUnreadBytes = 1 << 20

// answer buffers what a backend server answers, so that a reader can take it
// from any offset, over any connection. It is safe for concurrent use.
type answer struct {
	mu sync.Mutex
	// keep holds on to bytes that were read already; a repeat of the key
	// reads the whole answer again.
	keep    bool
	clock   clock.Clock
	firstAt time.Time // when the first bytes came
	lastAt  time.Time // when the last bytes came
	events  int
	begun   bool
	code    int
	header  map[string]string
	first   int64 // offset of data[0]
	data    []byte
	final   bool
	refusal *outcome.Refusal
	changed chan struct{}
}

// part is what a reader gets.
type part struct {
	begun   bool
	code    int
	header  map[string]string
	data    []byte
	final   bool
	length  int64
	refusal *outcome.Refusal
	// lost is true when the bytes at the offset are gone.
	lost bool
}

func newAnswer(keep bool, c clock.Clock) *answer {
	return &answer{keep: keep, clock: c, changed: make(chan struct{})}
}

// pace returns when the first bytes came, zero if none did, and the number of
// appended pieces, which for a stream is that of its events.
func (a *answer) pace() (firstAt time.Time, events int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.firstAt, a.events
}

// lastBytes returns when bytes came last; zero if none did.
func (a *answer) lastBytes() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lastAt
}

func (a *answer) wake() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// begin sets the head of the answer.
func (a *answer) begin(code int, header map[string]string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.begun = true
	a.code = code
	a.header = header
}

// append adds bytes. It waits while the reader is too far behind and fails
// when the context ends meanwhile.
func (a *answer) append(ctx context.Context, data []byte) error {
	a.mu.Lock()
	for !a.keep && len(a.data) > maxUnreadBytes {
		changed := a.changed
		a.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
		a.mu.Lock()
	}
	a.lastAt = a.clock.Now()
	if a.firstAt.IsZero() {
		a.firstAt = a.lastAt
	}
	a.events++
	a.data = append(a.data, data...)
	a.wake()
	a.mu.Unlock()
	return nil
}

// finish ends the answer; a nil refusal means that it is whole. Only the
// first call counts.
func (a *answer) finish(refusal *outcome.Refusal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.final {
		return
	}
	a.final = true
	a.refusal = refusal
	a.wake()
}

// size returns how many bytes the answer holds.
func (a *answer) size() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return int64(len(a.data))
}

// discard lets go of the bytes of an answer; readers find them lost.
func (a *answer) discard() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.first += int64(len(a.data))
	a.data = nil
}

// read returns the part from the offset on. It waits until at least so many
// bytes are there, the answer is over or the context ends.
func (a *answer) read(ctx context.Context, offset int64, least, max int) part {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.acknowledge(offset)
	for !a.final && a.first+int64(len(a.data)) < offset+int64(least) {
		changed := a.changed
		a.mu.Unlock()
		select {
		case <-changed:
			a.mu.Lock()
		case <-ctx.Done():
			a.mu.Lock()
			return a.part(offset, max)
		}
	}
	return a.part(offset, max)
}

// acknowledge drops the bytes before the offset.
func (a *answer) acknowledge(offset int64) {
	if a.keep || offset <= a.first {
		return
	}
	n := offset - a.first
	if n > int64(len(a.data)) {
		return
	}
	full := len(a.data) > maxUnreadBytes
	a.data = a.data[n:]
	a.first = offset
	if len(a.data) == 0 {
		a.data = nil
	}
	if full {
		a.wake()
	}
}

func (a *answer) part(offset int64, max int) part {
	p := part{begun: a.begun, code: a.code}
	if offset < a.first {
		p.lost = true
		return p
	}
	if offset == 0 {
		p.header = a.header
	}
	end := a.first + int64(len(a.data))
	stop := min(end, offset+int64(max))
	if offset < stop {
		p.data = append([]byte(nil), a.data[offset-a.first:stop-a.first]...)
	}
	if a.final && stop >= end {
		p.final = true
		p.length = end
		p.refusal = a.refusal
	}
	return p
}
