package idempotency

import (
	"container/heap"
	"time"

	"github.com/sesameswitch/sesameswitch/internal/mutation"
	"github.com/sesameswitch/sesameswitch/outcome"
)

// Guards that a test build can switch off, each on its own.
const (
	GuardIncarnation      mutation.Guard = "idempotency.incarnation"
	GuardJoin             mutation.Guard = "idempotency.join"
	GuardBodySum          mutation.Guard = "idempotency.body_sum"
	GuardAccount          mutation.Guard = "idempotency.account"
	GuardSeal             mutation.Guard = "idempotency.seal"
	GuardFutureSeal       mutation.Guard = "idempotency.future_seal"
	GuardRefusedWatermark mutation.Guard = "idempotency.refused_mark"
	GuardExpiredWatermark mutation.Guard = "idempotency.expired_mark"
)

// Config sets up a Table.
type Config struct {
	// VM and Incarnation are the identity of the process that owns the table.
	VM          string
	Incarnation string
	// Capacity is the largest number of keys remembered at once.
	Capacity int
	// Validity is how long a key is accepted, counted from its minting.
	Validity time.Duration
	// FutureSkew is how far an entry's clock may be ahead of this process's.
	FutureSkew time.Duration
}

// Verdict is the table's answer to a use of a key.
type Verdict int

// Verdicts.
const (
	// New means that the key was unused and that the value was just made.
	New Verdict = iota + 1
	// Joined means that the value was made by an earlier use of the key.
	Joined
	// Refused means that the refusal is the answer.
	Refused
)

// Table remembers every key that a process has accepted or refused for as
// long as the key could still be accepted. One goroutine owns it.
//
// The following hold for any sequence of calls and any times passed in, also
// when time steps back:
//
//   - fresh is called at most once for a key, in the life of the table;
//   - once a refusal with outcome not_run has been returned for a key and a
//     body, fresh was not and will not be called for them;
//   - at most Capacity keys are remembered, and none is dropped that could
//     still be accepted.
//
// Two marks over minting times make this possible in bounded memory: keys up
// to the expired mark are answered unknown, because they may have been
// forgotten; unremembered keys up to the refused mark are refused as not_run,
// because one of them was refused while the table was full.
type Table[V any] struct {
	cfg     Config
	slots   map[string]*slot[V]
	order   slotHeap[V]
	expired time.Time
	refused time.Time
}

// slot is one remembered key. It holds a value, or the refusal of a key that
// is sealed.
type slot[V any] struct {
	key     Key
	text    string
	account string
	sum     [32]byte
	value   V
	refusal *outcome.Refusal
}

// NewTable returns an empty table.
func NewTable[V any](cfg Config) *Table[V] {
	return &Table[V]{cfg: cfg, slots: make(map[string]*slot[V])}
}

// Configure changes the limits of a running table. Keys that are remembered
// stay; a longer validity does not bring back keys that have expired.
func (t *Table[V]) Configure(capacity int, validity time.Duration) {
	t.cfg.Capacity = capacity
	t.cfg.Validity = validity
}

// Len returns the number of remembered keys.
func (t *Table[V]) Len() int { return len(t.slots) }

// Claim uses the key to run a request whose method, path and body have the
// given sum. The first use makes a value by fresh; repeats return that value.
// On Refused, the refusal says why.
func (t *Table[V]) Claim(now time.Time, key, account string, sum [32]byte, fresh func() V) (Verdict, V, *outcome.Refusal) {
	var none V
	k, refusal := t.check(now, key, account)
	if refusal != nil {
		return Refused, none, refusal
	}
	if s, known := t.slots[key]; known {
		return s.answer(account, sum)
	}
	if refusal := t.admit(now, k, key, account, sum); refusal != nil {
		return Refused, none, refusal
	}
	value := fresh()
	t.remember(&slot[V]{key: k, text: key, account: account, sum: sum, value: value})
	return New, value, nil
}

// Seal refuses the key for good, unless it has a value: then that value is
// returned with Joined, as by Claim. Otherwise the verdict is Refused and the
// returned refusal holds, which differs from the given one when the key was
// refused before or cannot be vouched for.
func (t *Table[V]) Seal(now time.Time, key, account string, sum [32]byte, refusal *outcome.Refusal) (Verdict, V, *outcome.Refusal) {
	var none V
	k, other := t.check(now, key, account)
	if other != nil {
		return Refused, none, other
	}
	if s, known := t.slots[key]; known {
		return s.answer(account, sum)
	}
	return Refused, none, t.seal(now, k, key, account, sum, refusal)
}

// Withdraw replaces the value of a key by a refusal, which later uses of the
// key get. The caller vouches that the value's request has not run and never
// will: it was queued, and is not any more. A key without a value is left
// alone.
func (t *Table[V]) Withdraw(key string, refusal *outcome.Refusal) {
	s, known := t.slots[key]
	if !known || s.refusal != nil {
		return
	}
	var none V
	s.value = none
	s.refusal = refusal
}

// RemoveExpired drops the keys whose validity is over and returns their number.
func (t *Table[V]) RemoveExpired(now time.Time) int {
	t.advance(now)
	dropped := 0
	for len(t.order) > 0 && !t.order[0].key.Minted.After(t.expired) {
		s := heap.Pop(&t.order).(*slot[V])
		delete(t.slots, s.text)
		dropped++
	}
	return dropped
}

// check refuses keys that this table cannot vouch for, or that are not the
// account's.
func (t *Table[V]) check(now time.Time, key, account string) (Key, *outcome.Refusal) {
	k, err := Parse(key)
	if err != nil {
		return k, outcome.Refuse(outcome.ReasonKeyInvalid, err.Error())
	}
	if !k.BelongsTo(account) && !mutation.Off(GuardAccount) {
		return k, outcome.Refuse(outcome.ReasonForbidden, "the key was minted for another account")
	}
	if (k.VM != t.cfg.VM || k.Incarnation != t.cfg.Incarnation) && !mutation.Off(GuardIncarnation) {
		return k, outcome.Doubt(outcome.ReasonWrongIncarnation, "the key is bound to another process, which alone knows whether it ran")
	}
	t.advance(now)
	if !k.Minted.After(t.expired) {
		return k, outcome.Doubt(outcome.ReasonKeyExpired, "the key's validity is over")
	}
	return k, nil
}

// admit decides on a key that is not remembered.
func (t *Table[V]) admit(now time.Time, k Key, key, account string, sum [32]byte) *outcome.Refusal {
	if t.future(now, k) {
		refusal := outcome.Refuse(outcome.ReasonKeyFuture, "the key was minted in the future")
		return t.seal(now, k, key, account, sum, refusal)
	}
	if !k.Minted.After(t.refused) {
		return tableFull()
	}
	if t.full(now) {
		t.markRefused(k)
		return tableFull()
	}
	return nil
}

// seal makes the refusal of an unremembered key final and returns it: by
// remembering the key, or by the refused mark when there is no room. A key
// from the future that cannot be remembered is answered unknown, since it may
// be accepted when its time comes; the refused mark must not run ahead.
func (t *Table[V]) seal(now time.Time, k Key, key, account string, sum [32]byte, refusal *outcome.Refusal) *outcome.Refusal {
	if !k.Minted.After(t.refused) {
		return refusal
	}
	future := t.future(now, k)
	tooFar := k.Minted.After(now.Add(t.cfg.FutureSkew + t.cfg.Validity))
	full := t.full(now)
	if future && mutation.Off(GuardFutureSeal) {
		return refusal
	}
	if future && (tooFar || full) {
		return outcome.Doubt(outcome.ReasonKeyFuture, "the key was minted in the future and may run later")
	}
	if full {
		t.markRefused(k)
		return refusal
	}
	if !mutation.Off(GuardSeal) {
		t.remember(&slot[V]{key: k, text: key, account: account, sum: sum, refusal: refusal})
	}
	return refusal
}

// future reports whether the key's minting time is ahead of what clock skew
// explains.
func (t *Table[V]) future(now time.Time, k Key) bool {
	return k.Minted.After(now.Add(t.cfg.FutureSkew))
}

func (t *Table[V]) full(now time.Time) bool {
	if len(t.slots) < t.cfg.Capacity {
		return false
	}
	t.RemoveExpired(now)
	return len(t.slots) >= t.cfg.Capacity
}

func (t *Table[V]) markRefused(k Key) {
	if k.Minted.After(t.refused) && !mutation.Off(GuardRefusedWatermark) {
		t.refused = k.Minted
	}
}

// advance moves the expired mark; it never goes back.
func (t *Table[V]) advance(now time.Time) {
	mark := now.Add(-t.cfg.Validity)
	if mark.After(t.expired) || mutation.Off(GuardExpiredWatermark) {
		t.expired = mark
	}
}

func (t *Table[V]) remember(s *slot[V]) {
	if s.refusal == nil && mutation.Off(GuardJoin) {
		return
	}
	t.slots[s.text] = s
	heap.Push(&t.order, s)
}

func (s *slot[V]) answer(account string, sum [32]byte) (Verdict, V, *outcome.Refusal) {
	var none V
	if s.account != account && !mutation.Off(GuardAccount) {
		return Refused, none, outcome.Refuse(outcome.ReasonForbidden, "the key was minted for another account")
	}
	if s.refusal != nil {
		return Refused, none, s.refusal
	}
	if s.sum != sum && !mutation.Off(GuardBodySum) {
		return Refused, none, outcome.Refuse(outcome.ReasonKeyReused, "the key was used with another request")
	}
	return Joined, s.value, nil
}

func tableFull() *outcome.Refusal {
	return outcome.Refuse(outcome.ReasonKeyTableFull, "the table of idempotency keys was full")
}

// slotHeap orders slots by minting time, oldest first.
type slotHeap[V any] []*slot[V]

func (h slotHeap[V]) Len() int           { return len(h) }
func (h slotHeap[V]) Less(i, j int) bool { return h[i].key.Minted.Before(h[j].key.Minted) }
func (h slotHeap[V]) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push appends a slot, for container/heap.
func (h *slotHeap[V]) Push(x any) { *h = append(*h, x.(*slot[V])) }

// Pop removes the last slot, for container/heap.
func (h *slotHeap[V]) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
