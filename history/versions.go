package history

import (
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"
)

// CheckConfigVersions checks the active configuration versions that processes
// reported. Within each incarnation of a process, the version must never
// decrease. Porcupine checks this with a monotonic register per incarnation, in
// which an observation takes effect at its time and is legal only if its
// version is at least the previous one. In addition, a valid document with each
// observed version, except 0, must have been published before the observation.
func CheckConfigVersions(h History) []Violation {
	byProcess := make(map[string][]porcupine.Operation)
	var found []Violation
	for _, o := range h.Observations {
		byProcess[o.Process] = append(byProcess[o.Process], porcupine.Operation{
			Input: o.Version, Call: int64(o.At), Output: o.Version, Return: int64(o.At),
		})
		if o.Version != 0 && !wasPublished(h.Publications, o) {
			found = append(found, Violation{
				Guarantee: ConfigVersion,
				Subject:   o.Process,
				Detail:    fmt.Sprintf("version %d active at %v, but no valid document with this version was published before", o.Version, o.At),
			})
		}
	}
	for _, process := range sortedKeys(byProcess) {
		if !porcupine.CheckOperations(monotonicVersionModel(), byProcess[process]) {
			found = append(found, Violation{
				Guarantee: ConfigVersion,
				Subject:   process,
				Detail:    fmt.Sprintf("active version decreased: %v", observedVersions(byProcess[process])),
			})
		}
	}
	return found
}

func monotonicVersionModel() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return uint64(0) },
		Step: func(state, input, _ any) (bool, any) {
			return input.(uint64) >= state.(uint64), input
		},
	}
}

func wasPublished(publications []Publication, o Observation) bool {
	for _, p := range publications {
		if p.Valid && p.Version == o.Version && p.At <= o.At {
			return true
		}
	}
	return false
}

func observedVersions(operations []porcupine.Operation) []uint64 {
	versions := make([]uint64, 0, len(operations))
	for _, op := range operations {
		versions = append(versions, op.Input.(uint64))
	}
	return versions
}

// CheckConfigActivation checks that every process activates each valid version,
// or a later one, within bound of its publication: no observation after that may
// show an older version. Observations for which excused returns true are not
// checked; callers of this function excuse processes that were down, paused or
// partitioned.
func CheckConfigActivation(h History, bound time.Duration, excused func(Observation) bool) []Violation {
	var found []Violation
	for _, o := range h.Observations {
		if excused != nil && excused(o) {
			continue
		}
		for _, p := range h.Publications {
			if p.Valid && o.At >= p.At+bound && o.Version < p.Version {
				found = append(found, Violation{
					Guarantee: ConfigActivation,
					Subject:   o.Process,
					Detail: fmt.Sprintf("version %d active at %v, but version %d was published at %v",
						o.Version, o.At, p.Version, p.At),
				})
			}
		}
	}
	return found
}
