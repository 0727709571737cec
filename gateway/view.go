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
	"github.com/sesameswitch/sesameswitch/storeera"
)

// ErrCompacted reports that the store no longer has the history from which a
// watch should start.
var ErrCompacted = errors.New("gateway: the store no longer has the history after the requested revision")

// ErrUnreadable reports that the store has answered a call and that the answer could not be read
// completely, or not be decoded.
var ErrUnreadable = errors.New("gateway: the answer of the store cannot be read")

const (
	// watchIntervalShare is the interval between the starts of two watches, as a part
	// of the time within which a configuration must be applied. A fleet of hundreds
	// of servers renews its entries all the time, so that each watch returns at once;
	// calls to the store are billed.
	watchIntervalShare = 0.4
	// maxWatchInterval bounds that interval, as each watch also confirms the keys.
	maxWatchInterval = 2 * time.Second
	// hastenInterval is the least time between two watches that are hastened.
	hastenInterval = 200 * time.Millisecond
	// listTimeout limits a complete listing.
	listTimeout = 2 * time.Second
	// refreshTimeout limits a read of the configuration for which a request
	// waits.
	refreshTimeout = 400 * time.Millisecond
	// refreshBackoff is the time after a failed refresh during which no other one
	// starts. Requests that need a refresh arrive faster than a store recovers,
	// and calls that the store refuses are billed too.
	refreshBackoff = 250 * time.Millisecond
	// minBackoff and maxBackoff limit the backoff after a failed call.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
	// sweepInterval is how often entries with expired leases are checked.
	sweepInterval = 250 * time.Millisecond
)

// View is a gateway's view of the platform's store: the active configuration,
// the directory, and the age of the configuration.
type View struct {
	store     Store
	directory *directory.Directory
	// elapsed is the clock for all times of the view and of its directory. It
	// also advances while the VM is suspended.
	elapsed clock.Elapsed
	// maxConfigDelay returns the time within which a configuration must be applied;
	// zero means that there is no limit to save calls for.
	maxConfigDelay func() time.Duration
	log            *logrus.Entry
	table          atomic.Pointer[routes.Table]
	// confirmedAt is when the active configuration was last known to be the
	// newest, in nanoseconds of the clock elapsed; zero if never.
	confirmedAt atomic.Int64
	// lastResponseAt is when the store last responded, zero if never; unavailable
	// reports whether it has not responded since the start or since the last
	// failed call. Only Run uses them.
	lastResponseAt time.Duration
	unavailable    bool
	// lateness is how much later than expected the last answer to a watch came. Only Run uses
	// it.
	lateness time.Duration
	// mu serializes the activation of tables.
	mu sync.Mutex
	// eraMu guards eras and confirmations: an answer confirms the active configuration
	// only while its era is the newest.
	eraMu sync.Mutex
	eras  storeera.Tracker
	// ignoredAnswers limits the log lines about ignored answers.
	ignoredAnswers logInterval
	// listedEra is the era of the last complete listing. Only Run uses it.
	listedEra storeera.Era
	// eraChanged ends the wait of a watch when another call has seen a newer era.
	eraChanged chan struct{}
	// hastened ends the pause before the next watch; hastenedAt is when that last happened, in
	// the time of the clock elapsed. Only Run uses hastenedAt.
	hastened   chan struct{}
	hastenedAt time.Duration
	// relisted is closed when a newer era is listed completely; nil if none is missing.
	relisted chan struct{}
	// refreshes lets concurrent calls of Refresh share one read of the store.
	refreshes singleflight.Group
	// versionReads lets concurrent calls of ConfirmSoleVersion share one read of the store.
	versionReads singleflight.Group
	// refreshFailedAt is when a refresh last failed, in nanoseconds of the clock
	// elapsed; zero if never.
	refreshFailedAt atomic.Int64
	// newerUnreadable reports whether a table newer than the active one could not
	// be decoded.
	newerUnreadable atomic.Bool
	// onRemoved is called for each backend server that was removed, onActivated
	// for each table that becomes active.
	onRemoved   func(id string)
	onActivated func(t *routes.Table)
	// HeartbeatInterval, if set before Run, returns the interval at which backend servers renew
	// the leases of their entries; zero if it is not known.
	HeartbeatInterval func() time.Duration
	// OnEra, if set before Run, is called with the era and the verdict of each answer
	// of the store that is not current.
	OnEra func(era storeera.Era, verdict storeera.Verdict)
	// listed reports whether the directory was listed completely at least once.
	listed atomic.Bool
}

// NewView returns an empty view.
func NewView(store Store, dir *directory.Directory, elapsed clock.Elapsed, maxConfigDelay func() time.Duration, log *logrus.Entry, onRemoved func(string), onActivated func(*routes.Table)) *View {
	return &View{store: store, directory: dir, elapsed: elapsed, maxConfigDelay: maxConfigDelay, log: log, onRemoved: onRemoved, onActivated: onActivated, unavailable: true, eraChanged: make(chan struct{}, 1), hastened: make(chan struct{}, 1)}
}

// Table returns the active configuration, or nil.
func (v *View) Table() *routes.Table { return v.table.Load() }

// Age returns how long ago the active configuration was confirmed to be the
// newest. If that never happened, the age exceeds any limit.
func (v *View) Age() time.Duration {
	at := v.confirmedAt.Load()
	if at == 0 {
		return time.Duration(1<<62 - 1)
	}
	return v.elapsed() - time.Duration(at)
}

// Unreachable reports whether the last read of the configuration for which a request waited has
// failed, and none has succeeded since.
func (v *View) Unreachable() bool {
	failed := v.refreshFailedAt.Load()
	return failed > 0 && failed > v.confirmedAt.Load()
}

// Listed reports whether the directory has been listed completely at least once.
func (v *View) Listed() bool { return v.listed.Load() }

// confirm records that the active table was the newest at the given time, as an answer
// of the given era showed, unless a newer era is known meanwhile. If a newer table
// exists that could not be decoded, confirm does nothing, because the keys of that
// table are unknown.
func (v *View) confirm(at time.Duration, era storeera.Era) {
	v.eraMu.Lock()
	defer v.eraMu.Unlock()
	if v.newerUnreadable.Load() || !v.isPresent(era) {
		return
	}
	v.confirmedAt.Store(max(v.confirmedAt.Load(), int64(at)))
}

// activate makes a table the active one if it is newer than the active table.
func (v *View) activate(t *routes.Table, source string) {
	if t == nil {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	old := v.table.Load()
	if old != nil && t.Version <= old.Version {
		if t.Version < old.Version {
			v.log.WithFields(logrus.Fields{"event": "config_refused", "version": t.Version, "in_force": old.Version, "source": source}).Warn("older configuration refused")
		}
		return
	}
	v.table.Store(t.WithRetiredFrom(old))
	v.onActivated(t)
	v.log.WithFields(logrus.Fields{"event": "config_accepted", "version": t.Version, "source": source, "routes": len(t.Routes()), "keys_required": t.RequiresKeys()}).Info("new configuration active")
	if old != nil && old.RequiresKeys() && !t.RequiresKeys() {
		v.log.WithFields(logrus.Fields{"event": "keys_not_required", "version": t.Version, "previous": old.Version}).Warn("the configuration no longer defines client accounts; requests need no key")
	}
}

// Refresh reports whether the active configuration was confirmed at most maxAge
// before the call, or later. If it was not, Refresh first reads the configuration
// from the store, unless such a read failed within the last refreshBackoff.
func (v *View) Refresh(ctx context.Context, maxAge time.Duration) bool {
	if v.Age() <= maxAge {
		return true
	}
	start := v.elapsed()
	if failed := v.refreshFailedAt.Load(); failed > 0 && start-time.Duration(failed) < refreshBackoff {
		return false
	}
	done := v.refreshes.DoChan("configuration", func() (any, error) {
		ctx, cancel := context.WithTimeout(context.Background(), refreshTimeout)
		defer cancel()
		at := v.elapsed()
		read, err := v.store.Configuration(ctx)
		if err == nil && v.observeEra(read.Era) != storeera.Current {
			err = errOtherEra
		}
		if err != nil {
			v.observeError(err)
			v.reconnect(err)
			v.refreshFailedAt.Store(int64(v.elapsed()))
			return nil, err
		}
		v.activate(read.Table, "refresh")
		v.newerUnreadable.Store(false)
		v.confirm(at, read.Era)
		return nil, nil
	})
	select {
	case <-ctx.Done():
		return false
	case result := <-done:
		if result.Err != nil {
			v.log.WithError(result.Err).WithField("event", "config_refresh_failed").Debug("configuration refresh failed")
			return false
		}
		// A read that another request started may have begun before this call.
		return time.Duration(v.confirmedAt.Load()) >= start-maxAge
	}
}

// watchInterval returns the least time between the starts of two calls to the
// store that succeed.
func (v *View) watchInterval() time.Duration {
	return min(maxWatchInterval, time.Duration(watchIntervalShare*float64(v.maxConfigDelay())))
}

// Run keeps the view up to date until the context ends: a change of the store is
// known within watchInterval and the time of a call. It retries failed calls to the
// store with exponential backoff.
func (v *View) Run(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		start := v.elapsed()
		err := v.callStore(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			backoff = minBackoff
			v.pause(ctx, start+v.watchInterval()-v.elapsed())
			continue
		}
		v.observeError(err)
		v.reconnect(err)
		v.recordFailure(err)
		clock.Sleep(ctx, backoff)
		backoff = min(2*backoff, maxBackoff)
	}
}

// Hasten starts the next watch soon: a response has shown that the servers that are listed have
// ended.
func (v *View) Hasten() {
	select {
	case v.hastened <- struct{}{}:
	default: // a notification is pending
	}
}

// pause waits for a duration, or until another call has seen a newer era or the view is
// hastened, which happens once in hastenInterval at most.
func (v *View) pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	hastened := v.hastened
	if v.hastenedAt > 0 && v.elapsed()-v.hastenedAt < hastenInterval {
		hastened = nil
	}
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-v.eraChanged:
	case <-hastened:
		v.hastenedAt = v.elapsed()
	}
}

// mustList reports whether a complete listing of the present era is missing.
func (v *View) mustList() bool {
	v.eraMu.Lock()
	defer v.eraMu.Unlock()
	return !v.listed.Load() || !v.isPresent(v.listedEra)
}

// callStore makes one call to the store: a listing until one of the present era has
// succeeded, then a watch. If the watch fails with ErrCompacted or states a newer era,
// a listing follows.
func (v *View) callStore(ctx context.Context) error {
	select {
	case <-v.eraChanged: // mustList reports what has to be done
	default:
	}
	if v.mustList() {
		return v.list(ctx)
	}
	answer := v.watch(ctx)
	delta, err := answer.delta, answer.err
	if errors.Is(err, ErrCompacted) {
		v.log.WithField("event", "store_compacted").Info("the store no longer has the history of the watch; listing again")
		v.observeError(err)
		v.recordResponse()
		return v.list(ctx)
	}
	if errors.Is(err, ErrUnreadable) {
		// The same watch would be answered with the same changes and more.
		v.log.WithError(err).WithFields(logrus.Fields{"event": "watch_unreadable", "after": v.directory.Revision()}).Warn("the answer to a watch cannot be read; listing again")
		v.observeError(err)
		return v.list(ctx)
	}
	if err != nil {
		return err
	}
	v.recordResponse()
	switch v.observeEra(delta.Era) {
	case storeera.Current:
	case storeera.Newer:
		return v.list(ctx)
	default:
		return errOtherEra
	}
	for _, t := range delta.Tables {
		v.activate(t, "watch")
	}
	if len(delta.Tables) > 0 || delta.TableUnreadable {
		v.newerUnreadable.Store(delta.TableUnreadable)
	}
	v.confirm(answer.start, delta.Era)
	now := time.Unix(0, int64(v.elapsed()))
	v.reportEvacuations(v.directory.ApplyEvacuations(now, delta.Evacuations), logrus.Fields{"source": "watch"})
	v.reportEvents(v.directory.Apply(now, delta.ServerChanges, delta.Revision), delta.EntryErrors)
	return nil
}

// list reads the complete state of the store.
func (v *View) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	start := v.elapsed()
	snapshot, err := v.store.List(ctx)
	if err != nil {
		return err
	}
	v.recordResponse()
	if verdict := v.observeEra(snapshot.Era); verdict != storeera.Current && verdict != storeera.Newer {
		return errOtherEra
	}
	v.activate(snapshot.Table, "list")
	now := time.Unix(0, int64(v.elapsed()))
	restored := v.listed.Load() && snapshot.Era != v.listedEra
	if !restored && snapshot.Revision < v.directory.Revision() {
		v.log.WithFields(logrus.Fields{"event": "list_refused", "revision": snapshot.Revision}).Warn("listing older than the directory refused")
		return errors.New("gateway: the listing is older than the directory")
	}
	// Before the servers, so that none of an evacuated data centre is usable in between.
	v.reportEvacuations(v.directory.ReplaceEvacuations(now, snapshot.Evacuations, snapshot.Revision, restored), logrus.Fields{"source": "list"})
	replace := v.directory.Replace
	if restored {
		replace = v.directory.Restore
	}
	events, _ := replace(now, snapshot.ServerChanges, snapshot.Revision)
	v.listed.Store(true)
	v.listedEra = snapshot.Era
	// A store that was restored may have lost the configuration that is active.
	if snapshot.Table != nil || v.table.Load() != nil && snapshot.Era.Stated {
		v.newerUnreadable.Store(false)
		v.confirm(start, snapshot.Era)
	}
	v.endRelisting(snapshot.Era)
	v.reportEvents(events, snapshot.EntryErrors)
	return nil
}

// reportEvacuations logs which data centres were evacuated and where that has ended.
func (v *View) reportEvacuations(events []directory.EvacuationEvent, source logrus.Fields) {
	for _, e := range events {
		entry := v.log.WithFields(source).WithFields(logrus.Fields{"data_centre": e.DataCentre, "revision": e.Revision, "servers": e.Servers})
		if e.Ended {
			entry.WithField("event", "data_centre_restored").Info("evacuation of a data centre has ended")
			continue
		}
		entry.WithField("event", "data_centre_evacuated").Info("data centre is evacuated; no request is sent to its backend servers")
	}
}

// ColdFor returns for how long a backend server is expected to stay cold, as far as the store
// shows; coldTime is how long servers of its service are cold after they start.
func (v *View) ColdFor(s *directory.BackendServer, coldTime time.Duration) time.Duration {
	return v.directory.ColdFor(time.Unix(0, int64(v.elapsed())), s, coldTime)
}

// reportEvents logs state changes in the directory and undecodable entries, and
// calls onRemoved for each removed backend server.
func (v *View) reportEvents(events []directory.Event, entryErrors []error) {
	for _, e := range events {
		fields := logrus.Fields{"event": "backend_" + string(e.State), "server": e.ID, "revision": v.directory.Revision()}
		if e.Server != nil {
			fields["service"], fields["address"], fields["data_centre"] = e.Server.Service, e.Server.Address, e.Server.DataCentre
			fields["software_version"], fields["started_at_ms"] = e.Server.SoftwareVersion, e.Server.StartedAtMs
		}
		v.log.WithFields(fields).Info("backend server state changed")
		if e.State == directory.StateRemoved {
			v.onRemoved(e.ID)
		}
	}
	for _, err := range entryErrors {
		v.log.WithError(err).WithField("event", "entry_unreadable").Warn("undecodable entry of the store ignored")
	}
}

// MarkLeaving records that a backend server has stated in a response that it is
// leaving.
func (v *View) MarkLeaving(s *directory.BackendServer) {
	event, changed := v.directory.MarkLeaving(time.Unix(0, int64(v.elapsed())), s)
	if !changed {
		return
	}
	v.log.WithFields(logrus.Fields{"event": "backend_leaving", "server": s.ID, "service": s.Service, "address": s.Address, "age_ms": 0}).Info("backend server states that it is leaving")
	v.reportEvents([]directory.Event{event}, nil)
}

// Sweep periodically removes entries with expired leases until the context ends.
func (v *View) Sweep(ctx context.Context) {
	clock.Every(ctx, sweepInterval, func() {
		v.reportEvents(v.directory.Sweep(time.Unix(0, int64(v.elapsed()))), nil)
	})
}
