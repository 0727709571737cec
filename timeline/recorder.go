package timeline

import (
	"sync"

	"github.com/sesameswitch/sesameswitch/clock"
)

// Recorder holds the most recent events of one process. It is safe for concurrent
// use.
type Recorder struct {
	process Process
	clock   clock.Clock

	mu sync.Mutex
	// events is a circular buffer. The event with sequence number seq is at
	// (seq-1) % len(events).
	events []Event
	// last is the sequence number of the newest event, or 0 if there is none.
	last uint64
	// changed is closed when the next event is recorded. It is nil while no reader
	// waits.
	changed chan struct{}
}

// New returns a recorder that holds up to capacity events. A capacity below 1 is
// treated as 1.
func New(p Process, capacity int, c clock.Clock) *Recorder {
	return &Recorder{process: p, clock: c, events: make([]Event, max(capacity, 1))}
}

// Record adds an event without attributes. It never waits for a reader. If the
// buffer is full, the event overwrites the oldest one.
func (r *Recorder) Record(kind Kind, requestID, detail string) {
	r.RecordWith(kind, requestID, detail, Attributes{})
}

// RecordWith is like Record, but adds an event with attributes.
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

// Since returns up to limit events with a sequence number above seq, oldest first.
// A limit of 0 or less means no limit.
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
	selected := make([]Event, 0, count)
	for i := range count {
		selected = append(selected, r.events[r.index(first+uint64(i))])
	}
	return selected
}

// Overwritten returns the number of events that were overwritten by newer ones.
func (r *Recorder) Overwritten() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.oldest() - 1
}

// wait returns a channel that is closed when the next event is recorded. If an
// event with a sequence number above seq exists already, the channel is closed at
// once.
func (r *Recorder) wait(seq uint64) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.last > seq {
		closed := make(chan struct{})
		close(closed)
		return closed
	}
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	return r.changed
}

// oldest returns the sequence number of the oldest event in the buffer, or 1 if no
// event has been recorded.
func (r *Recorder) oldest() uint64 {
	capacity := uint64(len(r.events))
	if r.last <= capacity {
		return 1
	}
	return r.last - capacity + 1
}

func (r *Recorder) index(seq uint64) uint64 {
	return (seq - 1) % uint64(len(r.events))
}
