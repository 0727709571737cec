//go:build !sesame_mutation

// Package mutation lets a test build switch off one guard at a time, to show
// that the checkers notice. In an ordinary build every guard is on and the
// switch costs nothing.
package mutation

// Guard names one safety check in the code.
type Guard string

// Off reports whether the guard is switched off; here never.
func Off(Guard) bool { return false }
