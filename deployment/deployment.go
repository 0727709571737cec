// Package deployment defines the settings of a process and the guarantees of
// its deployment as plain values. It does no I/O.
package deployment

import "time"

// Settings are the validated settings of one process. A change of the
// platform's settings replaces all of them together.
type Settings struct {
	// VM is the name of the VM on which the process runs.
	VM         string
	DataCentre string
	Region     string
	// Role is the name that the deployment gives to the process.
	Role string
	// IP is the address at which other VMs reach this VM.
	IP string
	// CallerAddress is the listen address for callers.
	CallerAddress string
	// ReadyAddress is the listen address for the load balancer's readiness
	// checks.
	ReadyAddress string
	// PeerAddress is the listen address for datagrams of other gateways, by which
	// they also identify this gateway. If it is empty, the gateway exchanges no
	// datagrams.
	PeerAddress string
	// Seeds are the peer addresses of gateways to contact first. They may be
	// stale or unreachable.
	Seeds []string
	// DataCentres maps each data centre to its region.
	DataCentres map[string]string
	Limits      ResourceLimits
	Bounds      Bounds
	// StoreAddress is the address of the platform's store.
	StoreAddress string
	// HolderPort is the port of the origin holder on each VM of a backend server; zero if there
	// is none.
	HolderPort int
}

// ResourceLimits are the resources that this VM gives to the process.
type ResourceLimits struct {
	// CPUShare is the share of one core, from 0 to 1.
	CPUShare float64
	// MemoryBytes is the memory limit; the process is killed if it exceeds it.
	MemoryBytes int64
	// FileDescriptors limits open files and sockets.
	FileDescriptors int
}

// Bounds are the time limits that the deployment guarantees or requires, and
// the limits on retries.
type Bounds struct {
	// HeartbeatInterval is the interval at which backend servers renew the leases of their
	// entries in the store; zero if it is not known.
	HeartbeatInterval time.Duration
	// DrainPeriod is how long a backend server still accepts requests after it
	// has announced that it is draining.
	DrainPeriod time.Duration
	// TerminationGrace is the time between SIGTERM and SIGKILL.
	TerminationGrace time.Duration
	// MaxConfigDelay is the time within which every process must apply a new
	// configuration.
	MaxConfigDelay time.Duration
	// MaxRevocationDelay is the time within which every process must refuse a
	// revoked API key.
	MaxRevocationDelay time.Duration
	// StrictRevocation reports whether MaxRevocationDelay also applies to
	// processes that are disconnected from the platform.
	StrictRevocation bool
	// RetryRatio is the number of retries allowed per request, on average over a
	// RetryWindow and all gateways.
	RetryRatio float64
	// RetryExtra is the number of retries that all gateways together may make in
	// each RetryWindow in addition.
	RetryExtra  int
	RetryWindow time.Duration
	// A cold backend server gets at most its rate, in requests per second, times ColdExcess,
	// plus ColdExtra requests in any second from all gateways together.
	ColdExcess float64
	ColdExtra  float64
	// PrefixReuseWindow is how long after its last use a cached prefix still
	// counts as reusable.
	PrefixReuseWindow time.Duration
}
