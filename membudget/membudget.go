// Package membudget decides which requests may hold how much memory of a process.
//
// It answers one load: many callers at once send large bodies or heads, whole or piece by piece,
// and most of them stop just before the end and stay connected. What they hold together stays
// below the limit of a Budget. Requests whose input has stopped give way first; the last part of
// the limit is kept for small requests, so that ordinary callers are served beside such a crowd.
// Accounts share the rest: what one of them sends does not keep out the large requests of another.
//
// Callers may assume that the sum of all claims exceeds the limit only by one claim, which was the
// only large one when it grew: a single request is served whatever its size.
package membudget

import (
	"sync"
	"time"

	"github.com/sesameswitch/sesameswitch/clock"
)

// Parameters of a Budget.
const (
	// StallTime is the time without progress after which an incomplete request gives way if
	// another one needs its memory. A refused caller finds room after it.
	StallTime = time.Second
	// minProgressBytes is how much of its input an incomplete request must receive within
	// StallTime.
	minProgressBytes = 4 << 10
	// A request of at most smallBytes may use all of the limit, one of at most mediumBytes
	// mediumShare of it, and a larger one largeShare.
	smallBytes  = 16 << 10
	mediumBytes = 128 << 10
	mediumShare = 7.0 / 8
	largeShare  = 3.0 / 4
)

// Budget is the memory that requests may hold together. It is safe for concurrent use.
type Budget struct {
	limit int64
	clock clock.Clock
	mu    sync.Mutex
	// used is the sum of all claims, large the sum of those above mediumBytes, in bytes.
	used, large int64
	peak        int64
	// exempt is the claim that was admitted above its share as the only large one. It is nil
	// again once the sum is within the share of that claim.
	exempt *Claim
	// accounts holds the accounts of requests that were attributed to one, by name.
	accounts map[string]*account
	// incomplete holds the claims of requests that wait for their caller: to send the rest of
	// the input, or to read the response.
	incomplete map[*Claim]struct{}
}

// New returns a budget with a limit in bytes.
func New(limit int64, c clock.Clock) *Budget {
	return &Budget{limit: limit, clock: c, incomplete: make(map[*Claim]struct{}), accounts: make(map[string]*account)}
}

// account is what the requests of one account hold.
type account struct {
	name   string
	held   int64
	claims int
}

// Usage is the use of a budget in bytes.
type Usage struct{ Used, Peak, Limit int64 }

// Usage returns the present use, its peak, and the limit.
func (b *Budget) Usage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Usage{Used: b.used, Peak: b.peak, Limit: b.limit}
}

// Claim is the memory that one request holds. Its methods are safe for concurrent use, and a nil
// Claim allows everything.
type Claim struct {
	budget *Budget
	evict  func()
	held   int64
	// account is whose request it is; nil if it was not attributed to one.
	account *account
	// unconfirmed is the input since progressAt that is too little to count as progress.
	unconfirmed int64
	progressAt  time.Time
	// received is true once the input is complete.
	received bool
	evicted  bool
	// displaced is true if the request gave way although it made progress.
	displaced bool
}

// NewClaim returns the claim of a connection, for one request after another. evict is called,
// from another goroutine, when the present request must give way: its caller has stopped, or its
// account holds more than its share, while another request needs memory. When evict is called, the
// claim holds nothing any more.
func (b *Budget) NewClaim(evict func()) *Claim { return &Claim{budget: b, evict: evict} }

// Begin begins a request. It may give way until Complete is called.
func (c *Claim) Begin() {
	if c == nil {
		return
	}
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	c.progressAt, c.unconfirmed = b.clock.Now(), 0
	c.received, c.evicted, c.displaced = false, false, false
	b.incomplete[c] = struct{}{}
}

// Attribute records whose request it is until Release. When memory is short, requests of accounts
// that hold more than an equal share, and whose input is incomplete, give way to those of other
// accounts. Requests of no account, or of unknown ones, may share a name.
func (c *Claim) Attribute(name string) {
	if c == nil {
		return
	}
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.detach(c)
	a := b.accounts[name]
	if a == nil {
		a = &account{name: name}
		b.accounts[name] = a
	}
	c.account = a
	a.claims++
	a.held += c.held
}

// detach ends the attribution of a claim.
func (b *Budget) detach(c *Claim) {
	a := c.account
	if a == nil {
		return
	}
	c.account = nil
	a.held -= c.held
	if a.claims--; a.claims == 0 {
		delete(b.accounts, a.name)
	}
}

// Received records that n bytes of the input have arrived.
func (c *Claim) Received(n int) {
	if c == nil {
		return
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if c.unconfirmed += int64(n); c.unconfirmed >= minProgressBytes {
		c.unconfirmed, c.progressAt = 0, c.budget.clock.Now()
	}
}

// Complete records that the input is complete. The request does not give way any more. Complete
// returns false if it already had to.
func (c *Claim) Complete() bool {
	if c == nil {
		return true
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	delete(c.budget.incomplete, c)
	c.received = true
	return !c.evicted
}

// AwaitProgress records that the request, although its input is complete, waits for its caller
// again, such as to read the response. From now on it may give way until the next Complete.
func (c *Claim) AwaitProgress() {
	if c == nil {
		return
	}
	c.await(c.budget.clock.Now())
}

// Abandon records that what the claim holds is of little use any more. It gives way at once if
// another request needs its memory, until the next Complete.
func (c *Claim) Abandon() {
	if c == nil {
		return
	}
	c.await(time.Time{})
}

func (c *Claim) await(progressAt time.Time) {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.evicted {
		return
	}
	c.progressAt, c.unconfirmed = progressAt, 0
	b.incomplete[c] = struct{}{}
}

// Evicted reports whether the present request had to give way.
func (c *Claim) Evicted() bool {
	if c == nil {
		return false
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	return c.evicted
}

// Displaced reports whether the present request had to give way although it made progress, because
// its account held more than its share.
func (c *Claim) Displaced() bool {
	if c == nil {
		return false
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	return c.displaced
}

// Grow claims n more bytes. If there is no room, requests without progress that wait for their
// caller give way, the one without progress for longest first, then those of accounts that hold
// more than their share (see Attribute). Grow returns false, and claims nothing, if there is still
// no room or this request had to give way itself.
func (c *Claim) Grow(n int64) bool { return c.Replace(0, n) }

// Replace claims n more bytes, as Grow does, for a buffer that replaces one of old bytes. The old
// buffer counts until Shrink gives it back, but it does not make the request a larger one.
func (c *Claim) Replace(old, n int64) bool {
	if c == nil {
		return true
	}
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.evicted {
		return false
	}
	size := c.held - old + n
	for b.used+n > b.shareOf(size) {
		if b.onlyLarge(c, size) {
			b.exempt = c
			break
		}
		if !b.evictOne(c) && !b.displaceOne(c, size, n) {
			return false
		}
	}
	b.add(c, n)
	return true
}

// Shrink gives back n bytes.
func (c *Claim) Shrink(n int64) {
	if c == nil {
		return
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.budget.add(c, -min(n, c.held))
}

// Release gives everything back and ends the request.
func (c *Claim) Release() {
	if c == nil {
		return
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	delete(c.budget.incomplete, c)
	c.budget.add(c, -c.held)
	c.budget.detach(c)
}

// shareOf returns how much of the limit may be in use after a request holds the given bytes.
func (b *Budget) shareOf(bytes int64) int64 {
	switch {
	case bytes <= smallBytes:
		return b.limit
	case bytes <= mediumBytes:
		return int64(mediumShare * float64(b.limit))
	default:
		return int64(largeShare * float64(b.limit))
	}
}

// onlyLarge reports whether a claim that grows to the given size is a large one, and no other is
// large or exempt.
func (b *Budget) onlyLarge(c *Claim, size int64) bool {
	if b.exempt != nil && b.exempt != c {
		return false
	}
	others := b.large
	if c.held > mediumBytes {
		others -= c.held
	}
	return size > mediumBytes && others == 0
}

// add changes what a claim holds.
func (b *Budget) add(c *Claim, n int64) {
	if c.held > mediumBytes {
		b.large -= c.held
	}
	c.held += n
	b.used += n
	if c.account != nil {
		c.account.held += n
	}
	if c.held > mediumBytes {
		b.large += c.held
	}
	b.peak = max(b.peak, b.used)
	if b.exempt != nil && b.used <= b.shareOf(b.exempt.held) {
		b.exempt = nil
	}
}

// evictOne makes the incomplete request that has made no progress for longest give way. It
// returns false if none has made no progress for StallTime.
func (b *Budget) evictOne(except *Claim) bool {
	var victim *Claim
	for c := range b.incomplete {
		if c != except && c.held > 0 && (victim == nil || c.progressAt.Before(victim.progressAt)) {
			victim = c
		}
	}
	if victim == nil || b.clock.Now().Sub(victim.progressAt) < StallTime {
		return false
	}
	b.evict(victim)
	return true
}

// evict makes a request give way.
func (b *Budget) evict(victim *Claim) {
	victim.evicted = true
	delete(b.incomplete, victim)
	b.add(victim, -victim.held)
	go victim.evict()
}

// displaceOne makes an incomplete request of the account that holds most give way to c, which is to
// hold the given size after it grows by n bytes. It returns false if the account of c would then hold
// more than an equal share of what requests of that size may use, or if no other account does.
func (b *Budget) displaceOne(c *Claim, size, n int64) bool {
	if c.account == nil {
		return false
	}
	share := b.shareOf(size) / int64(len(b.accounts))
	if c.account.held+n > share {
		return false
	}
	var victim *Claim
	for other := range b.incomplete {
		if other.received || other.held == 0 || other.account == nil || other.account == c.account || other.account.held <= share {
			continue
		}
		if victim == nil || other.account.held > victim.account.held ||
			other.account == victim.account && other.progressAt.Before(victim.progressAt) {
			victim = other
		}
	}
	if victim == nil {
		return false
	}
	victim.displaced = true
	b.evict(victim)
	return true
}
