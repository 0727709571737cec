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

// servedDocument is a document that this process can hand out.
type servedDocument struct {
	version  uint64
	revision uint64
	document *delta.Document
}

// versionHint says that a process has a version.
type versionHint struct {
	version uint64
	address string
}

// Counts are the counters of a Syncer since its start.
type Counts struct {
	// ServiceCalls counts reads and watches of the configuration service.
	ServiceCalls atomic.Uint64
	// ServiceFailures counts those that failed or brought nothing usable.
	ServiceFailures atomic.Uint64
	// Announcements counts version numbers pushed to peers.
	Announcements atomic.Uint64
	// AntiEntropyExchanges counts questions for a peer's version.
	AntiEntropyExchanges atomic.Uint64
	// Pulls counts documents fetched from peers.
	Pulls atomic.Uint64
	// PullFailures counts those that failed.
	PullFailures atomic.Uint64
	// FullPulls counts pulls that fell back to the whole document.
	FullPulls atomic.Uint64
	// ChunkBytes counts bytes of chunks fetched from peers.
	ChunkBytes atomic.Uint64
	// VersionHintsDropped counts hints of newer versions lost to a full ring.
	VersionHintsDropped atomic.Uint64
	// Conflicts counts peers seen with another document of the version in
	// force.
	Conflicts atomic.Uint64
}

// Syncer spreads versions of the manifest among the processes of a
// deployment. Its methods are safe for concurrent use.
type Syncer struct {
	cfg    SyncerConfig
	counts Counts
	hints  chan versionHint
	// announcePending holds a token while there is something to announce.
	announcePending chan struct{}

	// relayed is the newest document fetched from a peer. It is handed on
	// before it is validated here: the process that read it from the
	// configuration service has validated it.
	relayed atomic.Pointer[servedDocument]
	// revision is the service's number of the document in force, or 0.
	revision atomic.Uint64
	// lastContactNanos is when the last answered call to a peer or the service
	// began, in Unix nanoseconds.
	lastContactNanos atomic.Int64

	// pullMu serialises pulls.
	pullMu sync.Mutex
	// refusedDigest is the digest of the last document from a peer that was not
	// taken; guarded by pulling.
	refusedDigest delta.Digest
	// confirmMu serialises confirmations; confirmed is closed by the first.
	confirmMu     sync.Mutex
	confirmed     chan struct{}
	confirmedOnce sync.Once

	randMu sync.Mutex

	// watch is used by the watch duty alone.
	watch watchState
}

// NewSyncer returns a syncer that has not begun.
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

// Run carries out the duties until the context ends: watching the
// configuration service when elected, pulling newer versions, announcing them
// and asking neighbours.
func (s *Syncer) Run(ctx context.Context) {
	var duties sync.WaitGroup
	duties.Go(func() { s.watchLoop(ctx) })
	duties.Go(func() { s.pullLoop(ctx) })
	duties.Go(func() { s.announceLoop(ctx) })
	duties.Go(func() { s.antiEntropyLoop(ctx) })
	duties.Wait()
}

// ObserveVersion takes note of the version that the process at address has in force,
// seen on any message. It never blocks; a newer version is pulled at once.
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

// RecentlyConfirmed reports whether the version in force was confirmed by a peer or by
// the configuration service a short while ago. After a pause of the process
// it is false until the next confirmation.
func (s *Syncer) RecentlyConfirmed() bool {
	age := s.cfg.Clock.Now().UnixNano() - s.lastContactNanos.Load()
	return age <= int64(s.cfg.Timing.ConfirmationTTL)
}

// recordContact notes that a call which began at start was answered.
func (s *Syncer) recordContact(start time.Time) {
	for {
		before := s.lastContactNanos.Load()
		if start.UnixNano() <= before || s.lastContactNanos.CompareAndSwap(before, start.UnixNano()) {
			return
		}
	}
}

// newestVersion returns the highest version that this process can hand out.
func (s *Syncer) newestVersion() uint64 {
	if h := s.newestDocument(); h != nil {
		return h.version
	}
	return 0
}

// newestDocument returns the newest document that this process can hand out.
func (s *Syncer) newestDocument() *servedDocument {
	relay := s.relayed.Load()
	now := s.cfg.Store.active()
	if now == nil {
		return relay
	}
	if relay != nil && relay.version > now.view.Version() {
		return relay
	}
	return &servedDocument{version: now.view.Version(), revision: s.revision.Load(), document: now.document}
}

// findDocument returns the document with the digest if this process holds it.
func (s *Syncer) findDocument(digest delta.Digest) *delta.Document {
	if now := s.cfg.Store.active(); now != nil && now.document.Recipe.Digest == digest {
		return now.document
	}
	if relay := s.relayed.Load(); relay != nil && relay.document.Recipe.Digest == digest {
		return relay.document
	}
	return nil
}

// advert describes the document in force or in relay to a peer.
func (s *Syncer) advert(address string) VersionAdvert {
	h := s.newestDocument()
	if h == nil {
		return VersionAdvert{Address: address}
	}
	return VersionAdvert{
		Version:  h.version,
		Digest:   shortDigest(h.document.Recipe.Digest),
		Revision: h.revision,
		Address:  address,
	}
}

// observeAdvert takes note of what a peer offers.
func (s *Syncer) observeAdvert(peer VersionAdvert, address string) {
	own := s.advert("")
	if peer.Version == own.Version && peer.Digest != own.Digest {
		s.counts.Conflicts.Add(1)
	}
	s.ObserveVersion(peer.Version, address)
}

// observeAndPull takes note of what a peer offers and pulls it before it returns.
func (s *Syncer) observeAndPull(ctx context.Context, peer VersionAdvert, address string) {
	if peer.Version <= s.cfg.Store.Version() {
		s.observeAdvert(peer, address)
		return
	}
	s.pull(ctx, address)
}

// pullLoop fetches versions that others were heard to have.
func (s *Syncer) pullLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case h := <-s.hints:
			s.followHint(ctx, h)
		}
	}
}

// followHint pulls a version that was heard of, from the process that has it or
// else from a neighbour.
func (s *Syncer) followHint(ctx context.Context, h versionHint) {
	if h.version <= s.newestVersion() {
		return
	}
	if s.pull(ctx, h.address) {
		return
	}
	if neighbour, ok := s.randomNeighbour(); ok && h.version > s.newestVersion() {
		s.pull(ctx, neighbour.Address)
	}
}

// requestAnnouncement wakes the announcing duty.
func (s *Syncer) requestAnnouncement() {
	select {
	case s.announcePending <- struct{}{}:
	default:
	}
}

// announceLoop pushes new version numbers to the neighbours.
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

// announce tells the neighbours which version this process can hand out.
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
	err := s.cfg.Caller.Call(ctx, address, MethodNotify, s.advert(s.cfg.Members.Self().Address), &reply)
	if err == nil {
		s.observeAdvert(reply, address)
	}
}

// antiEntropyLoop asks one neighbour after another for its version.
func (s *Syncer) antiEntropyLoop(ctx context.Context) {
	for clock.Sleep(ctx, s.jitter(s.cfg.Timing.AntiEntropyInterval)) {
		s.reconcile(ctx)
	}
}

// reconcile asks a random neighbour for its version, and any other process when
// the neighbour does not answer.
func (s *Syncer) reconcile(ctx context.Context) {
	neighbour, ok := s.randomNeighbour()
	if !ok {
		s.recordContact(s.cfg.Clock.Now())
		return
	}
	if s.reconcileWith(ctx, neighbour.Address) {
		return
	}
	if other, ok := s.randomPeer(); ok {
		s.reconcileWith(ctx, other.Address)
	}
}

// reconcileWith exchanges version numbers with a process.
func (s *Syncer) reconcileWith(ctx context.Context, address string) bool {
	start := s.cfg.Clock.Now()
	s.counts.AntiEntropyExchanges.Add(1)
	var reply VersionAdvert
	if err := s.exchangeVersions(ctx, address, &reply); err != nil {
		return false
	}
	s.observeAndPull(ctx, reply, address)
	if reply.Version <= s.cfg.Store.Version() {
		s.recordContact(start)
	}
	return true
}

// exchangeVersions tells a process what this one offers and asks for its offer.
func (s *Syncer) exchangeVersions(ctx context.Context, address string, reply *VersionAdvert) error {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.Timing.CallTimeout)
	defer cancel()
	args := s.advert(s.cfg.Members.Self().Address)
	return s.cfg.Caller.Call(ctx, address, MethodVersion, args, reply)
}

// neighbours returns the processes that this one announces versions to.
func (s *Syncer) neighbours() []provider.VM {
	epoch := uint64(s.cfg.Clock.Now().UnixNano() / int64(s.cfg.Timing.NeighbourPeriod))
	return membership.Neighbours(s.cfg.Members.Self(), s.cfg.Members.VMs(), epoch, LocalNeighbours, RemoteNeighbours)
}

func (s *Syncer) randomNeighbour() (provider.VM, bool) {
	list := s.neighbours()
	if len(list) == 0 {
		return provider.VM{}, false
	}
	return list[s.randomIntN(len(list))], true
}

// randomPeer returns any other process of the deployment.
func (s *Syncer) randomPeer() (provider.VM, bool) {
	peers := s.randomPeers(1)
	if len(peers) == 0 {
		return provider.VM{}, false
	}
	return peers[0], true
}

// randomPeers returns up to n other processes in random order.
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

// jitter returns a duration between half and one and a half of d.
func (s *Syncer) jitter(d time.Duration) time.Duration {
	s.randMu.Lock()
	defer s.randMu.Unlock()
	return jitter(s.cfg.Rand, d)
}

func jitter(rng *rand.Rand, d time.Duration) time.Duration {
	return d/2 + time.Duration(rng.Int64N(int64(d)+1))
}
