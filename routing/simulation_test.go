package routing_test

import (
	"container/list"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/sesameswitch/sesameswitch/admission"
	"github.com/sesameswitch/sesameswitch/routing"
)

// The model of this file: gateways with the real placer and gate, and engines
// that read prompts in chunks between the tokens of all running requests, keep
// the least recently used parts and know nothing of the gateways.

const (
	simGateways   = 5
	simEngines    = 9
	simLength     = 20 * time.Second
	simTick       = time.Millisecond
	simChunk      = 2048
	simMemory     = 420_000
	simSlots      = 64
	simEventEvery = 5 // tokens of an event
)

// simKind is a kind of request, after the users' sheets.
type simKind struct {
	name        string
	perSecond   float64
	shared, own int
	subjects    int
	output      int
	rank        int
	goal, pause time.Duration
	deadline    time.Duration
}

func simKinds() []simKind {
	return []simKind{
		{"comparison", 11, 13_300, 3_700, 60, 120, 5, 1500 * time.Millisecond, 800 * time.Millisecond, 8 * time.Second},
		{"draft", 9, 6_300, 2_900, 60, 50, 4, time.Second, 300 * time.Millisecond, 5 * time.Second},
		{"question", 20, 350, 1_100, 30, 170, 3, time.Second, 200 * time.Millisecond, 10 * time.Second},
	}
}

// simRequest is one request of a caller, over its returns.
type simRequest struct {
	kind                      *simKind
	account, subject          int
	arrived, until, look      time.Time
	returns                   int
	ticket                    *routing.Attempt
	left, tokens              int
	first, last               time.Time
	longest                   time.Duration
	job                       routing.Job
	served, refused, finished bool
}

// simEngine is one engine.
type simEngine struct {
	id      string
	next    time.Time
	waiting []*simRequest
	running []*simRequest
	cached  map[string]*list.Element
	order   *list.List
	used    int
	down    bool
}

type simPart struct {
	id     string
	tokens int
}

// simLoad is a load to replay.
type simLoad struct {
	// burst multiplies the rate of a kind, hot is the share of one subject,
	// account the share of one account of ten.
	burst   map[string]float64
	hot     float64
	account float64
	// atOnce callers come back at once, up to five times.
	atOnce bool
	// lost is when an engine is lost; zero is never.
	lost time.Duration
	// hintsEvery is how old hints get.
	hintsEvery time.Duration
}

type sim struct {
	rng      *rand.Rand
	now      time.Time
	placers  []*routing.Scheduler
	engines  []*simEngine
	held     [simGateways][]*simRequest
	all      []*simRequest
	load     simLoad
	kinds    []simKind
	rereads  int
	seenRead map[string]bool
}

var simEpoch = time.Unix(1_800_000_000, 0)

func newSim(policy routing.Policy, load simLoad) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(7, 7)), now: simEpoch, load: load, kinds: simKinds(), seenRead: map[string]bool{}}
	pauses := map[string]time.Duration{}
	for i := range s.kinds {
		pauses[s.kinds[i].name] = s.kinds[i].pause
		if x := load.burst[s.kinds[i].name]; x > 0 {
			s.kinds[i].perSecond *= x
		}
	}
	for range simGateways {
		p := routing.NewScheduler("dc-0")
		p.SetPolicy(policy)
		p.SetEventGapTargets(map[string]map[string]time.Duration{"engines": pauses})
		s.placers = append(s.placers, p)
	}
	for i := range simEngines {
		s.engines = append(s.engines, &simEngine{id: fmt.Sprintf("engine-%d", i), next: simEpoch, cached: map[string]*list.Element{}, order: list.New()})
	}
	return s
}

func (s *sim) run() {
	told := s.now
	for s.now.Before(simEpoch.Add(simLength)) {
		s.now = s.now.Add(simTick)
		s.arrive()
		for g := range s.held {
			s.lookAll(g)
		}
		for _, e := range s.engines {
			s.step(e)
		}
		if s.now.Sub(told) >= s.load.hintsEvery {
			told = s.now
			s.tell()
		}
		if s.load.lost > 0 && s.now.Equal(simEpoch.Add(s.load.lost)) {
			s.lose(s.engines[2])
		}
	}
}

// arrive draws the requests of one tick.
func (s *sim) arrive() {
	for i := range s.kinds {
		k := &s.kinds[i]
		if s.rng.Float64() >= k.perSecond*simTick.Seconds() {
			continue
		}
		r := &simRequest{kind: k, account: s.rng.IntN(10), subject: 1 + s.rng.IntN(k.subjects), arrived: s.now, look: s.now, until: s.now.Add(k.deadline)}
		if s.rng.Float64() < s.load.account {
			r.account = 0
		}
		if s.rng.Float64() < s.load.hot {
			r.subject = 0
		}
		r.job = routing.Job{
			Route: k.name, Service: "engines", Generates: true, Rank: k.rank, PromptTokens: k.shared + k.own, OutputTokens: k.output,
			Segments: []routing.Segment{{ID: fmt.Sprintf("%s-%d", k.name, r.subject), Tokens: k.shared}},
			LatencyTarget:  k.goal, MaxEventGap: k.pause, KVCacheTokens: simMemory,
		}
		s.all = append(s.all, r)
		g := s.rng.IntN(simGateways)
		s.held[g] = append(s.held[g], r)
	}
}

func (s *sim) lookAll(g int) {
	s.held[g] = slices.DeleteFunc(s.held[g], func(r *simRequest) bool {
		if s.now.After(r.until) {
			r.finished = true
			return true
		}
		return !s.now.Before(r.look) && s.lookAt(g, r)
	})
}

// lookAt decides on a request at its gateway; true is that it left.
func (s *sim) lookAt(g int, r *simRequest) bool {
	servers := make([]routing.Server, 0, simEngines)
	var up []*simEngine
	for i, e := range s.engines {
		if !e.down {
			servers = append(servers, routing.Server{ID: e.id, DataCentre: fmt.Sprintf("dc-%d", i%3), Slots: simSlots})
			up = append(up, e)
		}
	}
	c, _ := s.placers[g].Choose(s.now, &r.job, servers, nil)
	d := admission.Gate{}.Decide(admission.GateRequest{
		Full: c.Full, Waited: s.now.Sub(r.arrived), Remaining: r.until.Sub(s.now), LatencyTarget: r.kind.goal, ExpectedWait: time.Duration(c.Wait * float64(time.Millisecond)),
	})
	switch d.Action {
	case admission.GateHold:
		r.look = s.now.Add(d.Delay)
		return false
	case admission.GateRefuse:
		return s.refuse(r, d.Delay)
	}
	r.ticket = s.placers[g].StartAttempt(s.now, &r.job, servers[c.Index].ID, c)
	e := up[c.Index]
	r.left = s.uncached(e, r)
	e.waiting = append(e.waiting, r)
	slices.SortStableFunc(e.waiting, func(a, b *simRequest) int { return a.kind.rank - b.kind.rank })
	return true
}

// refuse sends the caller away; false is that it comes back.
func (s *sim) refuse(r *simRequest, after time.Duration) bool {
	most := 1
	if s.load.atOnce {
		most, after = 5, simTick
	}
	if r.returns++; r.returns > most {
		r.refused, r.finished = true, true
		return true
	}
	r.look = s.now.Add(after)
	return false
}

// uncached counts what the engine must read and takes the part into its cache.
func (s *sim) uncached(e *simEngine, r *simRequest) int {
	left := r.job.PromptTokens
	part := r.job.Segments[0]
	if at := e.cached[part.ID]; at != nil {
		e.order.MoveToFront(at)
		left -= part.Tokens
	} else {
		if s.seenRead[part.ID] {
			s.rereads += part.Tokens
		}
		s.seenRead[part.ID] = true
		e.keep(part.ID, part.Tokens)
	}
	e.keep(fmt.Sprintf("%p", r), r.kind.own+r.kind.output)
	return left
}

func (e *simEngine) keep(id string, tokens int) {
	e.cached[id] = e.order.PushFront(&simPart{id, tokens})
	for e.used += tokens; e.used > simMemory; {
		last := e.order.Back()
		part := e.order.Remove(last).(*simPart)
		delete(e.cached, part.id)
		e.used -= part.tokens
	}
}

// step runs the engine's steps that end by now.
func (s *sim) step(e *simEngine) {
	if e.down || len(e.running)+len(e.waiting) == 0 {
		e.next = s.now
		return
	}
	for !e.next.After(s.now) && len(e.running)+len(e.waiting) > 0 {
		for len(e.running) < simSlots && len(e.waiting) > 0 {
			e.running = append(e.running, e.waiting[0])
			e.waiting = e.waiting[1:]
		}
		chunk := simChunk
		for _, r := range e.running {
			n := min(chunk, r.left)
			r.left -= n
			chunk -= n
		}
		took := 3.09 + 0.0165*float64(len(e.running)) + float64(simChunk-chunk)/61.8
		e.next = e.next.Add(time.Duration(took * float64(time.Millisecond)))
		e.running = slices.DeleteFunc(e.running, func(r *simRequest) bool { return r.left == 0 && r.token(e.next) })
	}
}

// token makes one token; true is that it was the last.
func (r *simRequest) token(at time.Time) bool {
	if r.tokens++; r.tokens%simEventEvery == 1 {
		if r.first.IsZero() {
			r.first = at
			r.ticket.FirstEvent(at)
		} else {
			r.longest = max(r.longest, at.Sub(r.last))
		}
		r.last = at
	}
	gone := at.After(r.until)
	if r.tokens < r.kind.output && !gone {
		return false
	}
	r.finished, r.served = true, !gone
	r.ticket.Ended(at, routing.Succeeded)
	return true
}

// lose ends an engine with all that it holds; its requests failed.
func (s *sim) lose(e *simEngine) {
	e.down = true
	for _, r := range append(e.running, e.waiting...) {
		r.finished = true
		r.ticket.Ended(s.now, routing.Failed)
	}
	e.running, e.waiting = nil, nil
	for _, p := range s.placers {
		p.RemoveServer(e.id)
	}
}

func (s *sim) tell() {
	for i, from := range s.placers {
		hints := from.CollectHints(s.now)
		for k, to := range s.placers {
			if k != i {
				to.ApplyHints(s.now, s.now.Add(max(700*time.Millisecond, 4*s.load.hintsEvery)), fmt.Sprint(i), hints)
			}
		}
	}
}

// lateWorth is what a late answer is worth, by the users' sheets.
const lateWorth = 0.3

// result is what callers got.
type result struct {
	worth  float64
	served float64
	// groups are the shares served of each kind and account.
	groups map[string]float64
}

func (s *sim) result() result {
	worth, served, n := 0.0, 0.0, 0.0
	count, got := map[string]float64{}, map[string]float64{}
	for _, r := range s.all {
		if !r.finished {
			continue
		}
		n++
		groups := []string{r.kind.name, fmt.Sprintf("account %d", r.account)}
		for _, g := range groups {
			count[g]++
		}
		if !r.served {
			continue
		}
		served++
		for _, g := range groups {
			got[g]++
		}
		if r.first.Sub(r.arrived) <= r.kind.goal && r.longest <= r.kind.pause {
			worth++
		} else {
			worth += lateWorth
		}
	}
	for g := range count {
		got[g] /= count[g]
	}
	return result{worth / n, served / n, got}
}

// starvedShare is the part of the usual share of served requests below which a
// kind or an account counts as starved, by the users' rules.
const starvedShare = 0.25

// TestLoadsReplayed replays the loads that the placer and the gate are made for.
// Callers must get more than by the fewest open requests, and no kind and no
// account may starve.
func TestLoadsReplayed(t *testing.T) {
	const usual = 150 * time.Millisecond
	loads := map[string]simLoad{
		"quiet":                       {hintsEvery: usual},
		"burst of long prompts":       {hintsEvery: usual, burst: map[string]float64{"comparison": 2.4, "draft": 2.4}},
		"burst of all kinds":          {hintsEvery: usual, burst: map[string]float64{"comparison": 2.4, "draft": 2.4, "question": 2.4}},
		"hot part":                    {hintsEvery: usual, hot: 0.5},
		"hot account":                 {hintsEvery: usual, account: 0.45, burst: map[string]float64{"comparison": 1.65, "draft": 1.65, "question": 1.65}},
		"callers repeat at once":      {hintsEvery: usual, atOnce: true, burst: map[string]float64{"comparison": 3, "draft": 3}},
		"an engine lost at the peak":  {hintsEvery: usual, lost: 8 * time.Second, burst: map[string]float64{"comparison": 2.4}},
		"hints 3 s old":               {hintsEvery: 3 * time.Second, burst: map[string]float64{"comparison": 2}},
		"many tight streams":          {hintsEvery: usual, burst: map[string]float64{"question": 4}},
		"long prompts, tight streams": {hintsEvery: usual, burst: map[string]float64{"comparison": 2, "question": 2}},
	}
	for name, load := range loads {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			got := map[routing.Policy]result{}
			for _, policy := range []routing.Policy{routing.PolicyLeastRequests, routing.PolicySesame} {
				s := newSim(policy, load)
				s.run()
				got[policy] = s.result()
				t.Logf("%-6s worth %.3f served %.3f read again %d", policy, got[policy].worth, got[policy].served, s.rereads)
			}
			ours := got[routing.PolicySesame]
			if ours.worth <= got[routing.PolicyLeastRequests].worth {
				t.Errorf("worth %.3f, by the fewest open requests %.3f", ours.worth, got[routing.PolicyLeastRequests].worth)
			}
			for group, share := range ours.groups {
				if share < starvedShare*ours.served {
					t.Errorf("%s is served %.2f of the time, all are %.2f", group, share, ours.served)
				}
			}
		})
	}
}
