//go:build sesame_mutation

// Package mutation lets a test build switch off guards, which are safety checks
// in the code, to show that tests and checkers detect their absence. In this
// test build, the environment variable that EnvironmentVariable names lists the
// guards that are off when the process starts. Set replaces that list.
package mutation

import (
	"os"
	"strings"
	"sync/atomic"
)

// EnvironmentVariable is the name of the environment variable that lists the
// guards to switch off, separated by commas.
const EnvironmentVariable = "SESAME_MUTATION"

// Guard is the name of one safety check in the code.
type Guard string

// switchedOff is the set of guards that are switched off.
var switchedOff atomic.Pointer[map[Guard]bool]

func init() {
	var guards []Guard
	for _, name := range strings.Split(os.Getenv(EnvironmentVariable), ",") {
		guards = append(guards, Guard(name))
	}
	Set(guards...)
}

// Off reports whether the guard is switched off.
func Off(g Guard) bool { return (*switchedOff.Load())[g] }

// Set switches off the given guards and switches on all others.
func Set(guards ...Guard) {
	off := make(map[Guard]bool, len(guards))
	for _, g := range guards {
		off[g] = true
	}
	switchedOff.Store(&off)
}
