package configsync

import (
	"context"

	"golang.org/x/sync/errgroup"

	"github.com/sesameswitch/sesameswitch/platform"
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
// after a pause, when Fresh is false. It returns within ConfirmTimeout and a
// pull; when nobody answers, the version in force stays and counts as
// confirmed for FreshFor, since a process that is cut off goes on with the
// last good version. Concurrent callers share one confirmation.
func (s *Syncer) Confirm(ctx context.Context) Confirmation {
	begun := s.cfg.Clock.Now()
	s.confirming.Lock()
	defer s.confirming.Unlock()
	if s.contactNanos.Load() > begun.UnixNano() {
		return Confirmation{Version: s.cfg.Store.Version()}
	}
	ctx, cancel := context.WithTimeout(ctx, s.cfg.Timing.ConfirmTimeout)
	defer cancel()
	asked := s.sample(confirmPeers)
	answers := make([]Offer, len(asked))
	result := Confirmation{}
	var questions errgroup.Group
	for i, vm := range asked {
		questions.Go(func() error {
			s.askVersion(ctx, vm, &answers[i])
			return nil
		})
	}
	questions.Go(func() error {
		result.Service = s.readService(ctx)
		return nil
	})
	_ = questions.Wait()
	result.Peers = s.adopt(ctx, answers)
	result.Version = s.cfg.Store.Version()
	s.touch(s.cfg.Clock.Now())
	return result
}

// askVersion fills in the offer of a peer; its address stays empty when the
// peer does not answer.
func (s *Syncer) askVersion(ctx context.Context, vm platform.VM, answer *Offer) {
	var reply Offer
	if err := s.exchange(ctx, vm.Address, &reply); err != nil {
		return
	}
	reply.Address = vm.Address
	*answer = reply
}

// adopt pulls the highest version among the answers, trying each process
// that has it, and returns how many answered.
func (s *Syncer) adopt(ctx context.Context, answers []Offer) int {
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

// readService reads the configuration service and offers what it says.
func (s *Syncer) readService(ctx context.Context) bool {
	if s.cfg.Source == nil {
		return false
	}
	s.counts.ServiceCalls.Add(1)
	doc, err := s.cfg.Source.Read(ctx)
	if err != nil {
		s.counts.ServiceFailures.Add(1)
		return false
	}
	verdict, _ := s.cfg.Store.Offer(doc.Body, SourceService)
	switch verdict {
	case Accepted:
		s.revision.Store(doc.Revision)
		s.announceSoon()
	case Same:
		s.revision.Store(doc.Revision)
	case Older:
		return true
	default:
		return false
	}
	return true
}
