package routing

import (
	"fmt"
	"testing"
	"time"
)

// nineEngines are the candidates of a small deployment.
func nineEngines() []Server {
	servers := make([]Server, 9)
	for i := range servers {
		servers[i] = Server{ID: fmt.Sprintf("engine-%d", i), DataCentre: fmt.Sprintf("dc-%d", i%3), Slots: 64}
	}
	return servers
}

func comparison(part string) *Job {
	return &Job{
		Route: "comparison", Service: "engines", Generates: true, Segments: []Segment{{ID: part, Tokens: 13_300}},
		PromptTokens: 17_000, OutputTokens: 120, MaxEventGap: 800 * time.Millisecond, KVCacheTokens: 567_000,
	}
}

func question() *Job {
	return &Job{
		Route: "question", Service: "engines", Generates: true, PromptTokens: 1_100, OutputTokens: 170,
		MaxEventGap: 200 * time.Millisecond, KVCacheTokens: 567_000,
	}
}

// pauses are the goals of both kinds.
func pauses() map[string]map[string]time.Duration {
	return map[string]map[string]time.Duration{"engines": {"comparison": 800 * time.Millisecond, "question": 200 * time.Millisecond}}
}

func newTestPlacer(dataCentre string) *Scheduler {
	p := NewScheduler(dataCentre)
	p.SetEventGapTargets(pauses())
	return p
}

func choose(t *testing.T, p *Scheduler, now time.Time, j *Job, servers []Server) (string, Choice) {
	t.Helper()
	c, ok := p.Choose(now, j, servers, nil)
	if !ok {
		t.Fatal("no server was chosen")
	}
	return servers[c.Index].ID, c
}

// TestPlacersAgreeOnNewParts shows that gateways that never talked send the same
// new part to the same server, wherever they are.
func TestPlacersAgreeOnNewParts(t *testing.T) {
	servers := nineEngines()
	for part := range 50 {
		id := fmt.Sprintf("part-%d", part)
		first, _ := choose(t, newTestPlacer("dc-0"), epoch, comparison(id), servers)
		second, _ := choose(t, newTestPlacer("dc-2"), epoch, comparison(id), servers)
		if first != second {
			t.Errorf("%s: %s and %s", id, first, second)
		}
	}
}

// TestFewPartsMoveWhenAServerComes bounds what must be read again.
func TestFewPartsMoveWhenAServerComes(t *testing.T) {
	before := nineEngines()[:8] // with eight and with nine the tight pool has one server
	after := nineEngines()
	after[8] = Server{ID: "engine-new", DataCentre: "dc-0", Slots: 64}
	moved := 0
	for part := range 200 {
		id := fmt.Sprintf("part-%d", part)
		first, _ := choose(t, newTestPlacer("dc-0"), epoch, comparison(id), before)
		second, _ := choose(t, newTestPlacer("dc-0"), epoch, comparison(id), after)
		if first != second && second != "engine-new" {
			t.Errorf("%s moved from %s to %s", id, first, second)
		}
		if first != second {
			moved++
		}
	}
	if moved > 60 {
		t.Errorf("%d of 200 parts moved for one server more in nine", moved)
	}
}

// TestOnlyItsOwnPartsMoveWhenAServerChangesItsPool shows that a larger pool of
// tight streams moves the parts of the servers that it takes, and no others.
func TestOnlyItsOwnPartsMoveWhenAServerChangesItsPool(t *testing.T) {
	servers := nineEngines()
	small, large := poolOf(servers, 1), poolOf(servers, 2)
	for part := range 200 {
		id := fmt.Sprintf("part-%d", part)
		from, to := owner(servers, small, false, id), owner(servers, large, false, id)
		if from != to && !large[from] {
			t.Errorf("%s moved from %d to %d", id, from, to)
		}
	}
}

// TestPaceIsLearntFromPlausibleAnswers is a regression: answers whose prompts
// were in the cache unknown to the gateway made engines look hundreds of times
// faster, and every wait for nothing.
func TestPaceIsLearntFromPlausibleAnswers(t *testing.T) {
	p := newTestPlacer("dc-0")
	for i := range 100 {
		now := epoch.Add(time.Duration(i) * time.Second)
		j := comparison(fmt.Sprintf("part-%d", i))
		ticket := p.StartAttempt(now, j, "engine-0", Choice{UncachedTokens: 17_000})
		ticket.FirstEvent(now.Add(10 * time.Millisecond))
		ticket.Ended(now.Add(time.Second), Succeeded)
	}
	if pace := p.service("engines").readPace; pace > 2*defaultReadPace {
		t.Errorf("%.0f tokens a millisecond", pace)
	}
}

// TestOverloadDoesNotReadPartsAgain replays the load of scale-1 on a large site:
// every engine has seconds of prompts waiting. A request whose part is on one of
// the longer queues stays there; reading it again elsewhere would lengthen all.
func TestOverloadDoesNotReadPartsAgain(t *testing.T) {
	servers := nineEngines()
	p := newTestPlacer("dc-0")
	for i := range servers {
		for k := range 4 + i {
			id := fmt.Sprintf("part-%d-%d", i, k)
			p.StartAttempt(epoch, comparison(id), servers[i].ID, Choice{UncachedTokens: 17_000})
		}
	}
	for i := range servers {
		id, c := choose(t, p, epoch, comparison(fmt.Sprintf("part-%d-0", i)), servers)
		if id != servers[i].ID {
			t.Errorf("a part at %s is read again at %s: %+v", servers[i].ID, id, c)
		}
	}
}

// TestRefusedRequestLeavesNoParts is a regression: a server that refused a request
// counted as holding its parts, here and at the other gateways.
func TestRefusedRequestLeavesNoParts(t *testing.T) {
	p, other := newTestPlacer("dc-0"), newTestPlacer("dc-1")
	ticket := p.StartAttempt(epoch, comparison("part"), "engine-0", Choice{UncachedTokens: 17_000})
	other.ApplyHints(epoch, epoch.Add(700*time.Millisecond), "first", p.CollectHints(epoch))
	ticket.Ended(epoch.Add(time.Millisecond), Refused)
	other.ApplyHints(epoch, epoch.Add(700*time.Millisecond), "first", p.CollectHints(epoch))
	for name, placer := range map[string]*Scheduler{"the gateway": p, "the other one": other} {
		if n := placer.model("engine-0").uncached(comparison("part"), false); n != 17_000 {
			t.Errorf("%s expects %d tokens to read", name, n)
		}
	}
}

// TestPartsStayWhereTheyWereRead replays a burst of one kind: as long as the
// server that holds the part is not far behind, no other one reads it again.
func TestPartsStayWhereTheyWereRead(t *testing.T) {
	servers := nineEngines()
	p := newTestPlacer("dc-0")
	first, c := choose(t, p, epoch, comparison("part"), servers)
	p.StartAttempt(epoch, comparison("part"), first, c)
	for range 4 {
		next, c := choose(t, p, epoch.Add(10*time.Millisecond), comparison("part"), servers)
		if next != first {
			t.Fatalf("read again at %s", next)
		}
		p.StartAttempt(epoch.Add(10*time.Millisecond), comparison("part"), next, c)
	}
}

// TestHotPartSpreads shows that a part that is asked for faster than one server
// can serve it is read at others too.
func TestHotPartSpreads(t *testing.T) {
	servers := nineEngines()
	p := newTestPlacer("dc-0")
	used := map[string]bool{}
	for range 60 {
		id, c := choose(t, p, epoch, comparison("hot"), servers)
		p.StartAttempt(epoch, comparison("hot"), id, c)
		used[id] = true
	}
	if len(used) < 3 {
		t.Errorf("60 requests at once went to %d servers", len(used))
	}
}

// TestLongPromptsKeepAwayFromTightStreams replays the load that made streams
// with short pauses late: a long prompt is not read beside many of them while
// another server is free.
func TestLongPromptsKeepAwayFromTightStreams(t *testing.T) {
	servers := nineEngines()
	p := newTestPlacer("dc-0")
	tight := map[string]bool{}
	var open []*Attempt
	for i := range 40 {
		now := epoch.Add(time.Duration(i) * 20 * time.Millisecond)
		id, c := choose(t, p, now, question(), servers)
		stream := p.StartAttempt(now, question(), id, c)
		stream.FirstEvent(now.Add(15 * time.Millisecond))
		if open = append(open, stream); len(open) > 20 {
			open[0].Ended(now, Succeeded)
			open = open[1:]
		}
		if i >= 20 {
			tight[id] = true
		}
		id, c = choose(t, p, now, comparison(fmt.Sprintf("part-%d", i)), servers)
		ticket := p.StartAttempt(now, comparison("part"), id, c)
		ticket.FirstEvent(now)
		ticket.Ended(now, Succeeded)
		if i >= 20 && tight[id] {
			t.Errorf("prompt %d is read at %s beside streams with short pauses", i, id)
		}
	}
	if len(tight) > 4 {
		t.Errorf("streams with short pauses are spread over %d servers", len(tight))
	}
}

// TestFewServersHaveNoPools is a regression: with fewer servers than pools need,
// a tight job had no owner for its first part and the process ended.
func TestFewServersHaveNoPools(t *testing.T) {
	for n := 1; n <= 4; n++ {
		servers := nineEngines()[:n]
		p := newTestPlacer("dc-0")
		tight := question()
		tight.Segments = []Segment{{ID: "a", Tokens: 300}}
		for _, j := range []*Job{comparison("part"), tight, comparison("part"), tight} {
			id, c := choose(t, p, epoch, j, servers)
			p.StartAttempt(epoch, j, id, c)
		}
	}
}

// TestFailingServerIsLeftAndTriedAgain replays a server that fails its requests.
func TestFailingServerIsLeftAndTriedAgain(t *testing.T) {
	servers := []Server{{ID: "a", DataCentre: "dc-0", Slots: 6}, {ID: "b", DataCentre: "dc-1", Slots: 6}}
	job := &Job{Route: "booking", Service: "app"}
	p := newTestPlacer("dc-0")
	for i := range 3 {
		now := epoch.Add(time.Duration(i) * 50 * time.Millisecond)
		_, c := choose(t, p, now, job, servers[:1])
		p.StartAttempt(now, job, "a", c).Ended(now, Failed)
	}
	if id, _ := choose(t, p, epoch.Add(time.Second), job, servers); id != "b" {
		t.Errorf("a server that failed three requests gets the next: %s", id)
	}
	if id, _ := choose(t, p, epoch.Add(time.Minute), job, servers); id != "a" {
		t.Errorf("a server that failed a minute ago is not tried again: %s", id)
	}
}

// TestHintsTellWhereOthersSentParts shows that a gateway uses what another one
// sent, and counts what it holds.
func TestHintsTellWhereOthersSentParts(t *testing.T) {
	servers := nineEngines()
	one, other := newTestPlacer("dc-0"), newTestPlacer("dc-1")
	elsewhere := servers[0].ID
	if id, _ := choose(t, one, epoch, comparison("part"), servers); id == elsewhere {
		elsewhere = servers[1].ID
	}
	other.StartAttempt(epoch, comparison("part"), elsewhere, Choice{UncachedTokens: 17_000})
	one.ApplyHints(epoch, epoch.Add(700*time.Millisecond), "other", other.CollectHints(epoch))
	id, c := choose(t, one, epoch, comparison("part"), servers)
	if id != elsewhere || c.UncachedTokens != 17_000-13_300 {
		t.Errorf("chose %s with %d tokens to read, the other gateway sent it to %s", id, c.UncachedTokens, elsewhere)
	}
	if l := one.model(elsewhere).load(epoch); l.unread != 17_000 || l.open != 1 {
		t.Errorf("the other gateway's load is %+v", l)
	}
	if l := one.model(elsewhere).load(epoch.Add(time.Second)); l.unread != 0 {
		t.Errorf("a hint counts a second later: %+v", l)
	}
}

// TestTightStreamsStayTogether replays a burst of short streams (x2.2) beside
// long prompts: a batch of dozens is no reason to spread them over engines that
// read long prompts.
func TestTightStreamsStayTogether(t *testing.T) {
	servers := nineEngines()
	p := newTestPlacer("dc-0")
	used := map[string]int{}
	var open []*Attempt
	for i := range 300 {
		now := epoch.Add(time.Duration(i) * 15 * time.Millisecond)
		id, c := choose(t, p, now, question(), servers)
		stream := p.StartAttempt(now, question(), id, c)
		stream.FirstEvent(now.Add(20 * time.Millisecond))
		if open = append(open, stream); len(open) > 40 {
			open[0].Ended(now, Succeeded)
			open = open[1:]
		}
		if i%2 == 0 {
			part := fmt.Sprintf("part-%d", i%80)
			id, c := choose(t, p, now, comparison(part), servers)
			ticket := p.StartAttempt(now, comparison(part), id, c)
			read := now.Add(time.Duration(c.ServiceTime * float64(time.Millisecond)))
			ticket.FirstEvent(read)
			ticket.Ended(read, Succeeded)
		}
		if i > 100 {
			used[id]++
		}
	}
	if len(used) > 3 {
		t.Errorf("40 streams at once are spread over %v", used)
	}
}

// TestRoomAtAnEngine replays a burst of long prompts at one engine: beyond a
// quarter of a second of reading the rest waits at the gateways, less urgent ones
// first; an idle engine is never full.
func TestRoomAtAnEngine(t *testing.T) {
	servers := nineEngines()[:1]
	p := newTestPlacer("dc-0")
	urgent, patient := comparison("part"), comparison("part")
	patient.Rank = 9
	if _, c := choose(t, p, epoch, patient, servers); c.Full {
		t.Errorf("an idle engine is full: %+v", c)
	}
	sent := 0
	for ; sent < 100; sent++ {
		_, c := choose(t, p, epoch, urgent, servers)
		if c.Full {
			break
		}
		p.StartAttempt(epoch, urgent, servers[0].ID, c)
	}
	if read := p.model(servers[0].ID).load(epoch).unread; float64(read) > (readAhead+300)*defaultReadPace {
		t.Errorf("%d prompts with %d tokens wait at the engine", sent, read)
	}
	for i := range 5 {
		p.StartAttempt(epoch, question(), servers[0].ID, Choice{Index: i, UncachedTokens: 100})
	}
	if _, c := choose(t, p, epoch, patient, servers); !c.Full {
		t.Error("a less urgent request finds room where an urgent one finds none")
	}
}

// TestRunningRequestsLeaveMemoryForSharedParts replays many long answers: their
// prompts were read, but they hold memory.
func TestRunningRequestsLeaveMemoryForSharedParts(t *testing.T) {
	servers := nineEngines()[:1]
	p := newTestPlacer("dc-0")
	sent := 0
	for ; sent < 200; sent++ {
		_, c := choose(t, p, epoch, comparison("part"), servers)
		if c.Full {
			break
		}
		p.StartAttempt(epoch, comparison("part"), servers[0].ID, c).FirstEvent(epoch.Add(80 * time.Millisecond))
	}
	held := p.model(servers[0].ID).load(epoch).held
	if sent == 200 || float64(held) > runShare*567_000 {
		t.Errorf("%d requests hold %d tokens that nothing shares", sent, held)
	}
}

// TestGatewaysThatWaitDoNotRushAFreedEngine replays the high load of a large
// site: 21 gateways hold prompts for an engine that becomes free, and look every
// 20 ms whether there is room. Before the first hints of what was sent, each may
// use its own part of the room only, or one prompt.
func TestGatewaysThatWaitDoNotRushAFreedEngine(t *testing.T) {
	const gateways, waiting, prompt = 21, 8, 3700
	engine := nineEngines()[:1]
	placers := make([]*Scheduler, gateways)
	for i := range placers {
		placers[i] = newTestPlacer("dc-0")
		for k := range gateways {
			if k != i {
				placers[i].ApplyHints(epoch, epoch.Add(time.Second), fmt.Sprintf("gateway-%d", k), nil)
			}
		}
	}
	for i, p := range placers {
		sent := 0
		for look := range 5 {
			now := epoch.Add(time.Duration(look) * 20 * time.Millisecond)
			for range waiting {
				j := &Job{Route: "comparison", Service: "engines", Generates: true, PromptTokens: prompt, KVCacheTokens: 567_000, MaxEventGap: 800 * time.Millisecond}
				if _, c := choose(t, p, now, j, engine); !c.Full {
					p.StartAttempt(now, j, engine[0].ID, c)
					sent++
				}
			}
		}
		if sent > 1 {
			t.Errorf("gateway %d sent %d prompts before any hint", i, sent)
		}
	}
}

// TestAGatewayAloneUsesAllRoom shows that room is left for gateways that are
// alive only.
func TestAGatewayAloneUsesAllRoom(t *testing.T) {
	engine := nineEngines()[:1]
	p := newTestPlacer("dc-0")
	p.ApplyHints(epoch, epoch.Add(time.Second), "gateway-1", nil)
	later := epoch.Add(2 * time.Second)
	sent := 0
	for range 8 {
		j := &Job{Route: "comparison", Service: "engines", Generates: true, PromptTokens: 3700, KVCacheTokens: 567_000, MaxEventGap: 800 * time.Millisecond}
		if _, c := choose(t, p, later, j, engine); !c.Full {
			p.StartAttempt(later, j, engine[0].ID, c)
			sent++
		}
	}
	const room = readAhead * defaultReadPace
	if before := float64((sent - 1) * 3700); before > room || before+3700 <= room {
		t.Errorf("%d prompts were sent into room for %.0f tokens", sent, room)
	}
}

// TestEndedRequestsPushPartsOut replays the high load of a large site: the
// tokens that only one request used stay in an engine's memory when it ends and
// push out parts that were used before them. A gateway that ended them, and one
// that got its hints, must not take those parts for cached.
func TestEndedRequestsPushPartsOut(t *testing.T) {
	const memory = 100_000
	engine := nineEngines()[0].ID
	p, other := newTestPlacer("dc-0"), newTestPlacer("dc-1")
	send := func(at time.Duration, j *Job) {
		j.KVCacheTokens = memory
		ticket := p.StartAttempt(epoch.Add(at), j, engine, Choice{UncachedTokens: j.PromptTokens})
		ticket.FirstEvent(epoch.Add(at + 50*time.Millisecond))
		ticket.Ended(epoch.Add(at+100*time.Millisecond), Succeeded)
	}
	send(0, comparison("early"))
	for i := range 20 {
		send(time.Duration(i+1)*time.Second, &Job{Route: "note", Service: "engines", Generates: true, PromptTokens: 4_500, OutputTokens: 500})
	}
	now := epoch.Add(time.Minute)
	other.ApplyHints(now, now.Add(time.Second), "gateway-0", p.CollectHints(now))
	for name, placer := range map[string]*Scheduler{"the gateway": p, "the other gateway": other} {
		if left := placer.model(engine).uncached(comparison("early"), false); left != 17_000 {
			t.Errorf("%s takes %d of 17000 tokens for cached, after 100000 others", name, 17_000-left)
		}
	}
}

// TestRecentPartsStayWhenRequestsEnd bounds the opposite error.
func TestRecentPartsStayWhenRequestsEnd(t *testing.T) {
	engine := nineEngines()[0].ID
	p := newTestPlacer("dc-0")
	for i := range 50 {
		at := epoch.Add(time.Duration(i) * time.Second)
		j := comparison("used often")
		j.KVCacheTokens = 100_000
		ticket := p.StartAttempt(at, j, engine, Choice{UncachedTokens: j.PromptTokens})
		ticket.FirstEvent(at.Add(50 * time.Millisecond))
		ticket.Ended(at.Add(100*time.Millisecond), Succeeded)
	}
	if left := p.model(engine).uncached(comparison("used often"), false); left != 3_700 {
		t.Errorf("%d tokens of a part that each request uses are taken for uncached", left)
	}
}

// TestLeastOpenTakesTheFewest covers the baseline.
func TestLeastOpenTakesTheFewest(t *testing.T) {
	servers := nineEngines()
	p := newTestPlacer("dc-0")
	p.SetPolicy(PolicyLeastRequests)
	used := make(map[string]int)
	for range 18 {
		id, c := choose(t, p, epoch, comparison("one part"), servers)
		p.StartAttempt(epoch, comparison("one part"), id, c)
		used[id]++
	}
	for _, s := range servers {
		if used[s.ID] != 2 {
			t.Errorf("%s got %d of 18 requests", s.ID, used[s.ID])
		}
	}
}
