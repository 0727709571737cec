package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kinds of failures.
const (
	KillGateway      = "gateway killed"
	TerminateGateway = "gateway told to end"
	PauseGateway     = "gateway frozen"
	StoreOutage      = "store fails"
	StoreCompaction  = "store forgets its history"
	StoreLinkFault   = "store cut off from one gateway"
	ServerLinkFault  = "link to a backend server fails"
	ServerErrors     = "backend server fails requests"
	ServerTruncates  = "backend server cuts answers"
	ServerRefuses    = "backend server refuses"
	ServerDrains     = "backend server leaves"
	ConfigChange     = "configuration changes"
	KeyRevocation    = "key taken away"
	SettingsReload   = "settings read again"
)

var faultKinds = []string{
	KillGateway, TerminateGateway, PauseGateway, StoreOutage, StoreCompaction, StoreLinkFault, ServerLinkFault,
	ServerErrors, ServerTruncates, ServerRefuses, ServerDrains, ConfigChange, KeyRevocation, SettingsReload,
}

// Fault is one failure of a plan.
type Fault struct {
	Kind string
	// At is when it begins, For how long it lasts.
	At, For time.Duration
	// Target is the gateway or backend server, Variant how it fails.
	Target, Variant int
}

func (f Fault) String() string {
	return fmt.Sprintf("%5.2fs %s, target %d, variant %d, for %.2fs", f.At.Seconds(), f.Kind, f.Target, f.Variant, f.For.Seconds())
}

// Lengths of failures. The longest is above the bound for keys, so that a frozen
// gateway wakes with keys that were taken away meanwhile.
const (
	minFault = 200 * time.Millisecond
	maxFault = 3 * time.Second
)

// variants is how many ways a failure of a link or of the store has.
const variants = 5

// DrawPlan returns the plan of a seed. Failures overlap and may hit the same target
// again.
func DrawPlan(o Options, seed uint64) []Fault {
	rng := rand.New(rand.NewPCG(seed, 1)) //nolint:gosec // repeatable on purpose
	faults := make([]Fault, 0, o.Faults)
	for range o.Faults {
		faults = append(faults, Fault{
			Kind:    faultKinds[rng.IntN(len(faultKinds))],
			At:      time.Duration(rng.Int64N(int64(o.Duration * 3 / 4))),
			For:     minFault + time.Duration(rng.Int64N(int64(maxFault-minFault))),
			Target:  rng.IntN(max(o.Gateways, o.Servers)),
			Variant: rng.IntN(variants),
		})
	}
	slices.SortFunc(faults, func(a, b Fault) int { return int(a.At - b.At) })
	return faults
}
