package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sesameswitch/sesameswitch/clock"
)

const (
	// pauseBeat is how often the guard notes the time.
	pauseBeat = 100 * time.Millisecond
	// pauseLimit is how old the last note may be before the process counts as
	// having been frozen.
	pauseLimit = time.Second
)

// pauseGuard finds out that the process was frozen for a while.
type pauseGuard struct {
	clock  clock.Clock
	beat   atomic.Int64
	frozen atomic.Bool
}

func newPauseGuard(c clock.Clock) *pauseGuard {
	g := &pauseGuard{clock: c}
	g.beat.Store(c.Now().UnixNano())
	return g
}

// watch notes the time until the context ends.
func (g *pauseGuard) watch(ctx context.Context) error {
	ticker := time.NewTicker(pauseBeat)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			g.note()
		}
	}
}

func (g *pauseGuard) note() {
	if g.late() {
		g.frozen.Store(true)
	}
	g.beat.Store(g.clock.Now().UnixNano())
}

func (g *pauseGuard) late() bool {
	return g.clock.Now().Sub(time.Unix(0, g.beat.Load())) > pauseLimit
}

// paused reports whether the process was frozen since the last clear.
func (g *pauseGuard) paused() bool {
	return g.frozen.Load() || g.late()
}

// clear forgets the last pause.
func (g *pauseGuard) clear() {
	g.beat.Store(g.clock.Now().UnixNano())
	g.frozen.Store(false)
}
