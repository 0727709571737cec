package agent

import (
	"sync"
	"time"
)

// entryActivity records when each entry was last seen, by the VM of the entry. It
// is safe for concurrent use.
type entryActivity struct {
	mu         sync.Mutex
	lastSeenAt map[string]time.Time
}

func newEntryActivity() *entryActivity {
	return &entryActivity{lastSeenAt: map[string]time.Time{}}
}

// record sets the time at which an entry was last seen.
func (e *entryActivity) record(entry string, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastSeenAt[entry] = now
}

// sinceLastSeen returns how long ago an entry was last seen. For an unknown entry
// the result is longer than any limit.
func (e *entryActivity) sinceLastSeen(entry string, now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return now.Sub(e.lastSeenAt[entry])
}

// removeStale removes the entries that have not been seen for longer than maxAge.
func (e *entryActivity) removeStale(now time.Time, maxAge time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for entry, at := range e.lastSeenAt {
		if now.Sub(at) > maxAge {
			delete(e.lastSeenAt, entry)
		}
	}
}
