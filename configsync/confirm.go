package configsync

import (
	"context"

	"golang.org/x/sync/errgroup"

	"github.com/sesameswitch/sesameswitch/provider"
)

// Confirmation says who was asked for the version in force.
type Confirmation struct {
	// Version is the version in force afterwards; 0 is none.
	Version uint64
	// Peers is how many other processes named the version that they have.
	Peers int
	// Service is true when the configuration service answered with a valid
	// document.
	Service bool
}

// Confirm asks several peers, and the configuration service, for their
// versions and takes the highest. A process calls it before it is ready and
// after a pause, when RecentlyConfirmed is false. It returns within ConfirmTimeout and a
// pull; when nobody answers, the version in force stays and counts as
// confirmed for ConfirmationTTL, since a process that is cut off goes on with the
// last good version. Concurrent callers share one confirmation.
func (s *Syncer) Confirm(ctx context.Context) Confirmation {
	begun := s.cfg.Clock.Now()
	s.confirmMu.Lock()
	defer s.confirmMu.Unlock()
	if s.lastContactNanos.Load() > begun.UnixNano() {
		return Confirmation{Version: s.cfg.Store.Version()}
	}
	ctx, cancel := context.WithTimeout(ctx, s.cfg.Timing.ConfirmTimeout)
	defer cancel()
	result := s.confirm(ctx)
	s.confirmedOnce.Do(func() { close(s.confirmed) })
	s.recordContact(s.cfg.Clock.Now())
	return result
}

// confirm asks peers and, when there is no version yet or no peer answers,
// the configuration service. The peers' version goes first, so that a stale
// service's document does not come into force before it.
func (s *Syncer) confirm(ctx context.Context) Confirmation {
	var fromService provider.Document
	read := false
	var questions errgroup.Group
	if s.cfg.Store.Current() == nil {
		questions.Go(func() error {
			fromService, read = s.readService(ctx)
			return nil
		})
	}
	asked := s.randomPeers(confirmPeers)
	answers := make([]VersionAdvert, len(asked))
	for i, vm := range asked {
		questions.Go(func() error {
			s.queryVersion(ctx, vm, &answers[i])
			return nil
		})
	}
	_ = questions.Wait()
	result := Confirmation{Peers: s.pullHighest(ctx, answers)}
	if result.Peers == 0 && !read {
		fromService, read = s.readService(ctx)
	}
	result.Service = read && s.applyRead(fromService)
	result.Version = s.cfg.Store.Version()
	return result
}

// queryVersion fills in the offer of a peer; its address stays empty when the
// peer does not answer.
func (s *Syncer) queryVersion(ctx context.Context, vm provider.VM, answer *VersionAdvert) {
	var reply VersionAdvert
	if err := s.exchangeVersions(ctx, vm.Address, &reply); err != nil {
		return
	}
	reply.Address = vm.Address
	*answer = reply
}

// pullHighest pulls the highest version among the answers, trying each process
// that has it, and returns how many answered.
func (s *Syncer) pullHighest(ctx context.Context, answers []VersionAdvert) int {
	answered := 0
	highest := uint64(0)
	for _, a := range answers {
		if a.Address != "" && a.Version > 0 {
			answered++
			highest = max(highest, a.Version)
		}
	}
	for _, a := range answers {
		if highest <= s.cfg.Store.Version() {
			break
		}
		if a.Version == highest {
			s.pull(ctx, a.Address)
		}
	}
	return answered
}

// readService reads the configuration service.
func (s *Syncer) readService(ctx context.Context) (provider.Document, bool) {
	if s.cfg.Source == nil {
		return provider.Document{}, false
	}
	s.counts.ServiceCalls.Add(1)
	doc, err := s.cfg.Source.Read(ctx)
	if err != nil {
		s.counts.ServiceFailures.Add(1)
		return provider.Document{}, false
	}
	return doc, true
}

// applyRead offers what the service said and reports whether it was
// a valid document.
func (s *Syncer) applyRead(doc provider.Document) bool {
	verdict, _ := s.cfg.Store.Apply(doc.Body, SourceService)
	switch verdict {
	case Accepted:
		s.revision.Store(doc.Revision)
		s.requestAnnouncement()
	case Same:
		s.revision.Store(doc.Revision)
	case Older:
	default:
		return false
	}
	return true
}
