package membudget

import (
	"bytes"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sesameswitch/sesameswitch/clock"
)

const megabyte = 1 << 20

// crowd is a budget with claims of which some were told to give way.
type crowd struct {
	*Budget
	clock   *clock.Manual
	evicted chan *Claim
}

func newCrowd(limit int64) *crowd {
	manual := clock.NewManual(time.Unix(1000, 0))
	return &crowd{Budget: New(limit, manual), clock: manual, evicted: make(chan *Claim, 1000)}
}

func (c *crowd) begin() *Claim {
	var claim *Claim
	claim = c.NewClaim(func() { c.evicted <- claim })
	claim.Begin()
	return claim
}

// TestStalledRequestsGiveWay replays a crowd whose bodies stop just before their end: a later
// caller with a large body finds room once they have made no progress for StallTime, and not
// before.
func TestStalledRequestsGiveWay(t *testing.T) {
	c := newCrowd(16 * megabyte)
	var stalled []*Claim
	for claim := c.begin(); claim.Grow(megabyte); claim = c.begin() {
		stalled = append(stalled, claim)
		c.clock.Advance(time.Millisecond)
	}
	if len(stalled) != 12 {
		t.Fatalf("%d bodies of 1 MB find room in three quarters of 16 MB, want 12", len(stalled))
	}
	late := c.begin()
	c.clock.Advance(StallTime - 13*time.Millisecond)
	if late.Grow(megabyte) {
		t.Fatal("a request gave way before StallTime")
	}
	c.clock.Advance(12 * time.Millisecond)
	if !late.Grow(megabyte) {
		t.Fatal("no request gave way after StallTime")
	}
	if first := <-c.evicted; first != stalled[0] || !first.Evicted() || first.Complete() || first.Grow(1) {
		t.Error("the request without progress for longest did not give way")
	}
}

// TestSlowRequestsGiveWay distinguishes a sound upload from one that sends a byte now and then.
func TestSlowRequestsGiveWay(t *testing.T) {
	c := newCrowd(4 * megabyte)
	sound, dripping, complete := c.begin(), c.begin(), c.begin()
	for _, claim := range []*Claim{sound, dripping, complete} {
		if !claim.Grow(megabyte) {
			t.Fatal("no room")
		}
	}
	if !complete.Complete() {
		t.Fatal("a complete request gave way")
	}
	for range 20 {
		c.clock.Advance(StallTime / 10)
		sound.Received(minProgressBytes)
		dripping.Received(1)
	}
	if !c.begin().Grow(megabyte) {
		t.Error("the slow request did not give way")
	}
	if !dripping.Evicted() || sound.Evicted() || complete.Evicted() {
		t.Errorf("gave way: dripping %v, sound %v, complete %v, want only the first", dripping.Evicted(), sound.Evicted(), complete.Evicted())
	}
}

// TestUnreadResponsesGiveWay checks that a complete request gives way while it waits for its caller
// to read, one that was abandoned at once and before the others, and that it stays evicted.
func TestUnreadResponsesGiveWay(t *testing.T) {
	c := newCrowd(4 * megabyte)
	read, unread, abandoned := c.begin(), c.begin(), c.begin()
	for _, claim := range []*Claim{read, unread, abandoned} {
		if !claim.Complete() || !claim.Grow(megabyte) {
			t.Fatal("no room")
		}
	}
	read.AwaitProgress()
	read.Complete()
	unread.AwaitProgress()
	abandoned.Abandon()
	c.clock.Advance(time.Millisecond) // the next requests have made progress later
	if !c.begin().Grow(megabyte) || !abandoned.Evicted() || unread.Evicted() {
		t.Fatal("the abandoned request did not give way at once")
	}
	abandoned.AwaitProgress()
	if abandoned.Grow(1) {
		t.Error("a request that gave way grows again")
	}
	if c.begin().Grow(megabyte) {
		t.Error("a request gave way before StallTime")
	}
	c.clock.Advance(StallTime)
	if !c.begin().Grow(megabyte) || !unread.Evicted() || read.Evicted() {
		t.Error("the unread response did not give way")
	}
}

// TestAccountsShareRoom checks that an account whose uploads hold all room, and go on, gives way to
// one that holds less, as far as their shares are equal, and that accounts do not give way to
// themselves.
func TestAccountsShareRoom(t *testing.T) {
	c := newCrowd(16 * megabyte)
	upload := func(account string) *Claim {
		claim := c.begin()
		claim.Attribute(account)
		if !claim.Grow(megabyte) {
			claim.Release()
			return nil
		}
		return claim
	}
	crowd := 0
	for upload("crowd") != nil {
		crowd++
	}
	if crowd != 12 {
		t.Fatalf("%d uploads of the only account find room, want 12", crowd)
	}
	var other []*Claim
	for claim := upload("other"); claim != nil; claim = upload("other") {
		other = append(other, claim)
	}
	if len(other) != 6 {
		t.Fatalf("%d uploads of the other account find room, want 6", len(other))
	}
	for range other {
		if claim := <-c.evicted; !claim.Displaced() || !claim.Evicted() {
			t.Error("an upload that went on is not reported as displaced")
		}
	}
	if upload("crowd") != nil {
		t.Error("an account gave way beyond its share")
	}
	other[0].Complete()
	for range 2 {
		if upload("third") == nil {
			t.Error("no room for a third account")
		}
	}
	for _, claim := range other {
		claim.Release()
	}
	if upload("other") == nil {
		t.Error("no room for an account after its requests have ended")
	}
}

// TestResponsesAreNotDisplaced checks that a response which its caller reads does not give way to
// requests of other accounts.
func TestResponsesAreNotDisplaced(t *testing.T) {
	c := newCrowd(megabyte)
	response := c.begin()
	response.Attribute("first")
	response.Complete()
	if !response.Grow(megabyte) {
		t.Fatal("no room")
	}
	response.AwaitProgress()
	other := c.begin()
	other.Attribute("second")
	if other.Grow(megabyte/4) || response.Evicted() {
		t.Error("a response gave way to a request of another account")
	}
}

// TestSmallRequestsFindRoom replays ordinary callers beside a crowd with large bodies.
func TestSmallRequestsFindRoom(t *testing.T) {
	c := newCrowd(16 * megabyte)
	for c.begin().Grow(megabyte) {
	}
	for range 16 {
		if !c.begin().Grow(mediumBytes) {
			t.Fatal("no room for a medium request beside large ones")
		}
	}
	for c.begin().Grow(mediumBytes) {
	}
	for range 64 {
		if !c.begin().Grow(smallBytes) {
			t.Fatal("no room for a small request beside medium ones")
		}
	}
}

// TestSingleRequestIsServed checks that a request above the limit is served alone.
func TestSingleRequestIsServed(t *testing.T) {
	c := newCrowd(megabyte)
	first, second := c.begin(), c.begin()
	if !first.Grow(4*megabyte) || !first.Grow(8*megabyte) {
		t.Error("no room for the only large request")
	}
	first.Shrink(4 * megabyte)
	if second.Grow(4 * megabyte) {
		t.Error("room for a second request above the limit")
	}
	first.Release()
	if !second.Grow(4 * megabyte) {
		t.Error("no room after the first request has ended")
	}
}

// TestGrowingBodyHasShareOfItsSize checks that a medium body finds room beside large ones also while
// its buffer is copied to a larger one.
func TestGrowingBodyHasShareOfItsSize(t *testing.T) {
	c := newCrowd(16 * megabyte)
	for c.begin().Grow(megabyte) {
	}
	const size = 100 << 10
	for _, announced := range []int64{size, -1} {
		if _, err := ReadBody(c.begin(), bytes.NewReader(make([]byte, size)), announced, megabyte); err != nil {
			t.Errorf("announced length %d: %v", announced, err)
		}
	}
}

// TestExemptionBelongsToOneRequest checks that a second request is not served above the limit
// while the one that was the only large one takes the sum above it, whatever its size is by then.
func TestExemptionBelongsToOneRequest(t *testing.T) {
	const limit = mediumBytes + mediumBytes/4
	c := newCrowd(limit)
	first, second := c.begin(), c.begin()
	for _, claim := range []*Claim{first, second} {
		if !claim.Grow(4 * megabyte) {
			t.Fatal("no room for the only large request")
		}
		claim.Shrink(4*megabyte - mediumBytes)
	}
	if first.Grow(2 * megabyte) {
		t.Errorf("two requests hold %d bytes of %d", c.Usage().Used, limit)
	}
	second.Release()
	if !first.Grow(2 * megabyte) {
		t.Error("no room for the only large request after the other one has ended")
	}
}

// TestBudgetInvariants runs random sequences: the claims add up, they stay within the limit but
// for the only large one, and nothing remains in the end.
func TestBudgetInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int64Range(64<<10, 8*megabyte).Draw(t, "limit")
		c := newCrowd(limit)
		claims := []*Claim{c.begin(), c.begin(), c.begin(), c.begin(), c.begin()}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			claim := rapid.SampledFrom(claims).Draw(t, "claim")
			n := rapid.Int64Range(1, 2*megabyte).Draw(t, "bytes")
			switch rapid.IntRange(0, 10).Draw(t, "step") {
			case 0, 1:
				claim.Grow(n)
			case 2:
				claim.Shrink(n)
			case 3:
				claim.Received(int(n))
			case 4:
				claim.Complete()
			case 5:
				claim.Release()
				claim.Begin()
			case 6:
				c.clock.Advance(time.Duration(n) * time.Microsecond)
			case 7:
				if old := claim.held / 2; claim.Replace(old, n) {
					claim.Shrink(old)
				}
			case 8:
				claim.AwaitProgress()
			case 9:
				claim.Abandon()
			case 10:
				claim.Attribute(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account"))
			}
			var sum, largest int64
			attributed := make(map[*account]int64)
			for _, claim := range claims {
				if claim.held < 0 || claim.evicted && claim.held != 0 {
					t.Fatalf("a claim holds %d bytes, evicted %v", claim.held, claim.evicted)
				}
				sum += claim.held
				largest = max(largest, claim.held)
				if claim.account != nil {
					attributed[claim.account] += claim.held
				}
			}
			for account, held := range attributed {
				if account.held != held {
					t.Fatalf("an account holds %d bytes, its claims %d", account.held, held)
				}
			}
			if usage := c.Usage(); usage.Used != sum || usage.Peak < sum || sum-largest > limit {
				t.Fatalf("used %d, peak %d, sum %d, without the largest %d, limit %d", usage.Used, usage.Peak, sum, sum-largest, limit)
			}
		}
		for _, claim := range claims {
			claim.Release()
		}
		if usage := c.Usage(); usage.Used != 0 || c.large != 0 || len(c.incomplete) != 0 || len(c.accounts) != 0 {
			t.Fatalf("after all requests: used %d, large %d, incomplete %d, accounts %d", usage.Used, c.large, len(c.incomplete), len(c.accounts))
		}
	})
}
