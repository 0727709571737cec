package admission

import "container/heap"

// indexed is a heap whose items know their index, so that any item can be
// fixed or removed in O(log n).
type indexed[T any] struct {
	items []T
	less  func(a, b T) bool
	// index returns where the item keeps its index in this heap.
	index func(item T) *int
}

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (h *indexed[T]) Len() int           { return len(h.items) }
func (h *indexed[T]) Less(i, j int) bool { return h.less(h.items[i], h.items[j]) }

// Swap exchanges two items.
func (h *indexed[T]) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.index(h.items[i]) = i
	*h.index(h.items[j]) = j
}

// Push appends an item for package heap.
func (h *indexed[T]) Push(item any) {
	added := item.(T)
	*h.index(added) = len(h.items)
	h.items = append(h.items, added)
}

// Pop takes the last item for package heap.
func (h *indexed[T]) Pop() any {
	end := len(h.items) - 1
	item := h.items[end]
	var none T
	h.items[end] = none
	h.items = h.items[:end]
	return item
}

func (h *indexed[T]) add(item T)    { heap.Push(h, item) }
func (h *indexed[T]) remove(item T) { heap.Remove(h, *h.index(item)) }
func (h *indexed[T]) fix(item T)    { heap.Fix(h, *h.index(item)) }
func (h *indexed[T]) top() T        { return h.items[0] }
