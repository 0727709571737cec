package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kinds of faults, as plans print them.
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
	StoreRestore     = "store restored from an older copy"
	ServerLeaves     = "backend server states that it is leaving"
	ServerAsksPause  = "backend server refuses and asks for a pause"
	ServerAsksLate   = "backend server refuses at the deadline and asks for a pause"
	ServerLimits     = "backend server limits its rate of requests"
	CrashingSegment  = "one segment of prompts crashes backend servers"
	CrashingRequest  = "a request that comes again crashes backend servers"
)

// Kinds of faults that are drawn only with Options.Evacuations.
const (
	// EvacuateDataCentre: the key that evacuates a data centre is written and later removed.
	EvacuateDataCentre = "data centre evacuated"
	// ServerRestartsCold: a backend server crashes and restarts cold under the same ID.
	ServerRestartsCold = "backend server restarts cold"
)

// KillAllGateways kills all gateways at the same time; they start again. It is drawn only with
// Options.FleetKills.
const KillAllGateways = "all gateways killed"

// Faults in effect for the entire test. They are not drawn at random.
const (
	// CutFirstRuns: each backend server cuts its answer to the first run of every
	// request that must not run twice.
	CutFirstRuns = "first run of each unrepeatable request is cut"
	// AllServersRefuse: each backend server refuses every request.
	AllServersRefuse = "all backend servers refuse"
	// GatewaysSeparated: no gateway knows the address of another one.
	GatewaysSeparated = "gateways cannot find each other"
)

var faultKinds = []string{
	KillGateway, TerminateGateway, PauseGateway, StoreOutage, StoreCompaction, StoreLinkFault, ServerLinkFault,
	ServerErrors, ServerTruncates, ServerRefuses, ServerDrains, ConfigChange, KeyRevocation, SettingsReload,
	StoreRestore, ServerLeaves, ServerAsksPause, ServerLimits, ServerAsksLate,
	CrashingSegment, CrashingRequest,
}

// Fault is one fault of a plan.
type Fault struct {
	Kind string
	// At is the time from the start of the test to the start of the fault, For the
	// duration of the fault.
	At, For time.Duration
	// Target selects the gateway or the revoked key. For a fault of a backend
	// server, Target and Variant together select the server. Variant also selects
	// the state of a link or the kind of a store outage.
	Target, Variant int
}

func (f Fault) String() string {
	return fmt.Sprintf("%5.2fs %s, target %d, variant %d, for %.2fs", f.At.Seconds(), f.Kind, f.Target, f.Variant, f.For.Seconds())
}

// Bounds of the duration of a fault. The longest faults last almost as long as
// maxRevocationDelay, so that a paused gateway may resume with keys that were
// revoked during the pause.
const (
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 3 * time.Second
)

// variantCount is the number of variants of a link fault or a store outage.
const variantCount = 5

// fleetKillFaults is the number of faults that Options.FleetKills adds to a plan, each followed by
// another one within maxFaultDuration in half of the cases.
const fleetKillFaults = 2

// maxFleetKill is the longest time for which all gateways are away: their callers must be able to
// take streams up afterwards.
const maxFleetKill = time.Second

// evacuationFaults is the number of faults that Options.Evacuations adds to a plan.
const evacuationFaults = 4

// DrawPlan returns the plan of a seed, ordered by time. Faults may overlap and may
// affect the same target several times. With Options.Evacuations, it has the same faults
// as without and others.
func DrawPlan(o Options, seed uint64) []Fault {
	faults := drawFaults(o, rand.New(rand.NewPCG(seed, 1)), faultKinds, o.Faults) //nolint:gosec // reproducible by design
	if o.Evacuations {
		rng := rand.New(rand.NewPCG(seed, 2)) //nolint:gosec // reproducible by design
		faults = append(faults, drawFaults(o, rng, []string{EvacuateDataCentre, ServerRestartsCold}, evacuationFaults)...)
	}
	if o.FleetKills {
		rng := rand.New(rand.NewPCG(seed, 3)) //nolint:gosec // reproducible by design
		for _, f := range drawFaults(o, rng, []string{KillAllGateways}, fleetKillFaults) {
			f.For = min(f.For, maxFleetKill)
			faults = append(faults, f)
			if again := f; rng.IntN(2) == 0 {
				again.At += again.For + time.Duration(rng.Int64N(int64(time.Second)))
				faults = append(faults, again)
			}
		}
	}
	slices.SortFunc(faults, func(a, b Fault) int { return int(a.At - b.At) })
	if o.ServersRefuse {
		faults = slices.Insert(faults, 0, Fault{Kind: AllServersRefuse})
	}
	return faults
}

// drawFaults returns n random faults of the given kinds.
func drawFaults(o Options, rng *rand.Rand, kinds []string, n int) []Fault {
	faults := make([]Fault, 0, n)
	for range n {
		faults = append(faults, Fault{
			Kind:    kinds[rng.IntN(len(kinds))],
			At:      time.Duration(rng.Int64N(int64(o.Duration * 3 / 4))),
			For:     minFaultDuration + time.Duration(rng.Int64N(int64(maxFaultDuration-minFaultDuration))),
			Target:  rng.IntN(max(o.Gateways, o.Servers)),
			Variant: rng.IntN(variantCount),
		})
	}
	return faults
}
