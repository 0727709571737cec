// Package deployment holds what a process is told of itself and of the promises
// of its deployment, as plain values. It does no I/O.
package deployment

import "time"

// Settings are the checked settings of one process. They are replaced as a
// whole when the platform changes them.
type Settings struct {
	// VM is the name of this machine.
	VM         string
	DataCentre string
	Region     string
	// Role is the name that the deployment gives the process.
	Role string
	// IP is the address that this VM is reached at.
	IP string
	// CallerAddress accepts connections of callers.
	CallerAddress string
	// ReadyAddress answers the balancer's readiness checks.
	ReadyAddress string
	// PeerAddress receives datagrams of other gateways; empty is none.
	PeerAddress string
	// Seeds are peer addresses that may be stale or down.
	Seeds []string
	// DataCentres maps each data centre to its region.
	DataCentres map[string]string
	Limits      Limits
	Bounds      Bounds
	// StoreAddress is where the platform's store listens.
	StoreAddress string
}

// Limits are what this VM has.
type Limits struct {
	// CPUShare is the share of a core, from 0 to 1.
	CPUShare float64
	// MemoryBytes ends the process when exceeded.
	MemoryBytes int64
	// FileDescriptors bounds open files and sockets.
	FileDescriptors int
}

// Bounds are the promises that the deployment makes about time and repeats.
type Bounds struct {
	// AddressReuseAfter is when the address of an ended backend server may belong to
	// another one.
	AddressReuseAfter time.Duration
	// MinConnectedTime is how long a process must have been undisturbed for the time
	// bounds to hold.
	MinConnectedTime time.Duration
	// DrainPeriod is how long after its notice a backend server still takes work.
	DrainPeriod time.Duration
	// TerminationGrace is the time between SIGTERM and SIGKILL.
	TerminationGrace time.Duration
	// MaxConfigDelay is when a configuration must be in force everywhere.
	MaxConfigDelay time.Duration
	// MaxRevocationDelay is when a key that was taken away must be refused everywhere.
	MaxRevocationDelay time.Duration
	// StrictRevocation says that Revoke holds for processes out of touch too.
	StrictRevocation bool
	// MaxReregistrationDelay is when lapsed entries are back after the store's return.
	MaxReregistrationDelay time.Duration
	// RetryRatio is how many repeats each request allows.
	RetryRatio float64
	// RetryExtra is how many repeats are allowed besides in each RetryWindow.
	RetryExtra  int
	RetryWindow time.Duration
	// MaxForwardDelay is how soon an event of a stream must reach the caller.
	MaxForwardDelay time.Duration
	// PrefixReuseWindow is how long after its last use a cached prefix counts.
	PrefixReuseWindow time.Duration
}
