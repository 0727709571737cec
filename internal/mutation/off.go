//go:build !sesame_mutation

// Package mutation lets a test build switch off guards, which are safety checks
// in the code, to show that tests and checkers detect their absence. In an
// ordinary build every guard is on and the check for it costs nothing.
package mutation

// Guard is the name of one safety check in the code.
type Guard string

// Off returns false, because this build cannot switch off guards.
func Off(Guard) bool { return false }
