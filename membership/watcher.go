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

// Caller carries one net/rpc call to the process at an address. The context
// bounds it; an answer that comes later is dropped.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Timing holds the intervals and bounds of a Watcher.
type Timing struct {
	// MinReadInterval and MaxReadInterval bound the mean time between a
	// reader's reads of the platform; in between, ReadBytesPerSecond decides.
	MinReadInterval, MaxReadInterval time.Duration
	// ReadBytesPerSecond is what a reader may spend on a long list.
	ReadBytesPerSecond int
	// PullInterval is the mean time between the others' questions to a reader.
	PullInterval time.Duration
	// CallTimeout bounds a call to a peer.
	CallTimeout time.Duration
	// ReadTimeout bounds a read of the platform.
	ReadTimeout time.Duration
	// StaleAfter is the age of the list from which a process that is no reader
	// reads the platform itself.
	StaleAfter time.Duration
	// FallbackInterval is the least time between such reads.
	FallbackInterval time.Duration
	// ElectionPeriod is how long a process stays a reader.
	ElectionPeriod time.Duration
}

// DefaultTiming returns the timing that the daemons use.
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

// ReadersPerDataCentre is how many processes of a data centre read the
// platform's list at a time.
const ReadersPerDataCentre = 2

// dutyPurpose names the election of the list's readers.
const dutyPurpose = "VM list reader"

// maxFailures bounds how often the wait after a failure is doubled.
const maxFailures = 8

// maxListBytes bounds a list fetched from a peer.
const maxListBytes = 4 << 20

// WatcherConfig wires a Watcher.
type WatcherConfig struct {
	Table *Table
	// Source is the platform's list; nil means that there is none.
	Source provider.VMList
	Caller Caller
	Clock  clock.Clock
	// Rand decides on jitter and on the peers asked. The Watcher owns it.
	Rand   *rand.Rand
	Timing Timing
}

// Counts are the counters of a Watcher since its start.
type Counts struct {
	// PlatformReads counts reads of the platform's list.
	PlatformReads atomic.Uint64
	// PlatformFailures counts those that failed or named no VM.
	PlatformFailures atomic.Uint64
	// Pulls counts questions to peers.
	Pulls atomic.Uint64
	// PullFailures counts those that brought no list.
	PullFailures atomic.Uint64
}

// listing is a list as the platform gave it. It is immutable.
type listing struct {
	vms      []provider.VM
	document *delta.Document
	readAt   time.Time
}

// Watcher keeps a Table up to date: a few processes of each data centre read
// the platform, the others ask those.
type Watcher struct {
	cfg     WatcherConfig
	counts  Counts
	current atomic.Pointer[listing]
	// readAttemptAt is when this process last read the platform; used by the
	// duty alone.
	readAttemptAt time.Time
	// failures counts refreshes in a row that brought nothing, up to
	// maxFailures; used by the duty alone.
	failures int
}

// NewWatcher returns a watcher that has not begun.
func NewWatcher(cfg WatcherConfig) *Watcher { return &Watcher{cfg: cfg} }

// Counts returns the watcher's counters.
func (w *Watcher) Counts() *Counts { return &w.counts }

// Age returns the time since the platform gave out the list in use, and false
// when there is none.
func (w *Watcher) Age() (time.Duration, bool) {
	now := w.current.Load()
	if now == nil {
		return 0, false
	}
	return w.cfg.Clock.Now().Sub(now.readAt), true
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

// Refresh brings the table up to date once, from the platform or a peer, and
// returns how long to wait before the next time. The wait grows while nobody
// answers, so that a fleet which starts beside a platform that is down does not
// flood it.
func (w *Watcher) Refresh(ctx context.Context) time.Duration {
	if w.onDuty() && w.read(ctx) {
		w.failures = 0
		return w.jitter(w.readInterval())
	}
	answered := w.pullAny(ctx)
	if w.fallbackDue() && w.read(ctx) {
		answered = true
	}
	if answered {
		w.failures = 0
		return w.jitter(w.cfg.Timing.PullInterval)
	}
	wait := min(w.cfg.Timing.PullInterval<<w.failures, w.cfg.Timing.FallbackInterval)
	w.failures = min(w.failures+1, maxFailures)
	return w.jitter(wait)
}

// readInterval returns the mean time between two reads of the platform.
func (w *Watcher) readInterval() time.Duration {
	timing := w.cfg.Timing
	now := w.current.Load()
	if now == nil {
		return timing.MinReadInterval
	}
	bytes := len(now.document.Body())
	interval := time.Duration(bytes) * time.Second / time.Duration(timing.ReadBytesPerSecond)
	return min(max(interval, timing.MinReadInterval), timing.MaxReadInterval)
}

func (w *Watcher) onDuty() bool {
	table := w.cfg.Table
	return IsElected(table.Self(), table.VMs(), dutyPurpose, w.epoch(), ReadersPerDataCentre)
}

func (w *Watcher) epoch() uint64 {
	return uint64(w.cfg.Clock.Now().UnixNano() / int64(w.cfg.Timing.ElectionPeriod))
}

// fallbackDue reports whether a process that is no reader should read the
// platform itself.
func (w *Watcher) fallbackDue() bool {
	age, ok := w.Age()
	if ok && age < w.cfg.Timing.StaleAfter {
		return false
	}
	return w.cfg.Clock.Now().Sub(w.readAttemptAt) >= w.cfg.Timing.FallbackInterval
}

// read takes the list from the platform.
func (w *Watcher) read(ctx context.Context) bool {
	if w.cfg.Source == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, w.cfg.Timing.ReadTimeout)
	defer cancel()
	start := w.cfg.Clock.Now()
	w.readAttemptAt = start
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
	w.publish(&listing{vms: vms, document: document, readAt: start})
	return true
}

// publish puts a newer list in use.
func (w *Watcher) publish(next *listing) {
	if w.cfg.Table.ApplyAt(next.vms, next.readAt) {
		w.current.Store(next)
	}
}

// pullAny asks a reader of the own data centre, or else any other process. It
// reports whether one of them answered.
func (w *Watcher) pullAny(ctx context.Context) bool {
	for _, vm := range w.candidates() {
		if w.pull(ctx, vm.Address) {
			return true
		}
	}
	return false
}

// candidates returns a reader of the own data centre and any other process.
func (w *Watcher) candidates() []provider.VM {
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
	if readers := Elect(local, dutyPurpose, w.epoch(), ReadersPerDataCentre); len(readers) > 0 {
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
