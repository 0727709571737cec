package gateway

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/singleflight"

	"github.com/sesameswitch/sesameswitch/clock"
	"github.com/sesameswitch/sesameswitch/directory"
	"github.com/sesameswitch/sesameswitch/routes"
)

// ErrCompacted says that the store has forgotten what a watch asks for.
var ErrCompacted = errors.New("gateway: the store has no history from there")

const (
	// watchWait is how long a watch waits: the view must be confirmed a few
	// times within the bound for keys that were taken away.
	watchWait = 1500 * time.Millisecond
	// watchSlack is what a watch may take besides: a slow store and a lost
	// packet.
	watchSlack = 900 * time.Millisecond
	// listTimeout bounds a whole listing.
	listTimeout = 2 * time.Second
	// refreshTimeout bounds a read of the configuration that a request waits
	// for.
	refreshTimeout = 400 * time.Millisecond
	// refreshPause is how long no refresh is tried after one failed: requests
	// that need one come faster than a store recovers, and refused calls are
	// priced too.
	refreshPause = 250 * time.Millisecond
	// firstPause and maxPause bound the pause after a failed call.
	firstPause = 50 * time.Millisecond
	maxPause   = 400 * time.Millisecond
	// awayAfter is how long the store must not have answered for entries that
	// vanished meanwhile to count as lapsed.
	awayAfter = 700 * time.Millisecond
	// sweepInterval is how often lapsed entries are looked at.
	sweepInterval = 250 * time.Millisecond
)

// View is a gateway's knowledge of the platform's store: the configuration in
// force, the directory, and how old they are.
type View struct {
	store     Store
	directory *directory.Directory
	elapsed   clock.Elapsed
	log       *logrus.Entry
	table     atomic.Pointer[routes.Table]
	// confirmedAt is when the configuration in force was last known to be the
	// newest; the value is of the clock that goes on while suspended.
	confirmedAt atomic.Int64
	answeredAt  time.Duration
	away        bool
	mu          sync.Mutex
	refreshes   singleflight.Group
	// refreshFailed is when a refresh failed last.
	refreshFailed atomic.Int64
	// unread says that a newer table than the one in force could not be read.
	unread atomic.Bool
	// gone is told of backend servers that are gone, accepted of each table
	// that comes into force.
	gone     func(id string)
	accepted func(t *routes.Table)
	listed   atomic.Bool
}

// NewView returns a view that knows nothing.
func NewView(store Store, dir *directory.Directory, elapsed clock.Elapsed, log *logrus.Entry, gone func(string), accepted func(*routes.Table)) *View {
	return &View{store: store, directory: dir, elapsed: elapsed, log: log, gone: gone, accepted: accepted, away: true}
}

// Table returns the configuration in force, or nil.
func (v *View) Table() *routes.Table { return v.table.Load() }

// Age is how long ago the configuration in force was confirmed.
func (v *View) Age() time.Duration {
	at := v.confirmedAt.Load()
	if at == 0 {
		return time.Duration(1<<62 - 1)
	}
	return v.elapsed() - time.Duration(at)
}

// Listed reports whether the directory was read once.
func (v *View) Listed() bool { return v.listed.Load() }

// confirm notes that the table in force was the newest at the time, unless a
// newer one is known that could not be read: its keys are not known.
func (v *View) confirm(at time.Duration) {
	if v.unread.Load() {
		return
	}
	for {
		last := v.confirmedAt.Load()
		if int64(at) <= last || v.confirmedAt.CompareAndSwap(last, int64(at)) {
			return
		}
	}
}

// accept puts a table into force unless it is older than the one in force.
func (v *View) accept(t *routes.Table, source string) {
	if t == nil {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	old := v.table.Load()
	if old != nil && t.Version <= old.Version {
		if t.Version < old.Version {
			v.log.WithFields(logrus.Fields{"event": "config_refused", "version": t.Version, "in_force": old.Version, "source": source}).Warn("an older configuration was not taken")
		}
		return
	}
	v.table.Store(t.WithRetiredFrom(old))
	v.accepted(t)
	v.log.WithFields(logrus.Fields{"event": "config_accepted", "version": t.Version, "source": source, "routes": len(t.Routes())}).Info("configuration in force")
}

// Refresh reads the configuration if it was not confirmed within the age. It
// reports whether it is now known to be that fresh.
func (v *View) Refresh(ctx context.Context, age time.Duration) bool {
	if v.Age() <= age {
		return true
	}
	began := v.elapsed()
	if failed := v.refreshFailed.Load(); failed > 0 && began-time.Duration(failed) < refreshPause {
		return false
	}
	done := v.refreshes.DoChan("configuration", func() (any, error) {
		ctx, cancel := context.WithTimeout(context.Background(), refreshTimeout)
		defer cancel()
		at := v.elapsed()
		table, err := v.store.Configuration(ctx)
		if err != nil {
			v.refreshFailed.Store(int64(v.elapsed()))
			return nil, err
		}
		v.accept(table, "refresh")
		v.unread.Store(false)
		v.confirm(at)
		return nil, nil
	})
	select {
	case <-ctx.Done():
		return false
	case result := <-done:
		if result.Err != nil {
			v.log.WithError(result.Err).WithField("event", "config_refresh_failed").Debug("the configuration could not be read")
			return false
		}
		// A read that was under way already may be older than this call.
		return time.Duration(v.confirmedAt.Load()) >= began-age
	}
}

// Run keeps the view up to date until the context ends.
func (v *View) Run(ctx context.Context) {
	pause := firstPause
	for ctx.Err() == nil {
		err := v.step(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			pause = firstPause
			continue
		}
		v.failed(err)
		clock.Sleep(ctx, pause)
		pause = min(2*pause, maxPause)
	}
}

// step makes one call to the store.
func (v *View) step(ctx context.Context) error {
	if !v.listed.Load() {
		return v.list(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
	defer cancel()
	began := v.elapsed()
	delta, err := v.store.Watch(ctx, v.directory.Revision(), watchWait)
	if errors.Is(err, ErrCompacted) {
		v.log.WithField("event", "store_compacted").Info("the store forgot its history; listing again")
		v.answered()
		return v.list(ctx)
	}
	if err != nil {
		return err
	}
	v.answered()
	for _, t := range delta.Tables {
		v.accept(t, "watch")
	}
	if len(delta.Tables) > 0 || delta.TableUnreadable {
		v.unread.Store(delta.TableUnreadable)
	}
	v.confirm(began)
	v.tell(v.directory.Apply(time.Unix(0, int64(v.elapsed())), delta.ServerChanges, delta.Revision), delta.EntryErrors)
	return nil
}

// list reads everything.
func (v *View) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	began := v.elapsed()
	snapshot, err := v.store.List(ctx)
	if err != nil {
		return err
	}
	v.answered()
	v.accept(snapshot.Table, "list")
	if snapshot.Table != nil {
		v.unread.Store(false)
		v.confirm(began)
	}
	events, fresh := v.directory.Replace(time.Unix(0, int64(v.elapsed())), snapshot.ServerChanges, snapshot.Revision)
	if !fresh {
		v.log.WithFields(logrus.Fields{"event": "list_refused", "revision": snapshot.Revision}).Warn("a listing older than what is known was not taken")
		return errors.New("gateway: the listing is older than what is known")
	}
	v.listed.Store(true)
	v.tell(events, snapshot.EntryErrors)
	return nil
}

// answered notes an answer of the store.
func (v *View) answered() {
	now := v.elapsed()
	if v.away {
		if v.answeredAt > 0 && now-v.answeredAt > awayAfter {
			v.directory.StoreRecovered(time.Unix(0, int64(now)))
		}
		away := time.Duration(0)
		if v.answeredAt > 0 {
			away = now - v.answeredAt
		}
		v.log.WithFields(logrus.Fields{"event": "store_regained", "away_ms": away.Milliseconds()}).Info("the store answers")
		v.away = false
	}
	v.answeredAt = now
}

// failed notes a call that was not answered.
func (v *View) failed(err error) {
	if v.away {
		return
	}
	v.away = true
	v.log.WithError(err).WithFields(logrus.Fields{"event": "store_lost", "age_ms": v.Age().Milliseconds()}).Warn("the store does not answer")
}

// tell logs what the directory believes now.
func (v *View) tell(events []directory.Event, faults []error) {
	for _, e := range events {
		fields := logrus.Fields{"event": "backend_" + string(e.State), "server": e.ID, "revision": v.directory.Revision()}
		if e.Server != nil {
			fields["service"], fields["address"], fields["data_centre"] = e.Server.Service, e.Server.Address, e.Server.DataCentre
		}
		v.log.WithFields(fields).Info("backend server")
		if e.State == directory.StateRemoved {
			v.gone(e.ID)
		}
	}
	for _, fault := range faults {
		v.log.WithError(fault).WithField("event", "entry_unreadable").Warn("an entry of the store was passed over")
	}
}

// Sweep removes entries that lapsed, until the context ends.
func (v *View) Sweep(ctx context.Context) {
	clock.Every(ctx, sweepInterval, func() {
		v.tell(v.directory.Sweep(time.Unix(0, int64(v.elapsed()))), nil)
	})
}
