package engine

import (
	"container/heap"
	"sync/atomic"
	"time"
)

// run is one execution of a request by the engine.
type run struct {
	// id is the run ID under which the run is counted.
	id string
	// priority orders the queue; the lowest number is first.
	priority int
	// sequence is the position in the order of arrival.
	sequence uint64
	prompt   string
	// totalTokens is the length of the complete response. firstToken is the
	// index of the first token that this run produces, above 0 when the run
	// resumes a response.
	firstToken, totalTokens int
	// produced is the index after the last token produced, or firstToken before
	// any. The batch loop increases it, and the writer of the response reads it.
	produced atomic.Int64
	// progressed signals the writer of the response that produced has
	// increased.
	progressed chan struct{}
	// queueIndex is the index in the queue of waiting runs, or -1.
	queueIndex int
	// running is true while the run is in the batch.
	running bool
	// prefillEnd is the time from which the run produces tokens.
	prefillEnd time.Time
	// promptTokens is the length of the prompt, and cachedTokens the number of its
	// tokens found in the prefix cache. Both are 0 until the run is in the batch.
	cachedTokens int
	promptTokens int
}

// signalProgress signals the writer of the response and does not block.
func (r *run) signalProgress() {
	select {
	case r.progressed <- struct{}{}:
	default:
	}
}

// queue is a heap of waiting runs, ordered by priority, lowest number first, and
// then by arrival.
type queue []*run

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority < q[j].priority
	}
	return q[i].sequence < q[j].sequence
}

func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].queueIndex = i
	q[j].queueIndex = j
}

// Push appends a run. Only package heap calls it.
func (q *queue) Push(x any) {
	r := x.(*run)
	r.queueIndex = len(*q)
	*q = append(*q, r)
}

// Pop removes the last run. Only package heap calls it.
func (q *queue) Pop() any {
	last := len(*q) - 1
	r := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	r.queueIndex = -1
	return r
}

// Counters are the counters of an engine since its start.
type Counters struct {
	// Requests counts the runs that were queued. Each ends as Completed or
	// Cancelled.
	Requests  uint64 `json:"requests"`
	Completed uint64 `json:"completed"`
	// Cancelled counts the runs whose connection closed before their last token was
	// produced.
	Cancelled uint64 `json:"cancelled"`
	// Refused counts the requests refused because the queue was full.
	Refused uint64 `json:"refused"`
	// Generated counts all generated tokens.
	Generated uint64 `json:"generated"`
	// Wasted counts the generated tokens of cancelled runs.
	Wasted uint64 `json:"wasted"`
	// CachedPrompt counts those prompt tokens that were found in the prefix cache.
	CachedPrompt uint64 `json:"cached_prompt"`
	// Prompt counts the prompt tokens of all runs that were admitted to the batch.
	Prompt uint64 `json:"prompt"`
	// Commands counts all engine commands.
	Commands uint64 `json:"orders"`
	// StaleCommands counts the commands with a fence below the highest received.
	StaleCommands uint64 `json:"stale_orders"`
}

// batch holds the runs of the current batch and the queue of waiting runs. It reads
// no clock: its callers pass the time. It is not safe for concurrent use.
type batch struct {
	settings Settings
	waiting  queue
	running  []*run
	cache    *prefixCache
	sequence uint64
	counters Counters
}

func newBatch(settings Settings) *batch {
	return &batch{settings: settings, cache: newPrefixCache(settings.CacheTokens)}
}

// enqueue adds a run to the queue and returns false if the queue is full.
func (b *batch) enqueue(r *run) bool {
	if len(b.waiting) >= b.settings.MaxWaiting {
		b.counters.Refused++
		return false
	}
	b.sequence++
	r.sequence = b.sequence
	b.counters.Requests++
	heap.Push(&b.waiting, r)
	return true
}

// admit moves waiting runs into free slots and starts their prefill. A run that
// resumes a response also prefills the tokens that the caller already has. The
// prefill of one run does not delay the steps of the others.
func (b *batch) admit(now time.Time, slowdown float64) {
	for len(b.running) < b.settings.Slots && len(b.waiting) > 0 {
		r := heap.Pop(&b.waiting).(*run)
		r.promptTokens, r.cachedTokens = b.cache.lookupAndInsert(r.prompt)
		b.counters.Prompt += uint64(r.promptTokens)
		b.counters.CachedPrompt += uint64(r.cachedTokens)
		uncached := r.promptTokens - r.cachedTokens + r.firstToken
		prefill := b.settings.PrefillBase + time.Duration(uncached)*b.settings.PrefillPerToken
		r.prefillEnd = now.Add(time.Duration(float64(prefill) * slowdown))
		r.running = true
		b.running = append(b.running, r)
	}
}

// step produces one token for each run whose prefill has ended and frees the slots
// of the runs that complete.
func (b *batch) step(now time.Time) {
	remaining := b.running[:0]
	for _, r := range b.running {
		if now.Before(r.prefillEnd) {
			remaining = append(remaining, r)
			continue
		}
		b.counters.Generated++
		produced := r.produced.Add(1)
		r.signalProgress()
		if produced < int64(r.totalTokens) {
			remaining = append(remaining, r)
			continue
		}
		r.running = false
		b.counters.Completed++
	}
	clear(b.running[len(remaining):])
	b.running = remaining
}

// stepTime returns the duration of the next step, which grows with the batch.
func (b *batch) stepTime(slowdown float64) time.Duration {
	others := max(0, len(b.running)-1)
	factor := slowdown * (1 + b.settings.StepGrowth*float64(others))
	return time.Duration(float64(b.settings.StepTime) * factor)
}

// cancel removes a run from the queue or the batch and counts the tokens that it has
// produced as wasted. It has no effect on a run that has ended or was never queued.
func (b *batch) cancel(r *run) {
	switch {
	case r.queueIndex >= 0:
		heap.Remove(&b.waiting, r.queueIndex)
	case r.running:
		b.remove(r)
	default:
		return
	}
	b.counters.Cancelled++
	b.counters.Wasted += uint64(r.produced.Load() - int64(r.firstToken))
}

// remove removes a run from the batch; the order of the others may change.
func (b *batch) remove(target *run) {
	for i, r := range b.running {
		if r == target {
			last := len(b.running) - 1
			b.running[i] = b.running[last]
			b.running[last] = nil
			b.running = b.running[:last]
			r.running = false
			return
		}
	}
}
