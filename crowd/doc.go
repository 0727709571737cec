// Package crowd tests the programs of the system against crowds of callers and peers that
// stay outside the protocol or stop in the middle of it.
//
// Each test starts a program as a process of its own with a small memory limit, opens a fixed
// number of connections to one of its listeners, and checks what does not depend on the speed
// of the machine: the process lives, its peak memory and its open descriptors stay below the
// limits of its settings, and an ordinary request is answered beside the crowd and after it.
// The tests run one at a time, apart from those of other packages.
package crowd
