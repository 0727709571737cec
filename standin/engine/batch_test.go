package engine

import (
	"testing"
	"time"
)

func newRun(priority, total int) *run {
	return &run{priority: priority, totalTokens: total, progressed: make(chan struct{}, 1), queueIndex: -1}
}

func TestBatchAdmitsByPriorityThenArrival(t *testing.T) {
	settings := DefaultSettings()
	settings.Slots = 1
	settings.PrefillBase = 0
	b := newBatch(settings)
	low, firstHigh, secondHigh := newRun(3, 1), newRun(1, 1), newRun(1, 1)
	for _, r := range []*run{low, firstHigh, secondHigh} {
		if !b.enqueue(r) {
			t.Fatal("enqueue refused a run, want it accepted")
		}
	}
	now := time.Unix(0, 0)
	for i, want := range []*run{firstHigh, secondHigh, low} {
		b.admit(now, 1)
		b.step(now)
		if want.produced.Load() != 1 {
			t.Fatalf("step %d: the run that is next in order got no token, want one", i)
		}
	}
}

func TestBatchProducesNoTokenBeforeEndOfPrefill(t *testing.T) {
	settings := DefaultSettings()
	b := newBatch(settings)
	r := newRun(1, 2)
	b.enqueue(r)
	now := time.Unix(0, 0)
	b.admit(now, 2)
	b.step(now.Add(2*settings.PrefillBase - 1))
	if r.produced.Load() != 0 {
		t.Fatal("got a token before the end of the prefill, want none")
	}
	b.step(now.Add(2 * settings.PrefillBase))
	if r.produced.Load() != 1 {
		t.Fatal("got no token after the end of the prefill, want one")
	}
}

func TestCancelFreesSlotAndCountsWastedTokens(t *testing.T) {
	settings := DefaultSettings()
	settings.Slots = 1
	settings.PrefillBase = 0
	b := newBatch(settings)
	first, second, third := newRun(1, 5), newRun(1, 2), newRun(1, 2)
	for _, r := range []*run{first, second, third} {
		b.enqueue(r)
	}
	now := time.Unix(0, 0)
	b.admit(now, 1)
	b.step(now)
	b.step(now)
	b.cancel(first)
	b.cancel(first)
	b.cancel(third)
	b.admit(now, 1)
	b.step(now)
	b.step(now)
	b.cancel(second)
	got := b.counters
	if got.Generated != 4 || got.Wasted != 2 || got.Cancelled != 2 || got.Completed != 1 {
		t.Fatalf("got counters %+v, want 4 generated, 2 wasted, 2 cancelled, 1 completed", got)
	}
	if len(b.running) != 0 || len(b.waiting) != 0 {
		t.Fatal("got a run in the batch or the queue, want none")
	}
}

func TestBatchRefusesRunWhenQueueIsFull(t *testing.T) {
	settings := DefaultSettings()
	settings.MaxWaiting = 1
	b := newBatch(settings)
	if !b.enqueue(newRun(1, 1)) || b.enqueue(newRun(1, 1)) {
		t.Fatal("want the first run accepted and the second refused")
	}
	if b.counters.Refused != 1 {
		t.Fatalf("got %d refused runs, want 1", b.counters.Refused)
	}
}

func TestStepTimeGrowsWithBatchSize(t *testing.T) {
	b := newBatch(DefaultSettings())
	alone := b.stepTime(1)
	for range 8 {
		b.enqueue(newRun(1, 1))
	}
	b.admit(time.Unix(0, 0), 1)
	if full := b.stepTime(1); full <= alone || full > 2*alone {
		t.Fatalf("got step time %v with one run, %v with a full batch; want it longer, up to twice as long", alone, full)
	}
}

func TestPrefixCacheFindsCachedPrefixAndIsBounded(t *testing.T) {
	longPrompt := func(word string) string {
		text := ""
		for range 2 * blockTokens {
			text += word + " "
		}
		return text
	}
	cache := newPrefixCache(3 * blockTokens)
	steps := []struct {
		prompt string
		cached int
	}{
		{longPrompt("a"), 0},
		{longPrompt("a"), 2 * blockTokens},
		{longPrompt("a") + longPrompt("b"), 2 * blockTokens},
		{longPrompt("c"), 0},
		{longPrompt("a"), 0},
	}
	for i, step := range steps {
		if _, cached := cache.lookupAndInsert(step.prompt); cached != step.cached {
			t.Errorf("step %d: got %d cached tokens, want %d", i, cached, step.cached)
		}
	}
	if cache.recency.Len() > 3 || len(cache.blocks) > 3 {
		t.Error("got more cached blocks than the capacity of 3")
	}
}

func TestResponseLengthIsDeterminedByPromptAndSeed(t *testing.T) {
	settings := DefaultSettings()
	distinct := map[int]bool{}
	for prompt := range uint64(50) {
		length := sampleLength(&settings, prompt)
		if length != sampleLength(&settings, prompt) || length < 1 {
			t.Fatalf("got length %d, want a positive length, the same in both calls", length)
		}
		distinct[length] = true
	}
	if len(distinct) < 20 {
		t.Fatalf("got %d distinct lengths for 50 prompts, want at least 20", len(distinct))
	}
}
