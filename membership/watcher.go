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

// Caller makes net/rpc calls to the process at an address. A call ends with the
// context; a later response is dropped.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Timing holds the intervals and timeouts of a Watcher.
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

// WatcherConfig holds the dependencies and settings of a Watcher.
type WatcherConfig struct {
	Table *Table
	// Source is the list of the platform, or nil without one.
	Source provider.VMLister
	Caller Caller
	Clock  clock.Clock
	// Rand supplies jitter and random peers. Only the Watcher may use it.
	Rand   *rand.Rand
	Timing Timing
}

// Counts holds the counters of a Watcher since its start.
type Counts struct {
	// PlatformReads counts reads of the list of the platform.
	PlatformReads atomic.Uint64
	// PlatformFailures counts those of them that failed or returned no VM.
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

// Watcher keeps a Table up to date. A few elected readers of each data centre read
// the list of the platform; the other processes pull the list from peers.
type Watcher struct {
	cfg     WatcherConfig
	counts  Counts
	current atomic.Pointer[vmList]
	// lastReadAttempt is when this process last tried to read the platform. Only
	// Refresh uses it.
	lastReadAttempt time.Time
	// failures is the number of consecutive refreshes in which no source responded,
	// up to maxBackoffDoublings. Only Refresh uses it.
	failures int
}

// NewWatcher returns a watcher; call Run to start it.
func NewWatcher(cfg WatcherConfig) *Watcher { return &Watcher{cfg: cfg} }

// Counts returns the counters of the watcher.
func (w *Watcher) Counts() *Counts { return &w.counts }

// Age returns the time since the current list was read from the platform, or false
// when there is no list.
func (w *Watcher) Age() (time.Duration, bool) {
	list := w.current.Load()
	if list == nil {
		return 0, false
	}
	return w.cfg.Clock.Now().Sub(list.readAt), true
}

// Run keeps the table up to date until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	for {
		wait := w.Refresh(ctx)
		if !clock.Sleep(ctx, wait) {
			return
		}
	}
}

// Refresh updates the table once, from the platform or from a peer, and returns how
// long to wait before the next refresh. The wait doubles while no source responds,
// so that the processes of a fleet that start while the platform is unavailable do
// not overload it. Refresh must not be called concurrently, nor while Run runs.
func (w *Watcher) Refresh(ctx context.Context) time.Duration {
	if w.isReader() && w.readPlatform(ctx) {
		w.failures = 0
		return w.jitter(w.readInterval())
	}
	responded := w.pullFromAny(ctx)
	if w.fallbackDue() && w.readPlatform(ctx) {
		responded = true
	}
	if responded {
		w.failures = 0
		return w.jitter(w.cfg.Timing.PullInterval)
	}
	wait := min(w.cfg.Timing.PullInterval<<w.failures, w.cfg.Timing.FallbackInterval)
	w.failures = min(w.failures+1, maxBackoffDoublings)
	return w.jitter(wait)
}

// readInterval returns the mean time between two reads of the platform.
func (w *Watcher) readInterval() time.Duration {
	timing := w.cfg.Timing
	list := w.current.Load()
	if list == nil {
		return timing.MinReadInterval
	}
	size := len(list.document.Body())
	interval := time.Duration(size) * time.Second / time.Duration(timing.ReadBytesPerSecond)
	return min(max(interval, timing.MinReadInterval), timing.MaxReadInterval)
}

func (w *Watcher) isReader() bool {
	table := w.cfg.Table
	return IsElected(table.Self(), table.VMs(), electionPurpose, w.epoch(), ReadersPerDataCentre)
}

func (w *Watcher) epoch() uint64 {
	return uint64(w.cfg.Clock.Now().UnixNano() / int64(w.cfg.Timing.ElectionPeriod))
}

// fallbackDue reports whether this process has to read the platform itself because
// its list is missing or stale.
func (w *Watcher) fallbackDue() bool {
	age, ok := w.Age()
	if ok && age < w.cfg.Timing.StaleAfter {
		return false
	}
	return w.cfg.Clock.Now().Sub(w.lastReadAttempt) >= w.cfg.Timing.FallbackInterval
}

// readPlatform reads the list from the platform and applies it. It returns false
// when the read fails or the list is empty.
func (w *Watcher) readPlatform(ctx context.Context) bool {
	if w.cfg.Source == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, w.cfg.Timing.ReadTimeout)
	defer cancel()
	start := w.cfg.Clock.Now()
	w.lastReadAttempt = start
	w.counts.PlatformReads.Add(1)
	vms, err := w.cfg.Source.List(ctx)
	if err != nil || len(vms) == 0 {
		w.counts.PlatformFailures.Add(1)
		return false
	}
	document, err := encode(vms)
	if err != nil {
		w.counts.PlatformFailures.Add(1)
		return false
	}
	w.publish(&vmList{vms: vms, document: document, readAt: start})
	return true
}

// publish applies a list to the table and serves it to peers, unless it was read
// before the list of the table.
func (w *Watcher) publish(next *vmList) {
	if w.cfg.Table.ApplyAt(next.vms, next.readAt) {
		w.current.Store(next)
	}
}

// pullFromAny pulls the list from the candidates in turn until one pull succeeds. It
// reports whether one succeeded.
func (w *Watcher) pullFromAny(ctx context.Context) bool {
	for _, vm := range w.pullCandidates() {
		if w.pull(ctx, vm.Address) {
			return true
		}
	}
	return false
}

// pullCandidates returns a random reader of this VM's data centre and then a random
// other VM, as far as the list contains them.
func (w *Watcher) pullCandidates() []provider.VM {
	self := w.cfg.Table.Self()
	var local, others []provider.VM
	for _, vm := range w.cfg.Table.VMs() {
		if vm.Name == self.Name || vm.Address == self.Address {
			continue
		}
		others = append(others, vm)
		if vm.DataCentre == self.DataCentre && vm.State != provider.VMLeaving {
			local = append(local, vm)
		}
	}
	var chosen []provider.VM
	if readers := Elect(local, electionPurpose, w.epoch(), ReadersPerDataCentre); len(readers) > 0 {
		chosen = append(chosen, readers[w.cfg.Rand.IntN(len(readers))])
	}
	if len(others) > 0 {
		chosen = append(chosen, others[w.cfg.Rand.IntN(len(others))])
	}
	return chosen
}

func (w *Watcher) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(w.cfg.Rand.Int64N(int64(d)+1))
}
