package configsync

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sesameswitch/sesameswitch/clock"

	"golang.org/x/sync/errgroup"

	"github.com/sesameswitch/sesameswitch/configsync/delta"
	"github.com/sesameswitch/sesameswitch/membership"
	"github.com/sesameswitch/sesameswitch/provider"
)

// servedDocument is a document that this process can serve to peers.
type servedDocument struct {
	version  uint64
	revision uint64
	document *delta.Document
}

// versionHint is a newer version and the address of the process at which it was
// observed.
type versionHint struct {
	version uint64
	address string
}

// Counts holds the counters of a Syncer since its start.
type Counts struct {
	// ServiceCalls counts reads and watches of the configuration service.
	ServiceCalls atomic.Uint64
	// ServiceFailures counts the reads that failed and the watches that were not
	// useful: they failed before their timeout, returned too early without a change,
	// or returned a refused document.
	ServiceFailures atomic.Uint64
	// Announcements counts version adverts pushed to peers.
	Announcements atomic.Uint64
	// AntiEntropyExchanges counts anti-entropy exchanges started with peers.
	AntiEntropyExchanges atomic.Uint64
	// Pulls counts fetches of newer documents from peers, also when they fail.
	Pulls atomic.Uint64
	// PullFailures counts failed pulls, also when the call for the recipe failed,
	// which Pulls does not count.
	PullFailures atomic.Uint64
	// FullPulls counts pulls that fell back to the complete document.
	FullPulls atomic.Uint64
	// ChunkBytes counts bytes of chunks fetched from peers.
	ChunkBytes atomic.Uint64
	// VersionHintsDropped counts hints of newer versions that were dropped
	// because the queue was full.
	VersionHintsDropped atomic.Uint64
	// Conflicts counts adverts of peers with a different document of the same
	// version.
	Conflicts atomic.Uint64
}

// Syncer propagates versions of the manifest among the processes of a
// deployment. Its methods are safe for concurrent use.
type Syncer struct {
	cfg    SyncerConfig
	counts Counts
	hints  chan versionHint
	// announcePending holds a token while an announcement is pending.
	announcePending chan struct{}

	// relayed is a document fetched from a peer, until the store has evaluated
	// it. Peers are served from it before it is validated here, since the
	// process that read it from the configuration service has validated it.
	relayed atomic.Pointer[servedDocument]
	// revision is the configuration service's revision of the active document,
	// or 0.
	revision atomic.Uint64
	// lastConfirmedNanos is when the active version was last confirmed, in Unix
	// nanoseconds: the start of the call whose response confirmed it, or the end
	// of Confirm.
	lastConfirmedNanos atomic.Int64

	// pullMu serialises pulls.
	pullMu sync.Mutex
	// refusedDigest is the digest of the last document from a peer that the
	// store refused; guarded by pullMu.
	refusedDigest delta.Digest
	// confirmMu serialises confirmations. The first one closes confirmed.
	confirmMu     sync.Mutex
	confirmed     chan struct{}
	confirmedOnce sync.Once

	// randMu guards cfg.Rand.
	randMu sync.Mutex

	// watch is used only by the goroutine of watchLoop.
	watch watchState
}

// NewSyncer returns a syncer; call Run to start it.
func NewSyncer(cfg SyncerConfig) *Syncer {
	return &Syncer{
		cfg:             cfg,
		hints:           make(chan versionHint, hintQueueSize),
		announcePending: make(chan struct{}, 1),
		confirmed:       make(chan struct{}),
		watch:           watchState{backoff: cfg.Timing.MinBackoff},
	}
}

// Counts returns the syncer's counters.
func (s *Syncer) Counts() *Counts { return &s.counts }

// Run runs the background tasks until the context ends: watching the
// configuration service while this process is elected, pulling newer versions,
// announcing them, and anti-entropy exchanges. An anti-entropy exchange compares
// versions with a random neighbour, so that versions arrive also when
// announcements are lost.
func (s *Syncer) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { s.watchLoop(ctx) })
	loops.Go(func() { s.pullLoop(ctx) })
	loops.Go(func() { s.announceLoop(ctx) })
	loops.Go(func() { s.antiEntropyLoop(ctx) })
	loops.Wait()
}

// ObserveVersion records that the process at address has the version, as any
// message of that process may report. ObserveVersion never blocks; a newer version
// is pulled in the background. When the queue of hints is full, the hint is
// dropped; anti-entropy exchanges find the version later.
func (s *Syncer) ObserveVersion(version uint64, address string) {
	if version <= s.newestVersion() || address == "" {
		return
	}
	select {
	case s.hints <- versionHint{version: version, address: address}:
	default:
		s.counts.VersionHintsDropped.Add(1)
	}
}

// RecentlyConfirmed reports whether the active version was confirmed within
// ConfirmationTTL: by Confirm, by an anti-entropy exchange after which no newer
// version was known, or by any successful watch of the configuration service.
// After a long pause of the process it returns false until the next confirmation.
func (s *Syncer) RecentlyConfirmed() bool {
	age := s.cfg.Clock.Now().UnixNano() - s.lastConfirmedNanos.Load()
	return age <= int64(s.cfg.Timing.ConfirmationTTL)
}

// recordConfirmation records that the active version was confirmed at a time. An
// earlier time than the last one has no effect.
func (s *Syncer) recordConfirmation(at time.Time) {
	for {
		last := s.lastConfirmedNanos.Load()
		if at.UnixNano() <= last || s.lastConfirmedNanos.CompareAndSwap(last, at.UnixNano()) {
			return
		}
	}
}

// newestVersion returns the highest version that this process can serve, or 0.
func (s *Syncer) newestVersion() uint64 {
	if newest := s.newestDocument(); newest != nil {
		return newest.version
	}
	return 0
}

// newestDocument returns the newest document that this process can serve, or
// nil.
func (s *Syncer) newestDocument() *servedDocument {
	relayed := s.relayed.Load()
	active := s.cfg.Store.active()
	if active == nil {
		return relayed
	}
	if relayed != nil && relayed.version > active.view.Version() {
		return relayed
	}
	return &servedDocument{version: active.view.Version(), revision: s.revision.Load(), document: active.document}
}

// findDocument returns the document with the digest, or nil when this process
// does not have it.
func (s *Syncer) findDocument(digest delta.Digest) *delta.Document {
	if active := s.cfg.Store.active(); active != nil && active.document.Recipe.Digest == digest {
		return active.document
	}
	if relayed := s.relayed.Load(); relayed != nil && relayed.document.Recipe.Digest == digest {
		return relayed.document
	}
	return nil
}

// advert describes the newest document that this process can serve.
func (s *Syncer) advert(address string) VersionAdvert {
	newest := s.newestDocument()
	if newest == nil {
		return VersionAdvert{Address: address}
	}
	return VersionAdvert{
		Version:  newest.version,
		Digest:   shortDigest(newest.document.Recipe.Digest),
		Revision: newest.revision,
		Address:  address,
	}
}

// observeAdvert records the version of a peer and counts a conflict when the
// peer has a different document of the same version.
func (s *Syncer) observeAdvert(peer VersionAdvert, address string) {
	own := s.advert("")
	if peer.Version == own.Version && peer.Digest != own.Digest {
		s.counts.Conflicts.Add(1)
	}
	s.ObserveVersion(peer.Version, address)
}

// observeAndPull is like observeAdvert, but pulls a version that is newer than
// the active one before it returns.
func (s *Syncer) observeAndPull(ctx context.Context, peer VersionAdvert, address string) {
	if peer.Version <= s.cfg.Store.Version() {
		s.observeAdvert(peer, address)
		return
	}
	s.pull(ctx, address)
}

// pullLoop pulls the newer versions that were observed at other processes.
func (s *Syncer) pullLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case hint := <-s.hints:
			s.followHint(ctx, hint)
		}
	}
}

// followHint pulls a newer version from the process at which it was observed. If
// that fails, it pulls from a random neighbour.
func (s *Syncer) followHint(ctx context.Context, hint versionHint) {
	if hint.version <= s.newestVersion() {
		return
	}
	if s.pull(ctx, hint.address) {
		return
	}
	if neighbour, ok := s.randomNeighbour(); ok && hint.version > s.newestVersion() {
		s.pull(ctx, neighbour.Address)
	}
}

// requestAnnouncement makes announceLoop announce the newest version.
func (s *Syncer) requestAnnouncement() {
	select {
	case s.announcePending <- struct{}{}:
	default:
	}
}

// announceLoop announces new versions to the neighbours.
func (s *Syncer) announceLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.announcePending:
			s.announce(ctx)
		}
	}
}

// announce sends the neighbours an advert of the newest version.
func (s *Syncer) announce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.Timing.CallTimeout)
	defer cancel()
	var calls errgroup.Group
	for _, vm := range s.neighbours() {
		calls.Go(func() error {
			s.notify(ctx, vm.Address)
			return nil
		})
	}
	_ = calls.Wait()
}

func (s *Syncer) notify(ctx context.Context, address string) {
	var reply VersionAdvert
	s.counts.Announcements.Add(1)
	err := s.cfg.Peers.Call(ctx, address, MethodNotify, s.advert(s.cfg.Members.Self().Address), &reply)
	if err == nil {
		s.observeAdvert(reply, address)
	}
}

// antiEntropyLoop compares versions with a random neighbour at each interval.
func (s *Syncer) antiEntropyLoop(ctx context.Context) {
	for clock.Sleep(ctx, s.jitter(s.cfg.Timing.AntiEntropyInterval)) {
		s.reconcile(ctx)
	}
}

// reconcile compares versions with a random neighbour, or with a random other
// process when the neighbour does not respond. In a deployment of one process it
// confirms the active version.
func (s *Syncer) reconcile(ctx context.Context) {
	neighbour, ok := s.randomNeighbour()
	if !ok {
		s.recordConfirmation(s.cfg.Clock.Now())
		return
	}
	if s.reconcileWith(ctx, neighbour.Address) {
		return
	}
	if other, ok := s.randomPeer(); ok {
		s.reconcileWith(ctx, other.Address)
	}
}

// reconcileWith compares versions with the process at address and pulls a newer
// one. It confirms the active version unless the other process has a newer one
// that could not be activated. It reports whether the process responded.
func (s *Syncer) reconcileWith(ctx context.Context, address string) bool {
	start := s.cfg.Clock.Now()
	s.counts.AntiEntropyExchanges.Add(1)
	var reply VersionAdvert
	if err := s.exchangeVersions(ctx, address, &reply); err != nil {
		return false
	}
	s.observeAndPull(ctx, reply, address)
	if reply.Version <= s.cfg.Store.Version() {
		s.recordConfirmation(start)
	}
	return true
}

// exchangeVersions sends the advert of this process and receives that of the
// process at address.
func (s *Syncer) exchangeVersions(ctx context.Context, address string, reply *VersionAdvert) error {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.Timing.CallTimeout)
	defer cancel()
	args := s.advert(s.cfg.Members.Self().Address)
	return s.cfg.Peers.Call(ctx, address, MethodVersion, args, reply)
}

// neighbours returns the processes that this process announces versions to.
func (s *Syncer) neighbours() []provider.VM {
	epoch := uint64(s.cfg.Clock.Now().UnixNano() / int64(s.cfg.Timing.NeighbourPeriod))
	return membership.Neighbours(s.cfg.Members.Self(), s.cfg.Members.VMs(), epoch, LocalNeighbours, RemoteNeighbours)
}

func (s *Syncer) randomNeighbour() (provider.VM, bool) {
	candidates := s.neighbours()
	if len(candidates) == 0 {
		return provider.VM{}, false
	}
	return candidates[s.randomIntN(len(candidates))], true
}

// randomPeer returns a random other process of the deployment.
func (s *Syncer) randomPeer() (provider.VM, bool) {
	peers := s.randomPeers(1)
	if len(peers) == 0 {
		return provider.VM{}, false
	}
	return peers[0], true
}

// randomPeers returns up to n random other processes of the deployment.
func (s *Syncer) randomPeers(n int) []provider.VM {
	self := s.cfg.Members.Self()
	vms := s.cfg.Members.VMs()
	s.randMu.Lock()
	order := s.cfg.Rand.Perm(len(vms))
	s.randMu.Unlock()
	var peers []provider.VM
	for _, i := range order {
		if len(peers) == n {
			break
		}
		if vms[i].Name != self.Name && vms[i].Address != self.Address {
			peers = append(peers, vms[i])
		}
	}
	return peers
}

func (s *Syncer) randomIntN(n int) int {
	s.randMu.Lock()
	defer s.randMu.Unlock()
	return s.cfg.Rand.IntN(n)
}

// jitter returns a random duration between 0.5 d and 1.5 d.
func (s *Syncer) jitter(d time.Duration) time.Duration {
	s.randMu.Lock()
	defer s.randMu.Unlock()
	return jitter(s.cfg.Rand, d)
}

func jitter(rng *rand.Rand, d time.Duration) time.Duration {
	return d/2 + time.Duration(rng.Int64N(int64(d)+1))
}
