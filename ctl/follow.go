package ctl

import (
	"context"
	"sync"
	"time"

	"github.com/sesameswitch/sesameswitch/ring"
	"github.com/sesameswitch/sesameswitch/timeline"
)

// mergeWindow is how long events are collected before they are sorted and printed.
const mergeWindow = 250 * time.Millisecond

// reconnectDelay is the time between the end of a connection to a process and the
// next attempt to connect.
const reconnectDelay = time.Second

// maxBufferedEvents is the maximum number of events in one window. Further events
// are dropped.
const maxBufferedEvents = 65536

// follow prints events as they occur until ctx ends. Events are in order within
// each window. An event that arrives after its window is printed when it arrives.
// If the connection to a process ends, follow connects again. It returns when the
// output cannot be written.
func follow(ctx context.Context, out *Output, urls []string, request string) error {
	ctx, stopReaders := context.WithCancel(ctx)
	events := ring.New[timeline.Event](maxBufferedEvents)
	var readers sync.WaitGroup
	for _, u := range urls {
		readers.Go(func() { followProcess(ctx, u, request, events) })
	}
	defer readers.Wait()
	defer stopReaders()
	ticker := time.NewTicker(mergeWindow)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return writeEvents(out, timeline.Merge(popAll(events)))
		case <-ticker.C:
			if err := writeEvents(out, timeline.Merge(popAll(events))); err != nil {
				return err
			}
		}
	}
}

// followProcess pushes the events of one process to the ring. A process sends all
// events that it still stores on each connection, so followProcess skips those that
// it has pushed before.
func followProcess(ctx context.Context, base, request string, events *ring.Ring[timeline.Event]) {
	lastSeq := make(map[timeline.Process]uint64)
	for ctx.Err() == nil {
		_ = streamEvents(ctx, base, request, true, func(e timeline.Event) {
			if e.Seq > lastSeq[e.Process] {
				lastSeq[e.Process] = e.Seq
				events.Push(e)
			}
		})
		select {
		case <-ctx.Done():
		case <-time.After(reconnectDelay):
		}
	}
}

// popAll removes and returns the events that are in the ring. It does not block.
func popAll(events *ring.Ring[timeline.Event]) []timeline.Event {
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	var popped []timeline.Event
	for {
		e, ok := events.Pop(cancelled)
		if !ok {
			return popped
		}
		popped = append(popped, e)
	}
}
