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

// newCandidates returns n idle agents in four data centres.
func newCandidates(n int) []Candidate {
	candidates := make([]Candidate, n)
	for i := range candidates {
		candidates[i] = Candidate{
			VM: fmt.Sprint("vm-", i), DataCentre: fmt.Sprint("dc-", i%4), State: agentapi.StateServing,
			Slots: 8, Allowed: true, ReportedAt: epoch,
		}
	}
	return candidates
}

func TestPickReturnsOnlyEligibleCandidates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		candidates := newCandidates(rapid.IntRange(0, 40).Draw(t, "agents"))
		req := &Request{Tier: 1, PrefixHash: rapid.Uint64().Draw(t, "prefix"), Excluded: map[string]bool{}}
		anyEligible := false
		for i := range candidates {
			c := &candidates[i]
			c.Allowed = rapid.Bool().Draw(t, "allowed")
			c.State = rapid.SampledFrom([]agentapi.State{agentapi.StateServing, agentapi.StateDraining, ""}).Draw(t, "state")
			c.InFlight = rapid.IntRange(0, 100).Draw(t, "in flight")
			req.Excluded[c.VM] = rapid.IntRange(0, 4).Draw(t, "excluded") == 0
			anyEligible = anyEligible || eligible(req, c)
		}
		for _, policy := range []Policy{PolicySesame, PolicyRoundRobin, PolicyLeastRequests} {
			router := New(Config{Policy: policy, DataCentre: "dc-1"}, newRNG())
			index, ok := router.Pick(epoch, req, candidates)
			if ok != anyEligible || ok && !eligible(req, &candidates[index]) {
				t.Fatalf("policy %s: got candidate %d, %v, want an eligible one if there is any of %+v", policy, index, ok, candidates)
			}
		}
	})
}

// pickCounts returns how often each candidate is picked in a thousand choices.
func pickCounts(router *Router, now time.Time, req *Request, candidates []Candidate) map[string]int {
	counts := map[string]int{}
	for range 1000 {
		if i, ok := router.Pick(now, req, candidates); ok {
			counts[candidates[i].VM]++
		}
	}
	return counts
}

func TestPickPrefersAgentsOfOwnDataCentre(t *testing.T) {
	candidates := newCandidates(16)
	router := New(Config{DataCentre: "dc-1"}, newRNG())
	for vm, count := range pickCounts(router, epoch, &Request{Tier: 1}, candidates) {
		if vm != "vm-1" && vm != "vm-5" && vm != "vm-9" && vm != "vm-13" {
			t.Errorf("%s of another data centre was picked %d times, want 0", vm, count)
		}
	}
	for i := range candidates {
		if candidates[i].DataCentre == "dc-1" {
			candidates[i].WaitByTier = [4]time.Duration{time.Second, time.Second, time.Second, time.Second}
		}
	}
	counts := pickCounts(router, epoch, &Request{Tier: 1}, candidates)
	if local := counts["vm-1"] + counts["vm-5"] + counts["vm-9"] + counts["vm-13"]; local > 50 {
		t.Errorf("busy agents of the entry's own data centre were picked %d times of 1000, want at most 50", local)
	}
}

func TestPickKeepsPrefixAtPreferredAgentUnlessBusy(t *testing.T) {
	candidates := newCandidates(10)
	req := &Request{Tier: 2, PrefixHash: 42}
	preferredIndex := preferred(req, candidates)
	for entry := range 3 {
		router := New(Config{DataCentre: "dc-0"}, rand.New(rand.NewPCG(3, uint64(entry))))
		if counts := pickCounts(router, epoch, req, candidates); counts[candidates[preferredIndex].VM] != 1000 {
			t.Errorf("entry %d: got picks %v, want all at the preferred agent of the prefix", entry, counts)
		}
	}
	candidates[preferredIndex].InFlight = 16
	router := New(Config{DataCentre: "dc-0"}, newRNG())
	if counts := pickCounts(router, epoch, req, candidates); counts[candidates[preferredIndex].VM] > 0 {
		t.Errorf("the busy preferred agent was picked %d times, want 0", counts[candidates[preferredIndex].VM])
	}
}

func TestPickAvoidsSilentAgent(t *testing.T) {
	candidates := newCandidates(4)
	router := New(Config{DataCentre: "dc-0"}, newRNG())
	now := epoch
	for range 3 {
		router.Observe(now, "vm-0", Observation{Kind: KindSent})
	}
	now = now.Add(2 * time.Second)
	for i := range candidates {
		candidates[i].ReportedAt = now
	}
	if got := pickCounts(router, now, &Request{Tier: 1}, candidates)["vm-0"]; got > 0 {
		t.Errorf("an agent without a first token for 2 s was picked %d times, want 0", got)
	}
	router.Observe(now, "vm-0", Observation{Kind: KindFirstToken})
	if got := pickCounts(router, now, &Request{Tier: 1}, candidates)["vm-0"]; got == 0 {
		t.Error("the agent was not picked after its first token, want some picks")
	}
}

func TestPickHonoursRefusalForItsTierAndLessUrgentTiers(t *testing.T) {
	candidates := newCandidates(4)
	router := New(Config{DataCentre: "dc-0"}, newRNG())
	router.Observe(epoch, "vm-0", Observation{Kind: KindRefused, Tier: 3, RetryDelay: 2 * time.Second})
	for tier, want := range map[int]bool{1: true, 3: false, 4: false} {
		if got := pickCounts(router, epoch, &Request{Tier: tier}, candidates)["vm-0"]; (got > 0) != want {
			t.Errorf("tier %d: got %d picks after a refusal of tier 3, want picks for tier 1 only", tier, got)
		}
	}
}

// TestSubsetsAreBalancedAndStable checks that the subsets of many entries contain
// only agents of the entry's own data centre and spread evenly over the agents, and
// that a subset has its full size again after an agent has left.
func TestSubsetsAreBalancedAndStable(t *testing.T) {
	var agents []SubsetCandidate
	for i := range 800 {
		agents = append(agents, SubsetCandidate{VM: fmt.Sprint("vm-", i), DataCentre: fmt.Sprint("dc-", i%10)})
	}
	entriesPerAgent := make([]int, len(agents))
	for entry := range 340 {
		subset := Subset(fmt.Sprint("entry-", entry), fmt.Sprint("dc-", entry%10), agents, 24)
		for _, i := range subset {
			entriesPerAgent[i]++
			if agents[i].DataCentre != fmt.Sprint("dc-", entry%10) {
				t.Fatalf("entry %d uses an agent of another data centre", entry)
			}
		}
	}
	lowest, highest := entriesPerAgent[0], entriesPerAgent[0]
	for _, n := range entriesPerAgent {
		lowest, highest = min(lowest, n), max(highest, n)
	}
	t.Logf("entries per agent: %d to %d, mean %.1f", lowest, highest, 340*24/800.0)
	if lowest < 2 || highest > 24 {
		t.Errorf("got %d to %d entries per agent, want 2 to 24", lowest, highest)
	}
	before := Subset("entry-1", "dc-1", agents, 24)
	lost := agents[before[0]].VM
	agents[before[0]], agents = agents[799], agents[:799]
	size := 0
	for _, i := range Subset("entry-1", "dc-1", agents, 24) {
		if agents[i].VM == lost {
			t.Fatal("an agent that has left is still in the subset")
		}
		size++
	}
	if size != 24 {
		t.Errorf("got a subset of %d agents after one has left, want 24", size)
	}
}

func TestPickAllocatesNothing(t *testing.T) {
	for _, n := range []int{10, 100, 800} {
		router, candidates := routerWithObservations(n)
		req := &Request{Tier: 2, Class: "comparison", Model: "small", PrefixHash: 7}
		if got := testing.AllocsPerRun(100, func() { router.Pick(epoch, req, candidates) }); got > 0 {
			t.Errorf("%d agents: got %g allocations per choice, want 0", n, got)
		}
	}
}

// routerWithObservations returns a router with one completed request at each of
// n agents.
func routerWithObservations(n int) (*Router, []Candidate) {
	router := New(Config{DataCentre: "dc-1"}, newRNG())
	candidates := newCandidates(n)
	for i := range candidates {
		router.Observe(epoch, candidates[i].VM, Observation{Kind: KindSent, Class: "comparison", Model: "small"})
		router.Observe(epoch, candidates[i].VM, Observation{
			Kind: KindCompleted, Class: "comparison", Model: "small", Completion: time.Duration(i+1) * 10 * time.Millisecond,
		})
		candidates[i].InFlight = i % 8
	}
	return router, candidates
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{10, 100, 800} {
		b.Run(fmt.Sprint(n, " agents"), func(b *testing.B) {
			router, candidates := routerWithObservations(n)
			req := &Request{Tier: 2, Class: "comparison", Model: "small", PrefixHash: 7}
			b.ReportAllocs()
			for b.Loop() {
				router.Pick(epoch, req, candidates)
			}
		})
	}
}

// TestPickAvoidsAgentThatMissesInterTokenTarget checks that an agent whose
// inter-token latency exceeds a request's target gets only requests without such
// a target, until the observation expires.
func TestPickAvoidsAgentThatMissesInterTokenTarget(t *testing.T) {
	now := time.Unix(1000, 0)
	r := New(Config{DataCentre: "dc-1"}, rand.New(rand.NewPCG(1, 1)))
	candidates := []Candidate{
		{VM: "slow", DataCentre: "dc-1", State: agentapi.StateServing, Slots: 4, Allowed: true},
		{VM: "fast", DataCentre: "dc-1", State: agentapi.StateServing, Slots: 4, Allowed: true, InFlight: 4},
	}
	for _, agent := range []struct {
		vm         string
		interToken time.Duration
	}{{"slow", 32 * time.Millisecond}, {"fast", 12 * time.Millisecond}} {
		r.Observe(now, agent.vm, Observation{Kind: KindSent})
		r.Observe(now, agent.vm, Observation{
			Kind: KindCompleted, FirstToken: 50 * time.Millisecond, Tokens: 11, Completion: 50*time.Millisecond + 10*agent.interToken,
		})
	}
	pick := func(target time.Duration, at time.Time) string {
		index, _ := r.Pick(at, &Request{Tier: 1, InterTokenTarget: target}, candidates)
		return candidates[index].VM
	}
	if got := pick(27*time.Millisecond, now); got != "fast" {
		t.Errorf("with a target of 27 ms: got agent %s, want fast", got)
	}
	if got := pick(0, now); got != "slow" {
		t.Errorf("without a target: got agent %s, want slow, which is less loaded", got)
	}
	if got := pick(27*time.Millisecond, now.Add(interTokenTTL)); got != "slow" {
		t.Errorf("%v after the observation: agent slow was not picked, want it picked, as the observation has expired", interTokenTTL)
	}
}
