package ctl

import (
	"context"
	"sync"
	"time"

	"github.com/sesameswitch/sesameswitch/ring"
	"github.com/sesameswitch/sesameswitch/timeline"
)

// mergeWindow is how long events are gathered before they are put in order.
const mergeWindow = 250 * time.Millisecond

// redialPause is the time between two tries to reach a process.
const redialPause = time.Second

// followedEvents bounds the events gathered in one window.
const followedEvents = 65536

// follow prints events as they happen until ctx ends. Events are in order
// within each window; one that arrives later is printed when it arrives. A
// process that restarts or breaks off is asked again.
func follow(ctx context.Context, out *Output, urls []string, request string) error {
	events := ring.New[timeline.Event](followedEvents)
	var readers sync.WaitGroup
	for _, u := range urls {
		readers.Go(func() { followOne(ctx, u, request, events) })
	}
	defer readers.Wait()
	ticker := time.NewTicker(mergeWindow)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return writeEvents(out, timeline.Merge(drain(events)))
		case <-ticker.C:
			if err := writeEvents(out, timeline.Merge(drain(events))); err != nil {
				return err
			}
		}
	}
}

// followOne reads one process's events, from the first it still holds, and
// drops those that it has passed on before.
func followOne(ctx context.Context, base, request string, events *ring.Ring[timeline.Event]) {
	passed := make(map[timeline.Process]uint64)
	for ctx.Err() == nil {
		_ = streamEvents(ctx, base, request, true, func(e timeline.Event) {
			if e.Seq > passed[e.Process] {
				passed[e.Process] = e.Seq
				events.Push(e)
			}
		})
		select {
		case <-ctx.Done():
		case <-time.After(redialPause):
		}
	}
}

// drain takes all events that wait now.
func drain(events *ring.Ring[timeline.Event]) []timeline.Event {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	var taken []timeline.Event
	for {
		e, ok := events.Pop(ended)
		if !ok {
			return taken
		}
		taken = append(taken, e)
	}
}
