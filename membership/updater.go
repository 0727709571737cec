package membership

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/sesameswitch/sesameswitch/clock"
	"github.com/sesameswitch/sesameswitch/configsync/delta"
	"github.com/sesameswitch/sesameswitch/provider"
)

// PeerCaller makes net/rpc calls to the process at an address. A call ends with the
// context; a later reply is discarded.
type PeerCaller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Timing holds the intervals and timeouts of an Updater.
type Timing struct {
	// MinReadInterval and MaxReadInterval are the limits of the mean time between
	// two reads of the platform by a reader. Between them, the interval is the size
	// of the list divided by ReadBytesPerSecond, so that longer lists are read less
	// often.
	MinReadInterval, MaxReadInterval time.Duration
	// ReadBytesPerSecond is the mean rate at which a reader reads a list whose
	// interval is between these limits.
	ReadBytesPerSecond int
	// PullInterval is the mean time between two pulls of a process that is not a
	// reader.
	PullInterval time.Duration
	// CallTimeout is the timeout of a pull from a peer.
	CallTimeout time.Duration
	// ReadTimeout is the timeout of a read of the platform.
	ReadTimeout time.Duration
	// StaleAfter is the age of the list from which a process that is not a reader
	// reads the platform itself.
	StaleAfter time.Duration
	// FallbackInterval is the minimum time between such reads, and the longest mean
	// wait after a refresh in which no source responded.
	FallbackInterval time.Duration
	// ElectionPeriod is how long an elected process remains a reader.
	ElectionPeriod time.Duration
}

// DefaultTiming returns the timing of the daemons.
func DefaultTiming() Timing {
	return Timing{
		MinReadInterval:    time.Second,
		MaxReadInterval:    4 * time.Second,
		ReadBytesPerSecond: 35 << 10,
		PullInterval:       1500 * time.Millisecond,
		CallTimeout:        time.Second,
		ReadTimeout:        2 * time.Second,
		StaleAfter:         20 * time.Second,
		FallbackInterval:   10 * time.Second,
		ElectionPeriod:     time.Minute,
	}
}

// ReadersPerDataCentre is how many processes of a data centre are elected to read
// the list of the platform.
const ReadersPerDataCentre = 2

// electionPurpose identifies the election of the readers of the list.
const electionPurpose = "VM list reader"

// maxBackoffDoublings limits how many times the wait after failed refreshes is
// doubled, so that the shift in Refresh cannot overflow.
const maxBackoffDoublings = 8

// maxListBytes is the maximum size of a list fetched from a peer.
const maxListBytes = 4 << 20

// UpdaterConfig holds the dependencies and settings of an Updater.
type UpdaterConfig struct {
	Table *Table
	// Source is the list of the platform, or nil without one.
	Source provider.VMLister
	Peers  PeerCaller
	Clock  clock.Clock
	// Rand supplies jitter and random peers. Only the Updater may use it.
	Rand   *rand.Rand
	Timing Timing
}

// Counts holds the counters of an Updater since its start.
type Counts struct {
	// PlatformReads counts reads of the list of the platform.
	PlatformReads atomic.Uint64
	// PlatformFailures counts the reads of the platform that failed or returned no VM.
	PlatformFailures atomic.Uint64
	// Pulls counts pulls of the list from peers.
	Pulls atomic.Uint64
	// PullFailures counts failed pulls.
	PullFailures atomic.Uint64
}

// vmList is a list as it was read from the platform. It is immutable.
type vmList struct {
	vms      []provider.VM
	document *delta.Document
	readAt   time.Time
}

// Updater keeps a Table up to date. A few elected readers of each data centre read
// the list of the platform; the other processes pull the list from peers.
type Updater struct {
	cfg     UpdaterConfig
	counts  Counts
	current atomic.Pointer[vmList]
	// lastReadAttempt is when this process last tried to read the platform. Only
	// Refresh uses it.
	lastReadAttempt time.Time
	// failures is the number of consecutive refreshes in which no source responded,
	// up to maxBackoffDoublings. Only Refresh uses it.
	failures int
}

// NewUpdater returns an updater; call Run to start it.
func NewUpdater(cfg UpdaterConfig) *Updater { return &Updater{cfg: cfg} }

// Counts returns the counters of the updater.
func (u *Updater) Counts() *Counts { return &u.counts }

// Age returns the time since the current list was read from the platform, or false
// when there is no list.
func (u *Updater) Age() (time.Duration, bool) {
	list := u.current.Load()
	if list == nil {
		return 0, false
	}
	return u.cfg.Clock.Now().Sub(list.readAt), true
}

// Run keeps the table up to date until the context ends.
func (u *Updater) Run(ctx context.Context) {
	for {
		wait := u.Refresh(ctx)
		if !clock.Sleep(ctx, wait) {
			return
		}
	}
}

// Refresh updates the table once, from the platform or from a peer, and returns how
// long to wait before the next refresh. The wait doubles while no source responds,
// so that the processes of a fleet that start while the platform is unavailable do
// not overload it. Refresh must not be called concurrently, nor while Run runs.
func (u *Updater) Refresh(ctx context.Context) time.Duration {
	if u.isReader() && u.readPlatform(ctx) {
		u.failures = 0
		return u.jitter(u.readInterval())
	}
	responded := u.pullFromAny(ctx)
	if u.fallbackDue() && u.readPlatform(ctx) {
		responded = true
	}
	if responded {
		u.failures = 0
		return u.jitter(u.cfg.Timing.PullInterval)
	}
	wait := min(u.cfg.Timing.PullInterval<<u.failures, u.cfg.Timing.FallbackInterval)
	u.failures = min(u.failures+1, maxBackoffDoublings)
	return u.jitter(wait)
}

// readInterval returns the mean time between two reads of the platform.
func (u *Updater) readInterval() time.Duration {
	timing := u.cfg.Timing
	list := u.current.Load()
	if list == nil {
		return timing.MinReadInterval
	}
	size := len(list.document.Body())
	interval := time.Duration(size) * time.Second / time.Duration(timing.ReadBytesPerSecond)
	return min(max(interval, timing.MinReadInterval), timing.MaxReadInterval)
}

func (u *Updater) isReader() bool {
	table := u.cfg.Table
	return IsElected(table.Self(), table.VMs(), electionPurpose, u.epoch(), ReadersPerDataCentre)
}

func (u *Updater) epoch() uint64 {
	return uint64(u.cfg.Clock.Now().UnixNano() / int64(u.cfg.Timing.ElectionPeriod))
}

// fallbackDue reports whether this process has to read the platform itself because
// its list is missing or stale.
func (u *Updater) fallbackDue() bool {
	age, ok := u.Age()
	if ok && age < u.cfg.Timing.StaleAfter {
		return false
	}
	return u.cfg.Clock.Now().Sub(u.lastReadAttempt) >= u.cfg.Timing.FallbackInterval
}

// readPlatform reads the list from the platform and applies it. It returns false
// when the read fails or the list is empty.
func (u *Updater) readPlatform(ctx context.Context) bool {
	if u.cfg.Source == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, u.cfg.Timing.ReadTimeout)
	defer cancel()
	start := u.cfg.Clock.Now()
	u.lastReadAttempt = start
	u.counts.PlatformReads.Add(1)
	vms, err := u.cfg.Source.List(ctx)
	if err != nil || len(vms) == 0 {
		u.counts.PlatformFailures.Add(1)
		return false
	}
	document, err := encode(vms)
	if err != nil {
		u.counts.PlatformFailures.Add(1)
		return false
	}
	u.publish(&vmList{vms: vms, document: document, readAt: start})
	return true
}

// publish applies a list to the table and serves it to peers, unless it was read
// before the list of the table.
func (u *Updater) publish(next *vmList) {
	if u.cfg.Table.ApplyAt(next.vms, next.readAt) {
		u.current.Store(next)
	}
}

// pullFromAny pulls the list from the candidates in turn until one pull succeeds. It
// reports whether one succeeded.
func (u *Updater) pullFromAny(ctx context.Context) bool {
	for _, vm := range u.pullCandidates() {
		if u.pull(ctx, vm.Address) {
			return true
		}
	}
	return false
}

// pullCandidates returns a random reader of this VM's data centre and then a random
// other VM, as far as the list contains them.
func (u *Updater) pullCandidates() []provider.VM {
	self := u.cfg.Table.Self()
	var local, others []provider.VM
	for _, vm := range u.cfg.Table.VMs() {
		if vm.Name == self.Name || vm.Address == self.Address {
			continue
		}
		others = append(others, vm)
		if vm.DataCentre == self.DataCentre && vm.State != provider.VMLeaving {
			local = append(local, vm)
		}
	}
	var chosen []provider.VM
	if readers := Elect(local, electionPurpose, u.epoch(), ReadersPerDataCentre); len(readers) > 0 {
		chosen = append(chosen, readers[u.cfg.Rand.IntN(len(readers))])
	}
	if len(others) > 0 {
		chosen = append(chosen, others[u.cfg.Rand.IntN(len(others))])
	}
	return chosen
}

func (u *Updater) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(u.cfg.Rand.Int64N(int64(d)+1))
}
