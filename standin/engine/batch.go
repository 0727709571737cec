package engine

import (
	"container/heap"
	"sync/atomic"
	"time"
)

// run is one request in the engine.
type run struct {
	id       string
	priority int
	sequence uint64
	prompt   string
	// total is the length of the whole answer, and from the first token that
	// this run produces.
	from, total int
	// produced is the number of tokens up to and including the last one, as
	// the reader sees it.
	produced atomic.Int64
	// wake tells the reader that produced has risen.
	wake chan struct{}
	// index is the place in the queue, or -1.
	index   int
	running bool
	ready   time.Time
	cached  int
	tokens  int
}

// signal tells the reader that there is something new, without waiting.
func (r *run) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// queue orders waiting runs by priority, lowest number first, then arrival.
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
	q[i].index = i
	q[j].index = j
}

// Push adds a run at the end, for package heap.
func (q *queue) Push(x any) {
	r := x.(*run)
	r.index = len(*q)
	*q = append(*q, r)
}

// Pop removes the run at the end, for package heap.
func (q *queue) Pop() any {
	last := len(*q) - 1
	r := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	r.index = -1
	return r
}

// Counters are the engine's counters since its start.
type Counters struct {
	Requests  uint64 `json:"requests"`
	Completed uint64 `json:"completed"`
	Cancelled uint64 `json:"cancelled"`
	Refused   uint64 `json:"refused"`
	// Generated counts all tokens, and Wasted those of runs that did not
	// reach their end.
	Generated uint64 `json:"generated"`
	Wasted    uint64 `json:"wasted"`
	// CachedPrompt counts prompt tokens found in the prefix cache.
	CachedPrompt  uint64 `json:"cached_prompt"`
	Prompt        uint64 `json:"prompt"`
	Commands      uint64 `json:"orders"`
	StaleCommands uint64 `json:"stale_orders"`
}

// batch is the engine's state: the requests that run in one batch, and those
// that wait. It knows no clock of its own and is not safe for concurrent use.
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

// add queues a run; it returns false when the queue is full.
func (b *batch) add(r *run) bool {
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

// admit moves waiting runs into free slots.
func (b *batch) admit(now time.Time, slow float64) {
	for len(b.running) < b.settings.Slots && len(b.waiting) > 0 {
		r := heap.Pop(&b.waiting).(*run)
		r.tokens, r.cached = b.cache.use(r.prompt)
		b.counters.Prompt += uint64(r.tokens)
		b.counters.CachedPrompt += uint64(r.cached)
		fresh := r.tokens - r.cached + r.from
		prefill := b.settings.PrefillBase + time.Duration(fresh)*b.settings.PrefillPerToken
		r.ready = now.Add(time.Duration(float64(prefill) * slow))
		r.running = true
		b.running = append(b.running, r)
	}
}

// step produces one token for each running request whose prompt has been
// processed, and frees the slots of those at their end.
func (b *batch) step(now time.Time) {
	kept := b.running[:0]
	for _, r := range b.running {
		if now.Before(r.ready) {
			kept = append(kept, r)
			continue
		}
		b.counters.Generated++
		produced := r.produced.Add(1)
		r.signal()
		if produced < int64(r.total) {
			kept = append(kept, r)
			continue
		}
		r.running = false
		b.counters.Completed++
	}
	clear(b.running[len(kept):])
	b.running = kept
}

// stepTime returns how long the next step takes.
func (b *batch) stepTime(slow float64) time.Duration {
	others := max(0, len(b.running)-1)
	factor := slow * (1 + b.settings.StepGrowth*float64(others))
	return time.Duration(float64(b.settings.StepTime) * factor)
}

// cancel gives up a run and counts its tokens as wasted. It is harmless for
// a run that has ended.
func (b *batch) cancel(r *run) {
	switch {
	case r.index >= 0:
		heap.Remove(&b.waiting, r.index)
	case r.running:
		b.remove(r)
	default:
		return
	}
	b.counters.Cancelled++
	b.counters.Wasted += uint64(r.produced.Load() - int64(r.from))
}

func (b *batch) remove(wanted *run) {
	for i, r := range b.running {
		if r == wanted {
			last := len(b.running) - 1
			b.running[i] = b.running[last]
			b.running[last] = nil
			b.running = b.running[:last]
			r.running = false
			return
		}
	}
}
