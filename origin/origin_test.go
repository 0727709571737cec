package origin

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var (
	epoch = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	old   = Origin{"llm", "v1"}
	newer = Origin{"llm", "v2"}
)

const keep = 10 * time.Second

// TestRecordExpires checks that a record is kept for the stated time from its last report.
func TestRecordExpires(t *testing.T) {
	r, key := NewRegister(), KeyOf("acme", "a")
	r.Began(epoch, Report{key, old, keep})
	r.Apply(epoch.Add(keep/2), Report{key, old, keep})
	for _, step := range []struct {
		after time.Duration
		known bool
	}{{keep, true}, {keep + keep/2 - 1, true}, {keep + keep/2, false}} {
		if got, known := r.Find(epoch.Add(step.after), key); known != step.known || known && got != old {
			t.Errorf("after %v: got %v %v, want known %v", step.after, got, known, step.known)
		}
	}
}

// TestConflictingOriginsAreUnknown checks that a stream of which two origins were recorded has
// none, in any order of the reports.
func TestConflictingOriginsAreUnknown(t *testing.T) {
	r, key := NewRegister(), KeyOf("acme", "a")
	r.Apply(epoch, Report{key, old, keep}, Report{key, newer, keep}, Report{key, old, keep})
	if got, known := r.Find(epoch, key); known {
		t.Errorf("got %v, want unknown", got)
	}
	r.Apply(epoch.Add(keep), Report{key, newer, keep})
	if got, known := r.Find(epoch.Add(keep), key); !known || got != newer {
		t.Errorf("after the conflict has expired: got %v %v, want the new origin", got, known)
	}
}

// TestAccountsDoNotShareStreams checks that an account can neither learn nor replace where a
// stream of another one began, by using the same ID.
func TestAccountsDoNotShareStreams(t *testing.T) {
	r := NewRegister()
	r.Began(epoch, Report{KeyOf("acme", "a"), old, keep})
	if _, known := r.Find(epoch, KeyOf("rival", "a")); known {
		t.Error("another account learns where the stream began")
	}
	r.Began(epoch, Report{KeyOf("rival", "a"), newer, keep})
	if got, known := r.Find(epoch, KeyOf("acme", "a")); !known || got != old {
		t.Errorf("got %v %v, want the origin of the account's own stream", got, known)
	}
}

// TestOneAccountCannotFillRegister checks that an account that begins streams without end
// displaces only its own, the oldest first.
func TestOneAccountCannotFillRegister(t *testing.T) {
	r := NewRegister()
	victim := KeyOf("acme", "a")
	r.Began(epoch, Report{victim, old, keep})
	for i := range 2 * maxRecords {
		r.Apply(epoch, Report{KeyOf("rival", fmt.Sprint(i)), newer, keep})
	}
	if _, known := r.Find(epoch, victim); !known {
		t.Error("the stream of another account was forgotten")
	}
	if _, known := r.Find(epoch, KeyOf("rival", "0")); known || r.Len() > maxAccountRecords+1 {
		t.Errorf("%d records, want at most %d; oldest known: %v", r.Len(), maxAccountRecords+1, known)
	}
}

// TestRegisterIsBounded checks the bound over all accounts.
func TestRegisterIsBounded(t *testing.T) {
	r := NewRegister()
	for i := range 2 * maxRecords {
		r.Began(epoch, Report{KeyOf(fmt.Sprint("account-", i%100), fmt.Sprint(i)), old, keep})
	}
	if r.Len() != maxRecords || len(r.TakeReports()) != maxPendingReports {
		t.Errorf("%d records, want %d, and %d reports", r.Len(), maxRecords, maxPendingReports)
	}
}

// TestReportsAreTakenOnce checks that what this gateway recorded is sent once, and what another
// one reported is not.
func TestReportsAreTakenOnce(t *testing.T) {
	r := NewRegister()
	r.Began(epoch, Report{KeyOf("acme", "a"), old, keep})
	<-r.Changed()
	r.Apply(epoch, Report{KeyOf("acme", "b"), old, keep})
	if reports := r.TakeReports(); len(reports) != 1 || reports[0].Key != KeyOf("acme", "a") {
		t.Errorf("got %v, want the own report", reports)
	}
	if reports := r.TakeReports(); len(reports) != 0 {
		t.Errorf("got %v again", reports)
	}
}

func TestKeyText(t *testing.T) {
	key := KeyOf("acme", "a")
	if got, valid := ParseKey(key.String()); !valid || got != key {
		t.Errorf("got %v %v, want %v", got, valid, key)
	}
	for _, text := range []string{"", "a", key.String() + "a", "%%%%%%%%%%%%%%%%"} {
		if _, valid := ParseKey(text); valid {
			t.Errorf("%q is accepted as a key", text)
		}
	}
}

// TestFindNeverReturnsOtherOrigin checks with random sequences that a stream is never found at
// another origin than each that was recorded since it last expired.
func TestFindNeverReturnsOtherOrigin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, now := NewRegister(), epoch
		type seen struct {
			origins map[Origin]bool
			expires time.Time
		}
		streams := make(map[Key]*seen)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
			key := KeyOf(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "account"), rapid.SampledFrom([]string{"1", "2", "3"}).Draw(t, "stream"))
			report := Report{key, rapid.SampledFrom([]Origin{old, newer}).Draw(t, "origin"), keep}
			if s := streams[key]; s == nil || !now.Before(s.expires) {
				streams[key] = &seen{origins: make(map[Origin]bool)}
			}
			streams[key].origins[report.Origin], streams[key].expires = true, now.Add(keep)
			if rapid.Bool().Draw(t, "own") {
				r.Began(now, report)
			} else {
				r.Apply(now, report)
			}
			for key, s := range streams {
				got, known := r.Find(now, key)
				if want := now.Before(s.expires) && len(s.origins) == 1; known != want || known && !s.origins[got] {
					t.Fatalf("found %v %v, want known %v, one of %v", got, known, want, s.origins)
				}
			}
		}
	})
}
