package routing

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// SubsetCandidate is an agent that may be part of a subset.
type SubsetCandidate struct {
	VM         string
	DataCentre string
}

// Subset returns the indexes of the agents that the entry named self uses:
// its own data centre's first, by rendezvous hashing. The same peers give the
// same subset in any order, and the loss of one peer changes one member.
func Subset(self, selfDC string, agents []SubsetCandidate, size int) []int {
	type scored struct {
		index int
		local bool
		score uint64
	}
	all := make([]scored, len(agents))
	for i, a := range agents {
		all[i] = scored{index: i, local: a.DataCentre == selfDC, score: xxhash.Sum64String(self + "\x00" + a.VM)}
	}
	slices.SortFunc(all, func(a, b scored) int {
		if a.local != b.local {
			if a.local {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.score, a.score)
	})
	if size > len(all) {
		size = len(all)
	}
	chosen := make([]int, size)
	for i := range chosen {
		chosen[i] = all[i].index
	}
	return chosen
}
