package slopes

import (
	"slices"
	"time"

	"github.com/sesameswitch/sesameswitch/standin/config"
)

// Lengths of the phases of a measurement.
const (
	settleTime    = 4 * time.Second
	idleTime      = 8 * time.Second
	changes       = 5
	changePause   = time.Second
	outageTime    = 4 * time.Second
	spreadLimit   = 30 * time.Second
	flapEveryCall = 3
)

// ControlPoint is what coordination costs in a fleet of one size.
type ControlPoint struct {
	Processes int `json:"processes"`
	// BytesPerSecond is what a process sends to and receives from peers while
	// nothing changes, without the headers of TCP and IP.
	BytesPerSecond float64 `json:"bytes_per_second"`
	// CorePercent is the processor time of a process in percent of a core.
	CorePercent float64 `json:"core_percent"`
	// ConfigCallsPerSecond and ListReadsPerSecond are of the whole fleet.
	ConfigCallsPerSecond float64 `json:"config_calls_per_second"`
	ListReadsPerSecond   float64 `json:"list_reads_per_second"`
	// MemoryBytes is the live memory of a process.
	MemoryBytes int64 `json:"memory_bytes"`
	// BytesPerChange is what a process sends and receives for one change.
	BytesPerChange float64 `json:"bytes_per_change"`
	// ProcessorPerChange is the processor time of a process for one change, in
	// milliseconds.
	ProcessorPerChange float64 `json:"processor_ms_per_change"`
	// CallsPerChange is what the fleet calls the configuration service for one
	// change.
	CallsPerChange float64 `json:"calls_per_change"`
	// UpMillis, DownMillis and FlappingMillis are the times until a change is
	// in force everywhere: the median and the longest with the service up,
	// after the service is back, and with every second run of calls failing.
	UpMedianMillis float64 `json:"up_median_ms"`
	UpMaxMillis    float64 `json:"up_max_ms"`
	DownMillis     float64 `json:"down_ms"`
	FlappingMillis float64 `json:"flapping_ms"`
}

// reading is the state of the counters at one time.
type reading struct {
	at          time.Time
	processor   time.Duration
	peerBytes   int64
	configCalls uint64
	listReads   uint64
}

func (f *fleet) read() reading {
	return reading{
		at: time.Now(), processor: processorTime(), peerBytes: f.peerBytes(),
		configCalls: f.configCalls(), listReads: f.listReads(),
	}
}

// MeasureControl runs a fleet of n processes and measures what coordination
// costs while nothing changes and with changes.
func MeasureControl(n, accounts int) (ControlPoint, error) {
	point := ControlPoint{Processes: n}
	before := memoryInUse()
	f, err := startFleet(n, Manifest(1, accounts))
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return point, err
	}
	time.Sleep(settleTime)
	from := f.read()
	time.Sleep(idleTime)
	to := f.read()
	f.idle(&point, from, to)
	point.MemoryBytes = (memoryInUse() - before) / int64(n)
	version, err := f.changesWithServiceUp(&point, accounts)
	if err != nil {
		return point, err
	}
	if err := f.changeDuringOutage(&point, accounts, version+1); err != nil {
		return point, err
	}
	return point, f.changeWhileFlapping(&point, accounts, version+2)
}

func (f *fleet) idle(point *ControlPoint, from, to reading) {
	seconds := to.at.Sub(from.at).Seconds()
	n := float64(len(f.members))
	point.BytesPerSecond = 2 * float64(to.peerBytes-from.peerBytes) / seconds / n
	point.CorePercent = 100 * (to.processor - from.processor).Seconds() / seconds / n
	point.ConfigCallsPerSecond = float64(to.configCalls-from.configCalls) / seconds
	point.ListReadsPerSecond = float64(to.listReads-from.listReads) / seconds
}

// changesWithServiceUp publishes some versions, one after another, and
// returns the last.
func (f *fleet) changesWithServiceUp(point *ControlPoint, accounts int) (uint64, error) {
	from := f.read()
	version := uint64(1)
	var millis []float64
	for range changes {
		version++
		published := time.Now()
		f.config.Publish(manifestKey, Manifest(version, accounts))
		at, err := f.await(version, spreadLimit)
		if err != nil {
			return version, err
		}
		millis = append(millis, float64(at.Sub(published).Microseconds())/1000)
		time.Sleep(changePause)
	}
	to := f.read()
	slices.Sort(millis)
	point.UpMedianMillis = millis[len(millis)/2]
	point.UpMaxMillis = millis[len(millis)-1]
	idle := point.BytesPerSecond * to.at.Sub(from.at).Seconds()
	total := 2 * float64(to.peerBytes-from.peerBytes) / float64(len(f.members))
	point.BytesPerChange = (total - idle) / changes
	n := float64(len(f.members))
	idleProcessor := point.CorePercent / 100 * to.at.Sub(from.at).Seconds() * n
	point.ProcessorPerChange = 1000 * ((to.processor - from.processor).Seconds() - idleProcessor) / changes / n
	point.CallsPerChange = float64(to.configCalls-from.configCalls) / changes
	return version, nil
}

func (f *fleet) changeDuringOutage(point *ControlPoint, accounts int, version uint64) error {
	f.config.SetFaults(config.Faults{Down: true})
	f.config.Publish(manifestKey, Manifest(version, accounts))
	time.Sleep(outageTime)
	back := time.Now()
	f.config.SetFaults(config.Faults{})
	at, err := f.await(version, spreadLimit)
	point.DownMillis = float64(at.Sub(back).Microseconds()) / 1000
	return err
}

func (f *fleet) changeWhileFlapping(point *ControlPoint, accounts int, version uint64) error {
	f.config.SetFaults(config.Faults{FlapEvery: flapEveryCall})
	published := time.Now()
	f.config.Publish(manifestKey, Manifest(version, accounts))
	at, err := f.await(version, spreadLimit)
	point.FlappingMillis = float64(at.Sub(published).Microseconds()) / 1000
	return err
}
