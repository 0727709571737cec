package eventstream

import "flag"

// The random tests draw from a fixed seed, so that each run gives the same
// verdict. The flag -rapid.seed on the command line sets another.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
