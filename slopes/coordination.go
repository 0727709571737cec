package slopes

import (
	"slices"
	"time"

	"github.com/sesameswitch/sesameswitch/standin/config"
)

// Phases of a measurement.
const (
	// settleDuration is how long a new fleet runs before the measurement.
	settleDuration = 4 * time.Second
	// idleDuration is how long the fleet is measured without changes.
	idleDuration = 8 * time.Second
	// changeCount is the number of changes while the service is up,
	// changeInterval the time between them.
	changeCount    = 5
	changeInterval = time.Second
	outageDuration = 4 * time.Second
	// convergenceTimeout bounds the wait until a version is active everywhere.
	convergenceTimeout = 30 * time.Second
	// callsPerFlap is the length of the alternating series of successful and
	// failing calls while the service is flapping.
	callsPerFlap = 3
)

// CoordinationCost is the cost of coordination in a fleet of one size.
type CoordinationCost struct {
	Processes int `json:"processes"`
	// BytesPerSecond is the traffic of a process with its peers, in both
	// directions, while nothing changes. TCP and IP headers are not included.
	BytesPerSecond float64 `json:"bytes_per_second"`
	// CorePercent is the CPU time of a process in percent of one core.
	CorePercent float64 `json:"core_percent"`
	// ConfigCallsPerSecond and VMListReadsPerSecond are the rates of calls to the
	// configuration service and of reads of the VM list by the whole fleet.
	ConfigCallsPerSecond float64 `json:"config_calls_per_second"`
	VMListReadsPerSecond float64 `json:"list_reads_per_second"`
	// MemoryBytes is the live memory of a process.
	MemoryBytes int64 `json:"memory_bytes"`
	// BytesPerChange is the additional traffic of a process for one change, in
	// both directions.
	BytesPerChange float64 `json:"bytes_per_change"`
	// CPUMillisPerChange is the additional CPU time of a process for one
	// change, in milliseconds.
	CPUMillisPerChange float64 `json:"processor_ms_per_change"`
	// ConfigCallsPerChange is the number of calls of the fleet to the
	// configuration service per change, including the calls that are made
	// without a change.
	ConfigCallsPerChange float64 `json:"calls_per_change"`
	// The convergence times are the times from the publication of a change until
	// it is active in all processes: the median and the maximum while the
	// configuration service is up, the time from the end of an outage, and the
	// time while the service is flapping.
	ConvergenceMedianMillis   float64 `json:"up_median_ms"`
	ConvergenceMaxMillis      float64 `json:"up_max_ms"`
	OutageConvergenceMillis   float64 `json:"down_ms"`
	FlappingConvergenceMillis float64 `json:"flapping_ms"`
}

// counterReading holds the values of the counters at one time.
type counterReading struct {
	at          time.Time
	cpuTime     time.Duration
	peerBytes   int64
	configCalls uint64
	vmListReads uint64
}

// readCounters reads all counters of the fleet.
func (f *fleet) readCounters() counterReading {
	return counterReading{
		at: time.Now(), cpuTime: processCPUTime(), peerBytes: f.peerBytes(),
		configCalls: f.configCalls(), vmListReads: f.vmListReads(),
	}
}

// MeasureCoordination runs a fleet of n processes and measures the cost of
// coordination without and with configuration changes.
func MeasureCoordination(n, accounts int) (CoordinationCost, error) {
	cost := CoordinationCost{Processes: n}
	before := liveMemory()
	f, err := startFleet(n, GenerateManifest(1, accounts))
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return cost, err
	}
	time.Sleep(settleDuration)
	from := f.readCounters()
	time.Sleep(idleDuration)
	to := f.readCounters()
	f.recordIdleCost(&cost, from, to)
	cost.MemoryBytes = (liveMemory() - before) / int64(n)
	version, err := f.measureChangesWithServiceUp(&cost, accounts)
	if err != nil {
		return cost, err
	}
	if err := f.measureChangeDuringOutage(&cost, accounts, version+1); err != nil {
		return cost, err
	}
	return cost, f.measureChangeWhileFlapping(&cost, accounts, version+2)
}

// recordIdleCost computes the cost without changes from two readings.
func (f *fleet) recordIdleCost(cost *CoordinationCost, from, to counterReading) {
	seconds := to.at.Sub(from.at).Seconds()
	n := float64(len(f.members))
	cost.BytesPerSecond = 2 * float64(to.peerBytes-from.peerBytes) / seconds / n
	cost.CorePercent = 100 * (to.cpuTime - from.cpuTime).Seconds() / seconds / n
	cost.ConfigCallsPerSecond = float64(to.configCalls-from.configCalls) / seconds
	cost.VMListReadsPerSecond = float64(to.vmListReads-from.vmListReads) / seconds
}

// measureChangesWithServiceUp publishes several versions one after another
// while the configuration service is up. It returns the last version.
func (f *fleet) measureChangesWithServiceUp(cost *CoordinationCost, accounts int) (uint64, error) {
	from := f.readCounters()
	version := uint64(1)
	var millis []float64
	for range changeCount {
		version++
		published := time.Now()
		f.config.Publish(manifestKey, GenerateManifest(version, accounts))
		activatedAt, err := f.awaitActivation(version, convergenceTimeout)
		if err != nil {
			return version, err
		}
		millis = append(millis, float64(activatedAt.Sub(published).Microseconds())/1000)
		time.Sleep(changeInterval)
	}
	to := f.readCounters()
	slices.Sort(millis)
	cost.ConvergenceMedianMillis = millis[len(millis)/2]
	cost.ConvergenceMaxMillis = millis[len(millis)-1]
	idleBytes := cost.BytesPerSecond * to.at.Sub(from.at).Seconds()
	totalBytes := 2 * float64(to.peerBytes-from.peerBytes) / float64(len(f.members))
	cost.BytesPerChange = (totalBytes - idleBytes) / changeCount
	n := float64(len(f.members))
	idleCPUSeconds := cost.CorePercent / 100 * to.at.Sub(from.at).Seconds() * n
	cost.CPUMillisPerChange = 1000 * ((to.cpuTime - from.cpuTime).Seconds() - idleCPUSeconds) / changeCount / n
	cost.ConfigCallsPerChange = float64(to.configCalls-from.configCalls) / changeCount
	return version, nil
}

// measureChangeDuringOutage publishes a version during an outage of the
// configuration service and measures the convergence time from the end of the
// outage.
func (f *fleet) measureChangeDuringOutage(cost *CoordinationCost, accounts int, version uint64) error {
	f.config.SetFaults(config.Faults{Down: true})
	f.config.Publish(manifestKey, GenerateManifest(version, accounts))
	time.Sleep(outageDuration)
	restored := time.Now()
	f.config.SetFaults(config.Faults{})
	activatedAt, err := f.awaitActivation(version, convergenceTimeout)
	cost.OutageConvergenceMillis = float64(activatedAt.Sub(restored).Microseconds()) / 1000
	return err
}

// measureChangeWhileFlapping publishes a version while the configuration
// service is flapping and measures the convergence time.
func (f *fleet) measureChangeWhileFlapping(cost *CoordinationCost, accounts int, version uint64) error {
	f.config.SetFaults(config.Faults{FlapEvery: callsPerFlap})
	published := time.Now()
	f.config.Publish(manifestKey, GenerateManifest(version, accounts))
	activatedAt, err := f.awaitActivation(version, convergenceTimeout)
	cost.FlappingConvergenceMillis = float64(activatedAt.Sub(published).Microseconds()) / 1000
	return err
}
