package agent

import (
	"time"

	"github.com/sesameswitch/sesameswitch/agentapi"
	"github.com/sesameswitch/sesameswitch/outcome"
	"github.com/sesameswitch/sesameswitch/timeline"
)

// cancel cancels a run. It reports whether the run exists.
func (s *scheduler) cancel(now time.Time, args *agentapi.CancelArgs) bool {
	r := s.find(args.ID, args.Account)
	if r == nil {
		return false
	}
	s.cancelRun(now, r)
	return true
}

// cancelRun refuses a queued run and interrupts a running one. It has no effect on
// at-most-once runs and on runs that have ended.
func (s *scheduler) cancelRun(now time.Time, r *run) {
	if r.keyed || r.machine.Final() {
		return
	}
	if s.queue.Remove(r.args.ID) != nil {
		s.refuseRun(now, r, outcome.Refuse(outcome.ReasonCancelled, "the caller gave up"))
		return
	}
	s.record(timeline.RunCancelled, r, "", timeline.Attributes{})
	r.cancel(nil)
}

// setState changes the agent's state and, when the agent starts to drain, refuses
// the queued idempotent runs. An agent never leaves the state draining.
func (s *scheduler) setState(now time.Time, state agentapi.State) {
	if s.state == agentapi.StateDraining {
		return
	}
	s.state = state
	if state != agentapi.StateDraining {
		return
	}
	s.drainingSince = now
	if s.queue == nil {
		return
	}
	s.refuseQueued(now, func(r *run) bool { return !r.keyed })
}

// refuseQueued refuses the queued runs that the filter selects, because the agent
// is draining.
func (s *scheduler) refuseQueued(now time.Time, filter func(*run) bool) {
	s.runs.Range(func(_, value any) bool {
		r := value.(*run)
		if r.machine.State() == "queued" && filter(r) {
			s.queue.Remove(r.args.ID)
			s.refuseRun(now, r, outcome.Refuse(outcome.ReasonDraining, "the agent is leaving"))
		}
		return true
	})
}

// tick refuses the queued at-most-once runs once the drain grace has passed. Once
// per second it cancels abandoned runs and runs whose backend server is silent, and
// removes ended runs and the records of silent entries.
func (s *scheduler) tick(now time.Time) {
	if s.state == agentapi.StateDraining && s.queue != nil && now.Sub(s.drainingSince) > keyedDrainGrace {
		s.refuseQueued(now, func(*run) bool { return true })
	}
	if now.Sub(s.lastCleanupAt) < time.Second {
		return
	}
	s.lastCleanupAt = now
	s.expireLeases(now)
	s.removeEnded(now)
	s.entries.removeStale(now, slowCallerLease)
}

// expireLeases cancels abandoned idempotent runs, and all runs whose backend server
// has been silent for maxBackendSilence. The latter is the only time limit of an
// at-most-once run, which would otherwise hold its slot forever.
func (s *scheduler) expireLeases(now time.Time) {
	s.runs.Range(func(_, value any) bool {
		r := value.(*run)
		if !r.machine.Final() && s.abandoned(now, r) {
			s.cancelRun(now, r)
		}
		if s.running[r.args.ID] == r && r.sinceLastData(now) > maxBackendSilence {
			s.record(timeline.RunCancelled, r, errBackendSilent.Error(), timeline.Attributes{})
			r.cancel(errBackendSilent)
		}
		return true
	})
}

// abandoned reports whether the response of a run has not been read for the
// duration of its lease. The lease is longer while the entry is alive, because a
// slow caller delays the reads of its entry.
func (s *scheduler) abandoned(now time.Time, r *run) bool {
	sinceLastRead := r.sinceLastRead(now)
	if s.entries.sinceLastSeen(r.args.Entry, now) > readLease {
		return sinceLastRead > readLease
	}
	return sinceLastRead > slowCallerLease
}

// removeEnded removes the removable idempotent runs, and the ended at-most-once
// runs whose keys have expired.
func (s *scheduler) removeEnded(now time.Time) {
	remaining := s.ended[:0]
	for _, r := range s.ended {
		if r.removable(now) {
			s.runs.CompareAndDelete(r.args.ID, r)
			r.response.discard()
			continue
		}
		remaining = append(remaining, r)
	}
	clear(s.ended[len(remaining):])
	s.ended = remaining
	if s.table == nil || s.table.RemoveExpired(now) == 0 {
		return
	}
	// The validity starts at the minting time, which is at most keyFutureSkew
	// after the arrival. A run of this age therefore has an expired key.
	maxAge := s.view.Manifest.Limits.KeyValidity + keyFutureSkew
	expired := func(r *run) bool { return now.Sub(r.arrivedAt) > maxAge }
	s.stored.removeExpired(expired)
	s.runs.Range(func(id, value any) bool {
		r := value.(*run)
		if r.keyed && r.machine.Final() && expired(r) {
			s.runs.Delete(id)
		}
		return true
	})
}

// allDelivered reports whether every response was delivered or has not been read
// for readLease.
func (s *scheduler) allDelivered(now time.Time) bool {
	pending := false
	s.runs.Range(func(_, value any) bool {
		r := value.(*run)
		pending = !r.delivered.Load() && r.sinceLastRead(now) < readLease
		return !pending
	})
	return !pending
}
