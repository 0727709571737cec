package history

import (
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"
)

// CheckConfigVersions checks configuration versions in force against this model, by
// Porcupine: each life of a process is a monotone register. An observation
// takes effect at its time, and is legal only when its version is not below
// the highest observed before in that life. Besides, each observed version
// must have been published, valid, before it was observed.
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
				Detail:    fmt.Sprintf("version %d in force at %v without a valid publication", o.Version, o.At),
			})
		}
	}
	for _, process := range sortedKeys(byProcess) {
		if !porcupine.CheckOperations(versionModel(), byProcess[process]) {
			found = append(found, Violation{
				Guarantee: ConfigVersion,
				Subject:   process,
				Detail:    fmt.Sprintf("the version went back: %v", versionsOf(byProcess[process])),
			})
		}
	}
	return found
}

func versionModel() porcupine.Model {
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

func versionsOf(operations []porcupine.Operation) []uint64 {
	versions := make([]uint64, 0, len(operations))
	for _, op := range operations {
		versions = append(versions, op.Input.(uint64))
	}
	return versions
}

// CheckConfigActivation checks that from bound after the last valid publication on,
// every process that observed anything since then observed that version or a
// later one. Observations for which excused returns true are left out: those
// of processes that were down, frozen or cut off.
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
					Detail: fmt.Sprintf("version %d at %v, but %d was published at %v",
						o.Version, o.At, p.Version, p.At),
				})
			}
		}
	}
	return found
}
