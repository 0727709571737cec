package ring

import (
	"context"
	"sync"
	"testing"
)

func TestPushDropsAndCountsValuesWhenFull(t *testing.T) {
	r := New[int](2)
	for i, want := range []bool{true, true, false, false} {
		if got := r.Push(i); got != want {
			t.Errorf("Push(%d) = %v, want %v", i, got, want)
		}
	}
	if r.Len() != 2 || r.Dropped() != 2 {
		t.Errorf("Len() = %d and Dropped() = %d, want 2 and 2", r.Len(), r.Dropped())
	}
}

func TestPopReturnsQueuedValuesAfterClose(t *testing.T) {
	r := New[int](4)
	r.Push(1)
	r.Push(2)
	r.Close()
	r.Close()
	if r.Push(3) {
		t.Error("Push on a closed ring returned true, want false")
	}
	for _, want := range []int{1, 2} {
		if got, ok := r.Pop(context.Background()); !ok || got != want {
			t.Errorf("Pop() = %d, %v; want %d, true", got, ok, want)
		}
	}
	if _, ok := r.Pop(context.Background()); ok {
		t.Error("Pop on a closed, empty ring returned a value")
	}
}

func TestPopWithEndedContextStillReturnsQueuedValues(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	r := New[int](1)
	if _, ok := r.Pop(ctx); ok {
		t.Error("Pop on an empty ring with an ended context returned a value")
	}
	r.Push(7)
	if got, ok := r.Pop(ctx); !ok || got != 7 {
		t.Errorf("Pop() with an ended context = %d, %v; want 7, true", got, ok)
	}
}

func TestEveryValueOfConcurrentProducersIsPoppedOrCountedAsDropped(t *testing.T) {
	const producers, valuesEach = 8, 500
	r := New[int](16)
	var wg sync.WaitGroup
	for range producers {
		wg.Go(func() {
			for i := range valuesEach {
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
	if popped+r.Dropped() != producers*valuesEach {
		t.Errorf("popped %d and dropped %d values, want a sum of %d", popped, r.Dropped(), producers*valuesEach)
	}
}
