package configsync

import (
	"context"
	"time"

	"github.com/sesameswitch/sesameswitch/clock"

	"github.com/sesameswitch/sesameswitch/membership"
	"github.com/sesameswitch/sesameswitch/provider"
)

// electionPurpose names the election of the configuration service's watchers.
const electionPurpose = "configuration watcher"

// watchState is what a watcher remembers between two watches.
type watchState struct {
	// backoff is the mean wait before the next call.
	backoff time.Duration
	// refused is true while the service's document is not the one in force;
	// seen is then its revision.
	refused         bool
	refusedRevision uint64
}

// watchLoop watches the configuration service while this process is elected.
// It begins after the first confirmation, so that a process which just
// started asks its peers before it believes a service that may be stale.
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

// awaitConfirmation waits for the first confirmation, but not for long. It
// returns false when the context ends first.
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

// isWatcher reports whether this process is a watcher now.
func (s *Syncer) isWatcher() bool {
	now := s.cfg.Clock.Now().UnixNano()
	epoch := uint64(now / int64(s.cfg.Timing.ElectionPeriod))
	return IsWatcher(s.cfg.Members.Self(), s.cfg.Members.VMs(), epoch)
}

// IsWatcher reports whether self watches the configuration service in an
// epoch, which is one DutyPeriod.
func IsWatcher(self provider.VM, vms []provider.VM, epoch uint64) bool {
	return membership.IsElected(self, vms, electionPurpose, epoch, WatchersPerDataCentre)
}

// watchOnce waits once for a change at the configuration service. It returns
// the mean wait before the next call.
func (s *Syncer) watchOnce(ctx context.Context) time.Duration {
	timeout := s.watchTimeout()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	start := s.cfg.Clock.Now()
	s.counts.ServiceCalls.Add(1)
	doc, changed, err := s.cfg.Source.Watch(ctx, s.watchedRevision())
	took := s.cfg.Clock.Now().Sub(start)
	useful := false
	switch {
	case err != nil:
		useful = ctx.Err() != nil && took >= timeout
	case !changed:
		s.recordContact(start)
		useful = took >= s.cfg.Timing.MinBackoff
	default:
		s.recordContact(start)
		useful = s.applyWatched(doc)
	}
	return s.nextBackoff(useful)
}

// watchTimeout ends a watch at the latest when the watcher's turn is over.
func (s *Syncer) watchTimeout() time.Duration {
	period := int64(s.cfg.Timing.ElectionPeriod)
	left := time.Duration(period - s.cfg.Clock.Now().UnixNano()%period)
	return max(min(left, s.cfg.Timing.WatchTimeout), s.cfg.Timing.ServiceTimeout)
}

// watchedRevision returns the revision that a watch waits to see replaced.
func (s *Syncer) watchedRevision() uint64 {
	if s.watch.refused {
		return s.watch.refusedRevision
	}
	return s.revision.Load()
}

// nextBackoff grows the wait between calls while they bring nothing.
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

// applyWatched offers a document of the configuration service to the
// store and announces it when it is new. It reports whether the document is
// in force.
func (s *Syncer) applyWatched(doc provider.Document) bool {
	verdict, _ := s.cfg.Store.Apply(doc.Body, SourceService)
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
