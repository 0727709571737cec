package ring

import (
	"context"
	"sync"
	"testing"
)

func TestPushRefusesAndCountsWhenFull(t *testing.T) {
	r := New[int](2)
	for i, want := range []bool{true, true, false, false} {
		if got := r.Push(i); got != want {
			t.Errorf("push %d: got %v, want %v", i, got, want)
		}
	}
	if r.Len() != 2 || r.Dropped() != 2 {
		t.Errorf("len %d, dropped %d; want 2 and 2", r.Len(), r.Dropped())
	}
}

func TestCloseDrainsThenEnds(t *testing.T) {
	r := New[int](4)
	r.Push(1)
	r.Push(2)
	r.Close()
	r.Close()
	if r.Push(3) {
		t.Error("a closed ring accepted a value")
	}
	for _, want := range []int{1, 2} {
		if got, ok := r.Pop(context.Background()); !ok || got != want {
			t.Errorf("got %d, %v; want %d", got, ok, want)
		}
	}
	if _, ok := r.Pop(context.Background()); ok {
		t.Error("a drained ring gave a value")
	}
}

func TestPopEndsWithContextButPrefersValues(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	r := New[int](1)
	if _, ok := r.Pop(ctx); ok {
		t.Error("an empty ring gave a value")
	}
	r.Push(7)
	if got, ok := r.Pop(ctx); !ok || got != 7 {
		t.Errorf("got %d, %v; want 7", got, ok)
	}
}

func TestConcurrentProducersLoseNothingUncounted(t *testing.T) {
	const producers, each = 8, 500
	r := New[int](16)
	var wg sync.WaitGroup
	for range producers {
		wg.Go(func() {
			for i := range each {
				r.Push(i)
			}
		})
	}
	go func() { wg.Wait(); r.Close() }()
	popped := uint64(0)
	for {
		if _, ok := r.Pop(context.Background()); !ok {
			break
		}
		popped++
	}
	if popped+r.Dropped() != producers*each {
		t.Errorf("popped %d and dropped %d of %d", popped, r.Dropped(), producers*each)
	}
}
