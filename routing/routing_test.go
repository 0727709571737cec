package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sesameswitch/sesameswitch/agentapi"
)

var epoch = time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)

func newRNG() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func fleet(n int) []Candidate {
	candidates := make([]Candidate, n)
	for i := range candidates {
		candidates[i] = Candidate{
			VM: fmt.Sprint("vm-", i), DataCentre: fmt.Sprint("dc-", i%4), State: agentapi.StateServing,
			Slots: 8, Allowed: true, ReportedAt: epoch,
		}
	}
	return candidates
}

func TestPickChoosesOnlyFitCandidates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		candidates := fleet(rapid.IntRange(0, 40).Draw(t, "agents"))
		req := &Request{Tier: 1, PrefixHash: rapid.Uint64().Draw(t, "prefix"), Excluded: map[string]bool{}}
		any := false
		for i := range candidates {
			c := &candidates[i]
			c.Allowed = rapid.Bool().Draw(t, "allowed")
			c.State = rapid.SampledFrom([]agentapi.State{agentapi.StateServing, agentapi.StateDraining, ""}).Draw(t, "state")
			c.Outstanding = rapid.IntRange(0, 100).Draw(t, "outstanding")
			req.Excluded[c.VM] = rapid.IntRange(0, 4).Draw(t, "excluded") == 0
			any = any || fit(req, c)
		}
		for _, policy := range []Policy{PolicySesame, PolicyRoundRobin, PolicyLeastRequests} {
			router := New(Config{Policy: policy, DataCentre: "dc-1"}, newRNG())
			index, ok := router.Pick(epoch, req, candidates)
			if ok != any || ok && !fit(req, &candidates[index]) {
				t.Fatalf("%s picked %d, %v of %+v", policy, index, ok, candidates)
			}
		}
	})
}

// share counts how often each candidate is picked in a thousand.
func share(router *Router, now time.Time, req *Request, candidates []Candidate) map[string]int {
	picked := map[string]int{}
	for range 1000 {
		if i, ok := router.Pick(now, req, candidates); ok {
			picked[candidates[i].VM]++
		}
	}
	return picked
}

func TestSameDataCentreFirst(t *testing.T) {
	candidates := fleet(16)
	router := New(Config{DataCentre: "dc-1"}, newRNG())
	for vm, count := range share(router, epoch, &Request{Tier: 1}, candidates) {
		if vm != "vm-1" && vm != "vm-5" && vm != "vm-9" && vm != "vm-13" {
			t.Errorf("%s of another data centre was picked %d times", vm, count)
		}
	}
	for i := range candidates {
		if candidates[i].DataCentre == "dc-1" {
			candidates[i].WaitByTier = [4]time.Duration{time.Second, time.Second, time.Second, time.Second}
		}
	}
	picked := share(router, epoch, &Request{Tier: 1}, candidates)
	if local := picked["vm-1"] + picked["vm-5"] + picked["vm-9"] + picked["vm-13"]; local > 50 {
		t.Errorf("busy agents of the own data centre were picked %d times of 1000", local)
	}
}

func TestPrefixStaysUnlessItsAgentIsBusy(t *testing.T) {
	candidates := fleet(10)
	req := &Request{Tier: 2, PrefixHash: 42}
	home := preferred(req, candidates)
	for entry := range 3 {
		router := New(Config{DataCentre: "dc-0"}, rand.New(rand.NewPCG(3, uint64(entry))))
		if picked := share(router, epoch, req, candidates); picked[candidates[home].VM] != 1000 {
			t.Errorf("entry %d: the prefix went to %v", entry, picked)
		}
	}
	candidates[home].Outstanding = 16
	router := New(Config{DataCentre: "dc-0"}, newRNG())
	if picked := share(router, epoch, req, candidates); picked[candidates[home].VM] > 0 {
		t.Errorf("a busy agent got its prefix %d times", picked[candidates[home].VM])
	}
}

func TestSilentAgentIsAvoided(t *testing.T) {
	candidates := fleet(4)
	router := New(Config{DataCentre: "dc-0"}, newRNG())
	now := epoch
	for range 3 {
		router.Observe(now, "vm-0", Observation{Kind: KindSent})
	}
	now = now.Add(2 * time.Second)
	for i := range candidates {
		candidates[i].ReportedAt = now
	}
	if got := share(router, now, &Request{Tier: 1}, candidates)["vm-0"]; got > 0 {
		t.Errorf("an agent without a first token for 2 s was picked %d times", got)
	}
	router.Observe(now, "vm-0", Observation{Kind: KindFirstToken})
	if got := share(router, now, &Request{Tier: 1}, candidates)["vm-0"]; got == 0 {
		t.Error("the agent is avoided after its first token")
	}
}

func TestRefusalKeepsItsTierAway(t *testing.T) {
	candidates := fleet(4)
	router := New(Config{DataCentre: "dc-0"}, newRNG())
	router.Observe(epoch, "vm-0", Observation{Kind: KindRefused, Tier: 3, RetryDelay: 2 * time.Second})
	for tier, want := range map[int]bool{1: true, 3: false, 4: false} {
		if got := share(router, epoch, &Request{Tier: tier}, candidates)["vm-0"]; (got > 0) != want {
			t.Errorf("tier %d: picked %d times after a refusal of tier 3", tier, got)
		}
	}
}

func TestSubset(t *testing.T) {
	var agents []SubsetCandidate
	for i := range 800 {
		agents = append(agents, SubsetCandidate{VM: fmt.Sprint("vm-", i), DataCentre: fmt.Sprint("dc-", i%10)})
	}
	load := make([]int, len(agents))
	for entry := range 340 {
		chosen := Subset(fmt.Sprint("entry-", entry), fmt.Sprint("dc-", entry%10), agents, 24)
		for _, at := range chosen {
			load[at]++
			if agents[at].DataCentre != fmt.Sprint("dc-", entry%10) {
				t.Fatalf("entry %d uses another data centre's agent", entry)
			}
		}
	}
	lowest, highest := load[0], load[0]
	for _, n := range load {
		lowest, highest = min(lowest, n), max(highest, n)
	}
	t.Logf("entries per agent: %d to %d, mean %.1f", lowest, highest, 340*24/800.0)
	if lowest < 2 || highest > 24 {
		t.Errorf("entries per agent range from %d to %d", lowest, highest)
	}
	before := Subset("entry-1", "dc-1", agents, 24)
	lost := agents[before[0]].VM
	agents[before[0]], agents = agents[799], agents[:799]
	kept := 0
	for _, at := range Subset("entry-1", "dc-1", agents, 24) {
		if agents[at].VM == lost {
			t.Fatal("a lost agent is still used")
		}
		kept++
	}
	if kept != 24 {
		t.Errorf("%d agents after the loss of one", kept)
	}
}

func TestPickAllocatesNothing(t *testing.T) {
	for _, n := range []int{10, 100, 800} {
		router, candidates := warm(n)
		req := &Request{Tier: 2, Class: "comparison", Model: "small", PrefixHash: 7}
		if got := testing.AllocsPerRun(100, func() { router.Pick(epoch, req, candidates) }); got > 0 {
			t.Errorf("%d agents: %g allocations per choice", n, got)
		}
	}
}

// warm returns a router that has seen all agents.
func warm(n int) (*Router, []Candidate) {
	router := New(Config{DataCentre: "dc-1"}, newRNG())
	candidates := fleet(n)
	for i := range candidates {
		router.Observe(epoch, candidates[i].VM, Observation{Kind: KindSent, Class: "comparison", Model: "small"})
		router.Observe(epoch, candidates[i].VM, Observation{
			Kind: KindCompleted, Class: "comparison", Model: "small", Completion: time.Duration(i+1) * 10 * time.Millisecond,
		})
		candidates[i].Outstanding = i % 8
	}
	return router, candidates
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{10, 100, 800} {
		b.Run(fmt.Sprint(n, " agents"), func(b *testing.B) {
			router, candidates := warm(n)
			req := &Request{Tier: 2, Class: "comparison", Model: "small", PrefixHash: 7}
			b.ReportAllocs()
			for b.Loop() {
				router.Pick(epoch, req, candidates)
			}
		})
	}
}

// TestSlowTokensKeepRequestsWithATargetAway shows that an agent whose tokens
// come too slowly for a target is left to requests without one.
func TestSlowTokensKeepRequestsWithATargetAway(t *testing.T) {
	now := time.Unix(1000, 0)
	r := New(Config{DataCentre: "dc-1"}, rand.New(rand.NewPCG(1, 1)))
	candidates := []Candidate{
		{VM: "slow", DataCentre: "dc-1", State: agentapi.StateServing, Slots: 4, Allowed: true},
		{VM: "fast", DataCentre: "dc-1", State: agentapi.StateServing, Slots: 4, Allowed: true, Outstanding: 4},
	}
	for _, o := range []struct {
		vm      string
		between time.Duration
	}{{"slow", 32 * time.Millisecond}, {"fast", 12 * time.Millisecond}} {
		r.Observe(now, o.vm, Observation{Kind: KindSent})
		r.Observe(now, o.vm, Observation{
			Kind: KindCompleted, FirstToken: 50 * time.Millisecond, Tokens: 11, Completion: 50*time.Millisecond + 10*o.between,
		})
	}
	pick := func(target time.Duration, at time.Time) string {
		index, _ := r.Pick(at, &Request{Tier: 1, InterTokenTarget: target}, candidates)
		return candidates[index].VM
	}
	if got := pick(27*time.Millisecond, now); got != "fast" {
		t.Errorf("a target of 27 ms went to %s", got)
	}
	if got := pick(0, now); got != "slow" {
		t.Errorf("no target went to %s, which has more to do", got)
	}
	if got := pick(27*time.Millisecond, now.Add(paceMemory)); got != "slow" {
		t.Errorf("after %v without a word it was not tried again", paceMemory)
	}
}
