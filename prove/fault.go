package prove

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"sync"
	"syscall"
	"time"

	"github.com/sesameswitch/sesameswitch/provider"
	"github.com/sesameswitch/sesameswitch/standin/config"
	"github.com/sesameswitch/sesameswitch/standin/engine"
	"github.com/sesameswitch/sesameswitch/standin/service"
	"github.com/sesameswitch/sesameswitch/standin/vmlist"
	"github.com/sesameswitch/sesameswitch/testbed"
)

// fault is a failure that is injected for some time and then cleared.
type fault struct {
	name string
	// graceful is true if the fault must not interrupt requests in flight.
	graceful bool
	inject   func(c *cluster, rng *rand.Rand, duration time.Duration) error
	// hangsBackend is true if requests that a backend server received during the
	// fault get no response, even after the fault is cleared.
	hangsBackend bool
}

// Bounds of the duration of a fault.
const (
	minFaultDuration = 500 * time.Millisecond
	maxFaultDuration = 5 * time.Second
)

// catalogue returns all faults, in the order in which seeds go through them.
func catalogue() []fault {
	return []fault{
		{name: "kill-agent", inject: killMember(agents)},
		{name: "kill-entry", inject: killMember(entries)},
		{name: "freeze-agent", inject: pauseMember(agents)},
		{name: "freeze-entry", inject: pauseMember(entries)},
		{name: "freeze-agent-long", inject: pauseMemberLong(agents)},
		{name: "freeze-entry-long", inject: pauseMemberLong(entries)},
		{name: "cut-link", inject: impairLink(testbed.LinkDown)},
		{name: "silent-link", inject: impairLink(testbed.LinkBlackhole)},
		{name: "lose-requests", inject: impairLink(testbed.LinkDropsRequests)},
		{name: "lose-answers", inject: impairLink(testbed.LinkDropsResponses)},
		{name: "end-agent", graceful: true, inject: terminateMember(agents)},
		{name: "end-entry", graceful: true, inject: terminateMember(entries)},
		{name: "end-twice", graceful: true, inject: terminateTwice},
		{name: "end-during-start", inject: terminateDuringStart},
		{name: "replace-entries", graceful: true, inject: restartEntriesInTurn},
		{name: "freeze-unlisted-entry", inject: pauseUnlistedEntry},
		{name: "agent-leaves", graceful: true, inject: drainAgent},
		{name: "config-down", graceful: true, inject: standInFault("config", config.Faults{Down: true}, config.Faults{})},
		{name: "config-hung", graceful: true, inject: standInFault("config", config.Faults{Hang: true}, config.Faults{})},
		{name: "config-garbage", graceful: true, inject: standInFault("config", config.Faults{Garbage: true}, config.Faults{})},
		{name: "config-half", graceful: true, inject: standInFault("config", config.Faults{HalfDocument: true}, config.Faults{})},
		{name: "config-flapping", graceful: true, inject: standInFault("config", config.Faults{FlapEvery: 2}, config.Faults{})},
		{name: "config-stale-and-restart", inject: restartWithStaleConfig},
		{name: "operators-at-once", graceful: true, inject: publishConcurrently},
		{name: "list-hung", graceful: true, inject: standInFault("vmlist", vmlist.Faults{Hang: true}, vmlist.Faults{})},
		{name: "list-lags", graceful: true, inject: standInFault("vmlist", vmlist.Faults{LagMillis: 10_000}, vmlist.Faults{})},
		{name: "engine-hung", inject: standInFault("engine-1", engine.Faults{Hang: true}, engine.Faults{})},
		{name: "engine-truncates", inject: standInFault("engine-1", engine.Faults{TruncateAfter: 5}, engine.Faults{})},
		{name: "engine-no-end-marker", inject: standInFault("engine-1", engine.Faults{OmitDone: true}, engine.Faults{})},
		{name: "engine-repeats-chunk", inject: standInFault("engine-1", engine.Faults{DuplicateChunk: 3}, engine.Faults{})},
		{name: "engine-slow", inject: standInFault("engine-1", engine.Faults{SlowFactor: 10}, engine.Faults{})},
		{name: "service-hangs-after", inject: standInFault("service-1", service.Faults{HangAfterRun: true}, service.Faults{}), hangsBackend: true},
		{name: "service-closes-after", inject: standInFault("service-1", service.Faults{CloseAfterRun: true}, service.Faults{})},
		{name: "service-closes-before", inject: standInFault("service-1", service.Faults{CloseBeforeRun: true}, service.Faults{})},
		{name: "service-short", inject: standInFault("service-1", service.Faults{TruncatedBody: true}, service.Faults{})},
	}
}

// FaultNames returns the sorted names of all faults.
func FaultNames() []string {
	var names []string
	for _, f := range catalogue() {
		names = append(names, f.name)
	}
	sort.Strings(names)
	return names
}

// pairEvery makes each seed that is divisible by it inject two faults
// concurrently.
const pairEvery = 4

// drawFaults selects the faults of a seed from the catalogue, or from the faults
// named in only, if any. Seeds divisible by pairEvery get two random faults, which
// may be the same. Each other seed gets a single fault; consecutive seeds go
// through the faults in order.
func drawFaults(seed uint64, rng *rand.Rand, only []string) []fault {
	all := catalogue()
	if len(only) > 0 {
		all = slices.DeleteFunc(all, func(f fault) bool { return !slices.Contains(only, f.name) })
	}
	if seed%pairEvery == 0 {
		return []fault{all[rng.IntN(len(all))], all[rng.IntN(len(all))]}
	}
	index := seed - seed/pairEvery - 1 // number of smaller seeds with a single fault
	return []fault{all[index%uint64(len(all))]}
}

func agents(c *cluster) []*member  { return c.agents }
func entries(c *cluster) []*member { return c.entries }

func pickMember(rng *rand.Rand, members []*member) *member { return members[rng.IntN(len(members))] }

// killMember kills a random member and starts it again after the duration, on the
// same addresses.
func killMember(group func(*cluster) []*member) func(*cluster, *rand.Rand, time.Duration) error {
	return func(c *cluster, rng *rand.Rand, duration time.Duration) error {
		m := pickMember(rng, group(c))
		unlock := c.lockMember(m)
		defer unlock()
		c.saveTimeline(m)
		c.logEvent("kill " + m.Name)
		m.Kill()
		time.Sleep(duration)
		c.logEvent("start " + m.Name)
		return m.Start()
	}
}

// pauseMember pauses a random member (SIGSTOP) and resumes it with its old state
// after the duration.
func pauseMember(group func(*cluster) []*member) func(*cluster, *rand.Rand, time.Duration) error {
	return func(c *cluster, rng *rand.Rand, duration time.Duration) error {
		m := pickMember(rng, group(c))
		unlock := c.lockMember(m)
		defer unlock()
		c.logEvent("pause " + m.Name)
		m.Pause()
		time.Sleep(duration)
		c.logEvent("resume " + m.Name)
		m.Resume()
		return nil
	}
}

// longPause is longer than the timeouts of up to 30 s after which entries and
// agents no longer wait for a peer or a caller. An agent's slowCallerLease and
// maxBackendSilence are longer.
const longPause = 32 * time.Second

// pauseMemberLong is pauseMember with a duration of longPause.
func pauseMemberLong(group func(*cluster) []*member) func(*cluster, *rand.Rand, time.Duration) error {
	return func(c *cluster, rng *rand.Rand, _ time.Duration) error {
		return pauseMember(group)(c, rng, longPause)
	}
}

// impairLink sets the link to a random agent to a faulty state for the duration.
func impairLink(state testbed.LinkState) func(*cluster, *rand.Rand, time.Duration) error {
	return func(c *cluster, rng *rand.Rand, duration time.Duration) error {
		m := pickMember(rng, c.agents)
		unlock := c.lockMember(m)
		defer unlock()
		c.logEvent(fmt.Sprintf("impair link to %s, state %d", m.Name, state))
		m.link.SetState(state)
		time.Sleep(duration)
		c.logEvent("restore link to " + m.Name)
		m.link.SetState(testbed.LinkOpen)
		return nil
	}
}

// terminateMember terminates a random member gracefully and starts it again after
// the duration, on the same addresses.
func terminateMember(group func(*cluster) []*member) func(*cluster, *rand.Rand, time.Duration) error {
	return func(c *cluster, rng *rand.Rand, duration time.Duration) error {
		m := pickMember(rng, group(c))
		unlock := c.lockMember(m)
		defer unlock()
		return c.terminateAndRestart(m, duration)
	}
}

// terminateAndRestart terminates a member gracefully and starts it again after the
// duration.
func (c *cluster) terminateAndRestart(m *member, duration time.Duration) error {
	c.recordShutdown(m)
	c.logEvent("terminate " + m.Name)
	waitSaved := c.followTimeline(m)
	err := m.Terminate()
	waitSaved()
	if err != nil {
		return err
	}
	time.Sleep(duration)
	c.logEvent("start " + m.Name)
	return m.Start()
}

// terminateTwice terminates a random member gracefully and sends a second SIGTERM
// during the shutdown, which must have no effect.
func terminateTwice(c *cluster, rng *rand.Rand, duration time.Duration) error {
	m := pickMember(rng, c.members())
	unlock := c.lockMember(m)
	defer unlock()
	var second sync.WaitGroup
	second.Go(func() {
		time.Sleep(secondSignalDelay)
		m.Signal(syscall.SIGTERM)
	})
	err := c.terminateAndRestart(m, max(duration, 2*secondSignalDelay))
	second.Wait()
	return err
}

// secondSignalDelay is the time between the two SIGTERM signals of terminateTwice.
const secondSignalDelay = 100 * time.Millisecond

// terminateDuringStart kills a random member, starts it again, and terminates the
// new process while it starts.
func terminateDuringStart(c *cluster, rng *rand.Rand, duration time.Duration) error {
	m := pickMember(rng, c.members())
	unlock := c.lockMember(m)
	defer unlock()
	c.saveTimeline(m)
	m.Kill()
	if err := m.Start(); err != nil {
		return err
	}
	time.Sleep(duration / 50) // 10 to 100 ms, while the process starts
	c.logEvent("terminate " + m.Name + " during its start")
	if err := m.Terminate(); err != nil {
		return err
	}
	c.logEvent("start " + m.Name)
	return m.Start()
}

// restartEntriesInTurn restarts all entries gracefully one after another. Each
// restart begins when the previous entry is ready again.
func restartEntriesInTurn(c *cluster, _ *rand.Rand, _ time.Duration) error {
	for _, m := range c.entries {
		unlock := c.lockMember(m)
		err := c.terminateAndRestart(m, 0)
		if err == nil {
			err = c.await(readyTimeout, func() bool { return c.ready(m) })
		}
		unlock()
		if err != nil {
			return err
		}
	}
	return nil
}

// pauseUnlistedEntry pauses an entry, removes it from the VM list during the
// pause, and adds it again when it has run for the duration after the pause.
func pauseUnlistedEntry(c *cluster, rng *rand.Rand, duration time.Duration) error {
	m := pickMember(rng, c.entries)
	unlock := c.lockMember(m)
	defer unlock()
	c.logEvent("pause " + m.Name)
	m.Pause()
	if err := c.updateVMList(m); err != nil {
		return err
	}
	time.Sleep(duration)
	c.logEvent("resume " + m.Name)
	m.Resume()
	time.Sleep(duration)
	return c.updateVMList()
}

// drainAgent marks the VM of an agent as leaving in the VM list, and restarts the
// agent gracefully after the duration.
func drainAgent(c *cluster, rng *rand.Rand, duration time.Duration) error {
	m := pickMember(rng, c.agents)
	unlock := c.lockMember(m)
	defer unlock()
	m.vm.State = provider.VMLeaving
	c.logEvent("VM list marks " + m.Name + " as leaving")
	if err := c.updateVMList(); err != nil {
		return err
	}
	time.Sleep(duration)
	m.vm.State = provider.VMLive
	if err := c.terminateAndRestart(m, 0); err != nil {
		return err
	}
	return c.updateVMList()
}

// restartWithStaleConfig publishes a version, waits for Options.PropagationTimeout,
// and then kills and restarts a member while the configuration service serves only
// its first revision, so that the member can get the version only from its peers.
func restartWithStaleConfig(c *cluster, rng *rand.Rand, duration time.Duration) error {
	version := c.nextVersion()
	if err := c.publish(version, c.manifestFor(version), true); err != nil {
		return err
	}
	time.Sleep(c.opts.PropagationTimeout)
	if err := c.setFaults("config", config.Faults{StaleRevision: 1}); err != nil {
		return err
	}
	c.logEvent("configuration service serves a stale version")
	m := pickMember(rng, c.members())
	unlock := c.lockMember(m)
	defer unlock()
	c.saveTimeline(m)
	m.Kill()
	if err := m.Start(); err != nil {
		return err
	}
	time.Sleep(duration)
	_ = c.await(maxStaleWait, c.servedStaleVersion) // another fault may have replaced this one meanwhile
	c.logEvent("configuration service serves the current version")
	return c.setFaults("config", config.Faults{})
}

// maxStaleWait bounds the wait until the stale version was served.
const maxStaleWait = 15 * time.Second

// servedStaleVersion reports whether more members were served a stale version than
// the one that starts: at least one that had a newer version active.
func (c *cluster) servedStaleVersion() bool {
	var calls config.CallCounts
	if err := c.get(c.addresses["config"], "/admin/calls", &calls); err != nil {
		return false // asked again
	}
	return calls.Stale > 1
}

// publishConcurrently publishes three versions in quick succession and in
// decreasing order, as operators who work at the same time may do. The second of
// them is invalid.
func publishConcurrently(c *cluster, _ *rand.Rand, _ time.Duration) error {
	first, second, third := c.nextVersion(), c.nextVersion(), c.nextVersion()
	c.logEvent(fmt.Sprintf("publish %d, %d (invalid), %d", first, second, third))
	if err := c.publish(third, c.manifestFor(third), true); err != nil {
		return err
	}
	if err := c.publish(second, c.invalidManifest(second), false); err != nil {
		return err
	}
	return c.publish(first, c.manifestFor(first), true)
}

// standInFault sets the faults of a stand-in to on, and after the duration to off,
// which must be the empty set of faults.
func standInFault(standIn string, on, off any) func(*cluster, *rand.Rand, time.Duration) error {
	return func(c *cluster, _ *rand.Rand, duration time.Duration) error {
		c.logEvent(fmt.Sprintf("set faults of %s: %+v", standIn, on))
		if err := c.setFaults(standIn, on); err != nil {
			return err
		}
		time.Sleep(duration)
		c.logEvent("clear faults of " + standIn)
		return c.setFaults(standIn, off)
	}
}

// lockMember prevents concurrent faults from affecting the same member. The caller
// must call unlock.
func (c *cluster) lockMember(m *member) (unlock func()) {
	m.faultMu.Lock()
	return m.faultMu.Unlock
}
