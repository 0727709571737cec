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

// fault is a failure that lasts for a while and is then mended. Graceful
// faults must not cut a request in flight.
type fault struct {
	name     string
	graceful bool
	cause    func(c *cluster, rng *rand.Rand, lasting time.Duration) error
	// hangs is true when a backend server keeps calls for ever.
	hangs bool
}

// Bounds of the length of a failure.
const (
	minFault = 500 * time.Millisecond
	maxFault = 5 * time.Second
)

func catalogue() []fault {
	return []fault{
		{name: "kill-agent", cause: killed(agents)},
		{name: "kill-entry", cause: killed(entries)},
		{name: "freeze-agent", cause: frozen(agents)},
		{name: "freeze-entry", cause: frozen(entries)},
		{name: "freeze-agent-long", cause: frozenLong(agents)},
		{name: "freeze-entry-long", cause: frozenLong(entries)},
		{name: "cut-link", cause: linked(testbed.LinkDown)},
		{name: "silent-link", cause: linked(testbed.LinkBlackhole)},
		{name: "lose-requests", cause: linked(testbed.LinkDropsRequests)},
		{name: "lose-answers", cause: linked(testbed.LinkDropsResponses)},
		{name: "end-agent", graceful: true, cause: ended(agents)},
		{name: "end-entry", graceful: true, cause: ended(entries)},
		{name: "end-twice", graceful: true, cause: endedTwice},
		{name: "end-during-start", cause: endedDuringStart},
		{name: "replace-entries", graceful: true, cause: replaceEntries},
		{name: "freeze-unlisted-entry", cause: frozenUnlisted},
		{name: "agent-leaves", graceful: true, cause: leaves},
		{name: "config-down", graceful: true, cause: standInFault("config", config.Faults{Down: true}, config.Faults{})},
		{name: "config-hung", graceful: true, cause: standInFault("config", config.Faults{Hang: true}, config.Faults{})},
		{name: "config-garbage", graceful: true, cause: standInFault("config", config.Faults{Garbage: true}, config.Faults{})},
		{name: "config-half", graceful: true, cause: standInFault("config", config.Faults{HalfDocument: true}, config.Faults{})},
		{name: "config-flapping", graceful: true, cause: standInFault("config", config.Faults{FlapEvery: 2}, config.Faults{})},
		{name: "config-stale-and-restart", cause: staleStart},
		{name: "operators-at-once", graceful: true, cause: operators},
		{name: "list-hung", graceful: true, cause: standInFault("vmlist", vmlist.Faults{Hang: true}, vmlist.Faults{})},
		{name: "list-lags", graceful: true, cause: standInFault("vmlist", vmlist.Faults{LagMillis: 10_000}, vmlist.Faults{})},
		{name: "engine-hung", cause: standInFault("engine-1", engine.Faults{Hang: true}, engine.Faults{})},
		{name: "engine-truncates", cause: standInFault("engine-1", engine.Faults{TruncateAfter: 5}, engine.Faults{})},
		{name: "engine-no-end-marker", cause: standInFault("engine-1", engine.Faults{OmitDone: true}, engine.Faults{})},
		{name: "engine-repeats-chunk", cause: standInFault("engine-1", engine.Faults{DuplicateChunk: 3}, engine.Faults{})},
		{name: "engine-slow", cause: standInFault("engine-1", engine.Faults{SlowFactor: 10}, engine.Faults{})},
		{name: "service-hangs-after", cause: standInFault("service-1", service.Faults{HangAfterRun: true}, service.Faults{}), hangs: true},
		{name: "service-closes-after", cause: standInFault("service-1", service.Faults{CloseAfterRun: true}, service.Faults{})},
		{name: "service-closes-before", cause: standInFault("service-1", service.Faults{CloseBeforeRun: true}, service.Faults{})},
		{name: "service-short", cause: standInFault("service-1", service.Faults{TruncatedBody: true}, service.Faults{})},
	}
}

// FaultNames returns the names of all failures.
func FaultNames() []string {
	var names []string
	for _, f := range catalogue() {
		names = append(names, f.name)
	}
	sort.Strings(names)
	return names
}

// pairEvery makes each seed divisible by it cause two failures at once.
const pairEvery = 4

// draw picks the failures of a seed: a pair for each fourth seed and one alone
// for the others, which go through the catalogue in order.
func draw(seed uint64, rng *rand.Rand, only []string) []fault {
	all := catalogue()
	if len(only) > 0 {
		all = slices.DeleteFunc(all, func(f fault) bool { return !slices.Contains(only, f.name) })
	}
	if seed%pairEvery == 0 {
		return []fault{all[rng.IntN(len(all))], all[rng.IntN(len(all))]}
	}
	alone := seed - seed/pairEvery - 1
	return []fault{all[alone%uint64(len(all))]}
}

func agents(c *cluster) []*member  { return c.agents }
func entries(c *cluster) []*member { return c.entries }

func pick(rng *rand.Rand, from []*member) *member { return from[rng.IntN(len(from))] }

// killed ends a member at once and starts another life on the same addresses.
func killed(group func(*cluster) []*member) func(*cluster, *rand.Rand, time.Duration) error {
	return func(c *cluster, rng *rand.Rand, lasting time.Duration) error {
		m := pick(rng, group(c))
		release := c.claim(m)
		defer release()
		c.saveTimeline(m)
		c.note("kill " + m.Name)
		m.Kill()
		time.Sleep(lasting)
		c.note("start " + m.Name)
		return m.Start()
	}
}

// frozen stops a member with all its beliefs and lets it go on.
func frozen(group func(*cluster) []*member) func(*cluster, *rand.Rand, time.Duration) error {
	return func(c *cluster, rng *rand.Rand, lasting time.Duration) error {
		m := pick(rng, group(c))
		release := c.claim(m)
		defer release()
		c.note("freeze " + m.Name)
		m.Pause()
		time.Sleep(lasting)
		c.note("thaw " + m.Name)
		m.Resume()
		return nil
	}
}

// longFreeze is longer than every timeout of the processes.
const longFreeze = 32 * time.Second

// frozenLong is frozen for longer than every timeout.
func frozenLong(group func(*cluster) []*member) func(*cluster, *rand.Rand, time.Duration) error {
	return func(c *cluster, rng *rand.Rand, _ time.Duration) error {
		return frozen(group)(c, rng, longFreeze)
	}
}

// linked damages the link to an agent.
func linked(state testbed.LinkState) func(*cluster, *rand.Rand, time.Duration) error {
	return func(c *cluster, rng *rand.Rand, lasting time.Duration) error {
		m := pick(rng, c.agents)
		release := c.claim(m)
		defer release()
		c.note(fmt.Sprintf("damage link to %s, state %d", m.Name, state))
		m.link.SetState(state)
		time.Sleep(lasting)
		c.note("mend link to " + m.Name)
		m.link.SetState(testbed.LinkOpen)
		return nil
	}
}

// ended ends a member gracefully and starts another life on the same
// addresses.
func ended(group func(*cluster) []*member) func(*cluster, *rand.Rand, time.Duration) error {
	return func(c *cluster, rng *rand.Rand, lasting time.Duration) error {
		m := pick(rng, group(c))
		release := c.claim(m)
		defer release()
		return c.replace(m, lasting)
	}
}

// replace ends a member gracefully and starts it again after a while.
func (c *cluster) replace(m *member, lasting time.Duration) error {
	c.noteDeparture(m)
	c.note("terminate " + m.Name)
	watch := c.followTimeline(m)
	err := m.Terminate()
	watch()
	if err != nil {
		return err
	}
	time.Sleep(lasting)
	c.note("start " + m.Name)
	return m.Start()
}

// endedTwice ends a member gracefully with a second signal, which must change
// nothing.
func endedTwice(c *cluster, rng *rand.Rand, lasting time.Duration) error {
	m := pick(rng, c.members())
	release := c.claim(m)
	defer release()
	var second sync.WaitGroup
	second.Go(func() {
		time.Sleep(secondSignal)
		m.Signal(syscall.SIGTERM)
	})
	err := c.replace(m, max(lasting, 2*secondSignal))
	second.Wait()
	return err
}

// secondSignal is how long after the first SIGTERM a second one comes.
const secondSignal = 100 * time.Millisecond

// endedDuringStart kills a member and asks its next life to end while it
// starts.
func endedDuringStart(c *cluster, rng *rand.Rand, lasting time.Duration) error {
	m := pick(rng, c.members())
	release := c.claim(m)
	defer release()
	c.saveTimeline(m)
	m.Kill()
	if err := m.Start(); err != nil {
		return err
	}
	time.Sleep(lasting / 50)
	c.note("terminate " + m.Name + " during its start")
	if err := m.Terminate(); err != nil {
		return err
	}
	c.note("start " + m.Name)
	return m.Start()
}

// replaceEntries ends all entries one after another, each when the one before
// is ready again.
func replaceEntries(c *cluster, _ *rand.Rand, _ time.Duration) error {
	for _, m := range c.entries {
		release := c.claim(m)
		err := c.replace(m, 0)
		if err == nil {
			err = c.await(startPatience, func() bool { return c.ready(m) })
		}
		release()
		if err != nil {
			return err
		}
	}
	return nil
}

// frozenUnlisted freezes an entry until the list of VMs no longer has it, and
// lists it again some time after it woke.
func frozenUnlisted(c *cluster, rng *rand.Rand, lasting time.Duration) error {
	m := pick(rng, c.entries)
	release := c.claim(m)
	defer release()
	c.note("freeze " + m.Name)
	m.Pause()
	if err := c.putVMs(m); err != nil {
		return err
	}
	time.Sleep(lasting)
	c.note("thaw " + m.Name)
	m.Resume()
	time.Sleep(lasting)
	return c.putVMs()
}

// leaves makes the list of VMs say that an agent leaves, before the agent is
// told to end.
func leaves(c *cluster, rng *rand.Rand, lasting time.Duration) error {
	m := pick(rng, c.agents)
	release := c.claim(m)
	defer release()
	m.vm.State = provider.VMLeaving
	c.note("list says that " + m.Name + " leaves")
	if err := c.putVMs(); err != nil {
		return err
	}
	time.Sleep(lasting)
	m.vm.State = provider.VMLive
	if err := c.replace(m, 0); err != nil {
		return err
	}
	return c.putVMs()
}

// staleStart starts a member anew while the configuration service answers
// with an old version only.
func staleStart(c *cluster, rng *rand.Rand, lasting time.Duration) error {
	version := c.nextVersion()
	if err := c.publish(version, c.manifestOf(version), true); err != nil {
		return err
	}
	time.Sleep(c.opts.InForceWithin)
	if err := c.setFaults("config", config.Faults{StaleRevision: 1}); err != nil {
		return err
	}
	c.note("configuration service is stale")
	m := pick(rng, c.members())
	release := c.claim(m)
	defer release()
	c.saveTimeline(m)
	m.Kill()
	if err := m.Start(); err != nil {
		return err
	}
	time.Sleep(lasting)
	c.note("configuration service is current")
	return c.setFaults("config", config.Faults{})
}

// operators publishes versions by two operators within moments, one of them
// invalid.
func operators(c *cluster, _ *rand.Rand, _ time.Duration) error {
	first, second, third := c.nextVersion(), c.nextVersion(), c.nextVersion()
	c.note(fmt.Sprintf("publish %d, %d (invalid), %d", first, second, third))
	if err := c.publish(third, c.manifestOf(third), true); err != nil {
		return err
	}
	if err := c.publish(second, c.invalidManifest(second), false); err != nil {
		return err
	}
	return c.publish(first, c.manifestOf(first), true)
}

// standInFault switches a fault of a stand-in on and off.
func standInFault(standIn string, on, off any) func(*cluster, *rand.Rand, time.Duration) error {
	return func(c *cluster, _ *rand.Rand, lasting time.Duration) error {
		c.note(fmt.Sprintf("fault of %s: %+v", standIn, on))
		if err := c.setFaults(standIn, on); err != nil {
			return err
		}
		time.Sleep(lasting)
		c.note("mend " + standIn)
		return c.setFaults(standIn, off)
	}
}

// claim keeps two failures of one run from working on the same member at
// once.
func (c *cluster) claim(m *member) (release func()) {
	m.busy.Lock()
	return m.busy.Unlock
}
