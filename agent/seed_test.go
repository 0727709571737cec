package agent

import "flag"

// Property tests use a fixed random seed, so that every run has the same
// result. The command-line flag -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
