package idempotency

import (
	"container/heap"
	"time"

	"github.com/sesameswitch/sesameswitch/internal/mutation"
	"github.com/sesameswitch/sesameswitch/outcome"
)

// Guards of the table. A test build can switch off each of them.
const (
	// GuardIncarnation refuses keys that are bound to another agent process.
	GuardIncarnation mutation.Guard = "idempotency.incarnation"
	// GuardJoin stores the value of a key, so that retries join it.
	GuardJoin mutation.Guard = "idempotency.join"
	// GuardBodySum refuses a key that was used for a different request.
	GuardBodySum mutation.Guard = "idempotency.body_sum"
	// GuardAccount refuses a key that was minted for another account.
	GuardAccount mutation.Guard = "idempotency.account"
	// GuardSeal stores the refusal of a sealed key.
	GuardSeal mutation.Guard = "idempotency.seal"
	// GuardFutureSeal returns outcome not_run for a key from the future only
	// when the refusal is stored.
	GuardFutureSeal mutation.Guard = "idempotency.future_seal"
	// GuardRefusedWatermark advances the refused watermark when a refused key
	// cannot be stored.
	GuardRefusedWatermark mutation.Guard = "idempotency.refused_mark"
	// GuardExpiredWatermark keeps the expired watermark from moving back.
	GuardExpiredWatermark mutation.Guard = "idempotency.expired_mark"
)

// Config configures a Table.
type Config struct {
	// VM and Incarnation identify the process that owns the table.
	VM          string
	Incarnation string
	// Capacity is the maximum number of stored keys.
	Capacity int
	// Validity is how long a key is accepted after its minting time.
	Validity time.Duration
	// FutureSkew is how far the clock of an entry may be ahead of the clock of
	// this process.
	FutureSkew time.Duration
}

// Verdict is the table's decision on one use of a key.
type Verdict int

// Verdicts on a use of a key.
const (
	// New means that this is the first use of the key; its value was created.
	New Verdict = iota + 1
	// Joined means that an earlier use of the key created the value.
	Joined
	// Refused means that the use is refused with the returned refusal.
	Refused
)

// Table stores the keys that a process has accepted or sealed, until they
// expire. It is not safe for concurrent use.
//
// A sealed key can never run afterwards: every later use of it is refused. The
// table stores the refusal in place of a value; when the table is full, the
// refused watermark covers the key instead.
//
// For any sequence of calls, and also when the time that is passed in steps
// back, the table guarantees:
//
//   - newValue is called at most once per key during the lifetime of the
//     table;
//   - once a refusal with outcome not_run has been returned for a key and a
//     request of an account, newValue is never called for them afterwards, and
//     was not called for them before, unless Withdraw replaced the value;
//   - no key is stored while the table holds Capacity or more keys, and no key
//     is removed while it could still be accepted.
//
// Two watermarks over minting times keep the memory bounded. Keys minted up to
// the expired watermark are refused with outcome unknown, because the table may
// have removed them. Keys minted up to the refused watermark that are not stored
// are refused with outcome not_run, because any of them may have been refused
// while the table was full and therefore not stored.
type Table[V any] struct {
	cfg              Config
	records          map[string]*record[V]
	byMinted         recordHeap[V]
	expiredWatermark time.Time
	refusedWatermark time.Time
}

// record is one stored key, with a value or, when the key is sealed, with its
// refusal.
type record[V any] struct {
	key Key
	// text is the text of the key.
	text    string
	account string
	// sum is the hash of the request.
	sum     [32]byte
	value   V
	refusal *outcome.Refusal
}

// NewTable returns an empty table.
func NewTable[V any](cfg Config) *Table[V] {
	return &Table[V]{cfg: cfg, records: make(map[string]*record[V])}
}

// Configure changes the limits of a table in use. Stored keys remain; a longer
// validity does not make expired keys valid again.
func (t *Table[V]) Configure(capacity int, validity time.Duration) {
	t.cfg.Capacity = capacity
	t.cfg.Validity = validity
}

// Len returns the number of stored keys.
func (t *Table[V]) Len() int { return len(t.records) }

// Claim uses the key for a request of the account; sum is the hash of the
// request's method, path and body. The first use calls newValue, and retries
// return the same value. The refusal is nil unless the verdict is Refused.
func (t *Table[V]) Claim(now time.Time, key, account string, sum [32]byte, newValue func() V) (Verdict, V, *outcome.Refusal) {
	var zero V
	k, refusal := t.validate(now, key, account)
	if refusal != nil {
		return Refused, zero, refusal
	}
	if r, stored := t.records[key]; stored {
		return r.use(account, sum)
	}
	if refusal := t.admit(now, k, key, account, sum); refusal != nil {
		return Refused, zero, refusal
	}
	value := newValue()
	t.store(&record[V]{key: k, text: key, account: account, sum: sum, value: value})
	return New, value, nil
}

// Seal refuses the key permanently, unless the key has a value: then Seal
// returns the value with the verdict Joined, as Claim does. Otherwise the
// verdict is Refused. The returned refusal differs from the given one when the
// use is invalid, when the key was refused before, or when the table cannot
// guarantee that the key never runs.
func (t *Table[V]) Seal(now time.Time, key, account string, sum [32]byte, refusal *outcome.Refusal) (Verdict, V, *outcome.Refusal) {
	var zero V
	k, invalid := t.validate(now, key, account)
	if invalid != nil {
		return Refused, zero, invalid
	}
	if r, stored := t.records[key]; stored {
		return r.use(account, sum)
	}
	return Refused, zero, t.seal(now, k, key, account, sum, refusal)
}

// Withdraw replaces the value of a key by a refusal, which later uses of the
// key get. The caller guarantees that the request of the value has not run and
// never will, for example because it was removed from a queue. A key without a
// value does not change.
func (t *Table[V]) Withdraw(key string, refusal *outcome.Refusal) {
	r, stored := t.records[key]
	if !stored || r.refusal != nil {
		return
	}
	var zero V
	r.value = zero
	r.refusal = refusal
}

// RemoveExpired removes the expired keys and returns their number.
func (t *Table[V]) RemoveExpired(now time.Time) int {
	t.advanceExpired(now)
	removed := 0
	for len(t.byMinted) > 0 && !t.byMinted[0].key.Minted.After(t.expiredWatermark) {
		r := heap.Pop(&t.byMinted).(*record[V])
		delete(t.records, r.text)
		removed++
	}
	return removed
}

// validate refuses malformed and expired keys, and keys that belong to another
// account or to another agent process.
func (t *Table[V]) validate(now time.Time, key, account string) (Key, *outcome.Refusal) {
	k, err := Parse(key)
	if err != nil {
		return k, outcome.Refuse(outcome.ReasonKeyInvalid, err.Error())
	}
	if !k.BelongsTo(account) && !mutation.Off(GuardAccount) {
		return k, outcome.Refuse(outcome.ReasonForbidden, "the key was minted for another account")
	}
	if (k.VM != t.cfg.VM || k.Incarnation != t.cfg.Incarnation) && !mutation.Off(GuardIncarnation) {
		return k, outcome.NewUnknown(outcome.ReasonWrongIncarnation, "the key is bound to another process, which alone knows whether it ran")
	}
	t.advanceExpired(now)
	if !k.Minted.After(t.expiredWatermark) {
		return k, outcome.NewUnknown(outcome.ReasonKeyExpired, "the key's validity is over")
	}
	return k, nil
}

// admit returns the refusal of a key that is not stored, or nil when the key may
// be used.
func (t *Table[V]) admit(now time.Time, k Key, key, account string, sum [32]byte) *outcome.Refusal {
	if t.inFuture(now, k) {
		refusal := outcome.Refuse(outcome.ReasonKeyFuture, "the key was minted in the future")
		return t.seal(now, k, key, account, sum, refusal)
	}
	if !k.Minted.After(t.refusedWatermark) {
		return tableFull()
	}
	if t.full(now) {
		t.advanceRefused(k)
		return tableFull()
	}
	return nil
}

// seal makes the refusal of a key that is not stored permanent and returns it.
// It stores the key, or advances the refused watermark when the table is full.
// It must not advance the watermark into the future, since the table would then
// refuse all new keys until that time has come. A key from the future that is not
// stored is therefore refused with outcome unknown: it may be accepted when its
// minting time has come. A key from the far future is not stored, since it would
// occupy the table for long.
func (t *Table[V]) seal(now time.Time, k Key, key, account string, sum [32]byte, refusal *outcome.Refusal) *outcome.Refusal {
	if !k.Minted.After(t.refusedWatermark) {
		return refusal
	}
	future := t.inFuture(now, k)
	tooFar := k.Minted.After(now.Add(t.cfg.FutureSkew + t.cfg.Validity))
	full := t.full(now)
	if future && mutation.Off(GuardFutureSeal) {
		return refusal
	}
	if future && (tooFar || full) {
		return outcome.NewUnknown(outcome.ReasonKeyFuture, "the key was minted in the future and may run later")
	}
	if full {
		t.advanceRefused(k)
		return refusal
	}
	if !mutation.Off(GuardSeal) {
		t.store(&record[V]{key: k, text: key, account: account, sum: sum, refusal: refusal})
	}
	return refusal
}

// inFuture reports whether the minting time of the key is further ahead of now
// than clock skew explains.
func (t *Table[V]) inFuture(now time.Time, k Key) bool {
	return k.Minted.After(now.Add(t.cfg.FutureSkew))
}

// full reports whether the table is full after removing the expired keys.
func (t *Table[V]) full(now time.Time) bool {
	if len(t.records) < t.cfg.Capacity {
		return false
	}
	t.RemoveExpired(now)
	return len(t.records) >= t.cfg.Capacity
}

// advanceRefused moves the refused watermark forward to the key's minting time.
func (t *Table[V]) advanceRefused(k Key) {
	if k.Minted.After(t.refusedWatermark) && !mutation.Off(GuardRefusedWatermark) {
		t.refusedWatermark = k.Minted
	}
}

// advanceExpired moves the expired watermark forward, never back.
func (t *Table[V]) advanceExpired(now time.Time) {
	watermark := now.Add(-t.cfg.Validity)
	if watermark.After(t.expiredWatermark) || mutation.Off(GuardExpiredWatermark) {
		t.expiredWatermark = watermark
	}
}

func (t *Table[V]) store(r *record[V]) {
	if r.refusal == nil && mutation.Off(GuardJoin) {
		return
	}
	t.records[r.text] = r
	heap.Push(&t.byMinted, r)
}

// use returns the verdict on another use of a stored key. The account is compared
// in full, since the account tag of a key is only a truncated hash.
func (r *record[V]) use(account string, sum [32]byte) (Verdict, V, *outcome.Refusal) {
	var zero V
	if r.account != account && !mutation.Off(GuardAccount) {
		return Refused, zero, outcome.Refuse(outcome.ReasonForbidden, "the key was minted for another account")
	}
	if r.refusal != nil {
		return Refused, zero, r.refusal
	}
	if r.sum != sum && !mutation.Off(GuardBodySum) {
		return Refused, zero, outcome.Refuse(outcome.ReasonKeyReused, "the key was used with another request")
	}
	return Joined, r.value, nil
}

func tableFull() *outcome.Refusal {
	return outcome.Refuse(outcome.ReasonKeyTableFull, "the table of idempotency keys was full")
}

// recordHeap is a heap of records with the earliest minting time first.
type recordHeap[V any] []*record[V]

func (h recordHeap[V]) Len() int           { return len(h) }
func (h recordHeap[V]) Less(i, j int) bool { return h[i].key.Minted.Before(h[j].key.Minted) }
func (h recordHeap[V]) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *recordHeap[V]) Push(x any) { *h = append(*h, x.(*record[V])) }

// Pop implements heap.Interface.
func (h *recordHeap[V]) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
