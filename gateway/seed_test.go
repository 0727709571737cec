package gateway

import "flag"

// The property tests use a fixed seed, so that each run has the same result.
// The flag -rapid.seed on the command line sets another seed.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
