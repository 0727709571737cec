package gateway

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/sesameswitch/sesameswitch/clock"
	"github.com/sesameswitch/sesameswitch/deployment"
	"github.com/sesameswitch/sesameswitch/history"
	"github.com/sesameswitch/sesameswitch/routes"
	"github.com/sesameswitch/sesameswitch/routing"
	"github.com/sesameswitch/sesameswitch/telemetry"
)

// Parameters of the simulated deployment: a backend service that refuses every
// request unless it is healthy, so that gateways retry as much as the budget allows.
const (
	simRetryRatio  = 0.2
	simRetryExtra  = 54
	simRetryWindow = 10 * time.Second
	simStep        = 10 * time.Millisecond
	// simRetries is how often each request would be retried without a budget.
	simRetries = 3
	// simReadsPerStep is how many waiting requests a gateway reads in a step.
	simReadsPerStep = 2
)

// simGateway is one gateway address; a restart replaces its components.
type simGateway struct {
	address string
	seeds   []string
	up      bool
	// paused is true while the process does not run; unread counts the requests that
	// wait for it.
	paused bool
	unread int
	peers  *Peers
	server *Server
}

// heldRetry is a retry that the budget allowed and that is sent later.
type heldRetry struct {
	sendAt time.Time
	send   func()
}

// budgetSimulation counts the requests and the retries of several gateways.
type budgetSimulation struct {
	clock    *clock.Manual
	gateways []*simGateway
	// linked reports whether datagrams pass between two gateways.
	linked func(from, to int) bool
	// healthy reports whether backend servers serve requests, instead of refusing them.
	healthy bool
	// hold is how long retries wait until they are sent.
	hold              time.Duration
	held              []heldRetry
	requests, retries []time.Time
}

func newBudgetSimulation(gateways int) *budgetSimulation {
	sim := &budgetSimulation{clock: clock.NewManual(epoch), linked: func(int, int) bool { return true }}
	for i := range gateways {
		g := &simGateway{address: fmt.Sprintf("10.0.0.%d:80", i+1), seeds: []string{"10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80"}}
		sim.gateways = append(sim.gateways, g)
		sim.start(g)
	}
	return sim
}

// start starts a gateway that knows nothing of its time before.
func (sim *budgetSimulation) start(g *simGateway) {
	settings := &deployment.Settings{PeerAddress: g.address, Seeds: g.seeds, Bounds: deployment.Bounds{
		RetryRatio: simRetryRatio, RetryExtra: simRetryExtra, RetryWindow: simRetryWindow,
	}}
	g.up = true
	g.peers = NewPeers(settings, routing.NewScheduler("a"), sim.clock, discardLog())
	g.server = NewServer(Dependencies{
		Gateways: g.peers, Clock: sim.clock, Elapsed: func() time.Duration { return sim.clock.Now().Sub(epoch) }, Metrics: telemetry.New(), Log: discardLog(), Settings: func() *deployment.Settings { return settings },
	})
}

// run advances the simulation. Each second, perSecond callers send a request to
// each of the given gateways that is up.
func (sim *budgetSimulation) run(d time.Duration, perSecond int, to ...int) {
	for end := sim.clock.Now().Add(d); sim.clock.Now().Before(end); sim.clock.Advance(simStep) {
		step := int(sim.clock.Now().Sub(epoch) / simStep)
		if step%int(helloInterval/simStep) == 0 {
			sim.sendHellos()
		}
		for _, g := range sim.gateways {
			if step%int(clock.PauseCheckInterval/simStep) == 0 && g.up && !g.paused {
				g.server.checkPause()
			}
		}
		sim.readWaiting()
		sim.sendHeld()
		if step%max(1, int(time.Second/simStep)/perSecond) != 0 {
			continue
		}
		for _, i := range to {
			if sim.gateways[i].up {
				sim.request(sim.gateways[i])
			}
		}
	}
}

func (sim *budgetSimulation) sendHellos() {
	for from, g := range sim.gateways {
		if !g.up || g.paused {
			continue
		}
		targets, message := g.peers.nextRound()
		for to, peer := range sim.gateways {
			if peer.up && !peer.paused && sim.linked(from, to) && slices.Contains(targets, peer.address) {
				peer.peers.handleMessage(message)
			}
		}
	}
}

// sendHeld sends the retries that were held for long enough.
func (sim *budgetSimulation) sendHeld() {
	now := sim.clock.Now()
	sim.held = slices.DeleteFunc(sim.held, func(r heldRetry) bool {
		if r.sendAt.After(now) {
			return false
		}
		r.send()
		return true
	})
}

// request sends a request to a gateway.
func (sim *budgetSimulation) request(g *simGateway) {
	sim.requests = append(sim.requests, sim.clock.Now())
	g.unread++
	sim.readWaiting()
}

// readWaiting lets each gateway that runs read some of the requests that wait for it.
func (sim *budgetSimulation) readWaiting() {
	for _, g := range sim.gateways {
		for range min(g.unread, simReadsPerStep) {
			if g.up && !g.paused {
				sim.handle(g)
			}
		}
	}
}

// handle lets a gateway handle an unread request, which every backend server refuses
// unless the service is healthy.
func (sim *budgetSimulation) handle(g *simGateway) {
	g.unread--
	g.server.recordRequest("app")
	for range simRetries {
		if sim.healthy {
			return
		}
		req := &request{service: &routes.Service{Name: "app"}, log: discardLog()}
		if !g.server.takeRetry(req, 0) {
			return
		}
		sim.held = append(sim.held, heldRetry{sim.clock.Now().Add(sim.hold), func() {
			g.server.useRetry(req)
			sim.retries = append(sim.retries, sim.clock.Now())
		}})
	}
	sim.sendHeld()
}

// requireWithinBudget fails the test if the backend service got more retries in any
// window than the budget allows.
func (sim *budgetSimulation) requireWithinBudget(t *testing.T) {
	t.Helper()
	budget := history.RetryBudget{Ratio: simRetryRatio, Extra: simRetryExtra, Window: simRetryWindow}
	if worst, exceeded := budget.WorstWindow(sim.requests, sim.retries, epoch); exceeded {
		t.Error(worst)
	}
}

// requireRetries fails the test if the gateways did not retry at all in the given
// period: a budget that allows nothing is kept, too.
func (sim *budgetSimulation) requireRetries(t *testing.T, from, until time.Duration) {
	t.Helper()
	if history.CountBetween(sim.retries, epoch.Add(from), epoch.Add(until)) == 0 {
		t.Errorf("no retry between %v and %v, want some", from, until)
	}
}

// TestSteadyRetriesStayWithinBudget is the baseline: all gateways run and know each
// other.
func TestSteadyRetriesStayWithinBudget(t *testing.T) {
	sim := newBudgetSimulation(4)
	sim.run(12*time.Second, 20)
	sim.run(30*time.Second, 20, 0, 1, 2, 3)
	sim.requireWithinBudget(t)
	sim.requireRetries(t, 15*time.Second, 16*time.Second)
}

// TestRestartRestoresSpentRetries guards against gateways that forget, by a restart,
// the retries which backend servers still count.
func TestRestartRestoresSpentRetries(t *testing.T) {
	sim := newBudgetSimulation(4)
	sim.run(12*time.Second, 20)
	sim.run(6*time.Second, 20, 0, 1, 2, 3)
	for range 2 {
		for _, g := range sim.gateways {
			sim.start(g)
		}
		sim.run(4*time.Second, 20, 0, 1, 2, 3)
	}
	sim.run(20*time.Second, 20, 0, 1, 2, 3)
	sim.requireWithinBudget(t)
	sim.requireRetries(t, 19*time.Second, 22*time.Second)
}

// TestPartitionMultipliesExtraRetries guards against gateways that take a larger
// share of the extra retries when they no longer see their peers.
func TestPartitionMultipliesExtraRetries(t *testing.T) {
	for _, test := range []struct {
		name   string
		linked func(from, to int) bool
	}{
		{"halves", func(from, to int) bool { return from/2 == to/2 }},
		{"each-alone", func(int, int) bool { return false }},
		{"one-way", func(from, to int) bool { return from < to }},
	} {
		t.Run(test.name, func(t *testing.T) {
			sim := newBudgetSimulation(4)
			sim.run(12*time.Second, 20)
			sim.linked = test.linked
			sim.run(30*time.Second, 20, 0, 1, 2, 3)
			sim.requireWithinBudget(t)
			sim.requireRetries(t, 30*time.Second, 42*time.Second)
		})
	}
}

// TestStartWithoutPeersTakesAllExtraRetries guards against a gateway that starts
// while it cannot reach its peers and takes itself for the only one.
func TestStartWithoutPeersTakesAllExtraRetries(t *testing.T) {
	sim := newBudgetSimulation(4)
	sim.run(12*time.Second, 20)
	sim.linked = func(from, to int) bool { return from > 1 && to > 1 }
	sim.start(sim.gateways[0])
	sim.start(sim.gateways[1])
	sim.run(12*time.Second, 20)
	sim.run(30*time.Second, 20, 0, 1, 2, 3)
	sim.requireWithinBudget(t)
	sim.requireRetries(t, 40*time.Second, 50*time.Second)
}

// TestSurvivorsTakeOverSpentShare guards against gateways that take over the share
// of a stopped gateway while its retries still count.
func TestSurvivorsTakeOverSpentShare(t *testing.T) {
	sim := newBudgetSimulation(4)
	sim.run(12*time.Second, 20)
	sim.run(2*time.Second, 20, 0, 1, 2, 3)
	sim.gateways[0].up, sim.gateways[1].up = false, false
	sim.run(30*time.Second, 40, 2, 3)
	sim.requireWithinBudget(t)
	sim.requireRetries(t, 30*time.Second, 44*time.Second)
}

// TestMovedCallersPayForRetriesTwice guards against retries that a gateway makes for
// requests of the past, while their callers already pay for retries elsewhere.
func TestMovedCallersPayForRetriesTwice(t *testing.T) {
	sim := newBudgetSimulation(4)
	sim.run(12*time.Second, 20)
	sim.healthy = true
	sim.run(10*time.Second, 20, 0, 1, 2, 3)
	sim.healthy = false
	sim.run(1*time.Second, 20, 0, 1, 2, 3)
	sim.run(10*time.Second, 40, 2, 3)
	sim.requireWithinBudget(t)
}

// TestHeldRetriesArriveInNextWindow guards against retries that are counted when they
// are decided and sent later, together with those of the next window.
func TestHeldRetriesArriveInNextWindow(t *testing.T) {
	sim := newBudgetSimulation(4)
	sim.run(12*time.Second, 20)
	sim.hold = 3 * time.Second
	sim.run(2*time.Second, 20, 0, 1, 2, 3)
	sim.hold = 0
	sim.run(20*time.Second, 20, 0, 1, 2, 3)
	sim.requireWithinBudget(t)
	sim.requireRetries(t, 15*time.Second, 18*time.Second)
}

// TestPausedGatewayPaysWithOldRequests guards against requests that waited while their
// gateway did not run and then pay for retries in a later window.
func TestPausedGatewayPaysWithOldRequests(t *testing.T) {
	sim := newBudgetSimulation(4)
	sim.run(12*time.Second, 20)
	sim.run(1*time.Second, 20, 0, 1, 2, 3)
	for _, g := range sim.gateways {
		g.paused = true
	}
	sim.run(10*time.Second, 20, 0, 1, 2, 3)
	for _, g := range sim.gateways {
		g.paused = false
	}
	sim.run(20*time.Second, 20, 0, 1, 2, 3)
	sim.requireWithinBudget(t)
	sim.requireRetries(t, 24*time.Second, 30*time.Second)
}
