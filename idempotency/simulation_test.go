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

// The simulation runs tables behind entries and a network that delay,
// duplicate and lose messages. It is one goroutine over a queue of timed
// actions, so a seed gives the same history on every run. Times are short
// against the validity of a key, so that keys expire within a history.
const (
	simAgents    = 2
	simEntries   = 3
	simPayments  = 24
	simCapacity  = 6
	simValidity  = 60 * time.Second
	simSkew      = 2 * time.Second
	simSlots     = 1
	simQueue     = 2
	simPatience  = 5 * time.Second
	simDuration  = 4 * time.Minute
	simMaxDelay  = 3 * time.Minute
	simRunTime   = 4 * time.Second
	simStartWait = 3 * time.Second
	simBurstAt   = time.Minute
	simBurst     = 2 * time.Second
)

// simCall is a use of a key on its way.
type simCall struct {
	key, account, request string
	sum                   [32]byte
	refuse                bool
	answer                func(out outcome.Outcome, reason outcome.Reason, run *simRun)
}

// simRun is a run at an agent, queued, running, over or shed.
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
	life        int
	incarnation string
	table       *Table[*simRun]
	offset      time.Duration
	queue       []*simRun
	running     int
	frozenUntil time.Duration
}

type simEntry struct {
	name   string
	offset time.Duration
	// views holds the incarnation last heard of, for each agent.
	views       []string
	frozenUntil time.Duration
}

type simulation struct {
	rng      *rand.Rand
	now      time.Duration
	sequence int
	actions  actionHeap
	agents   []*simAgent
	entries  []*simEntry
	runs     int
	recorder history.Recorder
}

type action struct {
	at       time.Duration
	sequence int
	do       func()
}

type actionHeap []action

func (h actionHeap) Len() int { return len(h) }
func (h actionHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}
func (h actionHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *actionHeap) Push(x any)   { *h = append(*h, x.(action)) }
func (h *actionHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// simulate returns the history of a seed.
func simulate(seed uint64) history.History {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, 1))}
	for i := range simAgents {
		a := &simAgent{sim: s, vm: fmt.Sprint("agent-", i)}
		a.restart()
		s.agents = append(s.agents, a)
	}
	for i := range simEntries {
		e := &simEntry{name: fmt.Sprint("entry-", i), offset: s.between(-3*time.Second, 3*time.Second)}
		for _, a := range s.agents {
			e.views = append(e.views, a.incarnation)
		}
		s.entries = append(s.entries, e)
	}
	for i := range simPayments {
		when := s.upTo(simDuration)
		if i%2 == 0 {
			when = simBurstAt + s.upTo(simBurst)
		}
		s.after(when, func() { s.pay(i) })
	}
	s.faults()
	for len(s.actions) > 0 {
		next := heap.Pop(&s.actions).(action)
		s.now = next.at
		next.do()
	}
	return s.recorder.History()
}

func (s *simulation) after(d time.Duration, do func()) {
	s.sequence++
	heap.Push(&s.actions, action{at: s.now + d, sequence: s.sequence, do: do})
}

func (s *simulation) chance(p float64) bool { return s.rng.Float64() < p }

func (s *simulation) upTo(d time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(d)))
}

func (s *simulation) between(low, high time.Duration) time.Duration { return low + s.upTo(high-low) }

func (s *simulation) anyEntry() *simEntry { return s.entries[s.rng.IntN(len(s.entries))] }

// delay draws how long a message travels: mostly moments, now and then
// minutes.
func (s *simulation) delay() time.Duration {
	if s.chance(0.15) {
		return s.upTo(simMaxDelay)
	}
	return s.upTo(100 * time.Millisecond)
}

// faults plans restarts, freezes, clock steps and changes of the validity.
func (s *simulation) faults() {
	for range 6 {
		a := s.agents[s.rng.IntN(len(s.agents))]
		s.after(s.upTo(simDuration), []func(){
			a.restart,
			func() { a.frozenUntil = s.now + s.upTo(30*time.Second) },
			func() { a.offset += s.between(-2*time.Minute, 2*time.Minute) },
			func() { a.table.Configure(simCapacity, s.between(simValidity/2, 2*simValidity)) },
		}[s.rng.IntN(4)])
		e := s.anyEntry()
		s.after(s.upTo(simDuration), func() { e.frozenUntil = s.now + s.upTo(time.Minute) })
		s.after(s.upTo(simDuration), func() { e.offset += s.between(-time.Minute, time.Minute) })
		s.after(s.upTo(simDuration), func() {
			for i, a := range s.agents {
				e.views[i] = a.incarnation
			}
		})
	}
}

// pay mints a key and uses it: at once through two entries, again after
// time-outs, with another body, by another account, and late.
func (s *simulation) pay(number int) {
	minter := s.anyEntry()
	target := s.rng.IntN(len(s.agents))
	minted := start.Add(s.now + minter.offset)
	key := Mint(s.agents[target].vm, minter.views[target], "acme", minted, source(byte(s.rng.IntN(256)))).String()
	request := fmt.Sprint("acme/pay-", number)
	for range 1 + s.rng.IntN(4) {
		when := time.Duration(0)
		if s.chance(0.6) {
			when = s.upTo(2 * simValidity)
		}
		account, asked := "acme", request
		if s.chance(0.1) {
			asked += "/other"
		}
		body := asked
		if s.chance(0.05) {
			account, asked = "evil", "evil/pay-"+fmt.Sprint(number)
		}
		s.after(when, func() { s.use(key, account, asked, body, target) })
	}
}

// use sends one call of a caller through some entry.
func (s *simulation) use(key, account, request, body string, target int) {
	e := s.anyEntry()
	record := history.Call{Key: key, Request: request, Entry: e.name, Invoked: s.now, Want: "answer to " + request}
	answered := false
	finish := func(out outcome.Outcome, reason outcome.Reason, run *simRun) {
		if answered {
			return
		}
		answered = true
		record.Completed, record.Returned, record.Outcome, record.Reason = s.now, true, out, reason
		if run != nil {
			record.Run, record.Got, record.LooksWhole = run.id, "answer to "+run.request, true
		}
		s.recorder.Call(record)
	}
	call := &simCall{
		key: key, account: account, request: request, sum: sha256.Sum256([]byte(body)),
		refuse: s.chance(0.15), answer: finish,
	}
	wake := max(0, e.frozenUntil-s.now)
	if s.chance(0.05) {
		target = s.rng.IntN(len(s.agents))
	}
	for range 1 + s.rng.IntN(2) {
		if !s.chance(0.1) {
			s.after(wake+s.delay(), func() { s.agents[target].submit(call) })
		}
	}
	s.after(wake+simPatience, func() { finish(outcome.Unknown, outcome.ReasonTimeout, nil) })
}

// restart gives the agent a new life with an empty table.
func (a *simAgent) restart() {
	a.life++
	a.incarnation = fmt.Sprintf("%s-life-%d", a.vm, a.life)
	a.offset = a.sim.between(-time.Second, time.Second)
	a.queue, a.running = nil, 0
	a.table = NewTable[*simRun](Config{
		VM: a.vm, Incarnation: a.incarnation, Capacity: simCapacity, Validity: simValidity, FutureSkew: simSkew,
	})
}

func (a *simAgent) clock() time.Time { return start.Add(a.sim.now + a.offset) }

// submit decides on a call, as an agent's process does.
func (a *simAgent) submit(c *simCall) {
	if wait := a.frozenUntil - a.sim.now; wait > 0 {
		a.sim.after(wait, func() { a.submit(c) })
		return
	}
	a.table.RemoveExpired(a.clock())
	var verdict Verdict
	var run *simRun
	var refusal *outcome.Refusal
	if c.refuse {
		verdict, run, refusal = a.table.Seal(a.clock(), c.key, c.account, c.sum, outcome.Refuse(outcome.ReasonShed, ""))
	} else {
		verdict, run, refusal = a.table.Claim(a.clock(), c.key, c.account, c.sum, func() *simRun { return a.admit(c) })
	}
	if verdict == Refused {
		a.reply(c, refusal.Outcome, refusal.Reason, nil)
		return
	}
	run.waiting = append(run.waiting, c)
	a.settle(run)
	a.dispatch()
}

func (a *simAgent) admit(c *simCall) *simRun {
	a.sim.runs++
	run := &simRun{id: fmt.Sprint("run-", a.sim.runs), key: c.key, request: c.request, deadline: a.sim.now + simStartWait}
	if len(a.queue) >= simQueue {
		run.refusal = outcome.Refuse(outcome.ReasonQueueFull, "")
		return run
	}
	a.queue = append(a.queue, run)
	a.sim.after(simStartWait, a.dispatch)
	return run
}

// dispatch starts queued runs on free slots and refuses those that wait too
// long.
func (a *simAgent) dispatch() {
	if a.frozenUntil > a.sim.now {
		a.sim.after(a.frozenUntil-a.sim.now, a.dispatch)
		return
	}
	for len(a.queue) > 0 {
		run := a.queue[0]
		late := run.deadline <= a.sim.now
		if !late && a.running >= simSlots {
			return
		}
		a.queue = a.queue[1:]
		if late {
			run.refusal = outcome.Refuse(outcome.ReasonDeadline, "")
			a.settle(run)
			continue
		}
		a.run(run)
	}
}

func (a *simAgent) run(run *simRun) {
	run.started = true
	a.running++
	life, began, took := a.life, a.sim.now, a.sim.upTo(simRunTime)
	a.sim.recorder.Run(history.Run{
		ID: run.id, Key: run.key, Request: run.request, Agent: a.vm, Started: began, Ended: began + took,
	})
	a.sim.after(took, func() {
		if a.life != life {
			return
		}
		run.done = true
		a.running--
		a.settle(run)
		a.dispatch()
	})
}

// settle answers the calls that wait for a run, once its fate is known.
func (a *simAgent) settle(run *simRun) {
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
		a.sim.after(a.sim.upTo(100*time.Millisecond), func() { c.answer(out, reason, run) })
	}
}
