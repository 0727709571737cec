package retry

import (
	"sync"
	"time"
)

// windowBuckets is the number of time buckets into which a WindowBudget divides
// its window.
const windowBuckets = 100

// WindowBudget is one gateway's part of a budget that bounds the retries of a
// service over all gateways, without shared state. It is safe for concurrent
// use.
//
// Callers may assume this bound while all n gateways use the same number n: in
// each period up to the window, each gateway makes at most ratio x its own requests
// of this period + extra / n retries, but at least one. So all gateways together make
// at most ratio x requests + extra retries in each window, also while callers move
// from one gateway to another, as long as extra is not below n. A process that starts
// assumes that its predecessor has just used its share.
type WindowBudget struct {
	mu     sync.Mutex
	ratio  float64
	extra  float64
	window time.Duration
	// requests and retries are counts per time bucket, newest first. Since the
	// newest bucket is incomplete, a complete window needs one bucket more than
	// windowBuckets.
	requests [windowBuckets + 1]int
	retries  [windowBuckets + 1]int
	// reserved is the number of retries that were allowed and are not sent yet.
	reserved int
	// newest is the number of the newest bucket, counted from the Unix epoch.
	newest int64
	// startedAt is when this process started to count.
	startedAt time.Time
}

// NewWindowBudget returns a budget that allows, in each window, ratio retries
// per request plus this gateway's share of extra, which is the number of
// additional retries of all gateways. startedAt is when the process started: a
// window that reaches back further includes none of the extra retries.
func NewWindowBudget(ratio float64, extra int, window time.Duration, startedAt time.Time) *WindowBudget {
	return &WindowBudget{ratio: ratio, extra: float64(extra), window: window, startedAt: startedAt}
}

// bucketOf returns the number of the bucket that contains a time.
func (b *WindowBudget) bucketOf(at time.Time) int64 {
	return at.UnixNano() / (int64(b.window) / windowBuckets)
}

// RecordRequest counts a request. Its retries are not counted.
func (b *WindowBudget) RecordRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.requests[0]++
}

// WindowDecision is a decision of a WindowBudget, with what it was based on.
type WindowDecision struct {
	Allowed bool
	// Requests and Retries are what this gateway counted in the window, Reserved the
	// retries that are not sent yet, without the retry that is decided.
	Requests, Retries, Reserved int
	// Share is this gateway's share of the extra retries, at least one.
	Share float64
	// FirstWindow reports whether the process started within the window.
	FirstWindow bool
	// Remaining is how many retries this gateway could still make before the decision.
	Remaining float64
}

// decision returns what is known at the time of a decision. The bound must hold for
// each period that ends now: a window at the backend servers may begin at any time,
// and the requests before it then pay for no retry in it. A period that begins within
// a bucket has at most the retries of this bucket and those after it, and at least the
// requests of the buckets after it. A reserved retry may be sent at any time, so it
// counts in each period.
func (b *WindowBudget) decision(gateways int) WindowDecision {
	share := 0.0
	if gateways > 0 {
		share = b.extra / float64(gateways)
	}
	d := WindowDecision{Share: max(1, share), Reserved: b.reserved}
	d.Remaining = d.Share
	for i := range b.requests {
		d.Retries += b.retries[i]
		d.Remaining = min(d.Remaining, b.ratio*float64(d.Requests)+d.Share-float64(d.Retries+d.Reserved))
		d.Requests += b.requests[i]
	}
	if d.FirstWindow = b.newest-b.bucketOf(b.startedAt) <= windowBuckets; d.FirstWindow {
		share = 0
	}
	d.Remaining = min(d.Remaining, b.ratio*float64(d.Requests)+share-float64(d.Retries+d.Reserved))
	return d
}

// TryRetry reserves one retry if the decision allows it. The caller must then call
// Sent or Release. gateways is the number of gateways, zero if it is not known: then
// this one takes the smallest share. reserve is how many retries must remain in the
// budget for more important requests; it is less if the share of this gateway is
// smaller than reserve and one retry.
func (b *WindowBudget) TryRetry(now time.Time, gateways int, reserve float64) WindowDecision {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	d := b.decision(gateways)
	d.Allowed = d.Remaining >= 1+min(reserve, d.Share-1)
	if d.Allowed {
		b.reserved++
	}
	return d
}

// Sent counts a reserved retry as sent now.
func (b *WindowBudget) Sent(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.reserved--
	b.retries[0]++
}

// Release gives back a reserved retry that is not going to be sent.
func (b *WindowBudget) Release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reserved--
}

// advance shifts the counts so that the newest bucket is the one that contains
// now. A time before the newest bucket changes nothing.
func (b *WindowBudget) advance(now time.Time) {
	newest := b.bucketOf(now)
	steps := min(newest-b.newest, windowBuckets+1)
	if b.newest == 0 {
		steps = windowBuckets + 1
	}
	if steps <= 0 {
		return
	}
	b.newest = newest
	shift := int(steps)
	copy(b.requests[shift:], b.requests[:len(b.requests)-shift])
	copy(b.retries[shift:], b.retries[:len(b.retries)-shift])
	clear(b.requests[:shift])
	clear(b.retries[:shift])
}
