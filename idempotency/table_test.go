package idempotency

import (
	"testing"
	"time"

	"github.com/sesameswitch/sesameswitch/outcome"
)

const (
	testValidity = 10 * time.Minute
	testSkew     = 5 * time.Second
)

// harness holds a table and the time that is passed to it. It counts the created
// values as runs.
type harness struct {
	table *Table[int]
	now   time.Time
	runs  int
	// seed is the random seed of the last minted key; it differs for each key.
	seed byte
}

func newHarness(capacity int) *harness {
	table := NewTable[int](Config{
		VM: "vm-1", Incarnation: "life-1", Capacity: capacity, Validity: testValidity, FutureSkew: testSkew,
	})
	return &harness{table: table, now: testStart}
}

func (h *harness) mint(minted time.Time) string {
	h.seed++
	return Mint("vm-1", "life-1", "acme", minted, seededRandom(h.seed)).String()
}

func (h *harness) claim(key, account string, sum byte) (Verdict, int, *outcome.Refusal) {
	return h.table.Claim(h.now, key, account, [32]byte{sum}, func() int {
		h.runs++
		return h.runs
	})
}

func (h *harness) wantRefused(t *testing.T, key, account string, sum byte, want outcome.Outcome, reason outcome.Reason) {
	t.Helper()
	before := h.runs
	verdict, _, refusal := h.claim(key, account, sum)
	if verdict != Refused || refusal == nil || refusal.Outcome != want || refusal.Reason != reason {
		t.Fatalf("got verdict %v, refusal %v; want refusal %s %s", verdict, refusal, want, reason)
	}
	if h.runs != before {
		t.Fatal("refused request ran")
	}
}

func (h *harness) wantNew(t *testing.T, key string) {
	t.Helper()
	if verdict, _, refusal := h.claim(key, "acme", 1); verdict != New {
		t.Fatalf("got verdict %v, refusal %v; want verdict New", verdict, refusal)
	}
}

func TestRetryJoinsFirstRun(t *testing.T) {
	h := newHarness(4)
	key := h.mint(h.now)
	h.wantNew(t, key)
	verdict, value, _ := h.claim(key, "acme", 1)
	if verdict != Joined || value != 1 || h.runs != 1 {
		t.Fatalf("got verdict %v, value %d, %d runs; want verdict Joined, value 1, 1 run", verdict, value, h.runs)
	}
}

func TestClaimRefusesInvalidUses(t *testing.T) {
	h := newHarness(4)
	used := h.mint(h.now)
	h.wantNew(t, used)
	cases := []struct {
		name, key, account string
		sum                byte
		outcome            outcome.Outcome
		reason             outcome.Reason
	}{
		{"malformed", "payment-17", "acme", 1, outcome.NotRun, outcome.ReasonKeyInvalid},
		{"another body", used, "acme", 2, outcome.NotRun, outcome.ReasonKeyReused},
		{"another account", used, "evil", 1, outcome.NotRun, outcome.ReasonForbidden},
		{"expired", h.mint(h.now.Add(-testValidity)), "acme", 1, outcome.Unknown, outcome.ReasonKeyExpired},
		{"future", h.mint(h.now.Add(testSkew + time.Second)), "acme", 1, outcome.NotRun, outcome.ReasonKeyFuture},
		{"far future", h.mint(h.now.Add(24 * time.Hour)), "acme", 1, outcome.Unknown, outcome.ReasonKeyFuture},
		{"earlier incarnation", Mint("vm-1", "life-0", "acme", h.now, seededRandom(9)).String(), "acme", 1, outcome.Unknown, outcome.ReasonWrongIncarnation},
		{"other VM", Mint("vm-2", "life-1", "acme", h.now, seededRandom(9)).String(), "acme", 1, outcome.Unknown, outcome.ReasonWrongIncarnation},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h.wantRefused(t, c.key, c.account, c.sum, c.outcome, c.reason)
		})
	}
}

func TestFutureKeyStaysRefused(t *testing.T) {
	h := newHarness(4)
	key := h.mint(h.now.Add(time.Minute))
	h.wantRefused(t, key, "acme", 1, outcome.NotRun, outcome.ReasonKeyFuture)
	h.now = h.now.Add(2 * time.Minute)
	h.wantRefused(t, key, "acme", 1, outcome.NotRun, outcome.ReasonKeyFuture)
}

func TestSealedKeyNeverRuns(t *testing.T) {
	h := newHarness(4)
	key := h.mint(h.now)
	shed := outcome.Refuse(outcome.ReasonShed, "no room")
	if verdict, _, refusal := h.table.Seal(h.now, key, "acme", [32]byte{1}, shed); verdict != Refused || refusal != shed {
		t.Fatalf("got verdict %v, refusal %v; want the refusal given to Seal", verdict, refusal)
	}
	h.wantRefused(t, key, "acme", 1, outcome.NotRun, outcome.ReasonShed)
}

func TestSealOfUsedKeyJoinsItsRun(t *testing.T) {
	h := newHarness(4)
	key := h.mint(h.now)
	h.wantNew(t, key)
	verdict, value, _ := h.table.Seal(h.now, key, "acme", [32]byte{1}, outcome.Refuse(outcome.ReasonShed, ""))
	if verdict != Joined || value != 1 {
		t.Fatalf("got verdict %v, value %d; want verdict Joined, value 1", verdict, value)
	}
}

func TestWithdrawnKeyStaysRefused(t *testing.T) {
	h := newHarness(4)
	key := h.mint(h.now)
	h.wantNew(t, key)
	h.table.Withdraw(key, outcome.Refuse(outcome.ReasonShed, ""))
	h.wantRefused(t, key, "acme", 1, outcome.NotRun, outcome.ReasonShed)
	h.table.Withdraw(key, outcome.Refuse(outcome.ReasonDeadline, ""))
	h.wantRefused(t, key, "acme", 1, outcome.NotRun, outcome.ReasonShed)
}

func TestFullTableRefusesPermanentlyAndKeepsValidKeys(t *testing.T) {
	h := newHarness(2)
	valid := []string{h.mint(h.now), h.mint(h.now.Add(time.Second))}
	h.wantNew(t, valid[0])
	h.wantNew(t, valid[1])
	excess := h.mint(h.now.Add(2 * time.Second))
	h.wantRefused(t, excess, "acme", 1, outcome.NotRun, outcome.ReasonKeyTableFull)
	h.now = h.now.Add(testValidity)
	if n := h.table.RemoveExpired(h.now); n != 1 {
		t.Fatalf("removed %d keys, want only the expired one", n)
	}
	h.wantRefused(t, excess, "acme", 1, outcome.NotRun, outcome.ReasonKeyTableFull)
	h.wantNew(t, h.mint(h.now))
	if verdict, _, _ := h.claim(valid[1], "acme", 1); verdict != Joined {
		t.Fatalf("valid key was removed: got verdict %v, want Joined", verdict)
	}
}

func TestFullTableRemovesExpiredKeysForNewOnes(t *testing.T) {
	h := newHarness(1)
	h.wantNew(t, h.mint(h.now))
	h.now = h.now.Add(testValidity)
	h.wantNew(t, h.mint(h.now))
	if h.table.Len() != 1 {
		t.Fatalf("%d keys stored, want 1", h.table.Len())
	}
}

func TestFutureKeyDoesNotAdvanceRefusedWatermarkOfFullTable(t *testing.T) {
	h := newHarness(1)
	h.wantNew(t, h.mint(h.now))
	h.wantRefused(t, h.mint(h.now.Add(time.Minute)), "acme", 1, outcome.Unknown, outcome.ReasonKeyFuture)
	h.now = h.now.Add(testValidity)
	h.wantNew(t, h.mint(h.now))
}

func TestExpiredKeyStaysExpired(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*harness)
	}{
		{"when time steps back", func(h *harness) { h.now = h.now.Add(-testValidity) }},
		{"when validity grows", func(h *harness) { h.table.Configure(4, 10*testValidity) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(4)
			key := h.mint(h.now)
			h.wantNew(t, key)
			h.now = h.now.Add(testValidity)
			h.table.RemoveExpired(h.now)
			c.change(h)
			h.wantRefused(t, key, "acme", 1, outcome.Unknown, outcome.ReasonKeyExpired)
		})
	}
}
