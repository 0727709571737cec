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

// Subset returns the indexes of the agents that an entry uses, at most size of
// them: agents of the entry's own data centre first, otherwise ordered by
// rendezvous hashing. The chosen agents do not depend on their order in agents, and
// the loss of one agent changes at most one member.
func Subset(entry, entryDataCentre string, agents []SubsetCandidate, size int) []int {
	type scored struct {
		index int
		local bool
		score uint64
	}
	all := make([]scored, len(agents))
	for i, a := range agents {
		all[i] = scored{index: i, local: a.DataCentre == entryDataCentre, score: xxhash.Sum64String(entry + "\x00" + a.VM)}
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
