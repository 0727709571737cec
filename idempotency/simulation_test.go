package idempotency

import (
	"container/heap"
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sesameswitch/sesameswitch/history"
	"github.com/sesameswitch/sesameswitch/outcome"
)

// Parameters of the simulation. Each simulated agent has a table; simulated
// entries send it calls over a network that delays, duplicates and loses messages.
// A payment is a request with its own key, which up to four calls use.
// The simulation is a discrete-event simulation in one goroutine, so that a seed
// gives the same history on every run. The validity of a key is short compared to
// simDuration and simMaxMessageDelay, so that keys expire within a history.
const (
	simAgents   = 2
	simEntries  = 3
	simPayments = 24
	// simCapacity, simValidity and simSkew are the Config of each table.
	simCapacity = 6
	simValidity = 60 * time.Second
	simSkew     = 2 * time.Second
	// simRunSlots and simQueueLimit are how many runs an agent runs concurrently
	// and how many it queues.
	simRunSlots    = 1
	simQueueLimit  = 2
	simCallTimeout = 5 * time.Second
	// simDuration is the time within which payments and faults begin.
	simDuration        = 4 * time.Minute
	simMaxMessageDelay = 3 * time.Minute
	simMaxRunTime      = 4 * time.Second
	simQueueTimeout    = 3 * time.Second
	// Half of the payments begin during a burst, which fills tables and queues.
	simBurstStart    = time.Minute
	simBurstDuration = 2 * time.Second
)

// simCall is a call that uses a key. With refuse set, the agent seals the key
// instead of claiming it.
type simCall struct {
	key, account, request string
	sum                   [32]byte
	refuse                bool
	respond               func(out outcome.Outcome, reason outcome.Reason, run *simRun)
}

// simRun is a run at an agent: queued, started, done or refused.
type simRun struct {
	id, key, request string
	deadline         time.Duration
	started, done    bool
	refusal          *outcome.Refusal
	waiting          []*simCall
}

type simAgent struct {
	sim         *simulation
	vm          string
	restarts    int
	incarnation string
	table       *Table[*simRun]
	clockOffset time.Duration
	queue       []*simRun
	running     int
	pausedUntil time.Duration
}

type simEntry struct {
	name        string
	clockOffset time.Duration
	// incarnations holds the last known incarnation of each agent.
	incarnations []string
	pausedUntil  time.Duration
}

type simulation struct {
	rng      *rand.Rand
	now      time.Duration
	sequence int
	events   eventHeap
	agents   []*simAgent
	entries  []*simEntry
	runs     int
	recorder history.Recorder
}

type event struct {
	at       time.Duration
	sequence int
	do       func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// simulate returns the history that a seed produces.
func simulate(seed uint64) history.History {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, 1))}
	for i := range simAgents {
		a := &simAgent{sim: s, vm: fmt.Sprint("agent-", i)}
		a.restart()
		s.agents = append(s.agents, a)
	}
	for i := range simEntries {
		e := &simEntry{name: fmt.Sprint("entry-", i), clockOffset: s.durationBetween(-3*time.Second, 3*time.Second)}
		for _, a := range s.agents {
			e.incarnations = append(e.incarnations, a.incarnation)
		}
		s.entries = append(s.entries, e)
	}
	for i := range simPayments {
		delay := s.durationBelow(simDuration)
		if i%2 == 0 {
			delay = simBurstStart + s.durationBelow(simBurstDuration)
		}
		s.schedule(delay, func() { s.makePayment(i) })
	}
	s.scheduleFaults()
	for len(s.events) > 0 {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.do()
	}
	return s.recorder.History()
}

func (s *simulation) schedule(delay time.Duration, do func()) {
	s.sequence++
	heap.Push(&s.events, event{at: s.now + delay, sequence: s.sequence, do: do})
}

func (s *simulation) chance(p float64) bool { return s.rng.Float64() < p }

func (s *simulation) durationBelow(limit time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(limit)))
}

func (s *simulation) durationBetween(low, high time.Duration) time.Duration {
	return low + s.durationBelow(high-low)
}

func (s *simulation) randomEntry() *simEntry { return s.entries[s.rng.IntN(len(s.entries))] }

// messageDelay returns the transit time of a message: usually less than 100 ms,
// sometimes up to simMaxMessageDelay.
func (s *simulation) messageDelay() time.Duration {
	if s.chance(0.15) {
		return s.durationBelow(simMaxMessageDelay)
	}
	return s.durationBelow(100 * time.Millisecond)
}

// scheduleFaults schedules restarts, pauses, clock steps, changes of the key
// validity, and the times at which entries learn the agents' incarnations.
func (s *simulation) scheduleFaults() {
	for range 6 {
		a := s.agents[s.rng.IntN(len(s.agents))]
		s.schedule(s.durationBelow(simDuration), []func(){
			a.restart,
			func() { a.pausedUntil = s.now + s.durationBelow(30*time.Second) },
			func() { a.clockOffset += s.durationBetween(-2*time.Minute, 2*time.Minute) },
			func() { a.table.Configure(simCapacity, s.durationBetween(simValidity/2, 2*simValidity)) },
		}[s.rng.IntN(4)])
		e := s.randomEntry()
		s.schedule(s.durationBelow(simDuration), func() { e.pausedUntil = s.now + s.durationBelow(time.Minute) })
		s.schedule(s.durationBelow(simDuration), func() { e.clockOffset += s.durationBetween(-time.Minute, time.Minute) })
		s.schedule(s.durationBelow(simDuration), func() {
			for i, a := range s.agents {
				e.incarnations[i] = a.incarnation
			}
		})
	}
}

// makePayment mints a key and schedules up to four calls that use it: at once
// or later, and some of them with another body or from another account.
func (s *simulation) makePayment(number int) {
	minter := s.randomEntry()
	target := s.rng.IntN(len(s.agents))
	minted := testStart.Add(s.now + minter.clockOffset)
	key := Mint(s.agents[target].vm, minter.incarnations[target], "acme", minted, seededRandom(byte(s.rng.IntN(256)))).String()
	request := fmt.Sprint("acme/pay-", number)
	for range 1 + s.rng.IntN(4) {
		delay := time.Duration(0)
		if s.chance(0.6) {
			delay = s.durationBelow(2 * simValidity)
		}
		account, sent := "acme", request
		if s.chance(0.1) {
			sent += "/other"
		}
		// The other account sends the same body, so that only the check of the
		// account can refuse its call.
		body := sent
		if s.chance(0.05) {
			account, sent = "evil", "evil/pay-"+fmt.Sprint(number)
		}
		s.schedule(delay, func() { s.sendCall(key, account, sent, body, target) })
	}
}

// sendCall sends one call through a random entry and records its result.
func (s *simulation) sendCall(key, account, request, body string, target int) {
	e := s.randomEntry()
	record := history.Call{Key: key, Request: request, Entry: e.name, InvokedAt: s.now, Want: "answer to " + request}
	completed := false
	complete := func(out outcome.Outcome, reason outcome.Reason, run *simRun) {
		if completed {
			return
		}
		completed = true
		record.CompletedAt, record.Returned, record.Outcome, record.Reason = s.now, true, out, reason
		if run != nil {
			record.RunID, record.Got, record.LooksComplete = run.id, "answer to "+run.request, true
		}
		s.recorder.RecordCall(record)
	}
	call := &simCall{
		key: key, account: account, request: request, sum: sha256.Sum256([]byte(body)),
		refuse: s.chance(0.15), respond: complete,
	}
	pause := max(0, e.pausedUntil-s.now)
	if s.chance(0.05) {
		target = s.rng.IntN(len(s.agents))
	}
	for range 1 + s.rng.IntN(2) {
		if !s.chance(0.1) {
			s.schedule(pause+s.messageDelay(), func() { s.agents[target].submit(call) })
		}
	}
	s.schedule(pause+simCallTimeout, func() { complete(outcome.Unknown, outcome.ReasonTimeout, nil) })
}

// restart gives the agent a new incarnation with an empty table.
func (a *simAgent) restart() {
	a.restarts++
	a.incarnation = fmt.Sprintf("%s-life-%d", a.vm, a.restarts)
	a.clockOffset = a.sim.durationBetween(-time.Second, time.Second)
	a.queue, a.running = nil, 0
	a.table = NewTable[*simRun](Config{
		VM: a.vm, Incarnation: a.incarnation, Capacity: simCapacity, Validity: simValidity, FutureSkew: simSkew,
	})
}

func (a *simAgent) clock() time.Time { return testStart.Add(a.sim.now + a.clockOffset) }

// submit handles a call as an agent process does.
func (a *simAgent) submit(c *simCall) {
	if wait := a.pausedUntil - a.sim.now; wait > 0 {
		a.sim.schedule(wait, func() { a.submit(c) })
		return
	}
	a.table.RemoveExpired(a.clock())
	var verdict Verdict
	var run *simRun
	var refusal *outcome.Refusal
	if c.refuse {
		verdict, run, refusal = a.table.Seal(a.clock(), c.key, c.account, c.sum, outcome.Refuse(outcome.ReasonShed, ""))
	} else {
		verdict, run, refusal = a.table.Claim(a.clock(), c.key, c.account, c.sum, func() *simRun { return a.enqueue(c) })
	}
	if verdict == Refused {
		a.reply(c, refusal.Outcome, refusal.Reason, nil)
		return
	}
	run.waiting = append(run.waiting, c)
	a.replyToWaiting(run)
	a.dispatch()
}

func (a *simAgent) enqueue(c *simCall) *simRun {
	a.sim.runs++
	run := &simRun{id: fmt.Sprint("run-", a.sim.runs), key: c.key, request: c.request, deadline: a.sim.now + simQueueTimeout}
	if len(a.queue) >= simQueueLimit {
		run.refusal = outcome.Refuse(outcome.ReasonQueueFull, "")
		return run
	}
	a.queue = append(a.queue, run)
	a.sim.schedule(simQueueTimeout, a.dispatch)
	return run
}

// dispatch starts queued runs in free slots and refuses runs whose deadline has
// passed.
func (a *simAgent) dispatch() {
	if a.pausedUntil > a.sim.now {
		a.sim.schedule(a.pausedUntil-a.sim.now, a.dispatch)
		return
	}
	for len(a.queue) > 0 {
		run := a.queue[0]
		expired := run.deadline <= a.sim.now
		if !expired && a.running >= simRunSlots {
			return
		}
		a.queue = a.queue[1:]
		if expired {
			run.refusal = outcome.Refuse(outcome.ReasonDeadline, "")
			a.replyToWaiting(run)
			continue
		}
		a.run(run)
	}
}

func (a *simAgent) run(run *simRun) {
	run.started = true
	a.running++
	restarts, startedAt, duration := a.restarts, a.sim.now, a.sim.durationBelow(simMaxRunTime)
	a.sim.recorder.RecordRun(history.Run{
		ID: run.id, Key: run.key, Request: run.request, Agent: a.vm, StartedAt: startedAt, EndedAt: startedAt + duration,
	})
	a.sim.schedule(duration, func() {
		if a.restarts != restarts {
			return
		}
		run.done = true
		a.running--
		a.replyToWaiting(run)
		a.dispatch()
	})
}

// replyToWaiting replies to the calls that wait for a run which is done or
// refused.
func (a *simAgent) replyToWaiting(run *simRun) {
	if !run.done && run.refusal == nil {
		return
	}
	if run.refusal != nil {
		a.table.Withdraw(run.key, run.refusal)
	}
	for _, c := range run.waiting {
		if run.refusal != nil {
			a.reply(c, run.refusal.Outcome, run.refusal.Reason, nil)
			continue
		}
		a.reply(c, outcome.Completed, outcome.ReasonNone, run)
	}
	run.waiting = nil
}

func (a *simAgent) reply(c *simCall, out outcome.Outcome, reason outcome.Reason, run *simRun) {
	if !a.sim.chance(0.1) {
		a.sim.schedule(a.sim.durationBelow(100*time.Millisecond), func() { c.respond(out, reason, run) })
	}
}
