package agent

import (
	"sync"
	"time"
)

// entryTimes notes when each entry was last heard. It is safe for concurrent
// use.
type entryTimes struct {
	mu   sync.Mutex
	last map[string]time.Time
}

func newEntryTimes() *entryTimes {
	return &entryTimes{last: map[string]time.Time{}}
}

// heard notes a sign of life of an entry.
func (e *entryTimes) heard(entry string, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.last[entry] = now
}

// silence is how long an entry has not been heard.
func (e *entryTimes) silence(entry string, now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return now.Sub(e.last[entry])
}

// forget drops the entries that were not heard for longer than the limit.
func (e *entryTimes) forget(now time.Time, limit time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for entry, at := range e.last {
		if now.Sub(at) > limit {
			delete(e.last, entry)
		}
	}
}
