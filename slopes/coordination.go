package slopes

import (
	"slices"
	"time"

	"github.com/sesameswitch/sesameswitch/standin/config"
)

// Durations and sizes of the phases of a measurement.
const (
	// settleDuration is how long a new fleet or entry runs before it is measured.
	settleDuration = 4 * time.Second
	// idleDuration is how long the fleet is measured without changes.
	idleDuration = 8 * time.Second
	// changeCount is the number of versions published while the configuration
	// service is up, changeInterval the time from the activation of one version to
	// the publication of the next.
	changeCount    = 5
	changeInterval = time.Second
	// outageDuration is the duration of the outage of the configuration service.
	outageDuration = 4 * time.Second
	// convergenceTimeout bounds the wait until a version is active everywhere.
	convergenceTimeout = 30 * time.Second
	// callsPerFlap is the number of consecutive calls that the flapping
	// configuration service responds to before it fails the same number of calls.
	callsPerFlap = 3
)

// CoordinationCost is the cost of coordination in a fleet of one size. The cost of
// a process is the mean over the fleet. CPU time and memory include those of the
// stand-ins, which run in the same program.
type CoordinationCost struct {
	Processes int `json:"processes"`
	// BytesPerSecond is the traffic of a process with its peers, in both
	// directions, while nothing changes. TCP and IP headers are not included.
	BytesPerSecond float64 `json:"bytes_per_second"`
	// CorePercent is the CPU time of a process while nothing changes, in percent of
	// one core.
	CorePercent float64 `json:"core_percent"`
	// ConfigCallsPerSecond and VMListReadsPerSecond are the rates of calls to the
	// configuration service and of reads of the VM list by all processes together,
	// while nothing changes.
	ConfigCallsPerSecond float64 `json:"config_calls_per_second"`
	VMListReadsPerSecond float64 `json:"list_reads_per_second"`
	// MemoryBytes is the size of the live heap and the stacks of a process.
	MemoryBytes int64 `json:"memory_bytes"`
	// BytesPerChange is the additional traffic of a process for one change, in
	// both directions.
	BytesPerChange float64 `json:"bytes_per_change"`
	// CPUMillisPerChange is the additional CPU time of a process for one
	// change, in milliseconds.
	CPUMillisPerChange float64 `json:"processor_ms_per_change"`
	// ConfigCallsPerChange is the number of calls of all processes to the
	// configuration service per change, including those that they also make
	// without changes.
	ConfigCallsPerChange float64 `json:"calls_per_change"`
	// ConvergenceMedianMillis and ConvergenceMaxMillis are the median and the
	// maximum of the time from the publication of a version until it is active in
	// all processes, while the configuration service is up.
	ConvergenceMedianMillis float64 `json:"up_median_ms"`
	ConvergenceMaxMillis    float64 `json:"up_max_ms"`
	// OutageConvergenceMillis is the time from the end of an outage until a version
	// published during the outage is active in all processes.
	OutageConvergenceMillis float64 `json:"down_ms"`
	// FlappingConvergenceMillis is the time from the publication of a version while
	// the configuration service is flapping until it is active in all processes.
	FlappingConvergenceMillis float64 `json:"flapping_ms"`
}

// counterReading holds the counters of a fleet at one time.
type counterReading struct {
	at      time.Time
	cpuTime time.Duration
	// peerBytes counts each byte once, where it is written.
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
		publishedAt := time.Now()
		f.config.Publish(manifestKey, GenerateManifest(version, accounts))
		activatedAt, err := f.awaitActivation(version, convergenceTimeout)
		if err != nil {
			return version, err
		}
		millis = append(millis, float64(activatedAt.Sub(publishedAt).Microseconds())/1000)
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
// configuration service and measures the time from the end of the outage until the
// version is active in all processes.
func (f *fleet) measureChangeDuringOutage(cost *CoordinationCost, accounts int, version uint64) error {
	f.config.SetFaults(config.Faults{Down: true})
	f.config.Publish(manifestKey, GenerateManifest(version, accounts))
	time.Sleep(outageDuration)
	clearedAt := time.Now()
	f.config.SetFaults(config.Faults{})
	activatedAt, err := f.awaitActivation(version, convergenceTimeout)
	cost.OutageConvergenceMillis = float64(activatedAt.Sub(clearedAt).Microseconds()) / 1000
	return err
}

// measureChangeWhileFlapping publishes a version while the configuration
// service is flapping and measures the convergence time.
func (f *fleet) measureChangeWhileFlapping(cost *CoordinationCost, accounts int, version uint64) error {
	f.config.SetFaults(config.Faults{FlapEvery: callsPerFlap})
	publishedAt := time.Now()
	f.config.Publish(manifestKey, GenerateManifest(version, accounts))
	activatedAt, err := f.awaitActivation(version, convergenceTimeout)
	cost.FlappingConvergenceMillis = float64(activatedAt.Sub(publishedAt).Microseconds()) / 1000
	return err
}
