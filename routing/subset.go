package routing

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// SubsetCandidate is an agent that may become a member of a subset.
type SubsetCandidate struct {
	VM         string
	DataCentre string
}

// Subset returns the indexes of the size agents that the entry named self uses:
// those of its own data centre first, ordered by rendezvous hashing. The result
// does not depend on the order of the agents, and the loss of one agent changes
// at most one member.
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
	members := make([]int, size)
	for i := range members {
		members[i] = all[i].index
	}
	return members
}
