package timeline

import (
	"sync"

	"github.com/sesameswitch/sesameswitch/clock"
)

// Recorder keeps the latest events of one process. It is safe for concurrent
// use.
type Recorder struct {
	process Process
	clock   clock.Clock

	mu sync.Mutex
	// events is a circular buffer; the event with number seq is at
	// (seq-1) % len(events).
	events []Event
	// last is the number of the newest event; 0 when there is none.
	last uint64
	// changed is closed by the next Record; nil while nobody waits.
	changed chan struct{}
}

// New returns a recorder that holds up to capacity events; a capacity below
// one is taken as one.
func New(p Process, capacity int, c clock.Clock) *Recorder {
	return &Recorder{process: p, clock: c, events: make([]Event, max(capacity, 1))}
}

// Record adds an event. It never waits for a reader, and overwrites the oldest
// event when the buffer is full.
func (r *Recorder) Record(kind Kind, requestID, detail string) {
	r.RecordWith(kind, requestID, detail, Attributes{})
}

// RecordWith adds an event with attributes, otherwise like Record.
func (r *Recorder) RecordWith(kind Kind, requestID, detail string, attributes Attributes) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last++
	r.events[r.index(r.last)] = Event{
		Time:       r.clock.Now(),
		Process:    r.process,
		Seq:        r.last,
		Kind:       kind,
		RequestID:  requestID,
		Detail:     detail,
		Attributes: attributes,
	}
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}

// Since returns up to limit events with a number above seq, oldest first. A
// limit of zero or less means no limit.
func (r *Recorder) Since(seq uint64, limit int) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := max(seq+1, r.oldest())
	if first > r.last {
		return nil
	}
	count := int(r.last - first + 1)
	if limit > 0 {
		count = min(count, limit)
	}
	found := make([]Event, 0, count)
	for i := range count {
		found = append(found, r.events[r.index(first+uint64(i))])
	}
	return found
}

// Overwritten returns how many events gave way to newer ones.
func (r *Recorder) Overwritten() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.oldest() - 1
}

// wait returns a channel that is closed once there is an event above seq.
func (r *Recorder) wait(seq uint64) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.last > seq {
		ready := make(chan struct{})
		close(ready)
		return ready
	}
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	return r.changed
}

// oldest returns the number of the oldest event that is still held.
func (r *Recorder) oldest() uint64 {
	held := uint64(len(r.events))
	if r.last <= held {
		return 1
	}
	return r.last - held + 1
}

func (r *Recorder) index(seq uint64) uint64 {
	return (seq - 1) % uint64(len(r.events))
}
