package configsync

import (
	"context"
	"time"

	"github.com/sesameswitch/sesameswitch/clock"

	"github.com/sesameswitch/sesameswitch/membership"
	"github.com/sesameswitch/sesameswitch/provider"
)

// electionPurpose identifies the election of the watchers of the configuration
// service.
const electionPurpose = "configuration watcher"

// watchState is the state of a watcher between two watches.
type watchState struct {
	// backoff is the mean wait after the next call that is not useful; watchOnce
	// defines which calls are useful.
	backoff time.Duration
	// refused is true while the store refuses the document of the configuration
	// service; refusedRevision is then its revision.
	refused         bool
	refusedRevision uint64
}

// watchLoop watches the configuration service while this process is elected. It
// starts after the first confirmation, so that a new process queries its peers
// before it applies a document of the configuration service, which may be stale.
func (s *Syncer) watchLoop(ctx context.Context) {
	if s.cfg.Source == nil || !s.awaitConfirmation(ctx) {
		return
	}
	for {
		wait := s.cfg.Timing.ElectionCheckInterval
		if s.isWatcher() {
			wait = s.watchOnce(ctx)
		} else {
			s.watch = watchState{backoff: s.cfg.Timing.MinBackoff}
		}
		if !clock.Sleep(ctx, s.jitter(wait)) {
			return
		}
	}
}

// awaitConfirmation waits for the first confirmation, at most for
// FirstConfirmationTimeout. It returns false when the context ends first.
func (s *Syncer) awaitConfirmation(ctx context.Context) bool {
	timer := time.NewTimer(s.cfg.Timing.FirstConfirmationTimeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-s.confirmed:
	case <-timer.C:
	}
	return true
}

// isWatcher reports whether this process is elected as a watcher now.
func (s *Syncer) isWatcher() bool {
	now := s.cfg.Clock.Now().UnixNano()
	epoch := uint64(now / int64(s.cfg.Timing.ElectionPeriod))
	return IsWatcher(s.cfg.Members.Self(), s.cfg.Members.VMs(), epoch)
}

// IsWatcher reports whether self is elected to watch the configuration service
// in an epoch. An epoch lasts for one ElectionPeriod.
func IsWatcher(self provider.VM, vms []provider.VM, epoch uint64) bool {
	return membership.IsElected(self, vms, electionPurpose, epoch, WatchersPerDataCentre)
}

// watchOnce watches the configuration service until the document changes or the
// watch times out. It returns the mean wait before the next call.
//
// A call is useful when the returned document is active afterwards, when the
// document did not change for at least MinBackoff, or when the call lasted until
// its timeout. After other calls the wait grows, so that a service that fails,
// returns at once or returns refused documents is called less often.
func (s *Syncer) watchOnce(ctx context.Context) time.Duration {
	timeout := s.watchTimeout()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	start := s.cfg.Clock.Now()
	s.counts.ServiceCalls.Add(1)
	doc, changed, err := s.cfg.Source.Watch(ctx, s.watchedRevision())
	elapsed := s.cfg.Clock.Now().Sub(start)
	useful := false
	switch {
	case err != nil:
		useful = ctx.Err() != nil && elapsed >= timeout
	case !changed:
		s.recordConfirmation(start)
		useful = elapsed >= s.cfg.Timing.MinBackoff
	default:
		s.recordConfirmation(start)
		useful = s.applyWatched(doc)
	}
	return s.nextBackoff(useful)
}

// watchTimeout returns the timeout of the next watch: the remaining time of the
// election period, but at least MinWatchTimeout and at most MaxWatchTimeout.
func (s *Syncer) watchTimeout() time.Duration {
	period := int64(s.cfg.Timing.ElectionPeriod)
	remaining := time.Duration(period - s.cfg.Clock.Now().UnixNano()%period)
	return max(min(remaining, s.cfg.Timing.MaxWatchTimeout), s.cfg.Timing.MinWatchTimeout)
}

// watchedRevision returns the last known revision of the configuration service.
// A watch waits for a different one.
func (s *Syncer) watchedRevision() uint64 {
	if s.watch.refused {
		return s.watch.refusedRevision
	}
	return s.revision.Load()
}

// nextBackoff returns the mean wait before the next call: MinBackoff after a
// useful call, otherwise a wait that doubles with each call, up to MaxBackoff.
func (s *Syncer) nextBackoff(useful bool) time.Duration {
	if useful {
		s.watch.backoff = s.cfg.Timing.MinBackoff
		return s.watch.backoff
	}
	s.counts.ServiceFailures.Add(1)
	backoff := s.watch.backoff
	s.watch.backoff = min(2*backoff, s.cfg.Timing.MaxBackoff)
	return backoff
}

// applyWatched applies a document from a watch of the configuration service and
// announces a new version. It reports whether the document is active.
func (s *Syncer) applyWatched(doc provider.Document) bool {
	verdict, _ := s.cfg.Store.Apply(doc.Body, OriginService)
	if verdict != Accepted && verdict != Same {
		s.watch.refused, s.watch.refusedRevision = true, doc.Revision
		return false
	}
	s.watch.refused = false
	s.revision.Store(doc.Revision)
	if verdict == Accepted {
		s.requestAnnouncement()
	}
	return true
}
