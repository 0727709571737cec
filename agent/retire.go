package agent

import (
	"time"

	"github.com/sesameswitch/sesameswitch/agentapi"
	"github.com/sesameswitch/sesameswitch/outcome"
	"github.com/sesameswitch/sesameswitch/timeline"
)

// cancel gives up a run. It reports whether the run is known.
func (s *scheduler) cancel(now time.Time, args *agentapi.CancelArgs) bool {
	r := s.find(args.ID, args.Account)
	if r == nil {
		return false
	}
	s.giveUp(now, r)
	return true
}

func (s *scheduler) giveUp(now time.Time, r *run) {
	if r.keyed || r.life.Final() {
		return
	}
	if s.queue.Remove(r.args.ID) != nil {
		s.refuse(now, r, outcome.Refuse(outcome.ReasonCancelled, "the caller gave up"))
		return
	}
	s.note(timeline.RunCancelled, r, "", timeline.Attributes{})
	r.cancel(nil)
}

// enter changes the agent's state.
func (s *scheduler) enter(now time.Time, state agentapi.State) {
	if s.state == agentapi.StateDraining {
		return
	}
	s.state = state
	if state != agentapi.StateDraining {
		return
	}
	s.leavingAt = now
	if s.queue == nil {
		return
	}
	s.handBack(now, func(r *run) bool { return !r.keyed })
}

// handBack refuses the queued runs that the filter names.
func (s *scheduler) handBack(now time.Time, filter func(*run) bool) {
	s.runs.Range(func(_, value any) bool {
		r := value.(*run)
		if r.life.State() == "queued" && filter(r) {
			s.queue.Remove(r.args.ID)
			s.refuse(now, r, outcome.Refuse(outcome.ReasonDraining, "the agent is leaving"))
		}
		return true
	})
}

// tick looks after leases, leaving and memory.
func (s *scheduler) tick(now time.Time) {
	if s.state == agentapi.StateDraining && s.queue != nil && now.Sub(s.leavingAt) > leaveGrace {
		s.handBack(now, func(*run) bool { return true })
	}
	if now.Sub(s.forgotten) < time.Second {
		return
	}
	s.forgotten = now
	s.endLeases(now)
	s.forget(now)
	s.entries.forget(now, slowCallerLease)
}

// endLeases gives up repeatable runs that no entry reads any more, and runs at
// a backend server that fell silent: a run that may not be repeated has no
// other bound, and would hold its slot for ever.
func (s *scheduler) endLeases(now time.Time) {
	s.runs.Range(func(_, value any) bool {
		r := value.(*run)
		if !r.life.Final() && s.abandoned(now, r) {
			s.giveUp(now, r)
		}
		if s.running[r.args.ID] == r && r.silent(now) > backendSilence {
			s.note(timeline.RunCancelled, r, errSilent.Error(), timeline.Attributes{})
			r.cancel(errSilent)
		}
		return true
	})
}

// abandoned reports whether nobody waits for a run any more. An entry that
// lives may be held up by a caller that reads slowly.
func (s *scheduler) abandoned(now time.Time, r *run) bool {
	unread := r.unread(now)
	if s.entries.silence(r.args.Entry, now) > readLease {
		return unread > readLease
	}
	return unread > slowCallerLease
}

// forget drops answers that nobody will read again.
func (s *scheduler) forget(now time.Time) {
	kept := s.ended[:0]
	for _, r := range s.ended {
		if r.over(now) {
			s.runs.CompareAndDelete(r.args.ID, r)
			continue
		}
		kept = append(kept, r)
	}
	clear(s.ended[len(kept):])
	s.ended = kept
	if s.table == nil || s.table.RemoveExpired(now) == 0 {
		return
	}
	limit := s.view.Manifest.Limits.KeyValidity + keyFutureSkew
	over := func(r *run) bool { return now.Sub(r.arrived) > limit }
	s.kept.expire(over)
	s.runs.Range(func(id, value any) bool {
		r := value.(*run)
		if r.keyed && r.life.Final() && over(r) {
			s.runs.Delete(id)
		}
		return true
	})
}

// delivered reports whether no answer still waits for its reader.
func (s *scheduler) delivered(now time.Time) bool {
	waiting := false
	s.runs.Range(func(_, value any) bool {
		r := value.(*run)
		waiting = !r.delivered.Load() && r.unread(now) < readLease
		return !waiting
	})
	return !waiting
}
