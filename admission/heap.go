package admission

import "container/heap"

// indexedHeap is a heap whose items store their own index, so that any item can
// be removed, or moved after a change of its order, in O(log n).
type indexedHeap[T any] struct {
	items []T
	less  func(a, b T) bool
	// index returns the address at which the item stores its index in this heap.
	index func(item T) *int
}

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (h *indexedHeap[T]) Len() int           { return len(h.items) }
func (h *indexedHeap[T]) Less(i, j int) bool { return h.less(h.items[i], h.items[j]) }

// Swap exchanges two items and updates their indexes.
func (h *indexedHeap[T]) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.index(h.items[i]) = i
	*h.index(h.items[j]) = j
}

// Push appends an item. Only package heap calls it.
func (h *indexedHeap[T]) Push(item any) {
	added := item.(T)
	*h.index(added) = len(h.items)
	h.items = append(h.items, added)
}

// Pop removes and returns the last item. Only package heap calls it.
func (h *indexedHeap[T]) Pop() any {
	end := len(h.items) - 1
	item := h.items[end]
	var zero T
	h.items[end] = zero
	h.items = h.items[:end]
	return item
}

func (h *indexedHeap[T]) add(item T)    { heap.Push(h, item) }
func (h *indexedHeap[T]) remove(item T) { heap.Remove(h, *h.index(item)) }
func (h *indexedHeap[T]) fix(item T)    { heap.Fix(h, *h.index(item)) }
func (h *indexedHeap[T]) top() T        { return h.items[0] }
