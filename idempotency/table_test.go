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

// bench is a table with a clock, and counts the runs.
type bench struct {
	table *Table[int]
	now   time.Time
	runs  int
	seed  byte
}

func newBench(capacity int) *bench {
	table := NewTable[int](Config{
		VM: "vm-1", Incarnation: "life-1", Capacity: capacity, Validity: testValidity, FutureSkew: testSkew,
	})
	return &bench{table: table, now: start}
}

func (b *bench) mint(minted time.Time) string {
	b.seed++
	return Mint("vm-1", "life-1", "acme", minted, source(b.seed)).String()
}

func (b *bench) claim(key, account string, sum byte) (Verdict, int, *outcome.Refusal) {
	return b.table.Claim(b.now, key, account, [32]byte{sum}, func() int {
		b.runs++
		return b.runs
	})
}

func (b *bench) wantRefused(t *testing.T, key, account string, sum byte, want outcome.Outcome, reason outcome.Reason) {
	t.Helper()
	before := b.runs
	verdict, _, refusal := b.claim(key, account, sum)
	if verdict != Refused || refusal == nil || refusal.Outcome != want || refusal.Reason != reason {
		t.Fatalf("verdict %v, refusal %v; want %s %s", verdict, refusal, want, reason)
	}
	if b.runs != before {
		t.Fatal("a refused request ran")
	}
}

func (b *bench) wantNew(t *testing.T, key string) {
	t.Helper()
	if verdict, _, refusal := b.claim(key, "acme", 1); verdict != New {
		t.Fatalf("verdict %v, refusal %v; want new", verdict, refusal)
	}
}

func TestRepeatJoinsTheFirstRun(t *testing.T) {
	b := newBench(4)
	key := b.mint(b.now)
	b.wantNew(t, key)
	verdict, value, _ := b.claim(key, "acme", 1)
	if verdict != Joined || value != 1 || b.runs != 1 {
		t.Fatalf("verdict %v, value %d, runs %d", verdict, value, b.runs)
	}
}

func TestClaimRefuses(t *testing.T) {
	b := newBench(4)
	used := b.mint(b.now)
	b.wantNew(t, used)
	cases := []struct {
		name, key, account string
		sum                byte
		outcome            outcome.Outcome
		reason             outcome.Reason
	}{
		{"unminted", "payment-17", "acme", 1, outcome.NotRun, outcome.ReasonKeyInvalid},
		{"another body", used, "acme", 2, outcome.NotRun, outcome.ReasonKeyReused},
		{"another account", used, "evil", 1, outcome.NotRun, outcome.ReasonForbidden},
		{"expired", b.mint(b.now.Add(-testValidity)), "acme", 1, outcome.Unknown, outcome.ReasonKeyExpired},
		{"future", b.mint(b.now.Add(testSkew + time.Second)), "acme", 1, outcome.NotRun, outcome.ReasonKeyFuture},
		{"far future", b.mint(b.now.Add(24 * time.Hour)), "acme", 1, outcome.Unknown, outcome.ReasonKeyFuture},
		{"earlier life", Mint("vm-1", "life-0", "acme", b.now, source(9)).String(), "acme", 1, outcome.Unknown, outcome.ReasonWrongIncarnation},
		{"other VM", Mint("vm-2", "life-1", "acme", b.now, source(9)).String(), "acme", 1, outcome.Unknown, outcome.ReasonWrongIncarnation},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b.wantRefused(t, c.key, c.account, c.sum, c.outcome, c.reason)
		})
	}
}

func TestFutureKeyStaysRefused(t *testing.T) {
	b := newBench(4)
	key := b.mint(b.now.Add(time.Minute))
	b.wantRefused(t, key, "acme", 1, outcome.NotRun, outcome.ReasonKeyFuture)
	b.now = b.now.Add(2 * time.Minute)
	b.wantRefused(t, key, "acme", 1, outcome.NotRun, outcome.ReasonKeyFuture)
}

func TestSealedKeyNeverRuns(t *testing.T) {
	b := newBench(4)
	key := b.mint(b.now)
	shed := outcome.Refuse(outcome.ReasonShed, "no room")
	if verdict, _, refusal := b.table.Seal(b.now, key, "acme", [32]byte{1}, shed); verdict != Refused || refusal != shed {
		t.Fatalf("verdict %v, refusal %v", verdict, refusal)
	}
	b.wantRefused(t, key, "acme", 1, outcome.NotRun, outcome.ReasonShed)
}

func TestSealOfAUsedKeyJoins(t *testing.T) {
	b := newBench(4)
	key := b.mint(b.now)
	b.wantNew(t, key)
	verdict, value, _ := b.table.Seal(b.now, key, "acme", [32]byte{1}, outcome.Refuse(outcome.ReasonShed, ""))
	if verdict != Joined || value != 1 {
		t.Fatalf("verdict %v, value %d", verdict, value)
	}
}

func TestWithdrawnKeyIsRefusedFromThenOn(t *testing.T) {
	b := newBench(4)
	key := b.mint(b.now)
	b.wantNew(t, key)
	b.table.Withdraw(key, outcome.Refuse(outcome.ReasonShed, ""))
	b.wantRefused(t, key, "acme", 1, outcome.NotRun, outcome.ReasonShed)
	b.table.Withdraw(key, outcome.Refuse(outcome.ReasonDeadline, ""))
	b.wantRefused(t, key, "acme", 1, outcome.NotRun, outcome.ReasonShed)
}

func TestFullTableRefusesForGoodAndKeepsLiveKeys(t *testing.T) {
	b := newBench(2)
	live := []string{b.mint(b.now), b.mint(b.now.Add(time.Second))}
	b.wantNew(t, live[0])
	b.wantNew(t, live[1])
	late := b.mint(b.now.Add(2 * time.Second))
	b.wantRefused(t, late, "acme", 1, outcome.NotRun, outcome.ReasonKeyTableFull)
	b.now = b.now.Add(testValidity)
	if n := b.table.RemoveExpired(b.now); n != 1 {
		t.Fatalf("forgot %d keys, want the expired one", n)
	}
	b.wantRefused(t, late, "acme", 1, outcome.NotRun, outcome.ReasonKeyTableFull)
	b.wantNew(t, b.mint(b.now))
	if verdict, _, _ := b.claim(live[1], "acme", 1); verdict != Joined {
		t.Fatalf("a live key was forgotten: %v", verdict)
	}
}

func TestFullTableMakesRoomFromExpiredKeys(t *testing.T) {
	b := newBench(1)
	b.wantNew(t, b.mint(b.now))
	b.now = b.now.Add(testValidity)
	b.wantNew(t, b.mint(b.now))
	if b.table.Len() != 1 {
		t.Fatalf("%d keys remembered", b.table.Len())
	}
}

func TestFutureKeyAtAFullTableDoesNotMoveTheRefusedMark(t *testing.T) {
	b := newBench(1)
	b.wantNew(t, b.mint(b.now))
	b.wantRefused(t, b.mint(b.now.Add(time.Minute)), "acme", 1, outcome.Unknown, outcome.ReasonKeyFuture)
	b.now = b.now.Add(testValidity)
	b.wantNew(t, b.mint(b.now))
}

func TestExpiredKeyStaysExpired(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*bench)
	}{
		{"when time steps back", func(b *bench) { b.now = b.now.Add(-testValidity) }},
		{"when validity grows", func(b *bench) { b.table.Configure(4, 10*testValidity) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(4)
			key := b.mint(b.now)
			b.wantNew(t, key)
			b.now = b.now.Add(testValidity)
			b.table.RemoveExpired(b.now)
			c.change(b)
			b.wantRefused(t, key, "acme", 1, outcome.Unknown, outcome.ReasonKeyExpired)
		})
	}
}
