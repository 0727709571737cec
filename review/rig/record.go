//go:build review

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// run is a request that a replica ran.
type run struct {
	id, service, replica, key, tenant, target string
	at                                        time.Time
}

// record is what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
	runs  []run
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: f}, nil
}

// add adds a line.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// ran records that a replica runs a request.
func (r *record) ran(at *replica, e *exchange) {
	r.mu.Lock()
	r.runs = append(r.runs, run{id: e.id, service: at.service, replica: at.id, key: e.header.Get("X-Key"), tenant: e.header.Get("X-Tenant"), target: e.target, at: time.Now()})
	r.mu.Unlock()
	r.add("replica %s of %s runs %s %s %s, X-Tenant %q", at.id, at.service, e.id, e.method, e.target, e.header.Get("X-Tenant"))
}

// runsOf returns the runs of a request.
func (r *record) runsOf(id string) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []run
	for _, x := range r.runs {
		if x.id == id {
			found = append(found, x)
		}
	}
	return found
}
