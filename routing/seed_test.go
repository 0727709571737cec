package routing

import "flag"

// The property-based tests use a fixed seed so that each run has the same
// result. The command-line flag -rapid.seed sets another one.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
