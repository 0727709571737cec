package engine

import (
	"testing"
	"time"
)

func newRun(priority, total int) *run {
	return &run{priority: priority, total: total, wake: make(chan struct{}, 1), index: -1}
}

func TestBatchServesByPriorityThenArrival(t *testing.T) {
	settings := DefaultSettings()
	settings.Slots = 1
	settings.PrefillBase = 0
	b := newBatch(settings)
	low, high, later := newRun(3, 1), newRun(1, 1), newRun(1, 1)
	for _, r := range []*run{low, high, later} {
		if !b.add(r) {
			t.Fatal("queue full")
		}
	}
	now := time.Unix(0, 0)
	for i, want := range []*run{high, later, low} {
		b.admit(now, 1)
		b.step(now)
		if want.produced.Load() != 1 {
			t.Fatalf("step %d ran another request", i)
		}
	}
}

func TestBatchWaitsForThePrompt(t *testing.T) {
	settings := DefaultSettings()
	b := newBatch(settings)
	r := newRun(1, 2)
	b.add(r)
	now := time.Unix(0, 0)
	b.admit(now, 2)
	b.step(now.Add(2*settings.PrefillBase - 1))
	if r.produced.Load() != 0 {
		t.Fatal("token before the prompt was processed")
	}
	b.step(now.Add(2 * settings.PrefillBase))
	if r.produced.Load() != 1 {
		t.Fatal("no token after the prompt was processed")
	}
}

func TestBatchCancelFreesTheSlotAndCountsWaste(t *testing.T) {
	settings := DefaultSettings()
	settings.Slots = 1
	settings.PrefillBase = 0
	b := newBatch(settings)
	first, second, third := newRun(1, 5), newRun(1, 2), newRun(1, 2)
	for _, r := range []*run{first, second, third} {
		b.add(r)
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
		t.Fatalf("counters %+v", got)
	}
	if len(b.running) != 0 || len(b.waiting) != 0 {
		t.Fatal("a run is left over")
	}
}

func TestBatchBoundsItsQueue(t *testing.T) {
	settings := DefaultSettings()
	settings.MaxWaiting = 1
	b := newBatch(settings)
	if !b.add(newRun(1, 1)) || b.add(newRun(1, 1)) {
		t.Fatal("queue bound not kept")
	}
	if b.counters.Refused != 1 {
		t.Fatalf("refused %d", b.counters.Refused)
	}
}

func TestStepTimeGrowsWithTheBatch(t *testing.T) {
	b := newBatch(DefaultSettings())
	alone := b.stepTime(1)
	for range 8 {
		b.add(newRun(1, 1))
	}
	b.admit(time.Unix(0, 0), 1)
	if full := b.stepTime(1); full <= alone || full > 2*alone {
		t.Fatalf("step %v alone, %v full", alone, full)
	}
}

func TestPrefixCacheIsBounded(t *testing.T) {
	long := func(word string) string {
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
		{long("a"), 0},
		{long("a"), 2 * blockTokens},
		{long("a") + long("b"), 2 * blockTokens},
		{long("c"), 0},
		{long("a"), 0},
	}
	for i, step := range steps {
		if _, cached := cache.use(step.prompt); cached != step.cached {
			t.Errorf("step %d: %d cached tokens, want %d", i, cached, step.cached)
		}
	}
	if cache.order.Len() > 3 || len(cache.blocks) > 3 {
		t.Error("cache over its bound")
	}
}

func TestLengthsFollowFromPromptAndSeed(t *testing.T) {
	settings := DefaultSettings()
	distinct := map[int]bool{}
	for prompt := range uint64(50) {
		length := drawLength(&settings, prompt)
		if length != drawLength(&settings, prompt) || length < 1 {
			t.Fatalf("length %d", length)
		}
		distinct[length] = true
	}
	if len(distinct) < 20 {
		t.Fatalf("%d distinct lengths of 50", len(distinct))
	}
}
