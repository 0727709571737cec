//go:build sesame_mutation

// Package mutation lets a test build switch off one guard at a time, to show
// that the checkers notice. This is the test build: the guards to switch off
// are named in the environment or by Set.
package mutation

import (
	"os"
	"strings"
	"sync/atomic"
)

// EnvironmentVariable is the name of the environment variable that lists the
// guards to switch off, separated by commas.
const EnvironmentVariable = "SESAME_MUTATION"

// Guard names one safety check in the code.
type Guard string

var current atomic.Pointer[map[Guard]bool]

func init() {
	var guards []Guard
	for _, name := range strings.Split(os.Getenv(EnvironmentVariable), ",") {
		guards = append(guards, Guard(name))
	}
	Set(guards...)
}

// Off reports whether the guard is switched off.
func Off(g Guard) bool { return (*current.Load())[g] }

// Set switches off exactly the given guards.
func Set(guards ...Guard) {
	off := make(map[Guard]bool, len(guards))
	for _, g := range guards {
		off[g] = true
	}
	current.Store(&off)
}
