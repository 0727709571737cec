package configsync

import (
	"context"

	"golang.org/x/sync/errgroup"

	"github.com/sesameswitch/sesameswitch/provider"
)

// Confirmation is the result of Confirm.
type Confirmation struct {
	// Version is the active version afterwards, or 0 without one.
	Version uint64
	// Peers is how many peers responded with a version.
	Peers int
	// Service reports whether the configuration service returned a valid document
	// that does not conflict with the active one.
	Service bool
}

// Confirm queries several peers for their versions and activates the highest
// one. It also reads the configuration service when no version is active yet or
// no peer responds with a version. A process calls Confirm before it becomes ready, and after a
// pause, when RecentlyConfirmed returns false.
//
// Confirm returns within ConfirmTimeout, plus the remaining time of a pull that
// is already in progress. When neither a peer nor the configuration service
// responds, the active version counts as confirmed for ConfirmationTTL, since a
// disconnected process continues with the last valid version.
//
// A call sends no queries and returns only the version when the active version was
// confirmed after the call began, for example by a concurrent call of Confirm.
func (s *Syncer) Confirm(ctx context.Context) Confirmation {
	start := s.cfg.Clock.Now()
	s.confirmMu.Lock()
	defer s.confirmMu.Unlock()
	if s.lastConfirmedNanos.Load() > start.UnixNano() {
		return Confirmation{Version: s.cfg.Store.Version()}
	}
	ctx, cancel := context.WithTimeout(ctx, s.cfg.Timing.ConfirmTimeout)
	defer cancel()
	result := s.confirm(ctx)
	s.confirmedOnce.Do(func() { close(s.confirmed) })
	s.recordConfirmation(s.cfg.Clock.Now())
	return result
}

// confirm queries peers and, when no version is active yet or no peer responds
// with a version, the configuration service. It applies the peers' version first, so that an
// older document of a stale service is never activated before it.
func (s *Syncer) confirm(ctx context.Context) Confirmation {
	var serviceDoc provider.Document
	serviceRead := false
	var queries errgroup.Group
	if s.cfg.Store.Current() == nil {
		queries.Go(func() error {
			serviceDoc, serviceRead = s.readService(ctx)
			return nil
		})
	}
	peers := s.randomPeers(confirmPeers)
	adverts := make([]VersionAdvert, len(peers))
	for i, vm := range peers {
		queries.Go(func() error {
			s.queryVersion(ctx, vm, &adverts[i])
			return nil
		})
	}
	_ = queries.Wait()
	result := Confirmation{Peers: s.pullHighest(ctx, adverts)}
	if result.Peers == 0 && !serviceRead {
		serviceDoc, serviceRead = s.readService(ctx)
	}
	result.Service = serviceRead && s.applyRead(serviceDoc)
	result.Version = s.cfg.Store.Version()
	return result
}

// queryVersion stores the advert of a peer in result. The address of result
// stays empty when the peer does not respond.
func (s *Syncer) queryVersion(ctx context.Context, vm provider.VM, result *VersionAdvert) {
	var reply VersionAdvert
	if err := s.exchangeVersions(ctx, vm.Address, &reply); err != nil {
		return
	}
	reply.Address = vm.Address
	*result = reply
}

// pullHighest pulls the highest advertised version if it is higher than the
// active one, trying in turn the peers that have it. It returns how many peers
// responded with a version.
func (s *Syncer) pullHighest(ctx context.Context, adverts []VersionAdvert) int {
	responded := 0
	highest := uint64(0)
	for _, a := range adverts {
		if a.Address != "" && a.Version > 0 {
			responded++
			highest = max(highest, a.Version)
		}
	}
	for _, a := range adverts {
		if highest <= s.cfg.Store.Version() {
			break
		}
		if a.Version == highest {
			s.pull(ctx, a.Address)
		}
	}
	return responded
}

// readService reads the document of the configuration service. It returns false
// when that fails.
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

// applyRead applies a document read from the configuration service. It returns
// false when the document is invalid or conflicts with the active one.
func (s *Syncer) applyRead(doc provider.Document) bool {
	verdict, _ := s.cfg.Store.Apply(doc.Body, OriginService)
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
