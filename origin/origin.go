// Package origin remembers where streams began: at which service, and at which software
// version of it. It does no I/O; the time is passed in. A Register is safe for concurrent use.
//
// It is designed for a fleet of gateways before servers of several software versions: callers
// whose connection or gateway was lost take their streams up at other gateways, many at the
// same time, and a stream may go on only at the version that began it.
//
// Callers may assume the following. Find never returns an origin that differs from the one
// that a gateway recorded for the stream: if two were recorded, the origin counts as unknown.
// Records of one client account neither replace nor answer for those of another, and one
// account uses at most a part of the Register. After a restart a Register is empty, and a
// record that did not reach another process may be missing.
//
// Gateways report each stream to other gateways and to holders, small processes on the VMs of
// backend servers (package originholder), so that records outlive a restart of all gateways.
package origin

import (
	"container/list"
	"crypto/sha256"
	"encoding/base64"
	"sync"
	"time"
)

const (
	// maxRecords bounds the remembered streams; the oldest are forgotten first.
	maxRecords = 1 << 15
	// maxAccountRecords bounds those of one client account.
	maxAccountRecords = maxRecords / 4
	// maxPendingReports bounds the reports that wait to be sent.
	maxPendingReports = 1 << 12
	// MaxKeep bounds how long a record is kept.
	MaxKeep = 15 * time.Minute
)

// accountBytes is the length of the part of a Key that is the same for all streams of one
// client account.
const accountBytes = 4

// Key identifies a stream of a client account.
type Key [12]byte

// KeyOf returns the key of the stream whose first event the request with the ID brought.
func KeyOf(account, requestID string) Key {
	var k Key
	ofAccount := sha256.Sum256([]byte(account))
	copy(k[:accountBytes], ofAccount[:])
	ofStream := sha256.Sum256([]byte(account + "\x00" + requestID))
	copy(k[accountBytes:], ofStream[:])
	return k
}

// String returns the key as text for messages and logs.
func (k Key) String() string { return base64.RawURLEncoding.EncodeToString(k[:]) }

// ParseKey parses the text of a key.
func ParseKey(text string) (k Key, valid bool) {
	content, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(content) != len(k) {
		return k, false
	}
	return Key(content), true
}

// account returns the part of the key that identifies the client account.
func (k Key) account() [accountBytes]byte { return [accountBytes]byte(k[:accountBytes]) }

// Origin is where a stream began.
type Origin struct {
	Service         string
	SoftwareVersion string
}

// Report informs other gateways of where a stream began. Keep is how long it may be taken up.
type Report struct {
	Key    Key
	Origin Origin
	Keep   time.Duration
}

// record is a remembered stream.
type record struct {
	key    Key
	origin Origin
	// conflicting reports whether another origin was recorded, too.
	conflicting bool
	// own reports whether this process recorded it with Began.
	own     bool
	expires time.Time
	// inAll and inAccount are its places in the lists of the Register.
	inAll, inAccount *list.Element
}

// Register holds where streams began.
type Register struct {
	mu      sync.Mutex
	records map[Key]*record
	// all holds the records in the order in which they were last recorded, byAccount those of
	// each client account.
	all       *list.List
	byAccount map[[accountBytes]byte]*list.List
	// pending holds the reports that were not sent yet.
	pending []Report
	changed chan struct{}
}

// NewRegister returns an empty register.
func NewRegister() *Register {
	return &Register{records: make(map[Key]*record), all: list.New(), byAccount: make(map[[accountBytes]byte]*list.List), changed: make(chan struct{}, 1)}
}

// Began records where a stream began, or that it goes on there, and that other gateways must
// be informed. The record is kept for the given time, at most MaxKeep.
func (r *Register) Began(now time.Time, report Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record(now, report)
	if known := r.records[report.Key]; known != nil {
		known.own = true
	}
	if len(r.pending) >= maxPendingReports {
		return // another gateway may have to refuse the stream
	}
	r.pending = append(r.pending, report)
	select {
	case r.changed <- struct{}{}:
	default: // a notification is pending
	}
}

// Apply applies reports of another gateway.
func (r *Register) Apply(now time.Time, reports ...Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, report := range reports {
		r.record(now, report)
	}
}

// record adds a record, or extends the present one. The caller holds mu.
func (r *Register) record(now time.Time, report Report) {
	expires := now.Add(min(report.Keep, MaxKeep))
	known := r.records[report.Key]
	if known != nil && !now.Before(known.expires) {
		r.remove(known)
		known = nil
	}
	if known == nil {
		known = &record{key: report.Key, origin: report.Origin}
		r.records[report.Key] = known
	} else {
		known.conflicting = known.conflicting || known.origin != report.Origin
		r.unlink(known)
	}
	if expires.After(known.expires) {
		known.expires = expires
	}
	r.link(known)
	r.evict(now, report.Key.account())
}

// link adds a record to the lists, as the newest. The caller holds mu.
func (r *Register) link(known *record) {
	account := known.key.account()
	if r.byAccount[account] == nil {
		r.byAccount[account] = list.New()
	}
	known.inAll, known.inAccount = r.all.PushBack(known), r.byAccount[account].PushBack(known)
}

// unlink removes a record from the lists. The caller holds mu.
func (r *Register) unlink(known *record) {
	account := known.key.account()
	r.all.Remove(known.inAll)
	if r.byAccount[account].Remove(known.inAccount); r.byAccount[account].Len() == 0 {
		delete(r.byAccount, account)
	}
}

func (r *Register) remove(known *record) {
	r.unlink(known)
	delete(r.records, known.key)
}

// evict removes the oldest records that have expired or exceed a bound. The caller holds mu.
func (r *Register) evict(now time.Time, account [accountBytes]byte) {
	if ofAccount := r.byAccount[account]; ofAccount.Len() > maxAccountRecords {
		r.remove(ofAccount.Front().Value.(*record))
	}
	for r.all.Len() > 0 {
		oldest := r.all.Front().Value.(*record)
		if r.all.Len() <= maxRecords && now.Before(oldest.expires) {
			return
		}
		r.remove(oldest)
	}
}

// Find returns where a stream began; the second result is false if that is unknown.
func (r *Register) Find(now time.Time, key Key) (Origin, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.records[key]
	if known == nil || known.conflicting || !now.Before(known.expires) {
		return Origin{}, false
	}
	return known.origin, true
}

// OwnReports returns the records of Began that have not expired, to inform gateways and holders
// that were not there when the streams began.
func (r *Register) OwnReports(now time.Time) []Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	var reports []Report
	for _, known := range r.records {
		if known.own && !known.conflicting && now.Before(known.expires) {
			reports = append(reports, Report{Key: known.key, Origin: known.origin, Keep: known.expires.Sub(now)})
		}
	}
	return reports
}

// Len returns the number of records.
func (r *Register) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.records)
}

// Changed returns a channel that gets a value when there are reports to send.
func (r *Register) Changed() <-chan struct{} { return r.changed }

// TakeReports returns the reports that were not sent yet. Each is sent to several gateways and not
// repeated: the loss of one message does not matter.
func (r *Register) TakeReports() []Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	reports := r.pending
	r.pending = nil
	return reports
}
